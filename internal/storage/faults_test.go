package storage

import (
	"errors"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"reflect"
	"syscall"
	"testing"
	"unsafe"

	"golang.org/x/sys/unix"
)

// fault is one operation of a commit that fails: its at-th write, or one of its two syncs.
type fault struct {
	kind    faultKind
	err     error
	at      int
	dropped bool // of a sync: the kernel gives up what it couldn't write, and the file reads as before
}

type faultKind int

const (
	failedWrite faultKind = iota
	shortWrite
	failedPageSync // of all but the root
	failedRootSync
	failedGrow // or whatever comes before the first write
)

func (f fault) String() string {
	kind := [...]string{"failed write", "short write", "failed sync of pages", "failed sync of the root", "failure before a write"}[f.kind]
	return fmt.Sprintf("%s %d, %v, dropped %v", kind, f.at, f.err, f.dropped)
}

// faultyFile stands between bbolt and the file of an open store.
type faultyFile struct {
	t          *testing.T
	fault      fault
	count      int
	occurred   bool
	file       *os.File
	hook       *func([]byte, int64) (int, error) // that bbolt calls
	real       func([]byte, int64) (int, error)
	saved      int // a descriptor of the file while its own leads elsewhere
	overwrites []overwritten
}

// overwritten is what stood in the file before it was written over.
type overwritten struct {
	offset int64
	bytes  []byte
}

// inject has one fault come at the store's next commit. bbolt has no seam for it: its own for tests is not exported.
func inject(t *testing.T, store *Store, f fault) *faultyFile {
	t.Helper()
	db := reflect.ValueOf(store.db).Elem()
	file := *(**os.File)(unsafe.Pointer(db.FieldByName("file").UnsafeAddr()))
	writeAt := (*func([]byte, int64) (int, error))(unsafe.Pointer(db.FieldByName("ops").FieldByName("writeAt").UnsafeAddr()))
	faulty := &faultyFile{t: t, fault: f, file: file, hook: writeAt, real: *writeAt, saved: -1}
	*writeAt = faulty.writeAt
	if f.kind == failedGrow {
		faulty.occurred = true
		faulty.misdirect()
	}
	return faulty
}

// misdirect has the file's descriptor lead to a pipe, which can't be synced, truncated or mapped.
func (f *faultyFile) misdirect() {
	var pipe [2]int
	err := unix.Pipe2(pipe[:], unix.O_CLOEXEC)
	if err == nil {
		f.saved, err = unix.Dup(int(f.file.Fd()))
	}
	if err == nil {
		err = unix.Dup3(pipe[1], int(f.file.Fd()), unix.O_CLOEXEC)
	}
	if err != nil {
		f.t.Fatal(err)
	}
	f.closeDescriptor(pipe[0])
	f.closeDescriptor(pipe[1])
}

func (f *faultyFile) closeDescriptor(descriptor int) {
	f.t.Helper()
	if err := unix.Close(descriptor); err != nil {
		f.t.Fatal(err)
	}
}

// restore gives the descriptor back its file.
func (f *faultyFile) restore() {
	if f.saved < 0 {
		return
	}
	if err := unix.Dup3(f.saved, int(f.file.Fd()), unix.O_CLOEXEC); err != nil {
		f.t.Fatal(err)
	}
	f.closeDescriptor(f.saved)
	f.saved = -1
}

func (f *faultyFile) writeAt(b []byte, offset int64) (int, error) {
	if f.saved >= 0 { // no sync, and no growth, came before this write
		f.restore()
		f.occurred = false
	}
	f.count++
	switch f.fault.kind {
	case failedWrite:
		if f.occurred = f.count == f.fault.at; f.occurred {
			return 0, f.fault.err
		}
	case shortWrite:
		if f.occurred = f.count == f.fault.at; f.occurred {
			n, _ := f.write(b[:len(b)/2], offset)
			return n, f.fault.err
		}
	case failedPageSync, failedRootSync:
		n, err := f.write(b, offset)
		if isRoot(offset) == (f.fault.kind == failedRootSync) {
			f.occurred = true
			f.misdirect()
		}
		return n, err
	}
	return f.write(b, offset)
}

// isRoot tells whether a page is one of the two roots.
func isRoot(offset int64) bool { return offset < int64(2*os.Getpagesize()) }

func (f *faultyFile) write(b []byte, offset int64) (int, error) {
	before := make([]byte, len(b))
	n, _ := f.file.ReadAt(before, offset)
	f.overwrites = append(f.overwrites, overwritten{offset, before[:n]})
	return f.real(b, offset)
}

