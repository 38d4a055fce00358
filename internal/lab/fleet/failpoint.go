package fleet

import (
	"errors"
	"os"
	"path/filepath"
)

// Actions of a failpoint, as internal/failpoint reads them from the file.
const (
	failpointStop    = "stop" // SIGSTOP
	failpointKill    = "kill" // SIGKILL
	failpointEndless = "endless"
)

// orderTimeoutFailpoint is where a lease holder sets the timeout of an act.
const orderTimeoutFailpoint = "order.ends"

func (f *Fleet) failpointPath(name, point string) string {
	return filepath.Join(f.Dir, failpointDirectory, name, point)
}

// SetFailpoint has a process stop or kill itself the next time it reaches a failpoint.
func (f *Fleet) SetFailpoint(name, point, action string) error {
	path := f.failpointPath(name, point)
	if err := os.MkdirAll(filepath.Dir(path), directoryMode); err != nil {
		return err
	}
	// A process that reaches the point between the creation of the file and the write of its content would remove it and do nothing.
	complete := filepath.Join(filepath.Dir(path), "."+point)
	if err := os.WriteFile(complete, []byte(action), fileMode); err != nil {
		return err
	}
	return os.Rename(complete, path)
}

// FailpointHit tells whether a failpoint that was set has been reached, or was cleared.
func (f *Fleet) FailpointHit(name, point string) bool {
	_, err := os.Stat(f.failpointPath(name, point))
	return errors.Is(err, os.ErrNotExist)
}

// clearFailpoint clears a failpoint; false: the process has reached it before.
func (f *Fleet) clearFailpoint(name, point string) (cleared bool, err error) {
	err = os.Remove(f.failpointPath(name, point))
	if errors.Is(err, os.ErrNotExist) {
		return false, nil
	}
	return err == nil, err
}
