package router

import (
	"fmt"
	"testing"
)

// Where no connection is left here, each attempt comes back unmade at once. Guards against asking one member after the other
// for as long as the request lives, in one instant: nothing else would be heard meanwhile.
func TestUnmadeSubmissionsEndInOneInstant(t *testing.T) {
	for _, members := range []int{1, 2, 5} {
		r := New(&Settings{Routers: 1, MaxAttempts: 6, CanHealthCheck: true, RequestClasses: map[string]*RequestClass{"read": {LatencyObjective: 500, Deadline: 1000, PriorityWeight: 1}}}, 1)
		r.Advance(1000)
		r.BeginList()
		for n := range members {
			r.ListMember(fmt.Sprint("m", n), "z", 1, Up, Never)
		}
		r.EndList(true)
		sent, first := 0, 0
		step := func(now float64) {
			r.Advance(now)
			r.TimerFired()
			for d, more := r.Next(); more; d, more = r.Next() {
				switch d.Action {
				case HealthCheck:
					r.HealthChecked(d.Member, Succeeded)
				case SendAttempt:
					if sent++; sent-first > 6 {
						t.Fatalf("%d members: submitted %d times in one instant", members, sent-first)
					}
					r.AttemptEnded("t", sent-1, NotSent, 0, false, RoleUnknown, Never)
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