// finish ends the fault, as the disk is well again or the kernel has given up what it held.
func (f *faultyFile) finish() {
	*f.hook = f.real
	f.restore()
	if !f.fault.dropped || !f.occurred {
		return
	}
	for n := len(f.overwrites) - 1; n >= 0; n-- {
		if f.fault.kind == failedRootSync && !isRoot(f.overwrites[n].offset) {
			break // the pages beneath the root were synced before it was written
		}
		if _, err := f.file.WriteAt(f.overwrites[n].bytes, f.overwrites[n].offset); err != nil {
			f.t.Fatal(err)
		}
	}
}

// storeContents are what a store holds, as plain values.
type storeContents map[string]string

func read(store *Store) (storeContents, error) {
	records, values, err := store.Read()
	c := storeContents{}
	for _, r := range records {
		c[fmt.Sprint(r.Number)] = string(r.Bytes)
	}
	for name, v := range values {
		c[name] = string(v)
	}
	return c, err
}

// writeHistory is the checker: what was acknowledged must be there, and of what was attempted all or nothing.
type writeHistory struct {
	number             uint64
	acknowledged, with storeContents // with: also what was attempted last
	earlyAcknowledge   bool          // the seeded defect
}

// write stores one more batch, three records and a value that belong together, and in turn drops older ones.
func (h *writeHistory) write(store *Store) error {
	h.number++
	from := h.number * 2 // the third record of the batch before is replaced
	b := Batch{Records: records(from, from+2, fmt.Sprint("batch ", h.number, " ", string(make([]byte, 700)))), Values: map[string][]byte{"batch": fmt.Append(nil, h.number)}}
	h.with = maps.Clone(h.acknowledged)
	for _, r := range b.Records {
		h.with[fmt.Sprint(r.Number)] = string(r.Bytes)
	}
	h.with["batch"] = string(b.Values["batch"])
	if h.number%4 == 0 {
		b.CompactBelow = from - 4
		maps.DeleteFunc(h.with, func(name, _ string) bool {
			var n uint64
			_, err := fmt.Sscan(name, &n)
			return err == nil && n < b.CompactBelow
		})
	}
	if h.earlyAcknowledge {
		h.acknowledged = h.with
	}
	err := store.Write(b)
	if err == nil {
		h.acknowledged = h.with
	}
	return err
}

// check judges what is read, and goes on from it.
func (h *writeHistory) check(got storeContents) error {
	if !maps.Equal(got, h.acknowledged) && !maps.Equal(got, h.with) {
		return fmt.Errorf("batch %s is stored, acknowledged was %s; %d values", got["batch"], h.acknowledged["batch"], len(got))
	}
	h.acknowledged, h.with = got, got
	return nil
}

// checkAfterKill opens what a process that was killed at this moment has left.
func (h *writeHistory) checkAfterKill(t *testing.T, store *Store) error {
	t.Helper()
	b, err := os.ReadFile(store.path)
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, fileName), b, 0o600); err != nil {
		t.Fatal(err)
	}
	left, err := Open(dir, "f", "c1", nextID)
	if err != nil {
		return fmt.Errorf("after a kill: %w", err)
	}
	defer closeStore(t, left)
	got, err := read(left)
	if err != nil {
		return fmt.Errorf("after a kill: %w", err)
	}
	other := *h
	if err := other.check(got); err != nil {
		return fmt.Errorf("after a kill: %w", err)
	}
	return nil
}

// run has a run of as many commits fail by one fault, with a kill and an opening anew after each. occurred: it came to pass.
func (h *writeHistory) run(t *testing.T, f fault, run int) (occurred bool, err error) {
	t.Helper()
	dir := t.TempDir()
	store := openStore(t, dir)
	defer func() { closeStore(t, store) }()
	for range 5 {
		if err := h.write(store); err != nil {
			t.Fatal(err)
		}
	}
	identity := store.Identity
	for range run {
		faulty := inject(t, store, f)
		err := h.write(store)
		faulty.finish()
		if !faulty.occurred { // it took fewer writes
			if err != nil {
				return occurred, err
			}
			continue
		}
		occurred = true
		if !errors.Is(err, ErrUnavailable) {
			return true, fmt.Errorf("write: %w, want %w", err, ErrUnavailable)
		}
		if again := store.Write(Batch{}); !errors.Is(again, ErrUnavailable) {
			return true, fmt.Errorf("write to the file that failed: %w, want %w", again, ErrUnavailable)
		}
		if err := h.checkAfterKill(t, store); err != nil {
			return true, err
		}
		if err := store.Reopen(); err != nil {
			return true, err
		}
		got, err := read(store)
		if err != nil {
			return true, err
		}
		if err := h.check(got); err != nil {
			return true, err
		}
	}
	if err := h.write(store); err != nil {
		return true, err
	}
	if fmt.Sprint(store.Identity) != fmt.Sprint(identity) {
		return true, fmt.Errorf("identity %+v, was %+v", store.Identity, identity)
	}
	return occurred, h.checkAfterKill(t, store)
}

