package fleet

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"
)

// maxFleets is how many fleets run at once. A fleet is some ten processes: more at once would only wait for each other.
const maxFleets = 3

var fleetSlots = make(chan struct{}, maxFleets)

// takeFleetSlot waits until the test may run a fleet, until its end.
func takeFleetSlot(t *testing.T) {
	t.Helper()
	fleetSlots <- struct{}{}
	t.Cleanup(func() { <-fleetSlots })
}

// buildOnce builds the program for all tests.
var buildOnce = sync.OnceValues(func() (string, error) {
	directory, err := os.MkdirTemp("", "wayloft-fleet-test-")
	if err != nil {
		return "", err
	}
	binary := filepath.Join(directory, "wayloft")
	output, err := exec.Command("go", "build", "-tags", "debug", "-o", binary, "wayloft/cmd/wayloft").CombinedOutput()
	if err != nil {
		err = fmt.Errorf("%w: %s", err, output)
	}
	return binary, err
})

// buildProgram gives the path of the program.
func buildProgram(t *testing.T) string {
	t.Helper()
	binary, err := buildOnce()
	if err != nil {
		t.Fatal(err)
	}
	return binary
}

func TestMain(m *testing.M) {
	status := m.Run()
	if binary, err := buildOnce(); err == nil {
		if err := os.RemoveAll(filepath.Dir(binary)); err != nil {
			fmt.Fprintln(os.Stderr, err)
		}
	}
	os.Exit(status)
}
