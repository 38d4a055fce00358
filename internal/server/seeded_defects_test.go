//go:build debug

package server

import (
	"testing"

	"wayloft/internal/decide/session"
)

// A router that leaks on purpose is found out by the same run that finds nothing in the real one.
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
