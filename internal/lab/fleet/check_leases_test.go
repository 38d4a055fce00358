package fleet

import (
	"strings"
	"testing"
)

// CheckLeases reports each kind of violation, and none in correct audit logs.
func TestCheckLeases_Violations(t *testing.T) {
	good := map[string][]string{
		"r1": {`{"what":"start","duty":"d","fence":"5.1"}`, `{"what":"stop","duty":"d","fence":"5.1"}`,
			`{"what":"taken","duty":"d","about":"g","holder":"r2","fence":"5.2"}`, `{"what":"late","duty":"d","about":"g","holder":"r1","fence":"5.1"}`},
		"r2": {`{"what":"taken","duty":"d","about":"g","holder":"r1","fence":"5.1"}`, `{"what":"start","duty":"d","fence":"5.2"}`},
		"c1": {`{"what":"duty","duty":"d","fence":"5.1","session":"r1","ended":false}`, `{"what":"duty","duty":"d","fence":"5.1","session":"r1","ended":true}`,
			`{"what":"duty","duty":"d","fence":"5.2","session":"r2","ended":false}`},
		"c2": {`{"what":"duty","duty":"d","fence":"5.1","session":"r1","ended":false}`, `{"what":"duty","duty":"d","fence":"5.2","session":"r2","ended":false}`,
			`{"what":"duty","duty":"d","fence":"5.1","session":"r1","ended":false}`}, // written again after a restart
	}
	for _, test := range []struct{ process, line, want string }{
		{"", "", ""},
		{"r1", `{"what":"taken","duty":"d","about":"g","holder":"r1","fence":"5.1"}`, "accepted an act of r1 for d under 5.1 after one under [5 2]"},
		{"r1", `{"what":"taken","duty":"d","about":"g","holder":"r9","fence":"5.2"}`, "is held by both"},
		{"r1", `{"what":"start","duty":"d","fence":"5.2"}`, "is held by both"},
		{"r2", `{"what":"start","duty":"d","fence":"5.1"}`, "is held by both"},
		{"c2", `{"what":"duty","duty":"d","fence":"5.2","session":"r3","ended":false}`, "according to another node"},
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
			if name == test.process {
				if text += test.line; !strings.HasSuffix(test.line, "half") {
					text += "\n"
				}
			}
			writeAuditLog(t, f, name, text)
		}
		found := strings.Join(CheckLeases(f, false), "; ")
		if test.want == "" && found != "" || !strings.Contains(found, test.want) {
			t.Errorf("%s: %s: %q, want %q", test.process, test.line, found, test.want)
		}
		f.Close()
	}
}
