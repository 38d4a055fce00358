package fleet

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"wayloft/internal/fakes/pgserver"
	"wayloft/internal/lab/fleet/simulation"
)

// Each checker of records finds what it is there for, and nothing in records that are as they should be.
func TestCheckers(t *testing.T) {
	good := map[string][]string{
		"r1": {`{"what":"start","duty":"d","fence":"5.1"}`, `{"what":"stop","duty":"d","fence":"5.1"}`,
			`{"what":"taken","duty":"d","about":"g","holder":"r2","fence":"5.2"}`, `{"what":"late","duty":"d","about":"g","holder":"r1","fence":"5.1"}`},
		"r2": {`{"what":"taken","duty":"d","about":"g","holder":"r1","fence":"5.1"}`, `{"what":"start","duty":"d","fence":"5.2"}`},
		"c1": {`{"what":"duty","duty":"d","fence":"5.1","session":"r1","ended":false}`, `{"what":"duty","duty":"d","fence":"5.1","session":"r1","ended":true}`,
			`{"what":"duty","duty":"d","fence":"5.2","session":"r2","ended":false}`},
		"c2": {`{"what":"duty","duty":"d","fence":"5.1","session":"r1","ended":false}`, `{"what":"duty","duty":"d","fence":"5.2","session":"r2","ended":false}`,
			`{"what":"duty","duty":"d","fence":"5.1","session":"r1","ended":false}`}, // told again after a restart
	}
	for _, c := range []struct{ at, line, want string }{
		{"", "", ""},
		{"r1", `{"what":"taken","duty":"d","about":"g","holder":"r1","fence":"5.1"}`, "took an act of r1 for d under 5.1 after one under [5 2]"},
		{"r1", `{"what":"taken","duty":"d","about":"g","holder":"r9","fence":"5.2"}`, "is both"},
		{"r1", `{"what":"start","duty":"d","fence":"5.2"}`, "is both"},
		{"r2", `{"what":"start","duty":"d","fence":"5.1"}`, "is both"},
		{"c2", `{"what":"duty","duty":"d","fence":"5.2","session":"r3","ended":false}`, "another says"},
		{"c1", `{"what":"duty","duty":"d","fence":"4.9","session":"r3","ended":false}`, "was granted under [4 9] after"},
		{"r2", `{"what":"start","duty":"e","fence":"5.1"}` + "\n" + `{"what":"half`, ""},
		{"r2", `{"what":"half`, ""},
	} {
		f, err := New(Options{Dir: t.TempDir(), Coordinators: 2, Routers: 2, Members: 1})
		if err != nil {
			t.Fatal(err)
		}
		for name, lines := range good {
			text := strings.Join(lines, "\n") + "\n"
			if name == c.at {
				if text += c.line; !strings.HasSuffix(c.line, "half") {
					text += "\n"
				}
			}
			if err := os.WriteFile(f.record(f.procs[name]), []byte(text), 0o600); err != nil {
				t.Fatal(err)
			}
		}
		wrong := strings.Join(CheckLeases(f, false), "; ")
		if c.want == "" && wrong != "" || !strings.Contains(wrong, c.want) {
			t.Errorf("%s: %s: %q, want %q", c.at, c.line, wrong, c.want)
		}
		f.Close()
	}
}

func TestCheckWrites(t *testing.T) {
	line := func(by, part string, writes ...string) pgserver.LogEntry {
		l := pgserver.LogEntry{By: by, Part: part}
		for _, w := range writes {
			l.Writes = append(l.Writes, [2]string{w, "x"})
		}
		return l
	}
	good := []pgserver.LogEntry{line("m1", "takes"), line("m1", "", "a"), line("m1", "yields"), line("m2", "takes"), line("m2", "", "b")}
	for want, c := range map[string]struct {
		more []pgserver.LogEntry
		load *WriteLoad
	}{
		"":                                       {nil, &WriteLoad{Succeeded: []string{"a", "b"}, Rejected: []string{"c"}, Unresolved: []string{"d"}}},
		"a is there 2 times":                     {[]pgserver.LogEntry{line("m2", "", "a")}, &WriteLoad{}},
		"z was told to be committed and is lost": {nil, &WriteLoad{Succeeded: []string{"z"}}},
		"a was told to be declined":              {nil, &WriteLoad{Rejected: []string{"a"}}},
		"m1 committed [c x] while m2 had":        {[]pgserver.LogEntry{line("m1", "", "c")}, &WriteLoad{}},
	} {
		dir := t.TempDir()
		var text []byte
		for _, l := range append(good[:len(good):len(good)], c.more...) {
			b, _ := json.Marshal(l)
			text = append(append(text, b...), '\n')
		}
		if err := os.WriteFile(filepath.Join(dir, "log"), text, 0o600); err != nil {
			t.Fatal(err)
		}
		if wrong := strings.Join(CheckWrites(dir, c.load), "; "); want == "" && wrong != "" || !strings.Contains(wrong, want) {
			t.Errorf("%q, want %q", wrong, want)
		}
	}
}

