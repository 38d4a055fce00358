package leasestate

import (
	"testing"

	"wayloft/internal/decide/lease"
	"wayloft/internal/decide/policy"
)

// testState is a State and the index of the last entry that was applied to it.
type testState struct {
	*State
	index uint64
}

func (state *testState) apply(entry Entry) Result {
	state.index++
	return state.Apply(state.index, entry)
}

func newTestState(sessions ...string) *testState {
	state := &testState{State: New("f")}
	for _, s := range sessions {
		state.apply(Entry{Kind: OpenSession, Session: s, Incarnation: 1, Timeout: 100})
	}
	return state
}

func acquire(s string) Entry {
	return Entry{Kind: AcquireLease, Session: s, Incarnation: 1, Lease: "d"}
}

func requireEqual(t *testing.T, what string, got, want any) {
	t.Helper()
	if got != want {
		t.Fatalf("%s: %v, want %v", what, got, want)
	}
}

func token(epoch, count uint64) lease.Token { return lease.Token{Epoch: epoch, Count: count} }

// proposeShare proposes a policy document with a single field.
func (state *testState) proposeShare(share string) Result {
	now := state.Policy()
	p := policy.Propose(now.Version, now.Document, policy.Document{"over_share_value": share}, "a", "to "+share)
	return state.apply(Entry{Kind: ProposePolicy, Proposal: &p})
}
