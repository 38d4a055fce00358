package leasestate

import (
	"testing"

	"wayloft/internal/decide/lease"
)

func TestLease_NextOfQueueGetsItWhenHolderEnds(t *testing.T) {
	state := newTestState("a", "b", "c")
	requireEqual(t, "first", state.apply(acquire("a")).Token, token(1, 1))
	requireEqual(t, "a repeat gets the same", state.apply(acquire("a")).Token, token(1, 1))
	requireEqual(t, "taken", state.apply(acquire("b")).Held, false)
	state.apply(acquire("c"))
	state.apply(Entry{Kind: KeepAlive, Session: "b", Incarnation: 1, Elapsed: 90})
	state.apply(Entry{Kind: KeepAlive, Session: "c", Incarnation: 1, Elapsed: 5})
	stored, _ := state.Lease("d")
	requireEqual(t, "still held", stored.Holder, "a")
	state.apply(Entry{Kind: AdvanceTime, Elapsed: 6}) // a has sent no heartbeat for 101 ms
	stored, _ = state.Lease("d")
	requireEqual(t, "next of the queue", stored.Holder, "b")
	requireEqual(t, "token", stored.Token, token(1, 2))
	release := Entry{Kind: ReleaseLease, Session: "a", Incarnation: 1, Lease: "d", Token: token(1, 1)}
	requireEqual(t, "who ended", state.apply(release).Refusal, Refusal("no such session"))
	result := state.apply(Entry{Kind: TransferLease, Session: "b", Incarnation: 1, Lease: "d", Token: token(1, 2), To: "c"})
	stored, _ = state.Lease("d")
	requireEqual(t, "passed on", stored.Holder+string(result.Refusal), "c")
	events, all := state.Since(0)
	if last := events[len(events)-1]; !all || last.Session != "c" || last.Token != token(1, 3) {
		t.Fatalf("events %+v", events)
	}
}

// A coordinator whose state was lost grants nothing under fencing tokens that receivers have seen, until its epoch is above.
func TestReportToken_NothingGrantedBeforeLaterEpoch(t *testing.T) {
	state := newTestState("a")
	state.apply(Entry{Kind: ReportToken, Lease: "d", Token: token(1, 7)})
	result := state.apply(acquire("a"))
	requireEqual(t, "grant", result.Held, false)
	requireEqual(t, "why", result.Refusal, refusedStateBehind)
	requireEqual(t, "an old epoch", state.apply(Entry{Kind: BeginEpoch, Epoch: 1}).Refusal, Refusal("epoch 1 has begun already"))
	state.apply(Entry{Kind: BeginEpoch, Epoch: 2})
	requireEqual(t, "above", state.apply(acquire("a")).Token, token(2, 1))
	// An older copy put back grants the same fencing token to another; who has seen the first says so.
	requireEqual(t, "its own", state.apply(Entry{Kind: ReportToken, Lease: "d", Token: token(2, 1), Session: "a"}).Refusal, Refusal(""))
	state.apply(Entry{Kind: ReportToken, Lease: "d", Token: token(2, 1), Session: "z"})
	stored, _ := state.Lease("d")
	requireEqual(t, "taken away", stored.Holder, "")
	if state.apply(acquire("a")).Held {
		t.Fatal("granted at or under a token that another has")
	}
}

// A lease that was granted as often as one number can hold goes on in the next epoch, above.
func TestGrant_ExhaustedCountGoesOnInNextEpoch(t *testing.T) {
	state := newTestState("a")
	state.apply(acquire("a"))
	state.data.Leases["d"].Token.Count = lease.MaxCount
	before := state.data.Leases["d"].Token.Number()
	state.apply(Entry{Kind: ReleaseLease, Session: "a", Incarnation: 1, Lease: "d", Token: token(1, lease.MaxCount)})
	result := state.apply(acquire("a"))
	requireEqual(t, "token", result.Token, token(2, 1))
	requireEqual(t, "grows", result.Token.Number() > before, true)
}
