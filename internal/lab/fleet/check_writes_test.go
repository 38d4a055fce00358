package fleet

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"wayloft/internal/fakes/pgserver"
)

// CheckWrites reports each kind of violation, and none in a correct log.
func TestCheckWrites_Violations(t *testing.T) {
	entry := func(member, role string, writes ...string) pgserver.LogEntry {
		logged := pgserver.LogEntry{By: member, Transition: role}
		for _, handle := range writes {
			logged.Writes = append(logged.Writes, [2]string{handle, "x"})
		}
		return logged
	}
	good := []pgserver.LogEntry{entry("m1", "takes"), entry("m1", "", "a"), entry("m1", "yields"), entry("m2", "takes"), entry("m2", "", "b")}
	for want, test := range map[string]struct {
		more []pgserver.LogEntry
		load *WriteLoad
	}{
		"":                      {nil, &WriteLoad{Succeeded: []string{"a", "b"}, Rejected: []string{"c"}, Unresolved: []string{"d"}}},
		"a took effect 2 times": {[]pgserver.LogEntry{entry("m2", "", "a")}, &WriteLoad{}},
		"z was reported as successful and is lost":    {nil, &WriteLoad{Succeeded: []string{"z"}}},
		"a was reported as rejected and took effect":  {nil, &WriteLoad{Rejected: []string{"a"}}},
		"m1 committed [c x] while m2 was the primary": {[]pgserver.LogEntry{entry("m1", "", "c")}, &WriteLoad{}},
	} {
		directory := t.TempDir()
		var text []byte
		for _, logged := range append(good[:len(good):len(good)], test.more...) {
			encoded, err := json.Marshal(logged)
			if err != nil {
				t.Fatal(err)
			}
			text = append(append(text, encoded...), '\n')
		}
		if err := os.WriteFile(filepath.Join(directory, "log"), text, fileMode); err != nil {
			t.Fatal(err)
		}
		if found := strings.Join(CheckWrites(directory, test.load), "; "); want == "" && found != "" || !strings.Contains(found, want) {
			t.Errorf("%q, want %q", found, want)
		}
	}
}
