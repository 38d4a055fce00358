// Package storage keeps the durable state of one process in its data directory: a log of numbered records, named values, and the
// identity of the directory itself. It owns the database file, the lock on it and the checksums of its contents.
//
// A write that has returned nil is on disk. The file is a bbolt database (copy on write, two root pages), so that a process killed at any
// moment finds a batch either complete or not at all. Each record and value has its own checksum, so that a bit that changes on disk is
// detected. The package doesn't interpret what it stores.
package storage

import (
	"cmp"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime/debug"
	"slices"
	"syscall"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/bbolt"
	bolterr "go.etcd.io/bbolt/errors"

	"wayloft/internal/failpoint"
)

const (
	fileName        = "state.db"
	fileMode        = 0o600
	directoryMode   = 0o700
	formatVersion   = 1
	lockTimeout     = 200 * time.Millisecond // how long Open waits for a lock that another process holds
	maxIncarnations = 64                     // older ones are dropped
)

// Names of the database's buckets. The identity is stored in the first, under the bucket's own name.
var (
	identityBucket = []byte("head")
	logBucket      = []byte("log")
	valuesBucket   = []byte("values")
)

// Identity identifies the fleet and the process that a data directory belongs to, the directory itself, and its starts.
type Identity struct {
	Version   int    `cbor:"1,keyasint"` // of the format
	Fleet     string `cbor:"2,keyasint"`
	Name      string `cbor:"3,keyasint"` // of the process
	StorageID uint64 `cbor:"4,keyasint"` // generated when the directory was created
	// Incarnations has a number generated at each start, the latest last. Peers that remember the latest one can tell that the directory
	// was replaced by an older copy.
	Incarnations []uint64 `cbor:"5,keyasint"`
}

// Store is an open data directory. Its methods must not be called concurrently.
type Store struct {
	db       *bbolt.DB // nil once closed
	dir      string
	path     string
	writeErr error    // from the write or sync that failed; cleared by Reopen
	Identity Identity // read or created by Open; must not be changed
}

var (
	// ErrInUse is returned for a data directory that another process has open.
	ErrInUse = errors.New("another process has this data directory open")
	// ErrUnavailable is returned when the system fails a write, a sync or the opening of a file, and by a closed Store. What was stored
	// before is kept; whether the failed write is stored is unknown. Reopen, or Open, may succeed later.
	ErrUnavailable = errors.New("storage unavailable")
	// ErrReplaced is returned by Reopen when another process used the directory meanwhile, or when it was replaced by another copy.
	ErrReplaced = errors.New("the data directory was replaced or used by another process meanwhile")
)

// transientErrors are the system errors after which the storage may work again later.
var transientErrors = []error{syscall.ENOSPC, syscall.EDQUOT, syscall.EFBIG, syscall.EIO, syscall.EROFS, syscall.ENOMEM, syscall.EMFILE, syscall.ENFILE}

// classify wraps a transient error in ErrUnavailable.
func classify(err error) error {
	if slices.ContainsFunc(transientErrors, func(transient error) bool { return errors.Is(err, transient) }) {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return err
}

// Open opens a data directory, or creates one for this process of this fleet, and adds an incarnation to its identity. nextID returns a
// number that no other directory or incarnation has. A directory of another process, or of a later format, is rejected and left
// unchanged. The error matches ErrInUse or ErrUnavailable where Open may succeed later.
func Open(dir, fleet, name string, nextID func() uint64) (*Store, error) {
	s := &Store{dir: dir, path: filepath.Join(dir, fileName)}
	if err := s.open(func() error { return s.addIncarnation(fleet, name, nextID) }); err != nil {
		return nil, err
	}
	return s, nil
}

// Reopen closes the directory and opens it again after a write or a sync has failed: the kernel may have dropped dirty pages that it
// couldn't write, so neither the open file nor its mapping can be trusted. The incarnation stays the same. Everything read afterwards is
// durable, including what the failed write may have left, because Reopen commits once more, to the other root page and with its own
// syncs. The lock is released in between: the error matches ErrReplaced if another process used the directory. After an error Reopen may
// be called again.
func (s *Store) Reopen() error {
	_ = s.Close() // the file is abandoned even if closing it fails
	return s.open(s.confirmIdentity)
}

// Close closes the file and releases its lock. A closed Store may be closed again.
func (s *Store) Close() error {
	if s.db == nil {
		return nil
	}
	db := s.db
	s.db = nil
	return db.Close()
}

// open opens and verifies the file and calls commitIdentity to write the identity.
func (s *Store) open(commitIdentity func() error) (err error) {
	defer func() {
		if err != nil {
			_ = s.Close() // err is the reason for closing
			err = fmt.Errorf("%s: %w", s.path, err)
		}
	}()
	if err := failpoint.OperationError("storage.open", s.path); err != nil {
		return classify(err)
	}
	if err := os.MkdirAll(s.dir, directoryMode); err != nil {
		return classify(err)
	}
	// Guards against a truncated file: reading a mapped page beyond the end of the file is a memory fault, which becomes a panic here.
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if fault := recover(); fault != nil {
			err = fmt.Errorf("truncated or overwritten: %v", fault)
		}
	}()
	s.db, err = bbolt.Open(s.path, fileMode, &bbolt.Options{Timeout: lockTimeout, FreelistType: bbolt.FreelistMapType})
	if errors.Is(err, bolterr.ErrTimeout) {
		return ErrInUse
	}
	if err != nil {
		return classify(err)
	}
	s.writeErr = nil
	if err := s.verify(); err != nil {
		return err
	}
	if err := commitIdentity(); err != nil {
		return err
	}
	return syncDir(s.dir)
}

