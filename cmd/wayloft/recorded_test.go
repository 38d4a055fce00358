package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"wayloft/internal/decide/policy"
	"wayloft/internal/fakes/recording"
	"wayloft/internal/fleetpb"
	"wayloft/internal/server"
	"wayloft/internal/settings"
)

// commandOutput returns what a command prints, followed by its error.
func commandOutput(run func(*printer) error) string {
	var text strings.Builder
	out := &printer{out: &text}
	if err := errors.Join(run(out), out.err); err != nil {
		return text.String() + "error: " + err.Error() + "\n"
	}
	return text.String()
}

func recordedState() *fleetpb.State {
	token := func(epoch, count uint64) *fleetpb.Fence { return &fleetpb.Fence{Epoch: epoch, Count: count} }
	return &fleetpb.State{Epoch: 7, Refused: 2, Leader: "c2", Address: "10.0.0.2:7000",
		Council: []*fleetpb.Peer{{Name: "c1", Address: "10.0.0.1:7000", Applied: 41, Level: true, Known: true},
			{Name: "c2", Address: "10.0.0.2:7000", Leader: true, Applied: 42, Level: true, Known: true},
			{Name: "c3", Address: "10.0.0.3:7000", Applied: 12, Known: true}, {Name: "c4", Address: "10.0.0.4:7000"}},
		State: &fleetpb.Update{Whole: true, Index: 42,
			Sessions: []*fleetpb.Session{{Name: "r1", Kind: "router", Address: "10.0.1.1:7100", Incarnation: 3, Policy: 7<<32 | 2, SilentMs: 40, Refused: 1},
				{Name: "r2", Kind: "router", Policy: 7<<32 | 1, SilentMs: 1200}, {Name: "r3", Kind: "router", Policy: 7<<32 | 1, SilentMs: 80},
				{Name: "r4", Kind: "router", Policy: 7<<32 | 1, Wont: 7<<32 | 2, Why: "no such class: a\nno such tenant: b", SilentMs: 90},
				{Name: "tool", Kind: "command", SilentMs: 10}},
			Duties: []*fleetpb.Duty{{Name: "sight/0", Holder: "r1", Fence: token(7, 3), SinceMs: 61000, Queue: []string{"r2", "r3"}},
				{Name: "handover/0", Holder: "r2", Fence: token(7, 9), SinceMs: 900, Open: &fleetpb.Wish{Number: 4, Text: "to m2"},
					Steps: []*fleetpb.Step{{Fence: token(7, 9), Text: "hold 1"}, {Fence: token(7, 9), Text: "yield 2"}}},
				{Name: "handover/1", Fence: token(7, 4), Ended: &fleetpb.Wish{Number: 2, Text: "done: m1"}},
				{Name: "sight/1", Fence: token(7, 5), Barred: token(9, 1)}}}}
}

// The output of commands for a fixed state equals the recorded text.
func TestRecordedOutput(t *testing.T) {
	s := recordedState()
	var out strings.Builder
	record := func(what string, run func(*printer) error) { fmt.Fprintf(&out, "== %s\n%s", what, commandOutput(run)) }
	record("fleet status", func(p *printer) error { printStatus(p, s); return nil })
	record("fleet status --json", func(p *printer) error { return p.json(newFleetReport(s)) })
	record("coordinator status", func(p *printer) error { printNodes(p, s); return nil })
	record("coordinator status --json", func(p *printer) error { return p.json(nodeRows(s)) })
	all := routerPolicies(s, 7<<32|2, map[string]bool{"r0": true, "r1": true})
	fmt.Fprintf(&out, "== waited for\n%s\n%s\n", missingRouters(all, 0), missingRouters(all, 9))
	for _, r := range all {
		fmt.Fprintf(&out, "%s %s %s %d %d\n", r.name, r.state, r.reason, r.version, r.silentMs)
	}
	old := policy.Document{"over_share_value": "0.2", "txn_types.a.value": "2", "tenants.acme.rate": "10"}
	next := policy.Document{"over_share_value": "0.3", "txn_types.a.value": "2", "txn_types.b.value": "1", "txn_types.a.effect": "once-only"}
	difference := policy.Diff(old, next)
	record("policy difference", func(p *printer) error {
		printDifference(p, old, difference)
		return joinViolations(difference.Validate())
	})
	for _, c := range []struct {
		name string
		run  func(*printer) error
	}{
		{"check deploy/wayloft.toml", (&checkCmd{configFlag{Config: "../../deploy/wayloft.toml"}}).Run},
		{"check deploy/fleet.toml", (&checkCmd{configFlag{Config: "../../deploy/fleet.toml"}}).Run},
		{"check of a file that is not there", (&checkCmd{configFlag{Config: "no-such-file.toml"}}).Run},
		{"policy check", (&policyCheckCmd{policyFile: policyFile{File: "../../internal/settings/testdata/keys/policy.toml"}}).Run},
	} {
		record(c.name, c.run)
	}
	recording.CompareText(t, "output.txt", out.String())
}

// structField matches the Go field name that the TOML library's errors give besides the key.
var structField = regexp.MustCompile(`struct field \S+`)

var recordedKey = regexp.MustCompile(`(?m)^(\s*#?\s*)([a-z_]+) = (.*)$`)

// The error for each key with each of several invalid values, in all shipped and test configurations, equals the recorded text.
func TestRecordedMistakes(t *testing.T) {
	dir := t.TempDir()
	var out strings.Builder
	for _, file := range []string{"deploy/wayloft.toml", "deploy/fleet.toml", "deploy/council.toml", "internal/settings/testdata/keys/router.toml",
		"internal/settings/testdata/keys/council.toml", "internal/settings/testdata/keys/policy.toml"} {
		text, err := os.ReadFile("../../" + file)
		if err != nil {
			t.Fatal(err)
		}
		lines := strings.Split(string(text), "\n")
		for n, line := range lines {
			found := recordedKey.FindStringSubmatch(line)
			if found == nil || strings.Contains(found[1], "#") {
				continue
			}
			for _, value := range []string{"-1", `"?"`, `""`, "true", "[]"} {
				lines[n] = found[2] + " = " + value
				path := filepath.Join(dir, "case.toml")
				if err := os.WriteFile(path, []byte(strings.Join(lines, "\n")), 0o600); err != nil {
					t.Fatal(err)
				}
				fmt.Fprintf(&out, "%s:%d: %s: %s\n", file, n+1, lines[n], strings.ReplaceAll(validationError(file, path), dir, ""))
			}
			lines[n] = line
		}
	}
	recording.Compare(t, "mistakes.digest", out.String())
}

// validationError returns the error of reading a variant of a file, by the reader for that kind of file.
func validationError(file, path string) string {
	var err error
	switch {
	case strings.Contains(file, "council"):
		_, err = readCoordinatorFile(path)
	case strings.Contains(file, "policy"):
		var text []byte
		if text, err = os.ReadFile(path); err == nil {
			_, err = settings.ReadPolicy(text)
		}
	default:
		_, err = server.Load(path)
	}
	return structField.ReplaceAllString(fmt.Sprint(err), "a field")
}
