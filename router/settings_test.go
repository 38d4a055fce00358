package router

import (
	"fmt"
	"math"
	"slices"
	"testing"
)

// New settings apply to later requests only, and no measurements are lost: those of tenants and request classes are
// kept, those of a tenant that no longer has a quota are dropped, and scaling all weights by the same factor changes no
// decision.
func TestUpdateSettings_KeepsWhatWasLearned(t *testing.T) {
	newSettings := func(scale float64, tenants map[string]float64) *Settings {
		s := &Settings{Routers: 1, MaxAttempts: 6, CanHealthCheck: true, CanCancel: true, SlowStartFloor: 0.2, SlowStartDuration: 1, OverloadMultiple: 2, OverloadWindow: 1000,
			RetryAfter: 1000, OverQuotaWeight: 0.1, Tenants: tenants, RequestClasses: map[string]*RequestClass{}}
		for n, name := range []string{"light", "fair", "heavy"} {
			s.RequestClasses[name] = &RequestClass{LatencyObjective: 100, Deadline: 3000, PriorityWeight: scale * math.Pow(10, float64(n)), LateWeightShare: 0.5, Level: Any}
		}
		return s
	}
	quotas := map[string]float64{"acme": 100, "zeta": 5}
	simulate := func(every int, scale float64) (decisions []string, rejected int) {
		r, sent := New(newSettings(1, quotas), 7), map[string]int{}
		r.Advance(1)
		r.BeginList()
		r.ListMember("a", "z", 1, Up, Never)
		r.ListMember("b", "z", 1, Up, Never)
		r.EndList(true)
		for at := 150; at < 60000; at += 150 { // few enough requests that the admission probability depends on the weight
			r.Advance(float64(at))
			r.TimerFired()
			if every > 0 && at%every == 0 {
				factor := math.Pow(scale, float64(at/every))
				r.UpdateSettings(newSettings(factor, quotas))
			}
			r.RequestArrived(fmt.Sprint(at), []string{"acme", "zeta", ""}[at/150%3], "", []string{"heavy", "light", "fair", "light"}[at/150%4], 1, 0, 1000, false)
			for d, more := r.Next(); more; d, more = r.Next() {
				decisions = append(decisions, fmt.Sprint(at, d.Action, d.RequestID, d.Member))
				switch d.Action {
				case HealthCheck:
					r.MemberReported(d.Member, Replica, float64(at))
					r.HealthChecked(d.Member, Succeeded)
				case SendAttempt:
					outcome := Succeeded
					if at > 20000 && at < 40000 && at%900 != 0 { // overload
						outcome = Overloaded
					}
					r.AttemptEnded(d.RequestID, sent[d.RequestID], outcome, 20, outcome == Succeeded, Replica, float64(at))
					sent[d.RequestID]++
				case RejectRequest:
					rejected++
				}
			}
		}
		return decisions, rejected
	}
	want, rejected := simulate(0, 1)
	if rejected == 0 {
		t.Fatal("no request was rejected: there was no overload")
	}
	for _, c := range []struct {
		every int
		scale float64
	}{{1500, 1}, {9000, 2}, {6000, 0.5}} {
		if got, _ := simulate(c.every, c.scale); !slices.Equal(got, want) {
			t.Errorf("scaling the weights by %v every %d ms changed the decisions", c.scale, c.every)
		}
	}

	set := newSettings(1, quotas)
	r := New(set, 1)
	r.Advance(1000)
	r.RequestArrived("open", "acme", "", "heavy", 1, 0, 1000, false)
	open, stats, arrivals := r.requests["open"], r.statsByClass[set.RequestClasses["heavy"]], r.tenantArrivals["acme"]
	next := newSettings(3, map[string]float64{"acme": 7, "new": 1})
	next.RequestClasses["heavy"].LateWeightShare = 0
	r.UpdateSettings(next)
	r.RequestArrived("later", "acme", "", "heavy", 1, 0, 1000, false)
	if later := r.requests["later"]; open.weight != 100 || open.class.LateWeightShare != 0.5 || later.weight != 300 || later.class.LateWeightShare != 0 {
		t.Errorf("open request: weight %v, late share %v; later request: weight %v, late share %v", open.weight, open.class.LateWeightShare, later.weight, later.class.LateWeightShare)
	}
	if r.statsByClass[next.RequestClasses["heavy"]] != stats || r.tenantArrivals["acme"] != arrivals || r.tenantArrivals["new"] == nil || r.tenantArrivals["zeta"] != nil ||
		len(r.statsByClass) != 3 || len(r.tenantArrivals) != 2 {
		t.Errorf("class statistics %v, tenants %v", r.statsByClass, r.tenantArrivals)
	}
}
