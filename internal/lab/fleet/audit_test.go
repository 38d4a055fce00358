package fleet

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"wayloft/internal/audit"
	"wayloft/internal/decide/policy"
	"wayloft/internal/fleetpb"
)

// storedLogs holds audit logs written by the program at this commit. Checkers must be able to read them for as long as such logs are kept.
const storedLogs = "testdata/records-dd13dd4"

// writeAuditLog writes the audit log of a process that is not running.
func writeAuditLog(t *testing.T, f *Fleet, name, text string) {
	t.Helper()
	if err := os.WriteFile(f.auditLogPath(f.Process(name)), []byte(text), fileMode); err != nil {
		t.Fatal(err)
	}
}

// storedFleet returns a fleet whose processes have the stored audit logs. No process is started.
func storedFleet(t *testing.T) *Fleet {
	t.Helper()
	f, err := New(Options{Dir: t.TempDir(), Coordinators: 3, Routers: 2, Members: 1})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	for _, name := range []string{"c1", "c2", "c3", "r1", "r2"} {
		text, err := os.ReadFile(filepath.Join(storedLogs, name+".jsonl"))
		if err != nil {
			t.Fatal(err)
		}
		writeAuditLog(t, f, name, string(text))
	}
	return f
}

// signature returns the event of a line with its fields and their JSON types.
func signature(t *testing.T, line AuditEvent) string {
	t.Helper()
	var fields []string
	for key, value := range line {
		kind := fmt.Sprintf("%T", value)
		switch value.(type) {
		case float64:
			kind = "number"
		case bool:
			kind = "boolean"
		}
		fields = append(fields, key+" "+kind)
	}
	slices.Sort(fields)
	for _, common := range []string{"at number", "n number", "pid number", "what string", "who string"} {
		at := slices.Index(fields, common)
		if at < 0 {
			t.Errorf("%v: has no %s", line, common)
			continue
		}
		fields = slices.Delete(fields, at, at+1)
	}
	return line.Text("what") + ": " + strings.Join(fields, ", ")
}

// signatures returns the signatures of all lines of coordinator nodes and routers.
func signatures(t *testing.T, f *Fleet) map[string]bool {
	t.Helper()
	all := map[string]bool{}
	for _, p := range slices.Concat(f.ofKind(coordinatorKind), f.ofKind(routerKind)) {
		lines, err := f.AuditEvents(p.Name)
		if err != nil {
			t.Fatal(err)
		}
		for _, line := range lines {
			all[signature(t, line)] = true
		}
	}
	return all
}

// goldenSignatures returns the signatures that lines may have.
func goldenSignatures(t *testing.T) map[string]bool {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(storedLogs, "lines.golden"))
	if err != nil {
		t.Fatal(err)
	}
	all := map[string]bool{}
	for _, line := range strings.Split(strings.TrimSpace(string(text)), "\n") {
		all[line] = true
	}
	return all
}

// awaitHolder waits until a lease has a holder.
func awaitHolder(t *testing.T, f *Fleet, name string) {
	t.Helper()
	c := f.newClient()
	defer c.Close()
	if err := waitForState(c, name+" has a holder", func(state *fleetpb.State) bool {
		lease := findLease(state, name)
		return lease != nil && lease.Holder != ""
	}); err != nil {
		t.Fatal(err)
	}
}

