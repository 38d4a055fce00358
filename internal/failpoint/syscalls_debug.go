//go:build debug

package failpoint

import "sync"

var (
	syscallErrors sync.Map // by name: func() error
	syscallLimits sync.Map // by name: int
)

// SetError has the system call at a point fail with the error that f returns, unless that is nil, until restore is called.
func SetError(name string, f func() error) (restore func()) {
	syscallErrors.Store(name, f)
	return func() { syscallErrors.Delete(name) }
}

// Error marks a system call that a test may have fail. It returns the error, or nil if the call is to be made.
func Error(name string) error {
	if f, ok := syscallErrors.Load(name); ok {
		return f.(func() error)()
	}
	return nil
}

// SetLimit has the read or write at a point take at most this many bytes, until restore is called.
func SetLimit(name string, limit int) (restore func()) {
	syscallLimits.Store(name, limit)
	return func() { syscallLimits.Delete(name) }
}

// Limit marks a read or write that a test may have cut short. It returns how many of n bytes the call is to take.
func Limit(name string, n int) int {
	if limit, ok := syscallLimits.Load(name); ok {
		return min(n, limit.(int))
	}
	return n
}
