package fleet

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
)

// labFleet is a `wayloft lab fleet` process started by a test.
type labFleet struct {
	command *exec.Cmd
	lines   *bufio.Scanner
}

// startLabFleet starts `wayloft lab fleet`, which is killed at the end of the test if it still runs.
func startLabFleet(t *testing.T, binary string, arguments ...string) *labFleet {
	t.Helper()
	acquireFleetSlot(t)
	command := exec.Command(binary, append([]string{"lab", "fleet"}, arguments...)...)
	output, err := command.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := command.Process.Kill(); err != nil && !errors.Is(err, os.ErrProcessDone) {
			t.Error(err)
		}
	})
	return &labFleet{command: command, lines: bufio.NewScanner(output)}
}

// readUntilReady reads the output up to the line "ready" and returns the lines before it.
func (l *labFleet) readUntilReady(t *testing.T) (lines []string) {
	t.Helper()
	for l.lines.Scan() {
		if l.lines.Text() == "ready" {
			return lines
		}
		lines = append(lines, l.lines.Text())
	}
	t.Fatalf("it ended before it was ready: %q, %v", lines, l.lines.Err())
	return nil
}

// interrupt sends SIGINT to the process and waits for its end.
func (l *labFleet) interrupt(t *testing.T) {
	t.Helper()
	if err := l.command.Process.Signal(os.Interrupt); err != nil {
		t.Error(err)
	}
	if err := l.command.Wait(); err != nil {
		t.Error(err)
	}
}

// printedProcess is a process in the output of `wayloft lab fleet`.
type printedProcess struct {
	kind    string
	number  int
	address string
	pid     int
}

func parseProcessLine(t *testing.T, line string) (p printedProcess) {
	t.Helper()
	if _, err := fmt.Sscanf(line, "%s %d %s pid %d", &p.kind, &p.number, &p.address, &p.pid); err != nil {
		t.Fatalf("%q: %v", line, err)
	}
	return p
}

// `wayloft lab fleet` prints each process with its address and pid, then "ready". `fleet status --json` has the keys that other programs read.
// SIGINT ends all processes.
func TestLabFleet_PrintsProcessesAndEndsThem(t *testing.T) {
	binary := buildProgram(t)
	lab := startLabFleet(t, binary, "--council", "3", "--routers", "2", "--members", "2")
	counts, pids, coordinator := map[string]int{}, []int{}, ""
	for _, line := range lab.readUntilReady(t) {
		p := parseProcessLine(t, line)
		counts[p.kind]++
		if p.number != counts[p.kind] || p.pid <= 0 {
			t.Fatalf("%q is %d of its kind", line, counts[p.kind])
		}
		if p.kind == coordinatorKind {
			coordinator = p.address
		}
		pids = append(pids, p.pid)
	}
	if !maps.Equal(counts, map[string]int{coordinatorKind: 3, memberKind: 2, routerKind: 2}) {
		t.Fatal(counts)
	}
	var status struct {
		Duties []struct {
			Duty, Holder string
			Fence        uint64
			Since        *uint64 `json:"since_ms"`
		}
		Sessions []struct {
			Name, Kind string
			Policy     *uint64
		}
		Council []struct {
			Name    string
			Leader  bool
			Applied uint64
		}
		Refused *int
	}
	if err := WaitUntil("both leases are held", func() (bool, error) {
		text, err := exec.Command(binary, "fleet", "status", "--json", "--council", coordinator).Output()
		if err != nil {
			return false, nil // no leader is elected yet
		}
		if err := json.Unmarshal(text, &status); err != nil {
			return false, err
		}
		return len(status.Duties) == 2 && status.Duties[0].Holder != "" && status.Duties[1].Holder != "" && len(status.Sessions) == 2, nil
	}); err != nil {
		t.Fatal(err)
	}
	if d := status.Duties[1]; d.Duty != "sight/0" || d.Fence == 0 || d.Fence >= 1<<53 || d.Since == nil || status.Refused == nil || status.Sessions[0].Policy == nil ||
		status.Sessions[0].Kind != "router" || len(status.Council) != 3 || status.Council[0].Applied == 0 {
		t.Errorf("%+v", status)
	}
	lab.interrupt(t)
	for _, pid := range pids {
		if err := syscall.Kill(pid, 0); err == nil {
			t.Errorf("process %d still runs", pid)
		}
	}
}

// An invalid policy file is rejected with the line of each mistake.
func TestLabFleet_WrongPolicy(t *testing.T) {
	binary := buildProgram(t)
	path := filepath.Join(t.TempDir(), "p.toml")
	if err := os.WriteFile(path, []byte("[[txn_types]]\nname = \"write\"\nvalue = -1\nlevel = \"none\"\n"), fileMode); err != nil {
		t.Fatal(err)
	}
	output, err := exec.Command(binary, "lab", "fleet", "--policy", path).CombinedOutput()
	if err == nil || !strings.Contains(string(output), "line 3: txn_types[0].value") || !strings.Contains(string(output), "line 4: txn_types[0].level") {
		t.Errorf("%v: %s", err, output)
	}
}

// A fleet that starts under a policy prints the path of the policy file and is ready once all routers apply the policy.
func TestLabFleet_StartsUnderPolicy(t *testing.T) {
	binary := buildProgram(t)
	path := filepath.Join(t.TempDir(), "p.toml")
	if err := os.WriteFile(path, []byte("over_share_value = 0.25\n[[txn_types]]\nname = \"write\"\nvalue = 3.5\n"), fileMode); err != nil {
		t.Fatal(err)
	}
	lab := startLabFleet(t, binary, "--council", "1", "--routers", "2", "--members", "1", "--policy", path)
	coordinator, printed := "", ""
	for _, line := range lab.readUntilReady(t) {
		if path, found := strings.CutPrefix(line, "policy "); found {
			printed = path
			continue
		}
		if p := parseProcessLine(t, line); p.kind == coordinatorKind {
			coordinator = p.address
		}
	}
	text, err := os.ReadFile(printed)
	if err != nil || !strings.Contains(string(text), "value = 3.5") {
		t.Errorf("%q, %v", text, err)
	}
	var status struct {
		Everywhere bool
		Version    string
		Fields     int
		Routers    []struct{ Name, Version, State string }
	}
	if output, err := exec.Command(binary, "policy", "status", "--json", "--council", coordinator).Output(); err != nil {
		t.Error(err)
	} else if err := json.Unmarshal(output, &status); err != nil || !status.Everywhere || status.Fields != 2 || len(status.Routers) != 2 ||
		status.Routers[0].Version != status.Version || status.Routers[0].State != "in force" {
		t.Errorf("%+v, %v", status, err)
	}
	if output, err := exec.Command(binary, "policy", "propose", printed, "--council", coordinator, "--wait", "30s").CombinedOutput(); err != nil ||
		!strings.Contains(string(output), "says the same") || !strings.Contains(string(output), "\nin force everywhere since ") {
		t.Errorf("%v: %s", err, output)
	}
	lab.interrupt(t)
}
