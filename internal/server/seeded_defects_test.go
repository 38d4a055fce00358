//go:build debug

package server

import (
	"slices"
	"testing"

	"wayloft/internal/decide/session"
)

// The mixed run passes on a router without defects, and detects each seeded defect.
func TestSeededDefects_Detected(t *testing.T) {
	for name, defects := range map[string]session.SeededDefects{
		"settings": {SkipSettings: true},
		"rollback": {KeepRolledBackSettings: true},
		"names":    {ReuseAnyStatement: true},
		"position": {ForgetLastCommitPosition: true},
	} {
		t.Run(name, func(t *testing.T) {
			var checker noteChecker
			_, _, violations := runMixedCluster(t, &checker, 600, defects)
			found := slices.Concat(violations, checker.mismatches)
			if len(found) == 0 {
				t.Fatal("the defect was not detected")
			}
			t.Log(found[0])
		})
	}
}
