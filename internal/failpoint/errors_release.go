//go:build !debug

package failpoint

// Error is nil.
func Error(string) error { return nil }

// Limit is n.
func Limit(_ string, n int) int { return n }
