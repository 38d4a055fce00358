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

func testVersion(number uint64, d policy.Document) policy.Version {
	return policy.Version{Epoch: 5, Number: number, Hash: d.Hash(), Size: len(d.Encode()), Author: "ann", Reason: "more room"}
}

func saveVersions(t *testing.T, f *PolicyStore, numbers ...uint64) {
	t.Helper()
	for _, n := range numbers {
		d := policy.Document{"tenants.acme.rate": fmt.Sprint(n)}
		if err := f.Save(testVersion(n, d), d); err != nil {
			t.Fatal(err)
		}
	}
}

// requireLoaded wants what was saved under a number; 0: nothing.
func requireLoaded(t *testing.T, f *PolicyStore, want uint64) {
	t.Helper()
	v, d, err := f.Load()
	if err != nil || v.Number != want || want > 0 && !maps.Equal(d, policy.Document{"tenants.acme.rate": fmt.Sprint(want)}) {
		t.Errorf("got %v, %v, %v; want number %d", v, d, err, want)
	}
}

// What was saved last is there at the next start; the one before stands in where a file is wrong, whatever is wrong with it,
// and a wrong one is set aside.
func TestPolicyStore_LoadsTheLatestSoundGeneration(t *testing.T) {
	f := &PolicyStore{Dir: filepath.Join(t.TempDir(), "deep", "er"), Fleet: "lab"}
	requireLoaded(t, f, 0)
	saveVersions(t, f, 1)
	requireLoaded(t, f, 1)
	saveVersions(t, f, 2, 3)
	requireLoaded(t, f, 3)
	whole, err := os.ReadFile(f.path(latestName))
	if err != nil {
		t.Fatal(err)
	}
	if names, _ := filepath.Glob(f.path("*")); len(names) != 2 {
		t.Errorf("the folder holds %v", names)
	}
	for n := range whole { // each bit of it, some, and each length that a cut could leave
		wrong := append([]byte(nil), whole...)
		wrong[n] ^= 1 << (n % 8)
		for _, text := range [][]byte{wrong, whole[:n]} {
			if err := os.WriteFile(f.path(latestName), text, 0o600); err != nil {
				t.Fatal(err)
			}
			requireLoaded(t, f, 2)
			if _, err := os.Stat(f.path(latestName)); !errors.Is(err, os.ErrNotExist) {
				t.Fatalf("byte %d: it is still there", n)
			}
		}
	}
	saveVersions(t, f, 4)
	requireLoaded(t, f, 4)
	if err := os.WriteFile(f.path(latestName), whole[:9], 0o600); err != nil { // wrong, and nobody has noticed yet
		t.Fatal(err)
	}
	saveVersions(t, f, 5)
	if err := os.WriteFile(f.path(latestName), nil, 0o600); err != nil {
		t.Fatal(err)
	}
	requireLoaded(t, f, 2)
	for _, name := range []string{latestName, previousName} {
		if err := os.WriteFile(f.path(name), make([]byte, maxStoreBytes+5), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	requireLoaded(t, f, 0)
	saveVersions(t, f, 6)
	requireLoaded(t, &PolicyStore{Dir: f.Dir, Fleet: "other"}, 0)
	requireLoaded(t, f, 0)
}

// A process that ends between any two steps of a save leaves the version before it, or this.
func TestPolicyStore_InterruptedSave(t *testing.T) {
	f := &PolicyStore{Dir: t.TempDir(), Fleet: "lab"}
	saveVersions(t, f, 1, 2)
	if err := os.WriteFile(f.path(newName), []byte("half"), 0o600); err != nil { // while it was being written
		t.Fatal(err)
	}
	requireLoaded(t, f, 2)
	if err := os.Rename(f.path(latestName), f.path(previousName)); err != nil { // between the two renames
		t.Fatal(err)
	}
	requireLoaded(t, f, 2)
	saveVersions(t, f, 3)
	requireLoaded(t, f, 3)
}

// A folder that can't be made or written is an error, and nothing more.
func TestPolicyStore_UnwritableDirectory(t *testing.T) {
	file := filepath.Join(t.TempDir(), "file")
	if err := os.WriteFile(file, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	f := &PolicyStore{Dir: filepath.Join(file, "policy"), Fleet: "lab"}
	if err := f.Save(testVersion(1, nil), nil); err == nil {
		t.Error("saved beneath a file")
	}
	if v, _, err := f.Load(); err == nil || v.Number != 0 {
		t.Errorf("got %v, %v", v, err)
	}
	full := &PolicyStore{Dir: t.TempDir(), Fleet: "lab"}
	saveVersions(t, full, 1)
	if err := os.Symlink("/dev/full", full.path(newName)); err != nil {
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
