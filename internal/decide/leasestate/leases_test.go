package leasestate

import (
	"testing"

	"wayloft/internal/decide/lease"
)

func TestLease_GrantedToNextInQueueWhenHolderExpires(t *testing.T) {
	state := newTestState("a", "b", "c")
	requireEqual(t, "first grant", state.apply(acquire("a")).Token, token(1, 1))
	requireEqual(t, "token of a repeated request", state.apply(acquire("a")).Token, token(1, 1))
	requireEqual(t, "held by the second requester", state.apply(acquire("b")).Held, false)
	state.apply(acquire("c"))
	state.apply(Entry{Kind: KeepAlive, Session: "b", Incarnation: 1, Elapsed: 90})
	state.apply(Entry{Kind: KeepAlive, Session: "c", Incarnation: 1, Elapsed: 5})
	stored, _ := state.Lease("d")
	requireEqual(t, "holder before expiry", stored.Holder, "a")
	state.apply(Entry{Kind: AdvanceTime, Elapsed: 6}) // a has sent no heartbeat for 101 ms
	stored, _ = state.Lease("d")
	requireEqual(t, "holder after expiry", stored.Holder, "b")
	requireEqual(t, "token", stored.Token, token(1, 2))
	release := Entry{Kind: ReleaseLease, Session: "a", Incarnation: 1, Lease: "d", Token: token(1, 1)}
	requireEqual(t, "release by the expired session", state.apply(release).Rejection, Rejection("no such session"))
	result := state.apply(Entry{Kind: TransferLease, Session: "b", Incarnation: 1, Lease: "d", Token: token(1, 2), To: "c"})
	stored, _ = state.Lease("d")
	requireEqual(t, "holder after the transfer", stored.Holder+string(result.Rejection), "c")
	events, all := state.EventsSince(0)
	if last := events[len(events)-1]; !all || last.Session != "c" || last.Token != token(1, 3) {
		t.Fatalf("events %+v", events)
	}
}

// After a loss of state, a lease must not be granted under fencing tokens that receivers have already seen: it is granted only in an epoch
// above that of the highest reported token.
func TestReportToken_NothingGrantedBeforeLaterEpoch(t *testing.T) {
	state := newTestState("a")
	state.apply(Entry{Kind: ReportToken, Lease: "d", Token: token(1, 7)})
	result := state.apply(acquire("a"))
	requireEqual(t, "granted in the reported epoch", result.Held, false)
	requireEqual(t, "refusal", result.Rejection, rejectedStateBehind)
	requireEqual(t, "epoch that has begun already", state.apply(Entry{Kind: BeginEpoch, Epoch: 1}).Rejection, Rejection("epoch 1 has begun already"))
	state.apply(Entry{Kind: BeginEpoch, Epoch: 2})
	requireEqual(t, "token in the later epoch", state.apply(acquire("a")).Token, token(2, 1))
	// A coordinator restored from an older copy may grant a token again, to another session. A receiver that has seen the token used by the
	// first session reports it with that session's name.
	requireEqual(t, "report of the holder's own token", state.apply(Entry{Kind: ReportToken, Lease: "d", Token: token(2, 1), Session: "a"}).Rejection, Rejection(""))
	state.apply(Entry{Kind: ReportToken, Lease: "d", Token: token(2, 1), Session: "z"})
	stored, _ := state.Lease("d")
	requireEqual(t, "holder after the report", stored.Holder, "")
	if state.apply(acquire("a")).Held {
		t.Fatal("granted at or below a token that another session has")
	}
}

// When a lease's token count reaches its maximum, the next grant is in the next epoch, with a higher token.
func TestGrant_ExhaustedCountContinuesInNextEpoch(t *testing.T) {
	state := newTestState("a")
	state.apply(acquire("a"))
	state.data.Leases["d"].Token.Count = lease.MaxCount
	before := state.data.Leases["d"].Token.Number()
	state.apply(Entry{Kind: ReleaseLease, Session: "a", Incarnation: 1, Lease: "d", Token: token(1, lease.MaxCount)})
	result := state.apply(acquire("a"))
	requireEqual(t, "token", result.Token, token(2, 1))
	requireEqual(t, "packed token is higher", result.Token.Number() > before, true)
}
