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

// wallReadings are the methods of a time.Time that read its wall clock, or drop its monotonic one so that Sub and Since go by the wall.
var wallReadings = []string{"Unix", "UnixMilli", "UnixMicro", "UnixNano", "Round", "Truncate", "UTC", "Local", "In", "Format", "AppendFormat",
	"Date", "Clock", "Hour", "Minute", "Second", "Nanosecond", "MarshalText", "MarshalBinary"}

// Session timeouts, heartbeats and margins are spans of Boottime or of Go's monotonic clock, both of which run on where the wall clock is
// stepped. In the packages of the coordinator and its clients the wall clock is read in two places: for the number of a start, and for
// the first epoch.
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
				got = append(got, wallClockReadings(t, path)...)
			}
		}
	}
	slices.Sort(got)
	if !slices.Equal(got, want) {
		t.Errorf("the wall clock is read by %q, not by %q alone", got, want)
	}
}

// wallClockReadings names the functions of a file that read a wall clock.
func wallClockReadings(t *testing.T, path string) (all []string) {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	for _, declared := range file.Decls {
		function, is := declared.(*ast.FuncDecl)
		if !is {
			continue
		}
		ast.Inspect(function, func(n ast.Node) bool {
			call, is := n.(*ast.CallExpr)
			if !is {
				return true
			}
			if s, is := call.Fun.(*ast.SelectorExpr); is && slices.Contains(wallReadings, s.Sel.Name) {
				all = append(all, file.Name.Name+"."+function.Name.Name+": "+s.Sel.Name)
			}
			return true
		})
	}
	return all
}

// Boottime is the machine's time since its boot, which no setting of the wall clock moves.
func TestBoottime_IsTheTimeSinceBoot(t *testing.T) {
	reading := func() float64 {
		var at unix.Timespec
		if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &at); err != nil {
			t.Fatal(err)
		}
		return float64(at.Nano()) / 1e6
	}
	before, got, after := reading(), Boottime(), reading()
	if before > got || got > after {
		t.Errorf("%v lies outside of %v to %v", got, before, after)
	}
}
