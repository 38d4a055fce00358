//go:build debug

package server

import (
	"testing"

	"wayloft/internal/decide/session"
)

// The mixed run detects each seeded defect.
func TestSeededDefects_Detected(t *testing.T) {
	for _, what := range []string{"settings", "rollback", "names", "position"} {
		t.Run(what, func(t *testing.T) {
			t.Cleanup(func() { session.Planted = "" }) // after the router has ended
			session.Planted = what
			var a noteChecker
			_, _, bad := runMixedCluster(t, &a, 600)
			if len(bad)+len(a.mismatches) == 0 {
				t.Error("nothing was found")
			}
			t.Log(append(bad, a.mismatches...)[0])
		})
	}
}
