package fleet

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"

	"wayloft/internal/decide/policy"
	"wayloft/internal/failpoint"
)

const (
	storeFormat   = 1                              // of the bytes; a build that doesn't know it begins with nothing
	maxStoreBytes = policy.MaxDocumentBytes + 8192 // bytes of one file
)

// PolicyStore keeps a policy in a folder of this router's own, in two generations: "policy", and the one before it. Each is written
// whole under another name, synced, and only then given its name, with a sum over all its bytes: a process that ends at any
// moment, or a disk that fills up, leaves at least one as it was. A file that is wrong is set aside (".wrong") and counts as
// none. It says what to begin with; what is in force the coordinator says.
type PolicyStore struct{ Dir, Fleet string }

// storedPolicy is what a file holds, after the SHA-256 of its bytes.
type storedPolicy struct {
	Format   int             `cbor:"1,keyasint"`
	Fleet    string          `cbor:"2,keyasint"`
	Version  policy.Version  `cbor:"3,keyasint"`
	Document policy.Document `cbor:"4,keyasint"`
}

func (f *PolicyStore) path(name string) string { return filepath.Join(f.Dir, name) }

const (
	latestName   = "policy"
	previousName = "policy.before"
	newName      = "policy.new"
)

// errCorrupt is of a file that holds no policy of this fleet.
var errCorrupt = errors.New("not a policy as it was written")

// read gives what a file holds. fs.ErrNotExist: there is none; errWrong: it can't be trusted.
func (f *PolicyStore) read(name string) (k storedPolicy, err error) {
	file, err := os.Open(f.path(name))
	if err != nil {
		return k, err
	}
	defer file.Close()
	b, err := io.ReadAll(io.LimitReader(file, maxStoreBytes+1))
	if err != nil {
		return k, err
	}
	if len(b) <= sha256.Size || len(b) > maxStoreBytes {
		return k, fmt.Errorf("%s: %w: %d bytes", f.path(name), errCorrupt, len(b))
	}
	if sum := sha256.Sum256(b[sha256.Size:]); !bytes.Equal(sum[:], b[:sha256.Size]) {
		return k, fmt.Errorf("%s: %w: its sum doesn't fit", f.path(name), errCorrupt)
	}
	if err := cbor.Unmarshal(b[sha256.Size:], &k); err != nil {
		return k, fmt.Errorf("%s: %w: %w", f.path(name), errCorrupt, err)
	}
	err = errors.Join(k.Version.Check(), k.Document.Check())
	switch {
	case k.Format != storeFormat:
		return k, fmt.Errorf("%s: %w: form %d", f.path(name), errCorrupt, k.Format)
	case k.Fleet != f.Fleet:
		return k, fmt.Errorf("%s: %w: it is of the fleet %q", f.path(name), errCorrupt, k.Fleet)
	case err != nil:
		return k, fmt.Errorf("%s: %w: %w", f.path(name), errCorrupt, err)
	case k.Document.Hash() != k.Version.Hash:
		return k, fmt.Errorf("%s: %w: %w", f.path(name), errCorrupt, policy.ErrMismatch)
	}
	return k, nil
}

// Load gives the latest generation that can be trusted. The error tells of a folder or file that can't be read.
func (f *PolicyStore) Load() (policy.Version, policy.Document, error) {
	var wrong error
	for _, name := range []string{latestName, previousName} {
		k, err := f.read(name)
		switch {
		case err == nil:
			return k.Version, k.Document, nil
		case errors.Is(err, os.ErrNotExist):
		case errors.Is(err, errCorrupt):
			logrus.WithError(err).Warn("a stored policy is set aside, and counts as none")
			wrong = errors.Join(wrong, os.Rename(f.path(name), f.path(name+".wrong")))
		default:
			wrong = errors.Join(wrong, err)
		}
	}
	return policy.Version{}, nil, wrong
}

// Save keeps a version. Whatever becomes of it, what was there before is there, or this.
func (f *PolicyStore) Save(v policy.Version, d policy.Document) error {
	body, err := cbor.Marshal(storedPolicy{storeFormat, f.Fleet, v, d})
	if err != nil {
		return err
	}
	if err := f.createDirectory(); err != nil {
		return err
	}
	sum := sha256.Sum256(body)
	if err := writeSynced(f.path(newName), append(sum[:], body...)); err != nil {
		os.Remove(f.path(newName)) // what there is of it takes room on a disk that is full
		return err
	}
	failpoint.Point("policy.written")
	if _, err := f.read(latestName); err == nil { // else the one before is the better one
		if err := f.rename(latestName, previousName); err != nil {
			return err
		}
	}
	failpoint.Point("policy.between")
	if err := f.rename(newName, latestName); err != nil {
		return err
	}
	return syncDir(f.Dir)
}

func (f *PolicyStore) rename(from, to string) error {
	if err := failpoint.OperationError("policy.rename", f.path(to)); err != nil {
		return err
	}
	return os.Rename(f.path(from), f.path(to))
}

// createDirectory makes the folder, and has its own name last.
func (f *PolicyStore) createDirectory() error {
	if _, err := os.Stat(f.Dir); err == nil {
		return nil
	}
	if err := os.MkdirAll(f.Dir, 0o700); err != nil {
		return err
	}
	return syncDir(filepath.Dir(f.Dir))
}

func syncDir(path string) error {
	dir, err := os.Open(path)
	if err != nil {
		return err
	}
	defer dir.Close()
	return cmp.Or(failpoint.OperationError("policy.sync", path), dir.Sync())
}

func writeSynced(path string, b []byte) error {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	if refused := failpoint.OperationError("policy.write", path); refused != nil { // half of it is there, as where a disk is full
		b, err = b[:len(b)/2], refused
	}
	_, written := file.Write(b)
	return errors.Join(err, written, failpoint.OperationError("policy.sync", path), file.Sync(), file.Close())
}
