package fleet

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"

	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"

	"wayloft/internal/decide/policy"
	"wayloft/internal/failpoint"
)

const (
	storeFormat   = 1                              // of a file; a build that doesn't know it starts with nothing
	maxStoreBytes = policy.MaxDocumentBytes + 8192 // of a file
)

// Names in the directory.
const (
	latestName    = "policy"
	previousName  = "policy.before"
	temporaryName = "policy.new" // while it is written
	corruptSuffix = ".wrong"     // of files that were set aside
)

// PolicyStore keeps a policy in a directory of this router's own, in two generations. Each is written under another name, synced, and only
// then renamed, with a checksum over all its bytes: a process that ends at any moment, or a disk that fills up, leaves at least one as it
// was. A corrupt file is set aside and counts as none. A router
// starts with what the store holds; which version is in force it learns from the coordinator.
type PolicyStore struct {
	Dir   string
	Fleet string
}

// storedPolicy is the content of a file, after the SHA-256 of its bytes.
type storedPolicy struct {
	Format   int             `cbor:"1,keyasint"`
	Fleet    string          `cbor:"2,keyasint"`
	Version  policy.Version  `cbor:"3,keyasint"`
	Document policy.Document `cbor:"4,keyasint"`
}

// errCorrupt means that a file holds no policy of this fleet.
var errCorrupt = errors.New("corrupt policy file")

func (s *PolicyStore) path(name string) string { return filepath.Join(s.Dir, name) }

// read returns what a file holds. fs.ErrNotExist: there is none; errCorrupt: it can't be trusted.
func (s *PolicyStore) read(name string) (storedPolicy, error) {
	path := s.path(name)
	content, err := readLimited(path, maxStoreBytes+1)
	if err != nil {
		return storedPolicy{}, err
	}
	stored, err := s.decode(content)
	if err != nil {
		return storedPolicy{}, fmt.Errorf("%s: %w: %w", path, errCorrupt, err)
	}
	return stored, nil
}

// decode checks a file's content and decodes it.
func (s *PolicyStore) decode(content []byte) (stored storedPolicy, err error) {
	if len(content) <= sha256.Size || len(content) > maxStoreBytes {
		return stored, fmt.Errorf("it has %d bytes", len(content))
	}
	checksum, body := content[:sha256.Size], content[sha256.Size:]
	if sum := sha256.Sum256(body); !bytes.Equal(sum[:], checksum) {
		return stored, errors.New("checksum mismatch")
	}
	if err := cbor.Unmarshal(body, &stored); err != nil {
		return stored, err
	}
	switch {
	case stored.Format != storeFormat:
		return stored, fmt.Errorf("unknown format %d", stored.Format)
	case stored.Fleet != s.Fleet:
		return stored, fmt.Errorf("it belongs to fleet %q", stored.Fleet)
	}
	if err := errors.Join(stored.Version.Check(), stored.Document.Check()); err != nil {
		return stored, err
	}
	if stored.Document.Hash() != stored.Version.Hash {
		return stored, policy.ErrMismatch
	}
	return stored, nil
}

// readLimited returns the first bytes of a file.
func readLimited(path string, limit int64) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	content, err := io.ReadAll(io.LimitReader(file, limit))
	return content, cmp.Or(err, file.Close())
}

// Load returns the latest generation that can be trusted. An error means that the directory or a file can't be read.
func (s *PolicyStore) Load() (policy.Version, policy.Document, error) {
	var failures error
	for _, name := range []string{latestName, previousName} {
		stored, err := s.read(name)
		switch {
		case err == nil:
			return stored.Version, stored.Document, nil
		case errors.Is(err, fs.ErrNotExist):
		case errors.Is(err, errCorrupt):
			logrus.WithError(err).Warn("corrupt stored policy set aside")
			failures = errors.Join(failures, os.Rename(s.path(name), s.path(name+corruptSuffix)))
		default:
			failures = errors.Join(failures, err)
		}
	}
	return policy.Version{}, nil, failures
}

// Save keeps a version. If it fails, what was there before is there, or this.
func (s *PolicyStore) Save(version policy.Version, document policy.Document) error {
	body, err := cbor.Marshal(storedPolicy{storeFormat, s.Fleet, version, document})
	if err != nil {
		return err
	}
	if err := s.createDirectory(); err != nil {
		return err
	}
	checksum := sha256.Sum256(body)
	if err := writeSynced(s.path(temporaryName), append(checksum[:], body...)); err != nil {
		return errors.Join(err, removeIfPresent(s.path(temporaryName))) // what there is of it takes room on a disk that is full
	}
	failpoint.Point("policy.written")
	if _, err := s.read(latestName); err == nil { // else the previous one is the better one
		if err := s.rename(latestName, previousName); err != nil {
			return err
		}
	}
	failpoint.Point("policy.between")
	if err := s.rename(temporaryName, latestName); err != nil {
		return err
	}
	return syncDirectory(s.Dir)
}

func (s *PolicyStore) rename(from, to string) error {
	if err := failpoint.OperationError("policy.rename", s.path(to)); err != nil {
		return err
	}
	return os.Rename(s.path(from), s.path(to))
}

// createDirectory creates the directory if there is none, and syncs its own name.
func (s *PolicyStore) createDirectory() error {
	if _, err := os.Stat(s.Dir); err == nil {
		return nil
	}
	if err := os.MkdirAll(s.Dir, 0o700); err != nil {
		return err
	}
	return syncDirectory(filepath.Dir(s.Dir))
}

// removeIfPresent removes a file; it is no error if there is none.
func removeIfPresent(path string) error {
	if err := os.Remove(path); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	return nil
}

// syncDirectory makes the names in a directory durable.
func syncDirectory(path string) error {
	directory, err := os.Open(path)
	if err != nil {
		return err
	}
	return cmp.Or(failpoint.OperationError("policy.sync", path), directory.Sync(), directory.Close())
}

// writeSynced writes a file and returns once it is on disk.
func writeSynced(path string, content []byte) error {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	if refused := failpoint.OperationError("policy.write", path); refused != nil { // half of it is written, as where a disk is full
		content, err = content[:len(content)/2], refused
	}
	_, written := file.Write(content)
	return errors.Join(err, written, failpoint.OperationError("policy.sync", path), file.Sync(), file.Close())
}