// A history in which a read tells less than an answer before it, or two hold one fencing token, is found.
func TestLinear(t *testing.T) {
	op := func(session string, begun, ended float64, held bool, count uint64) simulation.Operation {
		o := simulation.Operation{Lease: "d", Session: session, StartedMs: begun, EndedMs: ended, Held: held}
		o.Token.Epoch, o.Token.Count = 1, count
		return o
	}
	good := []simulation.Operation{op("a", 0, 1, true, 1), op("b", 2, 5, true, 2), op("", 3, 4, false, 1), op("", 6, 7, false, 2), op("a", 8, 9, false, 2)}
	if wrong := simulation.Linear(good); len(wrong) > 0 {
		t.Error(wrong)
	}
	for what, bad := range map[string]simulation.Operation{"an old read": op("", 10, 11, false, 1), "two holders": op("a", 10, 11, true, 2)} {
		if wrong := simulation.Linear(append(good[:len(good):len(good)], bad)); len(wrong) == 0 {
			t.Error(what, "was not found")
		}
	}
}

// The policy's checker finds what it is there for, and nothing in records that are as they should be.
func TestCheckPolicy(t *testing.T) {
	takes := func(pid int, version, hash string) string {
		return fmt.Sprintf(`{"what":"takes","pid":%d,"version":%q,"hash":%q}`, pid, version, hash)
	}
	says := func(pid int, version, wont string) string {
		return fmt.Sprintf(`{"what":"goes by","pid":%d,"version":%q,"wont":%q}`, pid, version, wont)
	}
	given := func(pid int, version, hash string) string {
		return fmt.Sprintf(`{"what":"policy","pid":%d,"version":%q,"hash":%q}`, pid, version, hash)
	}
	good := map[string][]string{
		// r1 takes the second before it has said the first; starts again from its folder; r2 skips one, and can't take the last
		"r1": {takes(1, "5.1", "aa"), takes(1, "5.2", "bb"), says(1, "5.1", "none"), says(1, "5.2", "none"), takes(2, "5.1", "aa"), takes(2, "5.3", "aa"), says(2, "5.3", "none")},
		"r2": {takes(1, "5.2", "bb"), says(1, "5.2", "none"), says(1, "5.2", "5.3")},
		"c1": {given(1, "5.1", "aa"), given(1, "5.2", "bb"), given(1, "5.3", "aa")},
		"c2": {given(1, "5.1", "aa"), given(1, "5.2", "bb"), given(2, "5.2", "bb"), given(2, "5.3", "aa")}, // told again after a restart
	}
	for _, c := range []struct{ at, line, want string }{
		{"", "", ""},
		{"c2", given(2, "5.4", "cc"), "r1 ended at 5.3, 5.4 is in force"},
		{"c2", given(3, "5.2", "cc"), "c2: version 5.2 is two documents, bb and cc"},
		{"c2", given(2, "5.2", "bb"), "c2: version 5.2 became in force after 5.3"},
		{"c1", given(1, "6.0x", "aa"), "a version is written like"},
		{"r1", takes(2, "5.3", "bb"), "r1: version 5.3 is two documents, aa and bb"},
		{"r1", takes(2, "5.2", "bb"), "r1 went back from 5.3 to 5.2"},
		{"r1", takes(2, "5.9", "dd"), "r1 took version 5.9, which the council never gave"},
		{"r1", says(2, "5.2", "none"), "r1 said that it goes by 5.2, and had taken 5.3"}, // in an earlier start
		{"r1", says(2, "5.1", "none"), "r1 said 5.1 after 5.3"},
		{"r1", says(3, "5.3", "none"), "r1 said that it goes by 5.3, and had taken none"},
		{"r1", takes(3, "5.1", "aa") + "\n" + says(3, "5.1", "none"), "r1 ended at 5.1, 5.3 is in force"},
		{"r1", takes(3, "5.1", "aa"), "r1 ended at none, 5.3 is in force"},
		{"r2", says(1, "5.2", "none"), "r2 ended at 5.2, 5.3 is in force"},
		{"agreed", "5.7", "version 5.7 was told to be agreed and is lost"},
		{"r1", `{"what":"takes","pid":2,"version":"5.1`, ""}, // half a line
	} {
		f, err := New(Options{Dir: t.TempDir(), Coordinators: 2, Routers: 2, Members: 1})
		if err != nil {
			t.Fatal(err)
		}
		for name, lines := range good {
			if name == c.at {
				lines = append(lines[:len(lines):len(lines)], c.line)
			}
			text := strings.Join(lines, "\n")
			if c.want != "" || name != c.at {
				text += "\n"
			}
			if err := os.WriteFile(f.record(f.procs[name]), []byte(text), 0o600); err != nil {
				t.Fatal(err)
			}
		}
		agreed := []string{"5.1", "5.3"}
		if c.at == "agreed" {
			agreed = append(agreed, c.line)
		}
		wrong := strings.Join(CheckPolicy(f, agreed, func(*Process) bool { return true }), "; ")
		if c.want == "" && wrong != "" || !strings.Contains(wrong, c.want) {
			t.Errorf("%s: %s: %q, want %q", c.at, c.line, wrong, c.want)
		}
		f.Close()
	}
}
