package lease

import (
	"fmt"
	"testing"
)

// Requests that were never answered are forgotten after a lease's duration, also while others are answered.
func TestHolder_ForgetsUnansweredRequests(t *testing.T) {
	h := NewHolder(Settings{Duration: 1000, SafetyMargin: 100, Seed: 1})
	h.Acquire()
	for now := 0.0; now < 100000; now += 50 {
		h.Advance(now)
		for d, more := h.Next(); more; d, more = h.Next() {
			if d.Action == RequestLease && d.Request%3 == 1 {
				h.Granted(d.Request, Token{1, 1})
			}
		}
		if _, valid := h.Valid(); !valid {
			t.Fatalf("%v: not acting", now)
		}
		if len(h.unanswered) > 10 {
			t.Fatalf("%v: %d requests are kept", now, len(h.unanswered))
		}
	}
}

// Guards against a look at one lease that costs by how many others there are: each heartbeat looks at all of them.
func TestReceiver_HighestExaminesOneLeaseOnly(t *testing.T) {
	const leases = 820
	r := NewReceiver()
	for n := range leases {
		name := fmt.Sprint("sight/", n)
		r.TokenLearned(name, Token{Epoch: 1})
		r.Check(Scope{Lease: name, Subject: name}, "a", Token{Epoch: 1, Count: uint64(n)})
	}
	for n := range leases {
		if token, holder := r.Highest(fmt.Sprint("sight/", n)); token.Count != uint64(n) || holder != "a" {
			t.Fatalf("lease %d: %v of %q", n, token, holder)
		}
	}
	if r.ScopesExamined != leases {
		t.Errorf("%d scopes were examined for %d leases of one scope each", r.ScopesExamined, leases)
	}
}
