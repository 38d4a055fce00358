//go:build debug

package failpoint

import "sync"

var (
	syscallErrors sync.Map // by name: func() error
	syscallLimits sync.Map // by name: int
)

// SetError makes the system call at the named failpoint fail with the error that f returns, unless that is nil, until restore is called.
func SetError(name string, f func() error) (restore func()) {
	syscallErrors.Store(name, f)
	return func() { syscallErrors.Delete(name) }
}

// Error is the failpoint of a system call. It returns the injected error, or nil if the call is to be made.
func Error(name string) error {
	if f, ok := syscallErrors.Load(name); ok {
		return f.(func() error)()
	}
	return nil
}

// SetLimit limits the read or write at the named failpoint to this many bytes per call, until restore is called.
func SetLimit(name string, limit int) (restore func()) {
	syscallLimits.Store(name, limit)
	return func() { syscallLimits.Delete(name) }
}

// Limit is the failpoint of a read or write that a test may shorten. It returns how many of n bytes the call is to transfer.
func Limit(name string, n int) int {
	if limit, ok := syscallLimits.Load(name); ok {
		return min(n, limit.(int))
	}
	return n
}
