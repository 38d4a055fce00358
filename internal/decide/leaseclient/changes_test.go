package leaseclient

import (
	"fmt"
	"testing"

	"wayloft/internal/decide/leasestate"
	"wayloft/internal/decide/policy"
)

// An update has what has changed, and the whole state for a watcher that is behind or ahead.
func TestChanges_OnlyWhatChangedUnlessBehindOrAhead(t *testing.T) {
	h := newHarness(t, "d")
	h.runUntil(500, true)
	u, at := Changes(h.state, 0, false)
	if !u.Complete || len(u.Sessions) != 1 || len(u.Leases) != 1 || u.Leases[0].Holder != "p" {
		t.Fatalf("%+v", u)
	}
	h.apply(leasestate.Entry{Kind: leasestate.PlaceOrder, Lease: "d", Text: "x"})
	if u, _ = Changes(h.state, at, false); u.Complete || len(u.Sessions) != 0 || len(u.Leases) != 1 || u.Leases[0].Open.Text != "x" {
		t.Errorf("%+v", u)
	}
	if u, _ = Changes(h.state, at+1000, false); !u.Complete {
		t.Error("a watcher that is ahead of this state must get all of it")
	}
}

// An update has versions with their differences, as far as these are short; what sessions say of them makes no update, and a watcher
// without sessions gets none.
func TestChanges_PoliciesWithShortDifferences(t *testing.T) {
	h := newHarness(t)
	h.runUntil(500, true)
	_, at := Changes(h.state, 0, true)
	first := h.propose("0.2")
	second := h.propose("0.3")
	u, next := Changes(h.state, at, true)
	if len(u.Policies) != 2 || u.Policies[0].Version != first || u.Policies[1].Version != second || u.Policies[1].Difference.Set["over_share_value"] != "0.3" {
		t.Fatalf("%+v", u)
	}
	h.client.PolicyApplied(second.Number64(), 0, "")
	h.runUntil(1000, true)
	h.apply(leasestate.Entry{Kind: leasestate.OpenSession, Session: "q", Incarnation: 1, Timeout: 60000})
	if one, _ := h.state.Session("p"); one.Policy != second.Number64() {
		t.Error("the coordinator doesn't know of it:", one)
	}
	if u, _ := Changes(h.state, next, true); len(u.Sessions)+len(u.Policies) != 0 || !u.WithoutSessions {
		t.Errorf("%+v", u)
	}
	if u, _ := Changes(h.state, next, false); len(u.Sessions) != 1 || u.Sessions[0].Name != "q" {
		t.Errorf("only the new session has changed: %+v", u)
	}
	if u, _ := Changes(h.state, 0, true); !u.Complete || len(u.Sessions) != 0 || len(u.Policies) != 1 || u.Policies[0].Version != second {
		t.Errorf("%+v", u)
	}
	at = h.state.Index()
	b := h.state.Policy()
	wide := policy.Document{}
	for n := range 100 {
		wide[fmt.Sprintf("tenants.%03d.rate", n)] = "1"
	}
	p := policy.Propose(b.Version, b.Document, wide, "a", "wide")
	h.apply(leasestate.Entry{Kind: leasestate.ProposePolicy, Proposal: &p})
	if u, _ := Changes(h.state, at, true); len(u.Policies) != 1 || u.Policies[0].Difference != nil || u.Policies[0].Version != h.state.Policy().Version {
		t.Errorf("too long for an update: %+v", u)
	}
}

// A watch without sessions says nothing of which processes there are.
func TestSessionsComplete_FalseForWatchWithoutSessions(t *testing.T) {
	h := newHarness(t)
	h.client.UpdateReceived(Update{Complete: true, Sessions: []Session{{Name: "q", Role: "router"}}})
	if !h.client.SessionsComplete() || len(h.client.Sessions("router")) != 1 {
		t.Error("all sessions were in the update")
	}
	h.client.UpdateReceived(Update{Complete: true, WithoutSessions: true})
	if h.client.SessionsComplete() || len(h.client.Sessions("router")) != 0 {
		t.Error("no session was in the update")
	}
}
