package leaseclient

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"wayloft/internal/decide/lease"
	"wayloft/internal/decide/leasestate"
)

// A receiver learns the latest token of a lease before it accepts any order, and then rejects lower tokens. A lease holder knows the token of
// its own lease.
func TestCheck_LearnsTokenFirstAndRejectsLower(t *testing.T) {
	h := newHarness(t, "d")
	scope := lease.Scope{Lease: "e", Subject: "g"}
	old := lease.Token{Epoch: 1, Count: 2}
	if verdict, _ := h.client.Check(scope, "q", old); verdict != lease.NotLearned {
		t.Fatal("accepted an order of a lease whose token it hasn't learned:", verdict)
	}
	h.runUntil(500, true)
	if verdict, _ := h.client.Check(scope, "q", old); verdict != lease.Accepted {
		t.Fatal(verdict)
	}
	h.client.UpdateReceived(Update{Leases: []Lease{{Name: "e", Holder: "x", Token: lease.Token{Epoch: 1, Count: 5}}}})
	if verdict, highest := h.client.Check(scope, "q", old); verdict != lease.Stale || highest.Count != 5 || h.client.RejectedOperations != 1 {
		t.Error("the watch has reported a higher token:", verdict, highest)
	}
	if verdict, _ := h.client.Check(lease.Scope{Lease: "d", Subject: "g"}, "q", lease.Token{Epoch: 1}); verdict != lease.Stale {
		t.Error("order of the earlier holder of its own lease:", verdict)
	}
}

// A higher token is reported to a coordinator whose state has regressed, with the holder whose order was accepted, and again for as long as
// the coordinator doesn't know it.
func TestClient_ReportsHigherTokenAgain(t *testing.T) {
	h := newHarness(t)
	h.client.LearnToken("e")
	h.runUntil(500, true)
	h.client.Check(lease.Scope{Lease: "e", Subject: "g"}, "q", lease.Token{Epoch: 1, Count: 7})
	h.client.UpdateReceived(Update{Complete: true, Leases: []Lease{{Name: "e", Holder: "x", Token: lease.Token{Epoch: 1, Count: 2}}}})
	h.runUntil(1000, true)
	if stored, _ := h.state.Lease("e"); stored.ReportedToken.Count != 7 {
		t.Fatalf("the coordinator doesn't know the reported token: %+v, %v", stored, h.log)
	}
	if h.runUntil(9000, true); h.count(leasestate.ReportToken) < 2 || h.count(leasestate.ReportToken) > 4 {
		t.Errorf("reported %d times in 9 s", h.count(leasestate.ReportToken))
	}
}

// Guards against one query per lease at startup: leases that are due together share a query, up to its limit. Leases for which no token was
// returned are queried again together, after a delay.
func TestQueryTokens_DueLeasesShareQueries(t *testing.T) {
	h := newHarness(t)
	learn := func(n int) {
		for i := range n {
			h.client.LearnToken(fmt.Sprintf("d/%03d", i))
		}
	}
	learn(328)
	all := h.tokenQueries()
	if len(all) != 2 || len(all[0].Leases) != 256 || len(all[1].Leases) != 72 || all[0].Leases[0] != "d/000" || all[1].Leases[71] != "d/327" {
		t.Fatalf("%d queries for 328 leases, not 2 of 256 and 72", len(all))
	}
	if learn(328); len(h.tokenQueries()) != 0 {
		t.Fatal("leases of pending queries were queried again")
	}
	// The first response has only the tokens of the first ten leases, and the second query fails.
	h.client.TokensLearned(all[0].Request, h.latestTokens(all[0].Leases)[:10])
	h.client.RequestFailed(all[1].Request)
	if n := len(h.tokenQueries()); n != 0 {
		t.Fatalf("queried again without a delay, %d times", n)
	}
	known := func() (n int) {
		for i := range 328 {
			if h.client.receiver.Learned(fmt.Sprintf("d/%03d", i)) {
				n++
			}
		}
		return n
	}
	if n := known(); n != 10 {
		t.Fatalf("knows the tokens of %d leases, not 10", n)
	}
	h.now = 1000 // all leases without a token are due again
	if all = h.tokenQueries(); len(all) != 2 || len(all[0].Leases) != 256 || len(all[1].Leases) != 62 || all[0].Leases[0] != "d/010" {
		t.Fatalf("%d queries after the delay, not 2 of 256 and 62", len(all))
	}
	// A response with more tokens than were queried, or without any, counts as empty.
	h.client.TokensLearned(all[0].Request, make([]lease.Token, 257))
	h.client.ResponseReceived(all[1].Request, leasestate.Result{})
	h.client.TokensLearned(all[1].Request, h.latestTokens(all[1].Leases)) // late: the query has ended
	if n := known(); n != 10 {
		t.Fatalf("knows the tokens of %d leases, not 10", n)
	}
	if h.runUntil(10000, true); known() != 328 {
		t.Errorf("knows the tokens of %d leases at the end, not 328", known())
	}
}

// While no response arrives, leases that were queried together stay in one query, and the delay between attempts grows.
func TestQueryTokens_BacksOffTogether(t *testing.T) {
	h := newHarness(t)
	for i := range 100 {
		h.client.LearnToken(fmt.Sprint(i))
	}
	n := 0
	for ; h.now < 60000; h.now += 10 {
		h.apply(leasestate.Entry{Kind: leasestate.AdvanceTime, Elapsed: 10})
		for _, decision := range h.tokenQueries() {
			if n++; len(decision.Leases) != 100 {
				t.Fatalf("attempt %d queries %d leases, not 100", n, len(decision.Leases))
			}
			h.client.RequestFailed(decision.Request)
		}
	}
	if n < 25 || n > 80 {
		t.Errorf("%d attempts in a minute", n)
	}
}

// Each lease in a query is learned with its own token. A long name is queried alone.
func TestQueryTokens_AnswersInOrderAndLongNamesAlone(t *testing.T) {
	h := newHarness(t)
	long := strings.Repeat("b", maxQueryBytes+1)
	for _, name := range []string{"c", long, "a", "d"} {
		h.client.LearnToken(name)
	}
	all := h.tokenQueries()
	if len(all) != 3 {
		t.Fatalf("%d queries", len(all))
	}
	for n, want := range [][]string{{"a"}, {long}, {"c", "d"}} {
		if !slices.Equal(all[n].Leases, want) {
			t.Fatalf("query %d is for %d leases, not for %d", n, len(all[n].Leases), len(want))
		}
	}
	h.client.TokensLearned(all[2].Request, []lease.Token{{Epoch: 1, Count: 7}, {Epoch: 1, Count: 3}})
	for name, count := range map[string]uint64{"c": 7, "d": 3} {
		if highest, _ := h.client.receiver.Highest(name); highest.Count != count {
			t.Errorf("%s has token %v, not %d", name, highest, count)
		}
	}
}
