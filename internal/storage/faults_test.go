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

// fault is a failure of one operation of a commit: of one write, of one of its two syncs, or of growing the file.
type fault struct {
	kind        faultKind
	err         error
	writeNumber int  // of the failing write, from 1
	dropped     bool // of a sync: the kernel drops the pages that it couldn't write, and the file reads as before
}

type faultKind int

const (
	failedWrite faultKind = iota
	shortWrite
	failedPageSync // of all pages but the root
	failedRootSync
	failedGrow // growing the file, or anything else before the first write
)

func (f fault) String() string {
	kind := [...]string{"failed write", "short write", "failed sync of pages", "failed sync of the root", "failure before a write"}[f.kind]
	return fmt.Sprintf("%s %d, %v, dropped %v", kind, f.writeNumber, f.err, f.dropped)
}

// faultyFile intercepts the writes of bbolt to the file of an open store.
type faultyFile struct {
	t          *testing.T
	fault      fault
	count      int
	occurred   bool
	file       *os.File
	hook       *func([]byte, int64) (int, error) // called by bbolt to write
	original   func([]byte, int64) (int, error)  // the hook before the injection
	savedFD    int                               // a descriptor of the file while the file's own is redirected, else -1
	overwrites []overwritten
}

// overwritten is the content of a part of the file before a write replaced it.
type overwritten struct {
	offset int64
	bytes  []byte
}

// inject makes the store's next commit fail with one fault. It sets unexported fields of bbolt: bbolt exports no hook for its writes.
func inject(t *testing.T, store *Store, f fault) *faultyFile {
	t.Helper()
	db := reflect.ValueOf(store.db).Elem()
	file := *(**os.File)(unsafe.Pointer(db.FieldByName("file").UnsafeAddr()))
	writeAt := (*func([]byte, int64) (int, error))(unsafe.Pointer(db.FieldByName("ops").FieldByName("writeAt").UnsafeAddr()))
	faulty := &faultyFile{t: t, fault: f, file: file, hook: writeAt, original: *writeAt, savedFD: -1}
	*writeAt = faulty.writeAt
	if f.kind == failedGrow {
		faulty.occurred = true
		faulty.redirectToPipe()
	}
	return faulty
}

