package leaseclient

import (
	"fmt"
	"testing"

	"wayloft/internal/decide/leasestate"
	"wayloft/internal/decide/policy"
)

// An update holds only what has changed, or the whole state for a watcher that is too far behind or is ahead.
func TestChanges_OnlyWhatChangedUnlessBehindOrAhead(t *testing.T) {
	h := newHarness(t, "d")
	h.runUntil(500, true)
	update, index := Changes(h.state, 0, false)
	if !update.Complete || len(update.Sessions) != 1 || len(update.Leases) != 1 || update.Leases[0].Holder != "p" {
		t.Fatalf("%+v", update)
	}
	h.apply(leasestate.Entry{Kind: leasestate.PlaceOrder, Lease: "d", Text: "x"})
	update, _ = Changes(h.state, index, false)
	if update.Complete || len(update.Sessions) != 0 || len(update.Leases) != 1 || update.Leases[0].Open.Text != "x" {
		t.Errorf("%+v", update)
	}
	if update, _ = Changes(h.state, index+1000, false); !update.Complete {
		t.Error("a watcher that is ahead of this state must receive the whole state")
	}
}

// An update holds the new policy versions, with their differences where these are short enough. A session's report of the version that it
// has applied causes no update, and a watcher without sessions receives no sessions.
func TestChanges_PoliciesWithShortDifferences(t *testing.T) {
	h := newHarness(t)
	h.runUntil(500, true)
	_, index := Changes(h.state, 0, true)
	first := h.propose("0.2")
	second := h.propose("0.3")
	update, next := Changes(h.state, index, true)
	if len(update.Policies) != 2 || update.Policies[0].Version != first || update.Policies[1].Version != second ||
		update.Policies[1].Difference.Set["over_share_value"] != "0.3" {
		t.Fatalf("%+v", update)
	}
	h.client.PolicyApplied(second.Packed(), 0, "")
	h.runUntil(1000, true)
	h.apply(leasestate.Entry{Kind: leasestate.OpenSession, Session: "q", Incarnation: 1, Timeout: 60000})
	if session, _ := h.state.Session("p"); session.Policy != second.Packed() {
		t.Error("the coordinator doesn't know the applied version:", session)
	}
	if update, _ := Changes(h.state, next, true); len(update.Sessions)+len(update.Policies) != 0 || !update.WithoutSessions {
		t.Errorf("%+v", update)
	}
	if update, _ := Changes(h.state, next, false); len(update.Sessions) != 1 || update.Sessions[0].Name != "q" {
		t.Errorf("the update must hold the new session only: %+v", update)
	}
	update, _ = Changes(h.state, 0, true)
	if !update.Complete || len(update.Sessions) != 0 || len(update.Policies) != 1 || update.Policies[0].Version != second {
		t.Errorf("%+v", update)
	}
	index = h.state.Index()
	history := h.state.Policy()
	wide := policy.Document{}
	for n := range 100 {
		wide[fmt.Sprintf("tenants.%03d.rate", n)] = "1"
	}
	proposal := policy.Propose(history.Version, history.Document, wide, "a", "wide")
	h.apply(leasestate.Entry{Kind: leasestate.ProposePolicy, Proposal: &proposal})
	update, _ = Changes(h.state, index, true)
	if len(update.Policies) != 1 || update.Policies[0].Difference != nil || update.Policies[0].Version != h.state.Policy().Version {
		t.Errorf("a difference that is too long for an update must be left out: %+v", update)
	}
}
