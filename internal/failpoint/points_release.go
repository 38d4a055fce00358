//go:build !debug

// Package failpoint provides named points at which tests inject failures. In a release build all of them do nothing.
package failpoint

import "time"

// Point does nothing.
func Point(string) {}

// Duration returns d.
func Duration(_ string, d time.Duration) time.Duration { return d }

// Hit does nothing.
func Hit(string) {}

// OperationError returns nil.
func OperationError(_, _ string) error { return nil }
