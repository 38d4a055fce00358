package server

import (
	"fmt"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
)

// Guards against releasing pages that the dynamic linker has changed: a call through them then jumps to address 0.
func TestReleaseProgramPages_LeavesModifiedPages(t *testing.T) {
	const listing = `00400000-017b9000 r-xp 00000000 fe:00 1 /bin/program
Rss:               17072 kB
Anonymous:             0 kB
VmFlags: rd ex mr mw me
017ef000-017f0000 r--p 013df000 fe:00 1 /bin/program
Rss:                   4 kB
Anonymous:             4 kB
017f0000-0188e000 rw-p 013e0000 fe:00 1 /bin/program
Anonymous:             0 kB
0188f000-01890000 r--p 013e0000 fe:00 1 /bin/program
Anonymous:             0 kB
ffff0000-ffff1000 r-xp 00000000 fe:00 2 /lib/libc.so.6
Anonymous:             0 kB
ffff2000-ffff3000 r--p 00000000 00:00 0 [vvar]
Anonymous:             0 kB
`
	got := fmt.Sprintf("%x", unmodifiedMappings(strings.NewReader(listing), "/bin/program"))
	if want := "[{400000 17b9000} {188f000 1890000}]"; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
}

// A process goes on after its pages are released: it starts threads, which goes through the C library, and collects garbage.
func TestReleaseProgramPages_ProcessGoesOn(t *testing.T) {
	const count = 20
	for range 3 {
		releaseProgramPages()
		var threads sync.WaitGroup
		var ended atomic.Int64
		for range count {
			threads.Go(func() {
				runtime.LockOSThread() // the thread ends with the goroutine
				runtime.GC()
				ended.Add(1)
			})
		}
		threads.Wait()
		if ended.Load() != count {
			t.Errorf("%d threads ran to their end, want %d", ended.Load(), count)
		}
	}
}
