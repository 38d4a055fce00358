package router

import (
	"fmt"
	"slices"
	"testing"
)

// While health checks by another router are reported, a router skips its own routine checks; they resume within one
// period after the reports stop.
func TestPeerReported_SparesHealthChecks(t *testing.T) {
	read := &RequestClass{LatencyObjective: 500, PriorityWeight: 1, Deadline: 1000, Level: Bounded, StalenessBound: 900}
	roles := map[string]Role{"a": Primary, "b": Replica, "c": Replica}
	checkTimes := func(peersUpTo float64) (checks []float64) {
		r := New(&Settings{Routers: 1, MaxAttempts: 6, CanHealthCheck: true, SlowStartFloor: 1, SlowStartDuration: 1, OverloadMultiple: 2, OverloadWindow: 1000,
			RequestClasses: map[string]*RequestClass{"read": read}}, 1)
		r.Advance(1)
		r.BeginList()
		for _, id := range []string{"a", "b", "c"} {
			r.ListMember(id, "z", 1, Up, Never)
		}
		r.EndList(true)
		for at := 10.0; at < 10000; at += 10 {
			r.Advance(at)
			if int(at)%200 == 0 && at < peersUpTo {
				for _, id := range []string{"a", "b", "c"} {
					r.PeerReported(id, Never, roles[id], at)
				}
			}
			id := fmt.Sprint(at)
			r.RequestArrived(id, "", "", "read", 1, 0, 1000, false)
			for d, more := r.Next(); more; d, more = r.Next() {
				switch d.Action {
				case HealthCheck:
					checks = append(checks, at)
					r.MemberReported(d.Member, roles[d.Member], at)
					r.HealthChecked(d.Member, Succeeded)
				case SendAttempt:
					r.AttemptEnded(d.RequestID, d.Attempt, Succeeded, 5, true, roles[d.Member], at)
				}
			}
		}
		return checks
	}
	alone, helped, quiet := checkTimes(0), checkTimes(1e9), checkTimes(5000)
	if len(helped) > 6 || len(alone) < 60 {
		t.Errorf("%d checks without peer reports, %d with them", len(alone), len(helped))
	}
	back := slices.IndexFunc(quiet, func(at float64) bool { return at > 5000 })
	if back < 0 || quiet[back] > 4800+routineCheckPeriod+100 {
		t.Errorf("last peer reports at 4,800; checks: %v", quiet)
	}
}
