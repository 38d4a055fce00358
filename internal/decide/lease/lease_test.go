package lease

import (
	"fmt"
	"testing"
)

// Requests without a response are dropped after the lease duration, also while other requests are answered.
func TestHolder_DropsUnansweredRequests(t *testing.T) {
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
			t.Fatalf("at %v: lease not valid", now)
		}
		if len(h.unanswered) > 10 {
			t.Fatalf("at %v: %d unanswered requests are kept", now, len(h.unanswered))
		}
	}
}

// Guards against Highest taking time proportional to the number of all leases: leaseclient calls it for every watched lease at each heartbeat response.
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
			t.Fatalf("lease %d: highest token %v, holder %q", n, token, holder)
		}
	}
	if r.ScopesExamined != leases {
		t.Errorf("%d scopes were examined for %d leases of one scope each", r.ScopesExamined, leases)
	}
}
