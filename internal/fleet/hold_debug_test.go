//go:build debug

package fleet_test

import (
	"sync"

	"wayloft/internal/failpoint"
)

// holdUpdates delays the watch updates of all nodes in this process until release is called.
func holdUpdates() (release func()) {
	released := make(chan struct{})
	clearPoint := failpoint.SetHook("fleet.updated", func() { <-released })
	return sync.OnceFunc(func() {
		clearPoint()
		close(released)
	})
}