// writeFaults gives each way in which one write of a commit fails.
func writeFaults(at int) (all []fault) {
	for _, err := range []error{syscall.ENOSPC, syscall.EIO} {
		all = append(all, fault{kind: failedWrite, err: err, at: at}, fault{kind: shortWrite, err: err, at: at})
	}
	return all
}

// syncFaults gives each way in which one sync of a commit fails.
func syncFaults() (all []fault) {
	for _, kind := range []faultKind{failedPageSync, failedRootSync} {
		all = append(all, fault{kind: kind}, fault{kind: kind, dropped: true})
	}
	return all
}

// runs are how often in a row a fault comes.
var runs = []int{1, 3}

// Each write of a commit fails, once and three times in a row: what was acknowledged is there, also after a kill, no batch is there in
// part, and the store accepts writes again once it is reopened.
func TestStore_EachWriteFails(t *testing.T) {
	const fewest = 4 // pages of the records, the values and the free list, and the root
	reached := true  // some commit had as many writes
	for at := 1; reached || at <= fewest; at++ {
		reached = false
		for _, f := range writeFaults(at) {
			for _, run := range runs {
				occurred, err := (&writeHistory{acknowledged: storeContents{}}).run(t, f, run)
				if err != nil || !occurred && at <= fewest {
					t.Errorf("%v, %d in a row: occurred %v, %v", f, run, occurred, err)
				}
				reached = reached || occurred
			}
		}
	}
}

// The same holds where a sync fails, whether the kernel keeps what it couldn't write or drops it.
func TestStore_EachSyncFails(t *testing.T) {
	for _, f := range syncFaults() {
		for _, run := range runs {
			if occurred, err := (&writeHistory{acknowledged: storeContents{}}).run(t, f, run); err != nil || !occurred {
				t.Errorf("%v, %d in a row: occurred %v, %v", f, run, occurred, err)
			}
		}
	}
}

// The seeded defect, an acknowledgement before the sync, is found.
func TestStore_FindsEarlyAcknowledgement(t *testing.T) {
	for _, f := range append(writeFaults(1), syncFaults()...) {
		if f.kind == failedRootSync && !f.dropped {
			continue // all of it has come through
		}
		if _, err := (&writeHistory{acknowledged: storeContents{}, earlyAcknowledge: true}).run(t, f, 1); err == nil {
			t.Errorf("%v: not found", f)
		}
	}
}

// The same holds for a file that can't grow.
func TestStore_FailsToGrow(t *testing.T) {
	h := &writeHistory{acknowledged: storeContents{}}
	store := openStore(t, t.TempDir())
	defer func() { closeStore(t, store) }()
	failures := 0
	for range 60 {
		faulty := inject(t, store, fault{kind: failedGrow})
		err := h.write(store)
		faulty.finish()
		if err == nil {
			continue
		}
		failures++
		if !errors.Is(err, ErrUnavailable) {
			t.Fatal(err)
		}
		if err := h.checkAfterKill(t, store); err != nil {
			t.Fatal(err)
		}
		if err := store.Reopen(); err != nil {
			t.Fatal(err)
		}
		if got, err := read(store); err != nil || h.check(got) != nil {
			t.Fatal(err, h.check(got))
		}
		if err := h.write(store); err != nil {
			t.Fatal(err)
		}
	}
	if failures == 0 {
		t.Error("the file never grew")
	}
}

// Reopen rejects a directory that another process used while it was closed.
func TestReopen_RejectsDirectoryOfAnother(t *testing.T) {
	dir := t.TempDir()
	store := openStore(t, dir)
	write(t, store, Batch{Records: records(1, 3, "a")})
	closeStore(t, store)
	closeStore(t, openStore(t, dir))
	if err := store.Reopen(); !errors.Is(err, ErrReplaced) {
		t.Errorf("after another start: %v", err)
	}
	if _, _, err := store.Read(); !errors.Is(err, ErrUnavailable) {
		t.Errorf("read of a closed one: %v", err)
	}
	other := openStore(t, dir)
	if err := store.Reopen(); !errors.Is(err, ErrInUse) {
		t.Errorf("while another has it: %v", err)
	}
	closeStore(t, other)
	if err := os.Remove(filepath.Join(dir, fileName)); err != nil {
		t.Fatal(err)
	}
	if err := store.Reopen(); !errors.Is(err, ErrReplaced) {
		t.Errorf("after the directory was lost: %v", err)
	}
}
