package leasestate

import "testing"

func TestBeginTerm_RestartsSessionTimeouts(t *testing.T) {
	state := newTestState("a")
	state.apply(acquire("a"))
	state.apply(Entry{Kind: AdvanceTime, Elapsed: 90})
	state.apply(Entry{Kind: BeginTerm, Elapsed: 50})
	state.apply(Entry{Kind: AdvanceTime, Elapsed: 100})
	stored, _ := state.Lease("d")
	requireEqual(t, "holder within the restarted timeout", stored.Holder, "a")
	state.apply(Entry{Kind: AdvanceTime, Elapsed: 1})
	stored, _ = state.Lease("d")
	requireEqual(t, "holder after the restarted timeout", stored.Holder, "")
}

// A process that was restarted doesn't hold the leases of its previous incarnation.
func TestOpenSession_HigherIncarnationHoldsNothing(t *testing.T) {
	state := newTestState("a")
	state.apply(acquire("a"))
	state.apply(Entry{Kind: OpenSession, Session: "a", Incarnation: 2, Timeout: 100})
	stored, _ := state.Lease("d")
	requireEqual(t, "holder after the restart", stored.Holder, "")
	requireEqual(t, "request of the previous incarnation", state.apply(acquire("a")).Rejection, Rejection("no such session"))
	requireEqual(t, "previous incarnation opened again", state.apply(Entry{Kind: OpenSession, Session: "a", Incarnation: 1, Timeout: 100}).Held, false)
	requireEqual(t, "token of the new incarnation", state.apply(Entry{Kind: AcquireLease, Session: "a", Incarnation: 2, Lease: "d"}).Token, token(1, 2))
}

// One entry carries the heartbeats of many sessions; those of other incarnations are ignored.
func TestKeepAliveAll_IgnoresOtherIncarnations(t *testing.T) {
	state := newTestState("a", "b")
	state.apply(Entry{Kind: KeepAliveAll, Elapsed: 90, Heartbeats: []Heartbeat{
		{Session: "a", Incarnation: 1, RejectedOperations: 3},
		{Session: "b", Incarnation: 2},
		{Session: "z", Incarnation: 1},
	}})
	remaining, found := state.UntilExpiry()
	requireEqual(t, "ms until expiry", remaining, uint64(10))
	requireEqual(t, "any session open", found, true)
	state.apply(Entry{Kind: AdvanceTime, Elapsed: 11})
	_, openA := state.Session("a")
	_, openB := state.Session("b")
	requireEqual(t, "sessions a and b open", [2]bool{openA, openB}, [2]bool{true, false})
	state.apply(Entry{Kind: CloseSession, Session: "a", Incarnation: 1, RejectedOperations: 4})
	requireEqual(t, "operations rejected by ended sessions", state.RejectedOperations(), uint64(4))
}
