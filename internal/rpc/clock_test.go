package rpc

import (
	"go/ast"
	"go/parser"
	"go/token"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"golang.org/x/sys/unix"
)

// wallClockMethods are the methods of time.Time that read its wall clock, or strip its monotonic reading so that Sub and Since use the
// wall clock.
var wallClockMethods = []string{"Unix", "UnixMilli", "UnixMicro", "UnixNano", "Round", "Truncate", "UTC", "Local", "In", "Format", "AppendFormat",
	"Date", "Clock", "Hour", "Minute", "Second", "Nanosecond", "MarshalText", "MarshalBinary"}

// Session timeouts, heartbeats and safety margins are measured with Boottime or Go's monotonic clock, which steps of the wall clock don't
// affect. The packages of the coordinator and its clients read the wall clock in two places only: for the incarnation number of a client
// and for the first epoch of a cluster.
func TestWallClock_IsReadInTwoPlaces(t *testing.T) {
	want := []string{"fleet.newNode: UnixMilli", "rpc.EpochAt: Unix"}
	var got []string
	for _, dir := range []string{".", "../fleet", "../coordinator", "../decide/leaseclient", "../decide/raftnode", "../decide/lease", "../decide/leasestate"} {
		paths, err := filepath.Glob(filepath.Join(dir, "*.go"))
		if err != nil || len(paths) == 0 {
			t.Fatal(dir, err)
		}
		for _, path := range paths {
			if !strings.HasSuffix(path, "_test.go") {
				got = append(got, wallClockReads(t, path)...)
			}
		}
	}
	slices.Sort(got)
	if !slices.Equal(got, want) {
		t.Errorf("the wall clock is read by %q, want only %q", got, want)
	}
}

// wallClockReads lists the wall clock reads in a file as "package.function: method".
func wallClockReads(t *testing.T, path string) (all []string) {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	for _, declaration := range file.Decls {
		function, ok := declaration.(*ast.FuncDecl)
		if !ok {
			continue
		}
		ast.Inspect(function, func(n ast.Node) bool {
			call, ok := n.(*ast.CallExpr)
			if !ok {
				return true
			}
			if s, ok := call.Fun.(*ast.SelectorExpr); ok && slices.Contains(wallClockMethods, s.Sel.Name) {
				all = append(all, file.Name.Name+"."+function.Name.Name+": "+s.Sel.Name)
			}
			return true
		})
	}
	return all
}

// Boottime is the time since boot, which is independent of the wall clock.
func TestBoottime_IsTheTimeSinceBoot(t *testing.T) {
	readClock := func() float64 {
		var at unix.Timespec
		if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &at); err != nil {
			t.Fatal(err)
		}
		return float64(at.Nano()) / 1e6
	}
	before, got, after := readClock(), Boottime(), readClock()
	if before > got || got > after {
		t.Errorf("Boottime returned %v, want a value between %v and %v", got, before, after)
	}
}
