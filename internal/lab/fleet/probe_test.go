package fleet

import (
	"testing"

	"wayloft/internal/lab/fleet/simulation"
)

// A history is not linearizable if a read returns a lower token than an earlier response, or if two sessions hold one token.
func TestLinear_Violations(t *testing.T) {
	operation := func(session string, startedMs, endedMs float64, held bool, count uint64) simulation.Operation {
		o := simulation.Operation{Lease: "d", Session: session, StartedMs: startedMs, EndedMs: endedMs, Held: held}
		o.Token.Epoch, o.Token.Count = 1, count
		return o
	}
	good := []simulation.Operation{operation("a", 0, 1, true, 1), operation("b", 2, 5, true, 2), operation("", 3, 4, false, 1), operation("", 6, 7, false, 2), operation("a", 8, 9, false, 2)}
	if found := simulation.CheckLinearizable(good); len(found) > 0 {
		t.Error(found)
	}
	for what, bad := range map[string]simulation.Operation{"an old read": operation("", 10, 11, false, 1), "two holders": operation("a", 10, 11, true, 2)} {
		if found := simulation.CheckLinearizable(append(good[:len(good):len(good)], bad)); len(found) == 0 {
			t.Error(what, "was not reported")
		}
	}
}
