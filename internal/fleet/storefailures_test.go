//go:build debug

package fleet

import (
	"fmt"
	"os"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"testing"

	"wayloft/internal/decide/policy"
	"wayloft/internal/failpoint"
)

// snapshotStore returns a copy of a store, as a process that is killed now would leave it.
func snapshotStore(t *testing.T, store *PolicyStore) *PolicyStore {
	t.Helper()
	snapshot := &PolicyStore{Dir: t.TempDir(), Fleet: store.Fleet}
	names, err := filepath.Glob(store.path("*"))
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range names {
		b, err := os.ReadFile(name)
		if err == nil {
			err = os.WriteFile(snapshot.path(filepath.Base(name)), b, 0o600)
		}
		if err != nil {
			t.Fatal(err)
		}
	}
	return snapshot
}

// Each write, sync and rename of a save fails with ENOSPC or EIO, once or three times in a row. The store then has the previous version or
// the new one, also if the process is killed at that point, and the next save succeeds.
func TestPolicyStore_EachOperationFails(t *testing.T) {
	// A save syncs the file and the directory, and renames the latest file to the previous one and the new file to the latest.
	for point, operations := range map[string]int{"policy.write": 1, "policy.sync": 2, "policy.rename": 2} {
		for at := 1; at <= operations; at++ {
			for _, injected := range []error{syscall.ENOSPC, syscall.EIO} {
				for _, failures := range []int{1, 3} {
					t.Run(fmt.Sprint(point, " ", at, " ", injected, " ", failures), func(t *testing.T) {
						store := &PolicyStore{Dir: t.TempDir(), Fleet: "lab"}
						saveVersions(t, store, 1, 2)
						for range failures {
							count := 0
							restore := failpoint.SetOperationError(point, func(string) error {
								if count++; count == at {
									return injected
								}
								return nil
							})
							d := policy.Document{"tenants.acme.rate": "3"}
							err := store.Save(testVersion(3, d), d)
							restore()
							if err == nil && count >= at {
								t.Fatal("a failed save returned no error")
							}
							for _, s := range []*PolicyStore{snapshotStore(t, store), store} {
								if v, got, err := s.Load(); err != nil || v.Number < 2 || v.Number > 3 || got["tenants.acme.rate"] != fmt.Sprint(v.Number) {
									t.Fatalf("%v, %v, %v", v, got, err)
								}
							}
						}
						saveVersions(t, store, 4)
						requireLoaded(t, snapshotStore(t, store), 4)
					})
				}
			}
		}
	}
}

// A failed save is retried with a backoff until the store has the version or a later one.
func TestSavePolicy_RetriesUntilStored(t *testing.T) {
	var failing atomic.Bool
	attempted := make(chan struct{}, 100)
	defer failpoint.SetOperationError("policy.write", func(string) error {
		attempted <- struct{}{}
		if failing.Load() {
			return syscall.ENOSPC
		}
		return nil
	})()
	store := &PolicyStore{Dir: t.TempDir(), Fleet: "lab"}
	node := &Node{settings: Settings{Store: store}, mailbox: make(chan func()), stopped: make(chan struct{}), policies: &policyState{}}
	defer close(node.stopped)
	advance := func(now float64) { // as the event loop does
		node.savePolicy(now)
		if node.policies.saving {
			<-attempted
			(<-node.mailbox)()
		}
	}
	decide := func(number uint64) {
		d := policy.Document{"tenants.acme.rate": fmt.Sprint(number)}
		node.policies.toSave = &policy.Decision{Version: testVersion(number, d), Document: d}
	}
	decide(1)
	advance(node.now())
	requireLoaded(t, store, 1)
	failing.Store(true)
	decide(2)
	for range 3 {
		advance(max(node.now(), node.policies.saveRetry.RetryAt()))
		if node.policies.toSave == nil || !node.policies.saveRetry.Failing() {
			t.Fatal("the save is not retried")
		}
		requireLoaded(t, store, 1)
	}
	node.savePolicy(node.policies.saveRetry.RetryAt() - 1)
	if node.policies.saving {
		t.Error("retried before the backoff ended")
	}
	decide(3) // replaces the version that could not be saved
	advance(node.policies.saveRetry.RetryAt())
	failing.Store(false)
	advance(node.policies.saveRetry.RetryAt())
	requireLoaded(t, store, 3)
	if node.policies.toSave != nil || node.policies.saveRetry.Failing() {
		t.Error("the save has not completed")
	}
}
