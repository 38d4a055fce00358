package router

import (
	"math"
	"testing"
)

// An attempt is permitted only for a limited time, which is passed on with it: while its connection is being
// established, a member's known position ages and the window for retries closes.
func TestSendAttempt_NotAfter(t *testing.T) {
	r := New(&Settings{Routers: 1, MaxAttempts: 6, CanHealthCheck: true, LagBehavior: LagServes, RequestClasses: map[string]*RequestClass{
		"read": {LatencyObjective: 500, Deadline: 2000, PriorityWeight: 1, Level: Bounded, StalenessBound: 700},
		"any":  {LatencyObjective: 500, Deadline: 2000, PriorityWeight: 1, Level: Any},
		"put":  {LatencyObjective: 500, Deadline: 2000, PriorityWeight: 1, LateWeightShare: 0.5, Level: Write, Effect: IdempotentWithKey, Scope: ScopeGroup, IdempotencyWindow: 900}}}, 1)
	sentTo := func(id string) (to string, by float64) {
		t.Helper()
		for d, more := r.Next(); more; d, more = r.Next() {
			if d.Action == SendAttempt && d.RequestID == id {
				to, by = d.Member, d.NotAfter
			}
		}
		if to == "" {
			t.Fatalf("%s was not sent", id)
		}
		return to, by
	}
	r.Advance(1000)
	r.BeginList()
	r.ListMember("p", "z", 1, Up, Never)
	r.ListMember("c", "z", 1, Up, Never)
	r.EndList(true)
	r.MemberReported("p", Primary, 990)
	r.HealthChecked("p", Succeeded)
	r.MemberReported("c", Replica, 800)
	r.HealthChecked("c", Succeeded)
	for _, m := range r.members {
		m.lastCheckSent = 995
	}
	for _, c := range []struct {
		class, to string
		by        float64
	}{{"read", "c", 800 + 700 - maxStall}, {"any", "c", math.Inf(1)}, {"put", "p", math.Inf(1)}} {
		r.Advance(1000)
		r.RequestArrived(c.class, "", "", c.class, 1, 0, 2000, false)
		if to, by := sentTo(c.class); to != c.to || by != c.by {
			t.Errorf("%s: sent to %s with NotAfter %v, want %s with %v", c.class, to, by, c.to, c.by)
		}
		if c.class != "put" {
			r.AttemptEnded(c.class, 0, Succeeded, 10, true, Replica, Never)
		}
	}
	r.Advance(1100)
	r.AttemptEnded("put", 0, ServerError, 100, false, Primary, Never)
	if _, by := sentTo("put"); by != 1000+900-maxStall {
		t.Errorf("retry with NotAfter %v, want %v", by, 1900-maxStall)
	}
}

// A router may stall for 0.15 s between reading its clock and a write, and the rules grant 50 ms of slack: nothing may
// be decided that would be too late after such a stall. Tests both sides of the limit.
func TestSendAttempt_LeavesRoomForAStall(t *testing.T) {
	const stall, slack = 150.0, 50.0
	set := &Settings{Routers: 1, MaxAttempts: 6, CanHealthCheck: true, LagBehavior: LagServes, RequestClasses: map[string]*RequestClass{
		"read": {LatencyObjective: 500, Deadline: 2000, PriorityWeight: 1, Level: Bounded, StalenessBound: 300},
		"put":  {LatencyObjective: 500, Deadline: 5000, PriorityWeight: 1, LateWeightShare: 0.5, Level: Write, Effect: IdempotentWithKey, Scope: ScopeGroup, IdempotencyWindow: 900}}}
	begin := func(position float64) *Router {
		r := New(set, 1)
		r.Advance(1000)
		r.BeginList()
		r.ListMember("p", "z", 1, Up, Never)
		r.ListMember("c", "z", 1, Up, Never)
		r.EndList(true)
		r.MemberReported("p", Primary, 1000)
		r.HealthChecked("p", Succeeded)
		r.MemberReported("c", Replica, position)
		r.HealthChecked("c", Succeeded)
		for _, m := range r.members {
			m.lastCheckSent = 1000
		}
		return r
	}
	sent := func(r *Router) (d Decision) {
		for next, more := r.Next(); more; next, more = r.Next() {
			if next.Action == SendAttempt {
				d = next
			}
		}
		return d
	}
	for _, c := range []struct {
		position float64
		to       string
	}{{1000 - 300 + stall - slack, "c"}, {1000 - 300 + stall - slack - 1, ""}, {1000 - 300, ""}} {
		r := begin(c.position)
		r.RequestArrived("1", "", "", "read", 1, 0, 2000, false)
		d := sent(r)
		if d.Member == "c" && d.NotAfter+stall > c.position+300+slack {
			t.Errorf("position %v: after a stall it may be written as late as %v, but the data is too old from %v on", c.position, d.NotAfter+stall, c.position+300+slack)
		}
		if (d.Member == "c") != (c.to == "c") {
			t.Errorf("position %v: sent to %q, want %q", c.position, d.Member, c.to)
		}
	}
	for _, c := range []struct {
		at   float64
		sent bool
	}{{1000 + 900 - stall + slack, true}, {1000 + 900 - stall + slack + 1, false}} {
		r := begin(1000)
		r.RequestArrived("1", "", "", "put", 1, 0, 5000, false)
		if sent(r).Member != "p" {
			t.Fatal("the first attempt was not sent")
		}
		r.Advance(c.at)
		r.MemberReported("p", Primary, c.at)
		r.AttemptEnded("1", 0, ServerError, 10, false, Primary, Never)
		if d := sent(r); (d.Member == "p") != c.sent || c.sent && d.NotAfter+stall > 1000+900+slack {
			t.Errorf("retry at %v: sent to %q with NotAfter %v", c.at, d.Member, d.NotAfter)
		}
	}
}
