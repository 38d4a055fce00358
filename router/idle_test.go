package router

import (
	"fmt"
	"testing"
)

// spread is a router before so many groups of one member, each of which has had a txn.
func spread(groups int) (r *Router, pull func(now float64) (out []Decision)) {
	r = New(&Settings{Routers: 1, Submissions: 6, CanCheck: true, CanRevoke: true, ColdFrom: 0.2, WarmUp: 10000, FallMultiple: 2.5,
		FallWindow: 2000, AskWithin: 10000, TxnTypes: map[string]*TxnType{"any": {SLA: 100, Expiry: 1000, Value: 1, LateValue: 0.5, Level: Any}}}, 1)
	r.At(1)
	r.ListStart()
	for n := range groups {
		r.Listed(fmt.Sprint("m", n), "", n, Up, Never)
	}
	r.ListEnd(true)
	pull = func(now float64) (out []Decision) {
		r.At(now)
		for d, more := r.Next(); more; d, more = r.Next() {
			out = append(out, d)
			switch d.Verb {
			case Check:
				r.Checked(d.Member, Committed)
				r.Reported(d.Member, Replica, now)
			case Submit:
				r.Returned(d.Txn, 0, Committed, 5, true, Replica, now)
			}
		}
		return out
	}
	for n := range groups {
		r.At(float64(2 + n))
		r.Arrive(fmt.Sprint("t", n), "", "", "any", n, 0, 1000, false)
		pull(float64(2 + n))
		pull(float64(2 + n)) // what waited for the check
	}
	return r, pull
}

func BenchmarkGroupsInUse(b *testing.B) {
	for _, groups := range []int{1, 100, 820} {
		b.Run(fmt.Sprint(groups), func(b *testing.B) {
			r, pull := spread(groups)
			now := 5000.0
			for n := range b.N {
				now += 0.36 // 2,790 a second
				id := fmt.Sprint("x", n)
				r.At(now)
				r.Arrive(id, "", "", "any", n%groups, 0, 1000, false)
				pull(now)
			}
		})
	}
}

// Guards against inputs that cost by how many groups are in use, and not by what is due.
func TestOneGroupsTxnsTouchNoOther(t *testing.T) {
	r, pull := spread(820)
	now := 1e6
	for len(pull(now)) > 0 { // what was due meanwhile
		now++
	}
	before := r.used.Taken
	for n := range 50 {
		now++
		r.At(now)
		r.Arrive(fmt.Sprint("x", n), "", "", "any", 7, 0, 1000, false)
		pull(now)
	}
	if n := r.used.Taken - before; n > 100 { // its arrival, and at most one check's end
		t.Errorf("50 txns of one group went over groups %d times, of %d in use", n, r.used.Len())
	}
}
