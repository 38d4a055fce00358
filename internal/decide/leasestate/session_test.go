package leasestate

import "testing"

func TestBeginTerm_RestartsSessionTimeouts(t *testing.T) {
	state := newTestState("a")
	state.apply(acquire("a"))
	state.apply(Entry{Kind: AdvanceTime, Elapsed: 90})
	state.apply(Entry{Kind: BeginTerm, Elapsed: 50})
	state.apply(Entry{Kind: AdvanceTime, Elapsed: 100})
	stored, _ := state.Lease("d")
	requireEqual(t, "held", stored.Holder, "a")
	state.apply(Entry{Kind: AdvanceTime, Elapsed: 1})
	stored, _ = state.Lease("d")
	requireEqual(t, "over", stored.Holder, "")
}

// A process that was started again holds nothing of what the process held before.
func TestOpenSession_HigherIncarnationHoldsNothing(t *testing.T) {
	state := newTestState("a")
	state.apply(acquire("a"))
	state.apply(Entry{Kind: OpenSession, Session: "a", Incarnation: 2, Timeout: 100})
	stored, _ := state.Lease("d")
	requireEqual(t, "freed", stored.Holder, "")
	requireEqual(t, "the former incarnation", state.apply(acquire("a")).Refusal, Refusal("no such session"))
	requireEqual(t, "an older one", state.apply(Entry{Kind: OpenSession, Session: "a", Incarnation: 1, Timeout: 100}).Held, false)
	requireEqual(t, "token", state.apply(Entry{Kind: AcquireLease, Session: "a", Incarnation: 2, Lease: "d"}).Token, token(1, 2))
}

// Heartbeats of many sessions come as one entry; those of other incarnations count for nothing.
func TestKeepAliveAll_OtherIncarnationsCountForNothing(t *testing.T) {
	state := newTestState("a", "b")
	state.apply(Entry{Kind: KeepAliveAll, Elapsed: 90, Heartbeats: []Heartbeat{
		{Session: "a", Incarnation: 1, RejectedActs: 3},
		{Session: "b", Incarnation: 2},
		{Session: "z", Incarnation: 1},
	}})
	remaining, found := state.UntilExpiry()
	requireEqual(t, "remaining", remaining, uint64(10))
	requireEqual(t, "found", found, true)
	state.apply(Entry{Kind: AdvanceTime, Elapsed: 11})
	_, openA := state.Session("a")
	_, openB := state.Session("b")
	requireEqual(t, "a, b", [2]bool{openA, openB}, [2]bool{true, false})
	state.apply(Entry{Kind: CloseSession, Session: "a", Incarnation: 1, RejectedActs: 4})
	requireEqual(t, "acts rejected by sessions that ended", state.RejectedActs(), uint64(4))
}
