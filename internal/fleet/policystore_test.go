package fleet

import (
	"errors"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"testing"

	"wayloft/internal/decide/policy"
)

// testVersion returns a version with this number and document.
func testVersion(number uint64, d policy.Document) policy.Version {
	return policy.Version{Epoch: 5, Number: number, Hash: d.Hash(), Size: len(d.Encode()), Author: "ann", Reason: "more room"}
}

// saveVersions saves versions with these numbers.
func saveVersions(t *testing.T, store *PolicyStore, numbers ...uint64) {
	t.Helper()
	for _, n := range numbers {
		d := policy.Document{"tenants.acme.rate": fmt.Sprint(n)}
		if err := store.Save(testVersion(n, d), d); err != nil {
			t.Fatal(err)
		}
	}
}

// requireLoaded fails the test unless the store loads the version with this number, or no version if it is 0.
func requireLoaded(t *testing.T, store *PolicyStore, want uint64) {
	t.Helper()
	v, d, err := store.Load()
	if err != nil || v.Number != want || want > 0 && !maps.Equal(d, policy.Document{"tenants.acme.rate": fmt.Sprint(want)}) {
		t.Errorf("got %v, %v, %v; want number %d", v, d, err, want)
	}
}

// Load returns the version that was saved last. If its file is corrupt in any way, the file is renamed and the previous version is loaded.
func TestPolicyStore_LoadsTheLatestValidVersion(t *testing.T) {
	store := &PolicyStore{Dir: filepath.Join(t.TempDir(), "deep", "er"), Fleet: "lab"}
	requireLoaded(t, store, 0)
	saveVersions(t, store, 1)
	requireLoaded(t, store, 1)
	saveVersions(t, store, 2, 3)
	requireLoaded(t, store, 3)
	valid, err := os.ReadFile(store.path(latestName))
	if err != nil {
		t.Fatal(err)
	}
	if names, _ := filepath.Glob(store.path("*")); len(names) != 2 {
		t.Errorf("the directory holds %v", names)
	}
	for n := range valid { // one flipped bit in each byte, and each truncated length
		corrupted := append([]byte(nil), valid...)
		corrupted[n] ^= 1 << (n % 8)
		for _, text := range [][]byte{corrupted, valid[:n]} {
			if err := os.WriteFile(store.path(latestName), text, 0o600); err != nil {
				t.Fatal(err)
			}
			requireLoaded(t, store, 2)
			if _, err := os.Stat(store.path(latestName)); !errors.Is(err, os.ErrNotExist) {
				t.Fatalf("byte %d: the corrupt file was not renamed", n)
			}
		}
	}
	saveVersions(t, store, 4)
	requireLoaded(t, store, 4)
	if err := os.WriteFile(store.path(latestName), valid[:9], 0o600); err != nil { // corrupt, but not yet renamed by Load
		t.Fatal(err)
	}
	saveVersions(t, store, 5)
	if err := os.WriteFile(store.path(latestName), nil, 0o600); err != nil {
		t.Fatal(err)
	}
	requireLoaded(t, store, 2)
	for _, name := range []string{latestName, previousName} {
		if err := os.WriteFile(store.path(name), make([]byte, maxStoreBytes+5), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	requireLoaded(t, store, 0)
	saveVersions(t, store, 6)
	requireLoaded(t, &PolicyStore{Dir: store.Dir, Fleet: "other"}, 0)
	requireLoaded(t, store, 0)
}

// A process that ends between any two operations of a save leaves the previous version or the new one.
func TestPolicyStore_InterruptedSave(t *testing.T) {
	store := &PolicyStore{Dir: t.TempDir(), Fleet: "lab"}
	saveVersions(t, store, 1, 2)
	if err := os.WriteFile(store.path(temporaryName), []byte("half"), 0o600); err != nil { // interrupted while writing the file
		t.Fatal(err)
	}
	requireLoaded(t, store, 2)
	if err := os.Rename(store.path(latestName), store.path(previousName)); err != nil { // interrupted between the two renames
		t.Fatal(err)
	}
	requireLoaded(t, store, 2)
	saveVersions(t, store, 3)
	requireLoaded(t, store, 3)
}

// A directory that can't be created or read and a full disk are reported as errors; a version that was stored before is kept.
func TestPolicyStore_UnwritableDirectory(t *testing.T) {
	file := filepath.Join(t.TempDir(), "file")
	if err := os.WriteFile(file, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	store := &PolicyStore{Dir: filepath.Join(file, "policy"), Fleet: "lab"}
	if err := store.Save(testVersion(1, nil), nil); err == nil {
		t.Error("saved in a directory below a file")
	}
	if v, _, err := store.Load(); err == nil || v.Number != 0 {
		t.Errorf("got %v, %v", v, err)
	}
	full := &PolicyStore{Dir: t.TempDir(), Fleet: "lab"}
	saveVersions(t, full, 1)
	if err := os.Symlink("/dev/full", full.path(temporaryName)); err != nil {
		t.Fatal(err)
	}
	d := policy.Document{"tenants.acme.rate": "9"}
	if err := full.Save(testVersion(2, d), d); err == nil {
		t.Error("saved on a full disk")
	}
	requireLoaded(t, full, 1)
	saveVersions(t, full, 3)
	requireLoaded(t, full, 3)
}
