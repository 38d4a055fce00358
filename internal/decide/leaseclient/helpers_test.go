package leaseclient

import (
	"testing"

	"wayloft/internal/decide/lease"
	"wayloft/internal/decide/leasestate"
	"wayloft/internal/decide/policy"
)

// harness is a client with a coordinator's lease state that responds to it at once.
type harness struct {
	t      *testing.T
	client *Client
	state  *leasestate.State
	index  uint64
	now    float64
	log    []leasestate.Kind // kinds of the entries proposed so far
}

func newHarness(t *testing.T, leases ...string) *harness {
	t.Helper()
	return &harness{t: t, state: leasestate.New("f"), client: New(Settings{
		Name: "p", Role: "router", Incarnation: 1, SessionTimeout: 1000, SafetyMargin: 100, Leases: leases, Seed: 1,
	})}
}

func (h *harness) apply(entry leasestate.Entry) leasestate.Result {
	h.index++
	return h.state.Apply(h.index, entry)
}

func (h *harness) latestTokens(names []string) (tokens []lease.Token) {
	for _, name := range names {
		tokens = append(tokens, h.state.LatestToken(name))
	}
	return tokens
}

// runUntil advances the time to end in steps of 10 ms. respond says whether the coordinator responds to proposals.
func (h *harness) runUntil(end float64, respond bool) (starts, stops int) {
	for ; h.now < end; h.now += 10 {
		h.apply(leasestate.Entry{Kind: leasestate.AdvanceTime, Elapsed: 10})
		h.client.Advance(h.now)
		for decision, more := h.client.Next(); more; decision, more = h.client.Next() {
			switch decision.Action {
			case Propose:
				if h.log = append(h.log, decision.Entry.Kind); respond {
					h.client.ResponseReceived(decision.Request, h.apply(decision.Entry))
				} else {
					h.client.RequestFailed(decision.Request)
				}
			case QueryTokens:
				h.client.TokensLearned(decision.Request, h.latestTokens(decision.Leases))
			case Start:
				starts++
			case Stop:
				stops++
			}
		}
	}
	return starts, stops
}

func (h *harness) count(kind leasestate.Kind) (n int) {
	for _, proposed := range h.log {
		if proposed == kind {
			n++
		}
	}
	return n
}

// propose commits a policy document of one field and returns its version.
func (h *harness) propose(value string) policy.Version {
	history := h.state.Policy()
	proposal := policy.Propose(history.Version, history.Document, policy.Document{"over_share_value": value}, "a", "to "+value)
	if result := h.apply(leasestate.Entry{Kind: leasestate.ProposePolicy, Proposal: &proposal}); !result.Held {
		h.t.Fatal(result)
	}
	return h.state.Policy().Version
}

// tokenQueries returns the token queries that are due, without a response, and responds to all proposals.
func (h *harness) tokenQueries() (all []Decision) {
	h.client.Advance(h.now)
	for decision, more := h.client.Next(); more; decision, more = h.client.Next() {
		switch decision.Action {
		case Propose:
			h.client.ResponseReceived(decision.Request, h.apply(decision.Entry))
		case QueryTokens:
			all = append(all, decision)
		}
	}
	return all
}
