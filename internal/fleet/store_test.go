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

func version(number uint64, d policy.Document) policy.Version {
	return policy.Version{Epoch: 5, Number: number, Hash: d.Hash(), Size: len(d.Encode()), Author: "ann", Reason: "more room"}
}

func saved(t *testing.T, f *PolicyStore, numbers ...uint64) {
	t.Helper()
	for _, n := range numbers {
		d := policy.Document{"tenants.acme.rate": fmt.Sprint(n)}
		if err := f.Save(version(n, d), d); err != nil {
			t.Fatal(err)
		}
	}
}

// loads wants what was saved under a number; 0: nothing.
func loads(t *testing.T, f *PolicyStore, want uint64) {
	t.Helper()
	v, d, err := f.Load()
	if err != nil || v.Number != want || want > 0 && !maps.Equal(d, policy.Document{"tenants.acme.rate": fmt.Sprint(want)}) {
		t.Errorf("got %v, %v, %v; want number %d", v, d, err, want)
	}
}

// What was saved last is there at the next start; the one before stands in where a file is wrong, whatever is wrong with it,
// and a wrong one is set aside.
func TestStore(t *testing.T) {
	f := &PolicyStore{Dir: filepath.Join(t.TempDir(), "deep", "er"), Fleet: "lab"}
	loads(t, f, 0)
	saved(t, f, 1)
	loads(t, f, 1)
	saved(t, f, 2, 3)
	loads(t, f, 3)
	whole, err := os.ReadFile(f.path(latest))
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
			if err := os.WriteFile(f.path(latest), text, 0o600); err != nil {
				t.Fatal(err)
			}
			loads(t, f, 2)
			if _, err := os.Stat(f.path(latest)); !errors.Is(err, os.ErrNotExist) {
				t.Fatalf("byte %d: it is still there", n)
			}
		}
	}
	saved(t, f, 4)
	loads(t, f, 4)
	if err := os.WriteFile(f.path(latest), whole[:9], 0o600); err != nil { // wrong, and nobody has noticed yet
		t.Fatal(err)
	}
	saved(t, f, 5)
	if err := os.WriteFile(f.path(latest), nil, 0o600); err != nil {
		t.Fatal(err)
	}
	loads(t, f, 2)
	for _, name := range []string{latest, before} {
		if err := os.WriteFile(f.path(name), make([]byte, mostStore+5), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	loads(t, f, 0)
	saved(t, f, 6)
	loads(t, &PolicyStore{Dir: f.Dir, Fleet: "other"}, 0)
	loads(t, f, 0)
}

// A process that ends between any two steps of a save leaves the version before it, or this.
func TestStoreCutShort(t *testing.T) {
	f := &PolicyStore{Dir: t.TempDir(), Fleet: "lab"}
	saved(t, f, 1, 2)
	if err := os.WriteFile(f.path(begun), []byte("half"), 0o600); err != nil { // while it was being written
		t.Fatal(err)
	}
	loads(t, f, 2)
	if err := os.Rename(f.path(latest), f.path(before)); err != nil { // between the two renames
		t.Fatal(err)
	}
	loads(t, f, 2)
	saved(t, f, 3)
	loads(t, f, 3)
}

// A folder that can't be made or written is an error, and nothing more.
func TestStoreUnwritable(t *testing.T) {
	file := filepath.Join(t.TempDir(), "file")
	if err := os.WriteFile(file, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	f := &PolicyStore{Dir: filepath.Join(file, "policy"), Fleet: "lab"}
	if err := f.Save(version(1, nil), nil); err == nil {
		t.Error("saved beneath a file")
	}
	if v, _, err := f.Load(); err == nil || v.Number != 0 {
		t.Errorf("got %v, %v", v, err)
	}
	full := &PolicyStore{Dir: t.TempDir(), Fleet: "lab"}
	saved(t, full, 1)
	if err := os.Symlink("/dev/full", full.path(begun)); err != nil {
		t.Fatal(err)
	}
	d := policy.Document{"tenants.acme.rate": "9"}
	if err := full.Save(version(2, d), d); err == nil {
		t.Error("saved on a full disk")
	}
	loads(t, full, 1)
	saved(t, full, 3)
	loads(t, full, 3)
}
