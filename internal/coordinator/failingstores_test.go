//go:build debug

package coordinator

import (
	"maps"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"wayloft/internal/failpoint"
)

// failingStores injects storage failures into the nodes of a test, individually for each node.
type failingStores struct {
	mu       sync.Mutex
	failing  map[string]error // by node name
	attempts map[string]int   // failed operations, by node name
	changed  chan struct{}    // closed at the next failed operation
}

func newFailingStores() *failingStores {
	return &failingStores{failing: map[string]error{}, attempts: map[string]int{}, changed: make(chan struct{})}
}

// failStores returns failingStores whose failures are injected at the given failpoints.
func failStores(t *testing.T, points ...string) *failingStores {
	t.Helper()
	stores := newFailingStores()
	for _, point := range points {
		t.Cleanup(failpoint.SetOperationError(point, stores.fail))
	}
	return stores
}

func (d *failingStores) fail(path string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	name := filepath.Base(filepath.Dir(path))
	err := d.failing[name]
	if err != nil {
		d.attempts[name]++
		close(d.changed)
		d.changed = make(chan struct{})
	}
	return err
}

// set makes the storage of nodes fail with err, or work again if err is nil.
func (d *failingStores) set(err error, names ...string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, name := range names {
		d.failing[name], d.attempts[name] = err, 0
	}
}

// waitForFailures waits until at least so many nodes have had at least so many failed operations each.
func (d *failingStores) waitForFailures(t *testing.T, nodes, times int) {
	t.Helper()
	timeout := time.After(testTimeout)
	for {
		d.mu.Lock()
		attempts, changed := maps.Clone(d.attempts), d.changed
		d.mu.Unlock()
		reached := 0
		for _, n := range attempts {
			if n >= times {
				reached++
			}
		}
		if reached >= nodes {
			return
		}
		select {
		case <-changed:
		case <-timeout:
			t.Fatalf("failed operations by node: %v, want %d at %d nodes", attempts, times, nodes)
		}
	}
}
