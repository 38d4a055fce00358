//go:build debug

package server

import (
	"testing"

	"wayloft/internal/decide/session"
)

// The mixed run, which finds nothing in a router without defects, finds each defect of a router that has one.
func TestMixedRun_SeededDefectsAreFound(t *testing.T) {
	for name, defects := range map[string]session.SeededDefects{
		"settings": {SkipSettings: true},
		"rollback": {KeepRolledBackSettings: true},
		"names":    {ReuseAnyStatement: true},
		"position": {ForgetLastCommitPosition: true},
	} {
		t.Run(name, func(t *testing.T) {
			var a astray
			_, _, bad := mixedRun(t, &a, 600, defects)
			if len(bad)+len(a.found) == 0 {
				t.Fatal("nothing was found")
			}
			t.Log(append(bad, a.found...)[0])
		})
	}
}