// syncDir makes the directory's entries durable: without it, a file that was just created may be lost when the machine crashes.
func syncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return classify(err)
	}
	err = d.Sync()
	_ = d.Close() // opened only for reading: no data can be lost
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return nil
}

// update runs change in a transaction and commits it; a nil result means that it is on disk. After a failed commit nothing more is
// written to the file: a second sync may succeed although the kernel has dropped what the first one couldn't write.
func (s *Store) update(change func(*bbolt.Tx) error) error {
	if s.writeErr != nil || s.db == nil {
		return fmt.Errorf("%w: the store must be reopened", cmp.Or(s.writeErr, ErrUnavailable))
	}
	if err := failpoint.OperationError("storage.write", s.path); err != nil {
		return s.writeFailed(err)
	}
	var changeErr error // from change itself: nothing was written
	err := s.db.Update(func(tx *bbolt.Tx) error {
		changeErr = change(tx)
		return changeErr
	})
	if changeErr != nil {
		return changeErr
	}
	if err == nil {
		err = failpoint.OperationError("storage.sync", s.path)
	}
	if err != nil {
		return s.writeFailed(err)
	}
	return nil
}

func (s *Store) writeFailed(err error) error {
	s.writeErr = fmt.Errorf("%w: %w", ErrUnavailable, err)
	return s.writeErr
}

// confirmIdentity checks that the stored identity is still the one that this Store opened, and commits it unchanged.
func (s *Store) confirmIdentity() error {
	return s.update(func(tx *bbolt.Tx) error {
		bucket := tx.Bucket(identityBucket)
		if bucket == nil {
			return ErrReplaced
		}
		stored, err := decodeIdentity(bucket.Get(identityBucket))
		if err != nil {
			return err
		}
		if stored.StorageID != s.Identity.StorageID || !slices.Equal(stored.Incarnations, s.Identity.Incarnations) {
			return ErrReplaced
		}
		return putIdentity(bucket, stored)
	})
}

// addIncarnation reads the stored identity, or creates one, and adds a number for this start to its incarnations.
func (s *Store) addIncarnation(fleet, name string, nextID func() uint64) error {
	return s.update(func(tx *bbolt.Tx) error {
		for _, bucket := range [][]byte{identityBucket, logBucket, valuesBucket} {
			if _, err := tx.CreateBucketIfNotExists(bucket); err != nil {
				return err
			}
		}
		bucket := tx.Bucket(identityBucket)
		identity := Identity{Version: formatVersion, Fleet: fleet, Name: name}
		if stored := bucket.Get(identityBucket); stored != nil {
			var err error
			if identity, err = decodeIdentity(stored); err != nil {
				return err
			}
			if err := identity.check(fleet, name); err != nil {
				return err
			}
		} else {
			identity.StorageID = nextID()
		}
		identity.Incarnations = append(identity.Incarnations, nextID())
		if surplus := len(identity.Incarnations) - maxIncarnations; surplus > 0 {
			identity.Incarnations = identity.Incarnations[surplus:]
		}
		s.Identity = identity
		return putIdentity(bucket, identity)
	})
}

// check returns an error if the directory belongs to another fleet or process, or has a later format than this build supports.
func (i Identity) check(fleet, name string) error {
	switch {
	case i.Version > formatVersion:
		return fmt.Errorf("format version %d, this build supports up to %d", i.Version, formatVersion)
	case i.Fleet != fleet:
		return fmt.Errorf("belongs to fleet %q, not to %q", i.Fleet, fleet)
	case i.Name != name:
		return fmt.Errorf("belongs to process %q, not to %q", i.Name, name)
	}
	return nil
}

func decodeIdentity(stored []byte) (Identity, error) {
	var identity Identity
	encoded, err := verifyChecksum(stored)
	if err == nil {
		err = cbor.Unmarshal(encoded, &identity)
	}
	if err != nil {
		return Identity{}, fmt.Errorf("identity: %w", err)
	}
	return identity, nil
}

func putIdentity(bucket *bbolt.Bucket, identity Identity) error {
	encoded, err := cbor.Marshal(identity)
	if err != nil {
		return err
	}
	return bucket.Put(identityBucket, addChecksum(encoded))
}
