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

// failingStores makes the data directories of a test's nodes fail, each for as long as the test wants.
type failingStores struct {
	mu       sync.Mutex
	failing  map[string]error // by node
	attempts map[string]int   // that have failed, by node
	changed  chan struct{}    // closed when an attempt has failed
}

func newFailingStores() *failingStores {
	return &failingStores{failing: map[string]error{}, attempts: map[string]int{}, changed: make(chan struct{})}
}

// failStores makes operations of the data directories fail at these failpoints.
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

// set makes the data directories of nodes fail with an error; nil: they work again.
func (d *failingStores) set(err error, names ...string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, name := range names {
		d.failing[name], d.attempts[name] = err, 0
	}
}

// waitForFailures waits until operations have failed so often, at so many nodes each.
func (d *failingStores) waitForFailures(t *testing.T, nodes, times int) {
	t.Helper()
	late := time.After(testTimeout)
	for {
		d.mu.Lock()
		tried, changed := maps.Clone(d.attempts), d.changed
		d.mu.Unlock()
		reached := 0
		for _, n := range tried {
			if n >= times {
				reached++
			}
		}
		if reached >= nodes {
			return
		}
		select {
		case <-changed:
		case <-late:
			t.Fatalf("%v operations failed, not %d at %d nodes", tried, times, nodes)
		}
	}
}
