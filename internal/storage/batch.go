package storage

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"os"

	"go.etcd.io/bbolt"
)

// Record is one record of the log.
type Record struct {
	Number uint64
	Bytes  []byte
}

// Batch is stored atomically by one Write. Its parts are applied in the order ReplaceLog, Records, CompactBelow, Values.
type Batch struct {
	Records      []Record          // replace all stored records from the number of the first of these on
	Values       map[string][]byte // by name
	CompactBelow uint64            // stored records with lower numbers are deleted
	ReplaceLog   bool              // all stored records are deleted first
}

// Write stores a batch and returns once it is on disk. An error that matches ErrUnavailable leaves it unknown whether the batch is
// stored, and further writes are rejected until Reopen. After any other error nothing of the batch is stored.
func (s *Store) Write(batch Batch) error {
	if err := s.update(batch.write); err != nil {
		return fmt.Errorf("%s: %w", s.path, err)
	}
	return nil
}

func (b Batch) write(tx *bbolt.Tx) error {
	if b.ReplaceLog {
		if err := tx.DeleteBucket(logBucket); err != nil {
			return err
		}
		if _, err := tx.CreateBucket(logBucket); err != nil {
			return err
		}
	}
	log := tx.Bucket(logBucket)
	if err := putRecords(log, b.Records); err != nil {
		return err
	}
	if err := compact(log, b.CompactBelow); err != nil {
		return err
	}
	values := tx.Bucket(valuesBucket)
	for name, value := range b.Values {
		if err := values.Put([]byte(name), addChecksum(value)); err != nil {
			return err
		}
	}
	return nil
}

// putRecords deletes the log from the first record's number on and appends the records.
func putRecords(log *bbolt.Bucket, records []Record) error {
	if len(records) == 0 {
		return nil
	}
	first := recordKey(records[0].Number)
	cursor := log.Cursor()
	for k, _ := cursor.Seek(first); k != nil; k, _ = cursor.Seek(first) {
		if err := cursor.Delete(); err != nil {
			return err
		}
	}
	for _, record := range records {
		if err := log.Put(recordKey(record.Number), addChecksum(record.Bytes)); err != nil {
			return err
		}
	}
	return nil
}

// compact deletes the records whose numbers are lower than below.
func compact(log *bbolt.Bucket, below uint64) error {
	cursor := log.Cursor()
	for k, _ := cursor.First(); k != nil && binary.BigEndian.Uint64(k) < below; k, _ = cursor.First() {
		if err := cursor.Delete(); err != nil {
			return err
		}
	}
	return nil
}

// Read returns all records, by number, and all values, by name.
func (s *Store) Read() (records []Record, values map[string][]byte, err error) {
	if s.db == nil {
		return nil, nil, fmt.Errorf("%s: %w: the store is closed", s.path, ErrUnavailable)
	}
	err = s.db.View(func(tx *bbolt.Tx) (err error) {
		if records, err = readRecords(tx.Bucket(logBucket)); err != nil {
			return err
		}
		values, err = readValues(tx.Bucket(valuesBucket))
		return err
	})
	if err != nil {
		return nil, nil, fmt.Errorf("%s: %w", s.path, err)
	}
	return records, values, nil
}

func readRecords(log *bbolt.Bucket) (records []Record, err error) {
	err = log.ForEach(func(k, v []byte) error {
		content, err := verifyChecksum(v)
		if len(k) != recordKeySize {
			err = errors.New("invalid record key")
		}
		if err != nil {
			return fmt.Errorf("log record %x: %w", k, err)
		}
		records = append(records, Record{binary.BigEndian.Uint64(k), copyBytes(content)})
		return nil
	})
	return records, err
}

func readValues(bucket *bbolt.Bucket) (map[string][]byte, error) {
	values := map[string][]byte{}
	err := bucket.ForEach(func(k, v []byte) error {
		content, err := verifyChecksum(v)
		if err != nil {
			return fmt.Errorf("value %s: %w", k, err)
		}
		values[string(k)] = copyBytes(content)
		return nil
	})
	return values, err
}

// copyBytes copies bytes that are valid only within a transaction. It returns nil for an empty slice.
func copyBytes(b []byte) []byte { return append([]byte(nil), b...) }

// Copy writes a consistent snapshot of the whole file to w, as a backup.
func (s *Store) Copy(w io.Writer) error {
	return s.db.View(func(tx *bbolt.Tx) error {
		_, err := tx.WriteTo(w)
		return err
	})
}

// Size returns the size of the file in bytes, or 0 if it can't be read.
func (s *Store) Size() int64 {
	info, err := os.Stat(s.path)
	if err != nil {
		return 0
	}
	return info.Size()
}