// redirectToPipe makes the file's descriptor refer to a pipe, which can't be synced, truncated or mapped.
func (f *faultyFile) redirectToPipe() {
	var pipe [2]int
	err := unix.Pipe2(pipe[:], unix.O_CLOEXEC)
	if err == nil {
		f.savedFD, err = unix.Dup(int(f.file.Fd()))
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

// restore makes the descriptor refer to the file again.
func (f *faultyFile) restore() {
	if f.savedFD < 0 {
		return
	}
	if err := unix.Dup3(f.savedFD, int(f.file.Fd()), unix.O_CLOEXEC); err != nil {
		f.t.Fatal(err)
	}
	f.closeDescriptor(f.savedFD)
	f.savedFD = -1
}

func (f *faultyFile) writeAt(b []byte, offset int64) (int, error) {
	if f.savedFD >= 0 { // the file was neither synced nor grown before this write
		f.restore()
		f.occurred = false
	}
	f.count++
	switch f.fault.kind {
	case failedWrite:
		if f.occurred = f.count == f.fault.writeNumber; f.occurred {
			return 0, f.fault.err
		}
	case shortWrite:
		if f.occurred = f.count == f.fault.writeNumber; f.occurred {
			n, _ := f.write(b[:len(b)/2], offset)
			return n, f.fault.err
		}
	case failedPageSync, failedRootSync:
		n, err := f.write(b, offset)
		if isRoot(offset) == (f.fault.kind == failedRootSync) {
			f.occurred = true
			f.redirectToPipe()
		}
		return n, err
	}
	return f.write(b, offset)
}

// isRoot reports whether the page at this offset is one of the two root pages.
func isRoot(offset int64) bool { return offset < int64(2*os.Getpagesize()) }

func (f *faultyFile) write(b []byte, offset int64) (int, error) {
	before := make([]byte, len(b))
	n, _ := f.file.ReadAt(before, offset)
	f.overwrites = append(f.overwrites, overwritten{offset, before[:n]})
	return f.original(b, offset)
}

// finish ends the fault. If the kernel is to drop the pages that it couldn't write, it restores their earlier content in the file.
func (f *faultyFile) finish() {
	*f.hook = f.original
	f.restore()
	if !f.fault.dropped || !f.occurred {
		return
	}
	for n := len(f.overwrites) - 1; n >= 0; n-- {
		if f.fault.kind == failedRootSync && !isRoot(f.overwrites[n].offset) {
			break // the other pages were synced before the root was written
		}
		if _, err := f.file.WriteAt(f.overwrites[n].bytes, f.overwrites[n].offset); err != nil {
			f.t.Fatal(err)
		}
	}
}

// storeContents are the records of a store, by number, and its values, by name.
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

// writeHistory writes batches and is their checker: everything acknowledged must be stored, and of the batch attempted last all or nothing.
type writeHistory struct {
	number                  uint64
	acknowledged, attempted storeContents // attempted: acknowledged, with the batch attempted last
	earlyAcknowledge        bool          // the seeded defect
}

// write stores one more batch of three records and a value. Every fourth batch also compacts the log.
func (h *writeHistory) write(store *Store) error {
	h.number++
	from := h.number * 2 // replaces the third record of the previous batch
	b := Batch{Records: records(from, from+2, fmt.Sprint("batch ", h.number, " ", string(make([]byte, 700)))), Values: map[string][]byte{"batch": fmt.Append(nil, h.number)}}
	h.attempted = maps.Clone(h.acknowledged)
	for _, r := range b.Records {
		h.attempted[fmt.Sprint(r.Number)] = string(r.Bytes)
	}
	h.attempted["batch"] = string(b.Values["batch"])
	if h.number%4 == 0 {
		b.CompactBelow = from - 4
		maps.DeleteFunc(h.attempted, func(name, _ string) bool {
			var n uint64
			_, err := fmt.Sscan(name, &n)
			return err == nil && n < b.CompactBelow
		})
	}
	if h.earlyAcknowledge {
		h.acknowledged = h.attempted
	}
	err := store.Write(b)
	if err == nil {
		h.acknowledged = h.attempted
	}
	return err
}

// check compares what was read with the history, and then takes it as what is acknowledged.
func (h *writeHistory) check(got storeContents) error {
	if !maps.Equal(got, h.acknowledged) && !maps.Equal(got, h.attempted) {
		return fmt.Errorf("batch %s is stored, acknowledged was %s; %d values", got["batch"], h.acknowledged["batch"], len(got))
	}
	h.acknowledged, h.attempted = got, got
	return nil
}

// checkAfterKill opens and checks a copy of the file, as a process killed at this moment leaves it.
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
	reopened, err := Open(dir, "f", "c1", nextID)
	if err != nil {
		return fmt.Errorf("after a kill: %w", err)
	}
	defer closeStore(t, reopened)
	got, err := read(reopened)
	if err != nil {
		return fmt.Errorf("after a kill: %w", err)
	}
	branch := *h
	if err := branch.check(got); err != nil {
		return fmt.Errorf("after a kill: %w", err)
	}
	return nil
}

// run makes consecutive commits fail by the same fault, and checks a kill and a reopening after each. occurred reports whether the fault
// occurred at all.
func (h *writeHistory) run(t *testing.T, f fault, consecutive int) (occurred bool, err error) {
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
	for range consecutive {
		faulty := inject(t, store, f)
		err := h.write(store)
		faulty.finish()
		if !faulty.occurred { // the commit had fewer writes
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

// writeFaults returns each way in which the write of this number in a commit can fail.
func writeFaults(number int) (all []fault) {
	for _, err := range []error{syscall.ENOSPC, syscall.EIO} {
		all = append(all, fault{kind: failedWrite, err: err, writeNumber: number}, fault{kind: shortWrite, err: err, writeNumber: number})
	}
	return all
}

// syncFaults returns each way in which one sync of a commit can fail.
func syncFaults() (all []fault) {
	for _, kind := range []faultKind{failedPageSync, failedRootSync} {
		all = append(all, fault{kind: kind}, fault{kind: kind, dropped: true})
	}
	return all
}

// consecutiveFaults are the numbers of consecutive commits that a fault is tested with.
var consecutiveFaults = []int{1, 3}

// Each write of a commit fails, in one commit and in three consecutive ones. Acknowledged batches stay stored, also after a kill, no batch
// is stored partially, and the store accepts writes again once it is reopened.
func TestStore_EachWriteFails(t *testing.T) {
	const minWrites = 4 // pages of the records, the values and the free list, and the root
	reached := true     // some commit had this many writes
	for number := 1; reached || number <= minWrites; number++ {
		reached = false
		for _, f := range writeFaults(number) {
			for _, consecutive := range consecutiveFaults {
				occurred, err := (&writeHistory{acknowledged: storeContents{}}).run(t, f, consecutive)
				if err != nil || !occurred && number <= minWrites {
					t.Errorf("%v, %d consecutive commits: occurred %v, %v", f, consecutive, occurred, err)
				}
				reached = reached || occurred
			}
		}
	}
}

// The same holds when a sync fails, whether the kernel keeps the pages that it couldn't write or drops them.
func TestStore_EachSyncFails(t *testing.T) {
	for _, f := range syncFaults() {
		for _, consecutive := range consecutiveFaults {
			if occurred, err := (&writeHistory{acknowledged: storeContents{}}).run(t, f, consecutive); err != nil || !occurred {
				t.Errorf("%v, %d consecutive commits: occurred %v, %v", f, consecutive, occurred, err)
			}
		}
	}
}

// The checker finds the seeded defect, an acknowledgement before the sync.
func TestStore_FindsEarlyAcknowledgement(t *testing.T) {
	for _, f := range append(writeFaults(1), syncFaults()...) {
		if f.kind == failedRootSync && !f.dropped {
			continue // everything was written in spite of the error
		}
		if _, err := (&writeHistory{acknowledged: storeContents{}, earlyAcknowledge: true}).run(t, f, 1); err == nil {
			t.Errorf("%v: not found", f)
		}
	}
}

// The same holds when the file can't grow.
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

// Reopen rejects a directory that another process used, has open, or replaced while it was closed.
func TestReopen_RejectsUsedOrReplacedDirectory(t *testing.T) {
	dir := t.TempDir()
	store := openStore(t, dir)
	write(t, store, Batch{Records: records(1, 3, "a")})
	closeStore(t, store)
	closeStore(t, openStore(t, dir))
	if err := store.Reopen(); !errors.Is(err, ErrReplaced) {
		t.Errorf("after another start: %v", err)
	}
	if _, _, err := store.Read(); !errors.Is(err, ErrUnavailable) {
		t.Errorf("read of a closed store: %v", err)
	}
	other := openStore(t, dir)
	if err := store.Reopen(); !errors.Is(err, ErrInUse) {
		t.Errorf("while another process has it open: %v", err)
	}
	closeStore(t, other)
	if err := os.Remove(filepath.Join(dir, fileName)); err != nil {
		t.Fatal(err)
	}
	if err := store.Reopen(); !errors.Is(err, ErrReplaced) {
		t.Errorf("after the directory was lost: %v", err)
	}
}
