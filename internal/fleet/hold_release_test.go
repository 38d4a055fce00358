//go:build !debug

package fleet_test

// holdUpdates does nothing, because a release build has no failpoints.
func holdUpdates() (release func()) { return func() {} }
