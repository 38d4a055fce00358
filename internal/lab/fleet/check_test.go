package fleet

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"wayloft/internal/lab/fleet/twin"
	"wayloft/internal/standin/pgserver"
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
		f, err := New(Options{Dir: t.TempDir(), Council: 2, Routers: 2, Members: 1})
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
		wrong := strings.Join(Check(f, false), "; ")
		if c.want == "" && wrong != "" || !strings.Contains(wrong, c.want) {
			t.Errorf("%s: %s: %q, want %q", c.at, c.line, wrong, c.want)
		}
		f.Close()
	}
}

func TestCheckWrites(t *testing.T) {
	line := func(by, part string, writes ...string) pgserver.Line {
		l := pgserver.Line{By: by, Part: part}
		for _, w := range writes {
			l.Writes = append(l.Writes, [2]string{w, "x"})
		}
		return l
	}
	good := []pgserver.Line{line("m1", "takes"), line("m1", "", "a"), line("m1", "yields"), line("m2", "takes"), line("m2", "", "b")}
	for want, c := range map[string]struct {
		more []pgserver.Line
		load *Load
	}{
		"":                                       {nil, &Load{Committed: []string{"a", "b"}, Declined: []string{"c"}, Doubtful: []string{"d"}}},
		"a is there 2 times":                     {[]pgserver.Line{line("m2", "", "a")}, &Load{}},
		"z was told to be committed and is lost": {nil, &Load{Committed: []string{"z"}}},
		"a was told to be declined":              {nil, &Load{Declined: []string{"a"}}},
		"m1 committed [c x] while m2 had":        {[]pgserver.Line{line("m1", "", "c")}, &Load{}},
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

// A history in which a read tells less than an answer before it, or two hold one fence, is found.
func TestLinear(t *testing.T) {
	op := func(session string, begun, ended float64, held bool, count uint64) twin.Op {
		o := twin.Op{Duty: "d", Session: session, Begun: begun, Ended: ended, Held: held}
		o.Fence.Epoch, o.Fence.Count = 1, count
		return o
	}
	good := []twin.Op{op("a", 0, 1, true, 1), op("b", 2, 5, true, 2), op("", 3, 4, false, 1), op("", 6, 7, false, 2), op("a", 8, 9, false, 2)}
	if wrong := twin.Linear(good); len(wrong) > 0 {
		t.Error(wrong)
	}
	for what, bad := range map[string]twin.Op{"an old read": op("", 10, 11, false, 1), "two holders": op("a", 10, 11, true, 2)} {
		if wrong := twin.Linear(append(good[:len(good):len(good)], bad)); len(wrong) == 0 {
			t.Error(what, "was not found")
		}
	}
}
