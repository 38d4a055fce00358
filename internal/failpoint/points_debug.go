//go:build debug

// Package failpoint marks points at which a test may interfere, to force an order of two events or a failure that could not be timed
// from outside. At some points a test calls a function in its own process, or has a system call or an operation fail. At others it
// stops or kills a process of the program, by a file in the directory that the environment variable WAYLOFT_FAULTS names. Only debug
// builds contain any of it: in a release build all points do nothing.
//
// All functions are safe for concurrent use.
package failpoint

import (
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// directoryVariable names the directory whose files are the points at which this process is to be stopped, killed or delayed.
	directoryVariable = "WAYLOFT_FAULTS"

	actionStop = "stop"
	actionKill = "kill"

	// stopDelay is how long a SIGSTOP may take to take effect: what follows it runs after the process has been continued.
	stopDelay = 100 * time.Millisecond
	// unlimited is the duration that Duration returns at a point that a test has set.
	unlimited = time.Hour
)

var (
	hooks           sync.Map // by name: func()
	operationErrors sync.Map // by name: func(string) error
)

// SetOperationError has f decide, each time that an operation of this process comes to a point, whether it fails there, until restore
// is called. f receives what the operation works on.
func SetOperationError(name string, f func(on string) error) (restore func()) {
	operationErrors.Store(name, f)
	return func() { operationErrors.Delete(name) }
}

// OperationError marks an operation that a test may have fail. It returns the error, or nil if the operation is to go on.
func OperationError(name, on string) error {
	if f, ok := operationErrors.Load(name); ok {
		return f.(func(string) error)(on)
	}
	return nil
}

// Set has f called each time that this process comes to a point, until restore is called.
func Set(name string, f func()) (restore func()) {
	hooks.Store(name, f)
	return func() { hooks.Delete(name) }
}

// Hit marks a point at which a test may run a function.
func Hit(name string) {
	if f, ok := hooks.Load(name); ok {
		f.(func())()
	}
}

// Point marks a point at which a test may stop or kill this process: it does so if the directory that WAYLOFT_FAULTS names has a file
// of this name that contains "stop" or "kill". It removes the file first, so that it happens once.
func Point(name string) {
	directory := os.Getenv(directoryVariable)
	if directory == "" {
		return
	}
	path := filepath.Join(directory, name)
	action, err := os.ReadFile(path)
	if err != nil {
		return
	}
	if os.Remove(path) != nil {
		return // another goroutine was first
	}
	switch strings.TrimSpace(string(action)) {
	case actionStop:
		_ = syscall.Kill(os.Getpid(), syscall.SIGSTOP) // a process may always signal itself
		time.Sleep(stopDelay)
	case actionKill:
		_ = syscall.Kill(os.Getpid(), syscall.SIGKILL) // a process may always signal itself
		select {}
	}
}

// Duration returns d, or an hour while the directory that WAYLOFT_FAULTS names has a file of this name: a wait of this duration then
// ends by the event that is waited for, and not by the time that a busy machine takes.
func Duration(name string, d time.Duration) time.Duration {
	directory := os.Getenv(directoryVariable)
	if directory == "" {
		return d
	}
	if _, err := os.Stat(filepath.Join(directory, name)); err != nil {
		return d
	}
	return unlimited
}
