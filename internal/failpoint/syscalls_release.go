//go:build !debug

package failpoint

// Error returns nil.
func Error(string) error { return nil }

// Limit returns n.
func Limit(_ string, n int) int { return n }
