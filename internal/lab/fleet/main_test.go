package fleet

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"
)

// maxFleets limits the fleets that run concurrently. A fleet has about ten processes, so more would only compete for the CPU.
const maxFleets = 3

var fleetSlots = make(chan struct{}, maxFleets)

// acquireFleetSlot waits for a fleet slot and holds it until the end of the test.
func acquireFleetSlot(t *testing.T) {
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

// buildProgram returns the path of the program's binary, which is built once.
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
