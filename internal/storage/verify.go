package storage

import (
	"cmp"
	"encoding/binary"
	"errors"
	"fmt"
	"os"

	"github.com/cespare/xxhash/v2"
	"go.etcd.io/bbolt"
)

const (
	checksumSize  = 8 // bytes before each value
	recordKeySize = 8
)

var errChecksum = errors.New("checksum mismatch")

// verify checks every page and every checksum of the file.
func (s *Store) verify() error {
	return s.db.View(func(tx *bbolt.Tx) error {
		if info, err := os.Stat(s.path); err != nil {
			return err
		} else if info.Size() < tx.Size() {
			return fmt.Errorf("truncated: %d of %d bytes", info.Size(), tx.Size())
		}
		var first error
		// Drains the channel: the check reads the mapped file in a goroutine, and the file is unmapped once it is rejected.
		for err := range tx.Check() {
			first = cmp.Or(first, err)
		}
		if first != nil {
			return first
		}
		return tx.ForEach(verifyBucket)
	})
}

func verifyBucket(name []byte, bucket *bbolt.Bucket) error {
	return bucket.ForEach(func(k, v []byte) error {
		if _, err := verifyChecksum(v); err != nil {
			return fmt.Errorf("%s %x: %w", name, k, err)
		}
		return nil
	})
}

// addChecksum returns the content prefixed with its checksum.
func addChecksum(content []byte) []byte {
	return append(binary.BigEndian.AppendUint64(nil, xxhash.Sum64(content)), content...)
}

// verifyChecksum returns the content of a stored value, or errChecksum if it doesn't match its checksum.
func verifyChecksum(stored []byte) ([]byte, error) {
	if len(stored) < checksumSize || binary.BigEndian.Uint64(stored) != xxhash.Sum64(stored[checksumSize:]) {
		return nil, errChecksum
	}
	return stored[checksumSize:], nil
}

func recordKey(number uint64) []byte { return binary.BigEndian.AppendUint64(nil, number) }
