package server

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"strings"

	"golang.org/x/sys/unix"
)

// memoryRange is a range of addresses of this process.
type memoryRange struct{ start, end uintptr }

// releaseProgramPages takes the program's own code and constants out of this process's resident memory. Starting touches many pages, of all
// that is linked into the program, that serving does not need; those that it does need are mapped again as they are used. A failure leaves
// the pages resident and is ignored.
func releaseProgramPages() {
	program, err := os.Readlink("/proc/self/exe")
	if err != nil {
		return
	}
	maps, err := os.Open("/proc/self/smaps")
	if err != nil {
		return
	}
	defer func() { _ = maps.Close() }() // read only
	for _, pages := range unmodifiedMappings(maps, program) {
		_, _, _ = unix.Syscall(unix.SYS_MADVISE, pages.start, pages.end-pages.start, unix.MADV_DONTNEED)
	}
}

// unmodifiedMappings returns the read-only mappings of the program's file in a listing in the format of /proc/self/smaps. A mapping of which
// the dynamic linker has changed a page before it made it read-only is left out: the change would be lost with the page.
func unmodifiedMappings(smaps io.Reader, program string) (unmodified []memoryRange) {
	var mapping memoryRange // the current one, if it is of interest
	for lines := bufio.NewScanner(smaps); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		switch {
		case len(fields) == 0:
		case !strings.HasSuffix(fields[0], ":"): // the first line of a mapping
			mapping = readOnlyMapping(fields, program)
		case fields[0] == "Anonymous:" && mapping.end > mapping.start && fields[1] == "0":
			unmodified = append(unmodified, mapping)
		}
	}
	return unmodified
}

// readOnlyMapping parses the first line of a mapping: its addresses, permissions, offset, device, inode and path. It returns an empty range
// unless it is a read-only private mapping of the program's file.
func readOnlyMapping(fields []string, program string) (mapping memoryRange) {
	const pathField = 5
	if len(fields) <= pathField || fields[pathField] != program || fields[1] != "r-xp" && fields[1] != "r--p" {
		return memoryRange{}
	}
	if _, err := fmt.Sscanf(fields[0], "%x-%x", &mapping.start, &mapping.end); err != nil {
		return memoryRange{}
	}
	return mapping
}
