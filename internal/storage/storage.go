// Package storage keeps the durable state of one process in its data directory: a log of numbered records, named values, and the
// identity of the directory itself. It owns the database file, the lock on it and the checksums of what it holds.
//
// A write that has returned nil is on disk. The file is a bbolt database (copy on write, two root pages), so a process that is killed at
// any moment finds all of a batch or nothing of it; each record has a checksum of its own, so that a disk that changes a bit is
// noticed. The package doesn't interpret what it stores.
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
	maxIncarnations = 64                     // older ones are forgotten
)

// Names of the database's buckets. The identity is stored in the first, under the bucket's own name.
var (
	identityBucket = []byte("head")
	logBucket      = []byte("log")
	valuesBucket   = []byte("values")
)

// Identity tells whose data directory it is.
type Identity struct {
	Version   int    `cbor:"1,keyasint"` // of the format
	Fleet     string `cbor:"2,keyasint"`
	Name      string `cbor:"3,keyasint"` // of the process
	StorageID uint64 `cbor:"4,keyasint"` // drawn when the directory was created
	// Incarnations has a number drawn at each start, the latest last. Peers that remember the latest can tell that an older copy of the
	// directory was put in its place.
	Incarnations []uint64 `cbor:"5,keyasint"`
}

// Store is an open data directory. Its methods must not be called at the same time.
type Store struct {
	db       *bbolt.DB // nil: closed
	dir      string
	path     string
	writeErr error    // of the write or sync that failed; Reopen clears it
	Identity Identity // read or created by Open; must not be changed
}

var (
	// ErrInUse is returned for a data directory that another process has open.
	ErrInUse = errors.New("another process has this folder open")
	// ErrUnavailable is returned when the system refuses a write, a sync or to open a file. What was stored before is kept; whether the
	// write that failed is stored is not known. Reopen, or Open, may succeed later.
	ErrUnavailable = errors.New("storage unavailable")
	// ErrReplaced is returned by Reopen when the directory was used by another process meanwhile, or replaced by another copy.
	ErrReplaced = errors.New("the folder was replaced or used by another process meanwhile")
)

// transientErrors are the system's errors after which the disk may work again later.
var transientErrors = []error{syscall.ENOSPC, syscall.EDQUOT, syscall.EFBIG, syscall.EIO, syscall.EROFS, syscall.ENOMEM, syscall.EMFILE, syscall.ENFILE}

// classify wraps a transient error in ErrUnavailable.
func classify(err error) error {
	if slices.ContainsFunc(transientErrors, func(transient error) bool { return errors.Is(err, transient) }) {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return err
}

// Open opens a data directory, or creates one for this process of this fleet, and adds an incarnation to its identity. nextID returns a
// number that no other directory or incarnation has. A directory of another process, or of a later format, is rejected and left as it is.
// The error matches ErrInUse or ErrUnavailable where Open may succeed later.
func Open(dir, fleet, name string, nextID func() uint64) (*Store, error) {
	s := &Store{dir: dir, path: filepath.Join(dir, fileName)}
	if err := s.open(func() error { return s.addIncarnation(fleet, name, nextID) }); err != nil {
		return nil, err
	}
	return s, nil
}

// Reopen closes the directory and opens it again after a write or a sync has failed: the kernel may have dropped pages that it couldn't
// write, so neither the open file nor what is mapped of it can be trusted. The incarnation stays the same. What is read afterwards is
// durable, also what the failed write may have left, because Reopen commits once more, to the other root page and with its own syncs.
// The lock is released in between: the error is ErrReplaced if another process used the directory. After an error Reopen may be called
// again.
func (s *Store) Reopen() error {
	_ = s.Close() // the file is given up in any case
	return s.open(s.confirmIdentity)
}

// Close releases the directory. A closed Store may be closed again.
func (s *Store) Close() error {
	if s.db == nil {
		return nil
	}
	db := s.db
	s.db = nil
	return db.Close()
}

// open opens and verifies the file and has commitIdentity write the identity.
func (s *Store) open(commitIdentity func() error) (err error) {
	defer func() {
		if err != nil {
			_ = s.Close() // err tells why it is closed
			err = fmt.Errorf("%s: %w", s.path, err)
		}
	}()
	if err := failpoint.OperationError("storage.open", s.path); err != nil {
		return classify(err)
	}
	if err := os.MkdirAll(s.dir, directoryMode); err != nil {
		return classify(err)
	}
	// Guards against a file that was truncated: reading a mapped page beyond its end is a memory fault.
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if fault := recover(); fault != nil {
			err = fmt.Errorf("cut short or overwritten: %v", fault)
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

// syncDir makes the directory's entries durable: without it, a file that was just created may be lost with the machine.
func syncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return classify(err)
	}
	err = d.Sync()
	_ = d.Close() // it was open for reading alone: nothing can be lost
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return nil
}

// update commits what change does; once it has returned nil that is on disk. After a commit has failed nothing more is written to the
// file: a second sync may succeed although the kernel has dropped what the first one couldn't write.
func (s *Store) update(change func(*bbolt.Tx) error) error {
	if s.writeErr != nil || s.db == nil {
		return fmt.Errorf("%w: it must be opened again", cmp.Or(s.writeErr, ErrUnavailable))
	}
	if err := failpoint.OperationError("storage.write", s.path); err != nil {
		return s.writeFailed(err)
	}
	var changeErr error // nothing was written
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

// confirmIdentity commits the identity as it is, after checking that it is still this process's own.
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

// addIncarnation reads the identity, or creates one, and adds this start to it.
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

// check returns an error if the directory isn't that of this process, or of a format that this build doesn't know.
func (i Identity) check(fleet, name string) error {
	switch {
	case i.Version > formatVersion:
		return fmt.Errorf("version %d, this build knows %d", i.Version, formatVersion)
	case i.Fleet != fleet:
		return fmt.Errorf("of fleet %q, not of %q", i.Fleet, fleet)
	case i.Name != name:
		return fmt.Errorf("of %q, not of %q", i.Name, name)
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
		return Identity{}, fmt.Errorf("head: %w", err)
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
