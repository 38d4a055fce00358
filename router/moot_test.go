package router

import (
	"fmt"
	"testing"
)

// Where no connection is left here, each submission comes back unmade at once. Guards against asking one member after the other
// for as long as the txn lives, in one instant: nothing else would be heard meanwhile.
func TestUnmadeSubmissionsEndInOneInstant(t *testing.T) {
	for _, members := range []int{1, 2, 5} {
		r := New(&Settings{Routers: 1, Submissions: 6, CanCheck: true, TxnTypes: map[string]*TxnType{"read": {SLA: 500, Expiry: 1000, Value: 1}}}, 1)
		r.At(1000)
		r.ListStart()
		for n := range members {
			r.Listed(fmt.Sprint("m", n), "z", 1, Up, Never)
		}
		r.ListEnd(true)
		sent, first := 0, 0
		step := func(now float64) {
			r.At(now)
			r.Rang()
			for d, more := r.Next(); more; d, more = r.Next() {
				switch d.Verb {
				case Check:
					r.Checked(d.Member, Committed)
				case Submit:
					if sent++; sent-first > 6 {
						t.Fatalf("%d members: submitted %d times in one instant", members, sent-first)
					}
					r.Returned("t", sent-1, Moot, 0, false, Unsaid, Never)
				}
			}
			first = sent
		}
		r.Arrive("t", "", "", "read", 1, 0, 1000, false)
		for now := 1000.; now < 2100; now += 5 {
			step(now)
		}
		if sent == 0 {
			t.Errorf("%d members: never submitted", members)
		}
	}
}
