//go:build !debug

// Package failpoint has the points at which a test stops or kills a process from inside. In a release build there is none of it.
package failpoint

import "time"

// Point does nothing.
func Point(string) {}

// Duration is the span itself.
func Duration(_ string, d time.Duration) time.Duration { return d }

// Hit does nothing.
func Hit(string) {}

// OperationError is nil.
func OperationError(_, _ string) error { return nil }
