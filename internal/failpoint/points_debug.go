//go:build debug

// Package failpoint provides named points at which a test forces an order of two events, or a failure, that could not be timed from
// outside the process. At some failpoints a test runs a function in its own process, or makes a system call or an operation fail. At
// others it stops or kills a process of the program, through a file in the directory that the environment variable WAYLOFT_FAULTS names.
// Only debug builds contain failpoints: in a release build all of them do nothing.
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
	// directoryVariable names the directory whose files are named after the failpoints at which this process is stopped, killed or delayed.
	directoryVariable = "WAYLOFT_FAULTS"

	actionStop = "stop"
	actionKill = "kill"

	// stopDelay is how long a SIGSTOP may take to take effect. Waiting for it makes the code after the failpoint run only once the
	// process has been continued.
	stopDelay = 100 * time.Millisecond
	// extendedDuration is what Duration returns at a failpoint that a test has set.
	extendedDuration = time.Hour
)

var (
	hooks           sync.Map // by name: func()
	operationErrors sync.Map // by name: func(string) error
)

// SetOperationError makes the operation at the named failpoint fail with the error that f returns, unless that is nil, until restore is
// called. f is called each time this process reaches the failpoint, with the target of the operation.
func SetOperationError(name string, f func(target string) error) (restore func()) {
	operationErrors.Store(name, f)
	return func() { operationErrors.Delete(name) }
}

// OperationError is the failpoint of an operation on a target. It returns the injected error, or nil if the operation is to proceed.
func OperationError(name, target string) error {
	if f, ok := operationErrors.Load(name); ok {
		return f.(func(string) error)(target)
	}
	return nil
}

// SetHook makes each call of Hit with this name call f, until restore is called.
func SetHook(name string, f func()) (restore func()) {
	hooks.Store(name, f)
	return func() { hooks.Delete(name) }
}

// Hit is a failpoint at which a test may run a function.
func Hit(name string) {
	if f, ok := hooks.Load(name); ok {
		f.(func())()
	}
}

// Point is a failpoint at which a test may stop or kill this process. It does so if the directory that WAYLOFT_FAULTS names has a file of
// this name that contains "stop" or "kill". It removes the file first, so that the action runs once.
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
		return // another goroutine has removed it and runs the action
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

// Duration returns d, or an hour while the directory that WAYLOFT_FAULTS names has a file of this name. A wait of that length ends with
// the event that it waits for, and not with a timeout because the machine is busy.
func Duration(name string, d time.Duration) time.Duration {
	directory := os.Getenv(directoryVariable)
	if directory == "" {
		return d
	}
	if _, err := os.Stat(filepath.Join(directory, name)); err != nil {
		return d
	}
	return extendedDuration
}
