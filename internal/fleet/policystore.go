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
	storeFormat   = 1                              // format version of a file; a build that doesn't know it starts without a stored policy
	maxStoreBytes = policy.MaxDocumentBytes + 8192 // maximum file size
)

// File names in the directory.
const (
	latestName    = "policy"
	previousName  = "policy.before"
	temporaryName = "policy.new" // while a file is written
	corruptSuffix = ".wrong"     // appended to the names of corrupt files
)

// PolicyStore stores the latest two versions of a policy in a directory that no other router uses. Each file has a checksum over its content
// and is written under a temporary name, synced, and then renamed, so that at least one valid file remains if the process ends at any
// moment or the disk fills up. A corrupt file is renamed and ignored. The stored policy only serves the start of a router, which learns the
// version in force from the coordinator.
type PolicyStore struct {
	Dir   string
	Fleet string
}

// storedPolicy is the content of a file. In the file, the SHA-256 of the encoded content precedes it.
type storedPolicy struct {
	Format   int             `cbor:"1,keyasint"`
	Fleet    string          `cbor:"2,keyasint"`
	Version  policy.Version  `cbor:"3,keyasint"`
	Document policy.Document `cbor:"4,keyasint"`
}

// errCorrupt is returned for a file that holds no valid policy of this fleet.
var errCorrupt = errors.New("corrupt policy file")

func (s *PolicyStore) path(name string) string { return filepath.Join(s.Dir, name) }

// read reads and validates a file. The error is fs.ErrNotExist if there is no such file and errCorrupt if its content is invalid.
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

// decode decodes and validates the content of a file.
func (s *PolicyStore) decode(content []byte) (stored storedPolicy, err error) {
	if len(content) <= sha256.Size || len(content) > maxStoreBytes {
		return stored, fmt.Errorf("file is too short or too long: %d bytes read", len(content))
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
		return stored, fmt.Errorf("unknown file format %d", stored.Format)
	case stored.Fleet != s.Fleet:
		return stored, fmt.Errorf("file belongs to fleet %q", stored.Fleet)
	}
	if err := errors.Join(stored.Version.Check(), stored.Document.Check()); err != nil {
		return stored, err
	}
	if stored.Document.Hash() != stored.Version.Hash {
		return stored, policy.ErrMismatch
	}
	return stored, nil
}

// readLimited reads a file up to a limit in bytes.
func readLimited(path string, limit int64) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	content, err := io.ReadAll(io.LimitReader(file, limit))
	return content, cmp.Or(err, file.Close())
}

// Load returns the latest valid version. It returns an error if there is none and a file could not be read or a corrupt one not renamed.
func (s *PolicyStore) Load() (policy.Version, policy.Document, error) {
	var failures error
	for _, name := range []string{latestName, previousName} {
		stored, err := s.read(name)
		switch {
		case err == nil:
			return stored.Version, stored.Document, nil
		case errors.Is(err, fs.ErrNotExist):
		case errors.Is(err, errCorrupt):
			logrus.WithError(err).Warn("corrupt policy file; renaming it")
			failures = errors.Join(failures, os.Rename(s.path(name), s.path(name+corruptSuffix)))
		default:
			failures = errors.Join(failures, err)
		}
	}
	return policy.Version{}, nil, failures
}

// Save stores a version. If it fails, either the previous version or this one is stored.
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
		return errors.Join(err, removeIfPresent(s.path(temporaryName))) // a partial file would take up space on a full disk
	}
	failpoint.Point("policy.written")
	if _, err := s.read(latestName); err == nil { // an invalid latest file must not replace the previous one
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

// createDirectory creates the directory if it doesn't exist, and syncs its parent.
func (s *PolicyStore) createDirectory() error {
	if _, err := os.Stat(s.Dir); err == nil {
		return nil
	}
	if err := os.MkdirAll(s.Dir, 0o700); err != nil {
		return err
	}
	return syncDirectory(filepath.Dir(s.Dir))
}

// removeIfPresent removes a file. It returns no error if the file doesn't exist.
func removeIfPresent(path string) error {
	if err := os.Remove(path); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	return nil
}

// syncDirectory syncs a directory, which makes created and renamed entries durable.
func syncDirectory(path string) error {
	directory, err := os.Open(path)
	if err != nil {
		return err
	}
	return cmp.Or(failpoint.OperationError("policy.sync", path), directory.Sync(), directory.Close())
}

// writeSynced writes a file and syncs it.
func writeSynced(path string, content []byte) error {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	if injected := failpoint.OperationError("policy.write", path); injected != nil { // a partial write, as on a full disk
		content, err = content[:len(content)/2], injected
	}
	_, written := file.Write(content)
	return errors.Join(err, written, failpoint.OperationError("policy.sync", path), file.Sync(), file.Close())
}
