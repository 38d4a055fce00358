//go:build debug

package failpoint

import "sync"

var (
	failing  sync.Map // by name: func() error
	limiting sync.Map // by name: int
)

// SetError has the system call at a point fail with what f gives, where that is not nil, until the function that it gives back
// is called.
func SetError(name string, f func() error) (clear func()) {
	failing.Store(name, f)
	return func() { failing.Delete(name) }
}

// Error is such a point: the error with which the call that follows fails, or nil where it is to be made.
func Error(name string) error {
	if f, set := failing.Load(name); set {
		return f.(func() error)()
	}
	return nil
}

// SetLimit has a read or write at a point take this many bytes at most, until the function that it gives back is called.
func SetLimit(name string, most int) (clear func()) {
	limiting.Store(name, most)
	return func() { limiting.Delete(name) }
}

// Limit is such a point: how many of n bytes the call that follows takes.
func Limit(name string, n int) int {
	if most, set := limiting.Load(name); set {
		return min(n, most.(int))
	}
	return n
}
