//go:build !debug

package fleet_test

// holdUpdates does nothing: a release build has no failpoints.
func holdUpdates() (release func()) { return func() {} }
