//go:build debug

// Package failpoint has the points at which a test stops or kills a process from inside, where no signal from outside could be timed, and
// those at which it holds a thread of its own process, to force an order of two events. It owns the folder that names the first and the
// functions set for the second; in a release build there is none of it.
package failpoint

import (
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

var (
	here     sync.Map // by name: func()
	failures sync.Map // by name: func(string) error
)

// SetOperationError has f decide, each time an operation of this process comes to a point, whether it fails there, until the function that
// it gives back is called. f is told what the operation works on.
func SetOperationError(name string, f func(on string) error) (clear func()) {
	failures.Store(name, f)
	return func() { failures.Delete(name) }
}

// OperationError is such a point: the error with which the operation must fail, or nil.
func OperationError(name, on string) error {
	if f, set := failures.Load(name); set {
		return f.(func(string) error)(on)
	}
	return nil
}

// Set has f called at a point of this process until the function that it gives back is called.
func Set(name string, f func()) (clear func()) {
	here.Store(name, f)
	return func() { here.Delete(name) }
}

// Hit is such a point.
func Hit(name string) {
	if f, set := here.Load(name); set {
		f.(func())()
	}
}

// Point stops or kills this process if the folder that WAYLOFT_FAULTS names holds a file of this name, saying "stop" or "kill",
// once: the file is gone before it happens.
func Point(name string) {
	dir := os.Getenv("WAYLOFT_FAULTS")
	if dir == "" {
		return
	}
	path := filepath.Join(dir, name)
	b, err := os.ReadFile(path)
	if err != nil {
		return
	}
	if os.Remove(path) != nil {
		return // another thread was first
	}
	switch strings.TrimSpace(string(b)) {
	case "stop":
		syscall.Kill(os.Getpid(), syscall.SIGSTOP)
		time.Sleep(100 * time.Millisecond) // the signal takes effect meanwhile: what follows is after the wake
	case "kill":
		syscall.Kill(os.Getpid(), syscall.SIGKILL)
		select {}
	}
}

// Duration gives d, or an hour for as long as the folder that WAYLOFT_FAULTS names holds a file of this name: what is waited for then ends
// by what comes, not by the time that a busy machine takes.
func Duration(name string, d time.Duration) time.Duration {
	dir := os.Getenv("WAYLOFT_FAULTS")
	if dir == "" {
		return d
	}
	if _, err := os.Stat(filepath.Join(dir, name)); err != nil {
		return d
	}
	return time.Hour
}
