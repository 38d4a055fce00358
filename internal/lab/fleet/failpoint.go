package fleet

import (
	"errors"
	"os"
	"path/filepath"
)

// Actions of a failpoint, as internal/failpoint reads them from the failpoint's file.
const (
	failpointStop      = "stop"    // SIGSTOP
	failpointKill      = "kill"    // SIGKILL
	failpointNoTimeout = "endless" // for a point that sets a timeout; there, only the existence of the file matters
)

// orderTimeoutFailpoint is the failpoint at which a lease holder sets the timeout of an act.
const orderTimeoutFailpoint = "order.ends"

func (f *Fleet) failpointPath(name, point string) string {
	return filepath.Join(f.Dir, failpointDirectory, name, point)
}

// SetFailpoint makes a process perform an action the next time it reaches a failpoint.
func (f *Fleet) SetFailpoint(name, point, action string) error {
	path := f.failpointPath(name, point)
	if err := os.MkdirAll(filepath.Dir(path), directoryMode); err != nil {
		return err
	}
	// The file is written under another name and renamed: a process that reached the failpoint while the file is still empty would remove it
	// and perform no action.
	complete := filepath.Join(filepath.Dir(path), "."+point)
	if err := os.WriteFile(complete, []byte(action), fileMode); err != nil {
		return err
	}
	return os.Rename(complete, path)
}

// FailpointHit reports whether a failpoint that was set has been reached or cleared since.
func (f *Fleet) FailpointHit(name, point string) bool {
	_, err := os.Stat(f.failpointPath(name, point))
	return errors.Is(err, os.ErrNotExist)
}

// clearFailpoint clears a failpoint. It returns false if the process has already reached it.
func (f *Fleet) clearFailpoint(name, point string) (cleared bool, err error) {
	err = os.Remove(f.failpointPath(name, point))
	if errors.Is(err, os.ErrNotExist) {
		return false, nil
	}
	return err == nil, err
}
