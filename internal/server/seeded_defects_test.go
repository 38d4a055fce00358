//go:build debug

package server

import (
	"slices"
	"testing"

	"wayloft/internal/decide/session"
)

// The mixed run, which finds nothing in a router without defects, detects each seeded defect.
func TestSeededDefects_Detected(t *testing.T) {
	for name, defects := range map[string]session.SeededDefects{
		"settings": {SkipSettings: true},
		"rollback": {KeepRolledBackSettings: true},
		"names":    {ReuseAnyStatement: true},
		"position": {ForgetLastCommitPosition: true},
	} {
		t.Run(name, func(t *testing.T) {
			var a noteChecker
			_, _, bad := runMixedCluster(t, &a, 600, defects)
			found := slices.Concat(bad, a.mismatches)
			if len(found) == 0 {
				t.Fatal("nothing was found")
			}
			t.Log(found[0])
		})
	}
}