// The checkers read stored audit logs without a violation, and find an added line that contradicts them.
func TestStoredAuditLogs_AreChecked(t *testing.T) {
	f := storedFleet(t)
	if found := CheckLeases(f, false); len(found) > 0 {
		t.Error(found)
	}
	for name, want := range map[string]int{"r1": 2, "r2": 0} {
		if n, _, err := f.CountEvents(name, "end", map[string]string{"duty": "handover/0", "text": "done: "}); err != nil || n != want {
			t.Errorf("%s ended %d switchovers, not %d: %v", name, n, want, err)
		}
	}
	golden := goldenSignatures(t)
	for line := range signatures(t, f) {
		if !golden[line] {
			t.Errorf("not in lines.golden: %s", line)
		}
	}
	file, err := os.OpenFile(f.auditLogPath(f.Process("r2")), os.O_APPEND|os.O_WRONLY, 0)
	if err != nil {
		t.Fatal(err)
	}
	_, err = file.WriteString(`{"what":"start","duty":"sight/0","fence":"96206621.3"}` + "\n")
	if err := errors.Join(err, file.Close()); err != nil {
		t.Fatal(err)
	}
	if found := CheckLeases(f, false); len(found) == 0 {
		t.Error("CheckLeases did not report two holders of one token in stored audit logs")
	}
}

// An audit log line is a JSON object with sorted keys and has a line number, the time in ms, and the process's id and name.
func TestAuditLine_KeepsItsForm(t *testing.T) {
	path := filepath.Join(t.TempDir(), "r1.jsonl")
	log, err := audit.Open(path, "r1")
	if err != nil {
		t.Fatal(err)
	}
	log.Add("taken", audit.Fields{"duty": "sight/0", "fence": "5.1"})
	log.Add("session", audit.Fields{"held": true, "incarnation": uint64(1796206621786), "why": ""})
	log.Close()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	form := regexp.MustCompile(`^\{"at":1\d{12}(\.\d+)?,"duty":"sight/0","fence":"5\.1","n":1,"pid":` + fmt.Sprint(os.Getpid()) + `,"what":"taken","who":"r1"\}
\{"at":1\d{12}(\.\d+)?,"held":true,"incarnation":1796206621786,"n":2,"pid":` + fmt.Sprint(os.Getpid()) + `,"what":"session","who":"r1","why":""\}
$`)
	if !form.Match(text) {
		t.Errorf("the lines are\n%s", text)
	}
	var line AuditEvent
	first, _, _ := strings.Cut(string(text), "\n")
	if err := json.Unmarshal([]byte(first), &line); err != nil {
		t.Fatal(err)
	}
	if at := time.UnixMilli(int64(line["at"].(float64))); time.Since(at).Abs() > time.Hour {
		t.Errorf("its time is %v", at)
	}
}

// Current processes write the events and fields of the stored audit logs, and no others than the golden file lists.
func TestAuditLogs_KeepTheirFields(t *testing.T) {
	binary := buildProgram(t)
	acquireFleetSlot(t)
	f, err := New(Options{Binary: binary, Dir: t.TempDir(), Coordinators: 3, Routers: 2, Members: 2, HealthShareInterval: 250 * time.Millisecond, Switchover: true})
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	if err := f.Start(); err != nil {
		t.Fatal(err)
	}
	path, err := f.WritePolicy("policy", policy.Document{"tenants.acme.rate": "40"})
	if err != nil {
		t.Fatal(err)
	}
	for _, command := range [][]string{
		{"policy", "propose", path, "--reason", "first", "--wait", WaitLimit.String(), "--routers", "2"},
		{"fleet", "handover", "0", "--to", "m2"},
		{"fleet", "release", "sight/0"},
	} {
		if slices.Contains(command, "release") { // of a lease for which no router has asked there is nothing to release
			awaitHolder(t, f, "sight/0")
		}
		if out, err := f.RunCommand(command...); err != nil {
			t.Fatalf("%v: %v: %s", command, err, out)
		}
	}
	golden := goldenSignatures(t)
	missing := map[string]bool{} // the stored audit logs come from the same commands
	for line := range signatures(t, storedFleet(t)) {
		missing[line] = true
	}
	if err := WaitUntil("each kind of line is written", func() (bool, error) {
		for line := range signatures(t, f) {
			delete(missing, line)
		}
		return len(missing) == 0, nil
	}); err != nil {
		t.Errorf("%v: not %q", err, slices.Sorted(maps.Keys(missing)))
	}
	for line := range signatures(t, f) {
		if !golden[line] {
			t.Errorf("not in lines.golden: %s", line)
		}
	}
}
