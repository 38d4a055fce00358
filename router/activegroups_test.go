package router

import (
	"fmt"
	"testing"
)

// routerWithGroups returns a router with this many single-member groups, each of which has had a request, and a function
// that carries out all decisions at a given time.
func routerWithGroups(groups int) (r *Router, pull func(now float64) (out []Decision)) {
	r = New(&Settings{Routers: 1, MaxAttempts: 6, CanHealthCheck: true, CanCancel: true, SlowStartFloor: 0.2, SlowStartDuration: 10000,
		OverloadMultiple: 2.5, OverloadWindow: 2000, ListPollTimeout: 10000, RequestClasses: map[string]*RequestClass{
			"any": {LatencyObjective: 100, Deadline: 1000, PriorityWeight: 1, LateWeightShare: 0.5, Level: Any}}}, 1)
	r.Advance(1)
	r.BeginList()
	for n := range groups {
		r.ListMember(fmt.Sprint("m", n), "", n, Up, Never)
	}
	r.EndList(true)
	pull = func(now float64) (out []Decision) {
		r.Advance(now)
		for d, more := r.Next(); more; d, more = r.Next() {
			out = append(out, d)
			switch d.Action {
			case HealthCheck:
				r.HealthChecked(d.Member, Succeeded)
				r.MemberReported(d.Member, Replica, now)
			case SendAttempt:
				r.AttemptEnded(d.RequestID, 0, Succeeded, 5, true, Replica, now)
			}
		}
		return out
	}
	for n := range groups {
		r.Advance(float64(2 + n))
		r.RequestArrived(fmt.Sprint("t", n), "", "", "any", n, 0, 1000, false)
		pull(float64(2 + n))
		pull(float64(2 + n)) // requests that waited for the check
	}
	return r, pull
}

func BenchmarkGroupsInUse(b *testing.B) {
	for _, groups := range []int{1, 100, 820} {
		b.Run(fmt.Sprint(groups), func(b *testing.B) {
			r, pull := routerWithGroups(groups)
			now := 5000.0
			for n := range b.N {
				now += 0.36 // 2,790 requests per second
				id := fmt.Sprint("x", n)
				r.Advance(now)
				r.RequestArrived(id, "", "", "any", n%groups, 0, 1000, false)
				pull(now)
			}
		})
	}
}

// Guards against inputs whose cost grows with the number of active groups rather than with the number of groups that are
// due.
func TestArrive_VisitsNoOtherGroup(t *testing.T) {
	r, pull := routerWithGroups(820)
	now := 1e6
	for len(pull(now)) > 0 { // work that became due in the meantime
		now++
	}
	before := r.activeGroups.Expirations
	for n := range 50 {
		now++
		r.Advance(now)
		r.RequestArrived(fmt.Sprint("x", n), "", "", "any", 7, 0, 1000, false)
		pull(now)
	}
	if n := r.activeGroups.Expirations - before; n > 100 { // one visit for the arrival, at most one for the end of a check
		t.Errorf("50 requests for one group caused %d group visits with %d active groups", n, r.activeGroups.Len())
	}
}
