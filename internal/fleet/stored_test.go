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

// recordedStoreDir has files that the program of commit dd13dd4 wrote. Later builds must read them as long as such files may exist on disks.
const recordedStoreDir = "testdata/stored-dd13dd4"

// copyRecordedStore copies the recorded store of a router to a temporary directory.
func copyRecordedStore(t *testing.T) *PolicyStore {
	t.Helper()
	store := &PolicyStore{Dir: t.TempDir(), Fleet: "lab"}
	for _, name := range []string{"policy", "policy.before"} {
		text, err := os.ReadFile(filepath.Join(recordedStoreDir, name))
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(filepath.Join(store.Dir, name), text, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return store
}

// compareGolden compares a text with a golden file.
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

// describeStored formats a version and its document.
func describeStored(v policy.Version, d policy.Document) string {
	out := &strings.Builder{}
	fmt.Fprintf(out, "version %d.%d hash %x base %s size %d author %q reason %q\n", v.Epoch, v.Number, v.Hash, policy.FormatPacked(v.Base), v.Size, v.Author,
		v.Reason)
	for _, field := range slices.Sorted(maps.Keys(d)) {
		fmt.Fprintf(out, "  field %s = %s\n", field, d[field])
	}
	return out.String()
}

// loadStored loads the version in a store and formats it.
func loadStored(t *testing.T, store *PolicyStore) string {
	t.Helper()
	version, document, err := store.Load()
	if err != nil {
		t.Fatal(err)
	}
	return describeStored(version, document)
}

// Both files of a store that an earlier build wrote can be loaded.
func TestStoredPolicy_IsLoaded(t *testing.T) {
	store := copyRecordedStore(t)
	both := loadStored(t, store)
	if err := os.Remove(filepath.Join(store.Dir, "policy")); err != nil {
		t.Fatal(err)
	}
	both += loadStored(t, store)
	compareGolden(t, filepath.Join(recordedStoreDir, "loaded.golden"), both)
}

// A loaded policy is saved in the format in which it was recorded: under the same name, with the same length, and with the same result when
// it is loaded again.
func TestStoredPolicy_KeepsFormat(t *testing.T) {
	recorded := copyRecordedStore(t)
	want, err := os.ReadFile(filepath.Join(recorded.Dir, "policy"))
	if err != nil {
		t.Fatal(err)
	}
	version, document, err := recorded.Load()
	if err != nil {
		t.Fatal(err)
	}
	saved := &PolicyStore{Dir: t.TempDir(), Fleet: "lab"}
	if err := saved.Save(version, document); err != nil {
		t.Fatal(err)
	}
	got, err := os.ReadFile(filepath.Join(saved.Dir, "policy"))
	if err != nil || len(got) != len(want) { // only the length is compared: the document is a map, whose encoded order varies
		t.Errorf("got\n%x\nwant\n%x: %v", got, want, err)
	}
	if got, want := loadStored(t, saved), describeStored(version, document); got != want {
		t.Errorf("got %s, want %s", got, want)
	}
}

// A stored policy with any one byte changed is not loaded; the previous version is loaded instead.
func TestStoredPolicy_CorruptedIsNotLoaded(t *testing.T) {
	golden, err := os.ReadFile(filepath.Join(recordedStoreDir, "loaded.golden"))
	if err != nil {
		t.Fatal(err)
	}
	valid, err := os.ReadFile(filepath.Join(recordedStoreDir, "policy"))
	if err != nil {
		t.Fatal(err)
	}
	for n := range valid {
		store := copyRecordedStore(t)
		corrupted := slices.Clone(valid)
		corrupted[n] ^= 1 << (n % 8)
		if err := os.WriteFile(filepath.Join(store.Dir, "policy"), corrupted, 0o600); err != nil {
			t.Fatal(err)
		}
		if got := loadStored(t, store); !strings.HasSuffix(string(golden), "\n"+got) {
			t.Fatalf("byte %d changed: got %s", n, got)
		}
	}
}
