package fleet

import (
	"fmt"
	"strings"
	"testing"
)

// CheckPolicy reports each kind of violation, and none in correct audit logs.
func TestCheckPolicy_Violations(t *testing.T) {
	applied := func(pid int, version, hash string) string {
		return fmt.Sprintf(`{"what":"takes","pid":%d,"version":%q,"hash":%q}`, pid, version, hash)
	}
	reported := func(pid int, version, rejected string) string {
		return fmt.Sprintf(`{"what":"goes by","pid":%d,"version":%q,"wont":%q}`, pid, version, rejected)
	}
	inForce := func(pid int, version, hash string) string {
		return fmt.Sprintf(`{"what":"policy","pid":%d,"version":%q,"hash":%q}`, pid, version, hash)
	}
	good := map[string][]string{
		// r1 applies the second version before it reports the first, and restarts from its stored copy; r2 skips a version and rejects the last
		"r1": {applied(1, "5.1", "aa"), applied(1, "5.2", "bb"), reported(1, "5.1", "none"), reported(1, "5.2", "none"), applied(2, "5.1", "aa"), applied(2, "5.3", "aa"), reported(2, "5.3", "none")},
		"r2": {applied(1, "5.2", "bb"), reported(1, "5.2", "none"), reported(1, "5.2", "5.3")},
		"c1": {inForce(1, "5.1", "aa"), inForce(1, "5.2", "bb"), inForce(1, "5.3", "aa")},
		"c2": {inForce(1, "5.1", "aa"), inForce(1, "5.2", "bb"), inForce(2, "5.2", "bb"), inForce(2, "5.3", "aa")}, // written again after a restart
	}
	for _, test := range []struct{ process, line, want string }{
		{"", "", ""},
		{"c2", inForce(2, "5.4", "cc"), "r1 ended at 5.3, 5.4 is in force"},
		{"c2", inForce(3, "5.2", "cc"), "c2: version 5.2 has two documents, bb and cc"},
		{"c2", inForce(2, "5.2", "bb"), "c2: version 5.2 became in force after 5.3"},
		{"c1", inForce(1, "6.0x", "aa"), "a version is written like"},
		{"r1", applied(2, "5.3", "bb"), "r1: version 5.3 has two documents, aa and bb"},
		{"r1", applied(2, "5.2", "bb"), "r1 went back from 5.3 to 5.2"},
		{"r1", applied(2, "5.9", "dd"), "r1 applied version 5.9, which was never in force"},
		{"r1", reported(2, "5.2", "none"), "r1 reported 5.2 as applied after applying 5.3"}, // 5.2 was applied before the restart
		{"r1", reported(2, "5.1", "none"), "r1 reported 5.1 after 5.3"},
		{"r1", reported(3, "5.3", "none"), "r1 reported 5.3 as applied after applying none"},
		{"r1", applied(3, "5.1", "aa") + "\n" + reported(3, "5.1", "none"), "r1 ended at 5.1, 5.3 is in force"},
		{"r1", applied(3, "5.1", "aa"), "r1 ended at none, 5.3 is in force"},
		{"r2", reported(1, "5.2", "none"), "r2 ended at 5.2, 5.3 is in force"},
		{"agreed", "5.7", "version 5.7 was reported as agreed and is lost"},
		{"r1", `{"what":"takes","pid":2,"version":"5.1`, ""}, // incomplete line
	} {
		f, err := New(Options{Dir: t.TempDir(), Coordinators: 2, Routers: 2, Members: 1})
		if err != nil {
			t.Fatal(err)
		}
		for name, lines := range good {
			if name == test.process {
				lines = append(lines[:len(lines):len(lines)], test.line)
			}
			text := strings.Join(lines, "\n")
			if test.want != "" || name != test.process {
				text += "\n"
			}
			writeAuditLog(t, f, name, text)
		}
		agreed := []string{"5.1", "5.3"}
		if test.process == "agreed" {
			agreed = append(agreed, test.line)
		}
		found := strings.Join(CheckPolicy(f, agreed, func(*Process) bool { return true }), "; ")
		if test.want == "" && found != "" || !strings.Contains(found, test.want) {
			t.Errorf("%s: %s: %q, want %q", test.process, test.line, found, test.want)
		}
		f.Close()
	}
}
