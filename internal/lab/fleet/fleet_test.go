package fleet

import (
	"bufio"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
)

var (
	repeats = flag.Int("repeats", 1, "how often each script is played")
	logs    = flag.String("show", "", "logs of these processes are shown where a script fails")
	only    = flag.String("script", "", "play this one alone")
)

var few = make(chan bool, 3)

var build = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "wayloft-fleet-test-")
	if err != nil {
		return "", err
	}
	binary := filepath.Join(dir, "wayloft")
	out, err := exec.Command("go", "build", "-tags", "debug", "-o", binary, "wayloft/cmd/wayloft").CombinedOutput()
	if err != nil {
		err = fmt.Errorf("%w: %s", err, out)
	}
	return binary, err
})

func TestMain(m *testing.M) {
	code := m.Run()
	if binary, err := build(); err == nil {
		os.RemoveAll(filepath.Dir(binary))
	}
	os.Exit(code)
}

// Each script starts a fleet of processes, has it befallen by faults, and what they wrote is checked.
func TestScripts(t *testing.T) {
	binary, err := build()
	if err != nil {
		t.Fatal(err)
	}
	files, err := filepath.Glob("testdata/*.toml")
	if err != nil || len(files) == 0 {
		t.Fatal("no scripts", err)
	}
	for _, file := range files {
		name := strings.TrimSuffix(filepath.Base(file), ".toml")
		if *only != "" && *only != name {
			continue
		}
		for n := range *repeats {
			t.Run(fmt.Sprint(name, "/", n), func(t *testing.T) {
				t.Parallel()
				few <- true // a fleet is some ten processes: more at once would only wait for each other
				defer func() { <-few }()
				text, err := os.ReadFile(file)
				if err != nil {
					t.Fatal(err)
				}
				s, err := ReadScript(text)
				if err != nil {
					t.Fatal(err)
				}
				dir := t.TempDir()
				o, err := RunScenario(s, binary, dir)
				if err != nil {
					for _, log := range strings.Fields(*logs) {
						if b, err := os.ReadFile(filepath.Join(dir, "logs", log+".log")); err == nil {
							t.Logf("%s: %s", log, b[max(0, len(b)-2500):])
						}
					}
					t.Fatal(err)
				}
				t.Logf("%d acts taken, %d late ones refused, %d writes committed, %d in doubt, %.1f s", o.AcceptedActs, o.StaleActs, o.Succeeded, o.Unresolved, o.Duration.Seconds())
			})
		}
	}
}

// What a person starts tells each process with its address and pid, then that it is ready; status has the keys that programs read;
// an interrupt ends all that was started.
func TestForAPerson(t *testing.T) {
	binary, err := build()
	if err != nil {
		t.Fatal(err)
	}
	few <- true
	defer func() { <-few }()
	cmd := exec.Command(binary, "lab", "fleet", "--council", "3", "--routers", "2", "--members", "2")
	out, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	defer cmd.Process.Kill()
	lines := bufio.NewScanner(out)
	kinds, pids, council := map[string]int{}, []int{}, ""
	for lines.Scan() && lines.Text() != "ready" {
		var kind, addr string
		var n, pid int
		if _, err := fmt.Sscanf(lines.Text(), "%s %d %s pid %d", &kind, &n, &addr, &pid); err != nil || n != kinds[kind]+1 || pid <= 0 {
			t.Fatalf("%q: %v", lines.Text(), err)
		}
		if kinds[kind]++; kind == "council" {
			council = addr
		}
		pids = append(pids, pid)
	}
	if fmt.Sprint(kinds) != "map[council:3 member:2 router:2]" {
		t.Fatal(kinds)
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
	if err := WaitUntil("both duties are owned", func() (bool, error) {
		text, err := exec.Command(binary, "fleet", "status", "--json", "--council", council).Output()
		if err != nil {
			return false, nil // no leader yet
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
	cmd.Process.Signal(os.Interrupt)
	if err := cmd.Wait(); err != nil {
		t.Error(err)
	}
	for _, pid := range pids {
		if err := syscall.Kill(pid, 0); err == nil {
			t.Errorf("process %d runs on", pid)
		}
	}
}

// A fleet that begins under a policy names its file and is ready once all routers go by it; a file that is wrong starts nothing.
func TestUnderPolicy(t *testing.T) {
	binary, err := build()
	if err != nil {
		t.Fatal(err)
	}
	few <- true
	defer func() { <-few }()
	file := filepath.Join(t.TempDir(), "p.toml")
	write := func(text string) {
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write("[[txn_types]]\nname = \"write\"\nvalue = -1\nlevel = \"none\"\n")
	out, err := exec.Command(binary, "lab", "fleet", "--policy", file).CombinedOutput()
	if err == nil || !strings.Contains(string(out), "line 3: txn_types[0].value") || !strings.Contains(string(out), "line 4: txn_types[0].level") {
		t.Errorf("%v: %s", err, out)
	}
	write("over_share_value = 0.25\n[[txn_types]]\nname = \"write\"\nvalue = 3.5\n")
	cmd := exec.Command(binary, "lab", "fleet", "--council", "1", "--routers", "2", "--members", "1", "--policy", file)
	pipe, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	defer cmd.Process.Kill()
	lines, council, path := bufio.NewScanner(pipe), "", ""
	for lines.Scan() && lines.Text() != "ready" {
		var n int
		fmt.Sscanf(lines.Text(), "council %d %s", &n, &council)
		fmt.Sscanf(lines.Text(), "policy %s", &path)
	}
	text, err := os.ReadFile(path)
	if err != nil || !strings.Contains(string(text), "value = 3.5") {
		t.Errorf("%q, %v", text, err)
	}
	var status struct {
		Everywhere bool
		Version    string
		Fields     int
		Routers    []struct{ Name, Version, State string }
	}
	if out, err := exec.Command(binary, "policy", "status", "--json", "--council", council).Output(); err != nil {
		t.Error(err)
	} else if err := json.Unmarshal(out, &status); err != nil || !status.Everywhere || status.Fields != 2 || len(status.Routers) != 2 ||
		status.Routers[0].Version != status.Version || status.Routers[0].State != "in force" {
		t.Errorf("%+v, %v", status, err)
	}
	if out, err := exec.Command(binary, "policy", "propose", path, "--council", council, "--wait", "30s").CombinedOutput(); err != nil ||
		!strings.Contains(string(out), "says the same") || !strings.Contains(string(out), "\nin force everywhere since ") {
		t.Errorf("%v: %s", err, out)
	}
	cmd.Process.Signal(os.Interrupt)
	if err := cmd.Wait(); err != nil {
		t.Error(err)
	}
}
