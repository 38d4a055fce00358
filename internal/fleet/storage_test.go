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

// copyStore gives a folder as a process that is killed now leaves it.
func copyStore(t *testing.T, f *PolicyStore) *PolicyStore {
	t.Helper()
	left := &PolicyStore{Dir: t.TempDir(), Fleet: f.Fleet}
	names, err := filepath.Glob(f.path("*"))
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range names {
		b, err := os.ReadFile(name)
		if err == nil {
			err = os.WriteFile(left.path(filepath.Base(name)), b, 0o600)
		}
		if err != nil {
			t.Fatal(err)
		}
	}
	return left
}

// Each write, sync and rename of a save fails, one time and three times in a row, with ENOSPC and EIO: the version before is
// there, or this, also after a kill in between; the next save goes through.
func TestPolicyStore_EachOperationFails(t *testing.T) {
	// Syncs are of the file and of the folder, renames to the one before and to the latest.
	for point, operations := range map[string]int{"policy.write": 1, "policy.sync": 2, "policy.rename": 2} {
		for at := 1; at <= operations; at++ {
			for _, refused := range []error{syscall.ENOSPC, syscall.EIO} {
				for _, run := range []int{1, 3} {
					t.Run(fmt.Sprint(point, " ", at, " ", refused, " ", run), func(t *testing.T) {
						f := &PolicyStore{Dir: t.TempDir(), Fleet: "lab"}
						saveVersions(t, f, 1, 2)
						for range run {
							count := 0
							clear := failpoint.SetOperationError(point, func(string) error {
								if count++; count == at {
									return refused
								}
								return nil
							})
							d := policy.Document{"tenants.acme.rate": "3"}
							err := f.Save(testVersion(3, d), d)
							clear()
							if err == nil && count >= at {
								t.Fatal("a save that failed is told as done")
							}
							for _, left := range []*PolicyStore{copyStore(t, f), f} {
								if v, got, err := left.Load(); err != nil || v.Number < 2 || v.Number > 3 || got["tenants.acme.rate"] != fmt.Sprint(v.Number) {
									t.Fatalf("%v, %v, %v", v, got, err)
								}
							}
						}
						saveVersions(t, f, 4)
						requireLoaded(t, copyStore(t, f), 4)
					})
				}
			}
		}
	}
}

// A folder that refuses is tried again until it has the version, or a later one.
func TestSavePolicy_RetriesUntilStored(t *testing.T) {
	var failing atomic.Bool
	tried := make(chan struct{}, 100)
	defer failpoint.SetOperationError("policy.write", func(string) error {
		tried <- struct{}{}
		if failing.Load() {
			return syscall.ENOSPC
		}
		return nil
	})()
	f := &PolicyStore{Dir: t.TempDir(), Fleet: "lab"}
	l := &Node{settings: Settings{Store: f}, inbox: make(chan func()), stopped: make(chan struct{}), policies: &policyState{}}
	defer close(l.stopped)
	turn := func(now float64) { // as the loop does
		l.savePolicy(now)
		if l.policies.saving {
			<-tried
			(<-l.inbox)()
		}
	}
	wants := func(number uint64) {
		d := policy.Document{"tenants.acme.rate": fmt.Sprint(number)}
		l.policies.toSave = &policy.Decision{Version: testVersion(number, d), Document: d}
	}
	wants(1)
	turn(l.now())
	requireLoaded(t, f, 1)
	failing.Store(true)
	wants(2)
	for range 3 {
		turn(max(l.now(), l.policies.saveRetry.Due()))
		if l.policies.toSave == nil || !l.policies.saveRetry.Failing() {
			t.Fatal("it is given up")
		}
		requireLoaded(t, f, 1)
	}
	l.savePolicy(l.policies.saveRetry.Due() - 1)
	if l.policies.saving {
		t.Error("tried again before its time")
	}
	wants(3) // in place of the one that waits
	turn(l.policies.saveRetry.Due())
	failing.Store(false)
	turn(l.policies.saveRetry.Due())
	requireLoaded(t, f, 3)
	if l.policies.toSave != nil || l.policies.saveRetry.Failing() {
		t.Error("it goes on")
	}
}
