package fleet

import (
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"wayloft/internal/decide/policy"
)

// What was written by the program of this commit must be read for as long as its data may be on a disk.
const recordedStoreDir = "testdata/stored-dd13dd4"

// copyRecordedStore lays a router's stored policy folder out in a temporary one.
func copyRecordedStore(t *testing.T) *PolicyStore {
	t.Helper()
	folder := &PolicyStore{Dir: t.TempDir(), Fleet: "lab"}
	for _, name := range []string{"policy", "policy.before"} {
		text, err := os.ReadFile(filepath.Join(recordedStoreDir, name))
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(filepath.Join(folder.Dir, name), text, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return folder
}

// compareGolden compares a text with the file that holds what it must be.
func compareGolden(t *testing.T, path, got string) {
	t.Helper()
	golden, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if got != string(golden) {
		t.Errorf("%s: got\n%s\nwant\n%s", path, got, golden)
	}
}

// describeStored lists a version and its document.
func describeStored(v policy.Version, d policy.Document) string {
	out := &strings.Builder{}
	fmt.Fprintf(out, "version %d.%d hash %x base %s size %d author %q reason %q\n", v.Epoch, v.Number, v.Hash, policy.FormatPacked(v.Base), v.Size, v.Author,
		v.Reason)
	for _, field := range slices.Sorted(maps.Keys(d)) {
		fmt.Fprintf(out, "  field %s = %s\n", field, d[field])
	}
	return out.String()
}

// loadStored loads what a folder holds and lists it.
func loadStored(t *testing.T, folder *PolicyStore) string {
	t.Helper()
	version, document, err := folder.Load()
	if err != nil {
		t.Fatal(err)
	}
	return describeStored(version, document)
}

// Both generations of a policy folder of the earlier program are read.
func TestStoredPolicy_IsLoaded(t *testing.T) {
	folder := copyRecordedStore(t)
	both := loadStored(t, folder)
	if err := os.Remove(filepath.Join(folder.Dir, "policy")); err != nil {
		t.Fatal(err)
	}
	both += loadStored(t, folder)
	compareGolden(t, filepath.Join(recordedStoreDir, "loaded.golden"), both)
}

// What was loaded is written in the same form: as long, under the same names, and read again.
func TestStoredPolicy_IsWrittenAsItWas(t *testing.T) {
	folder := copyRecordedStore(t)
	was, err := os.ReadFile(filepath.Join(folder.Dir, "policy"))
	if err != nil {
		t.Fatal(err)
	}
	version, document, err := folder.Load()
	if err != nil {
		t.Fatal(err)
	}
	fresh := &PolicyStore{Dir: t.TempDir(), Fleet: "lab"}
	if err := fresh.Save(version, document); err != nil {
		t.Fatal(err)
	}
	is, err := os.ReadFile(filepath.Join(fresh.Dir, "policy"))
	if err != nil || len(is) != len(was) { // the document is a map: its order is free
		t.Errorf("it is written as\n%x\nnot as\n%x: %v", is, was, err)
	}
	if got, want := loadStored(t, fresh), describeStored(version, document); got != want {
		t.Errorf("got %s, want %s", got, want)
	}
}

// A stored policy in which any one byte has changed is not loaded; the version before it is.
func TestStoredPolicy_CorruptedIsRefused(t *testing.T) {
	golden, err := os.ReadFile(filepath.Join(recordedStoreDir, "loaded.golden"))
	if err != nil {
		t.Fatal(err)
	}
	whole, err := os.ReadFile(filepath.Join(recordedStoreDir, "policy"))
	if err != nil {
		t.Fatal(err)
	}
	for n := range whole {
		folder := copyRecordedStore(t)
		damaged := slices.Clone(whole)
		damaged[n] ^= 1 << (n % 8)
		if err := os.WriteFile(filepath.Join(folder.Dir, "policy"), damaged, 0o600); err != nil {
			t.Fatal(err)
		}
		if got := loadStored(t, folder); !strings.HasSuffix(string(golden), "\n"+got) {
			t.Fatalf("byte %d has changed: got %s", n, got)
		}
	}
}
