package router

import (
	"fmt"
	"math"
	"testing"

	"wayloft/internal/decide/random"
)

// fleet is a number of routers that serve the same group independently. Members respond after a fixed time regardless of
// load, so that only slow start limits the routers.
type fleet struct {
	t        *testing.T
	settings *Settings
	now      float64
	routers  []*Router
	shares   []float64 // share of the traffic of each router
	random   random.Source
	rate     float64 // requests per ms over all routers
	ids      int
	pending  []pendingResponse
	sent     map[string][]float64 // send times by member
	primary  string
}

type pendingResponse struct {
	at     float64
	router int
	id     string
	member string
	check  bool
}

const (
	fleetTick, fleetLatency = 5.0, 20.0
	fleetMembers            = 4
)

func newFleet(t *testing.T, routers int, rate float64, seed uint64) *fleet {
	f := &fleet{t: t, rate: rate, random: random.Source{Seed: seed}, sent: map[string][]float64{}, primary: "m0",
		settings: &Settings{Routers: routers, MaxAttempts: 6, CanHealthCheck: true, CanCancel: true, SlowStartFloor: 0.2, SlowStartDuration: 10000,
			OverloadMultiple: 2.5, OverloadWindow: 2000, ListPollTimeout: 10000, LagBehavior: LagRejects, RequestClasses: map[string]*RequestClass{
				"x": {LatencyObjective: 500, Deadline: 2000, PriorityWeight: 1, LateWeightShare: 0.2, Level: Any}}}}
	sum := 0.0
	for n := range routers { // uneven: some get several times the mean
		f.routers = append(f.routers, New(f.settings, seed+uint64(n)*7919))
		f.shares = append(f.shares, math.Exp(1.0*math.Sqrt(-2*math.Log(f.random.Next()))*math.Cos(2*math.Pi*f.random.Next())))
		sum += f.shares[n]
	}
	for n := range f.shares {
		f.shares[n] /= sum
	}
	return f
}

// list passes a list to all routers, with the state and start of each member.
func (f *fleet) list(states map[string]State, started map[string]float64) {
	for _, r := range f.routers {
		r.Advance(f.now)
		r.BeginList()
		for n := range fleetMembers {
			id := fmt.Sprint("m", n)
			at := Never
			if x, listed := started[id]; listed {
				at = x
			}
			r.ListMember(id, "z", 1, states[id], at)
		}
		r.EndList(true)
	}
}

func (f *fleet) run(ms float64) {
	for end := f.now + ms; f.now < end; {
		f.now += fleetTick
		for n := range f.routers {
			f.routers[n].Advance(f.now)
		}
		later := f.pending[:0]
		for _, a := range f.pending {
			if a.at > f.now {
				later = append(later, a)
				continue
			}
			r, role := f.routers[a.router], Replica
			if a.member == f.primary {
				role = Primary
			}
			if a.check {
				r.MemberReported(a.member, role, f.now)
				r.HealthChecked(a.member, Succeeded)
			} else {
				r.AttemptEnded(a.id, 0, Succeeded, fleetLatency, true, role, f.now)
			}
		}
		f.pending = append([]pendingResponse(nil), later...)
		for n, r := range f.routers {
			for x := f.rate * fleetTick * f.shares[n]; x > 0; x-- {
				if x >= 1 || f.random.Next() < x {
					f.ids++
					r.RequestArrived(fmt.Sprint(f.ids), "", "", "x", 1, 0, 2000, false)
				}
			}
			r.TimerFired()
			for d, more := r.Next(); more; d, more = r.Next() {
				switch d.Action {
				case SendAttempt:
					f.sent[d.Member] = append(f.sent[d.Member], f.now)
					f.pending = append(f.pending, pendingResponse{f.now + fleetLatency, n, d.RequestID, d.Member, false})
				case HealthCheck:
					f.pending = append(f.pending, pendingResponse{f.now + fleetTick, n, "", d.Member, true})
				}
			}
		}
	}
}

// The slow start budget holds for the whole fleet: in every window of the configured length, all routers together send a
// member in slow start no more than the settings permit at that time, apart from random variation.
func TestSlowStart_BudgetHoldsForTheFleet(t *testing.T) {
	for _, c := range []struct {
		routers int
		rate    float64 // requests per second
		load    float64 // share of the members' capacity used before slow start
	}{{1, 100, 1}, {7, 100, 1}, {7, 20, 1}, {3, 100, 1}, {20, 100, 1}, {30, 100, 1}, {30, 400, 0.6}, {300, 100, 1}, {300, 400, 1}, {900, 300, 1}} {
		for seed := uint64(1); seed <= 2; seed++ {
			t.Run(fmt.Sprintf("%d routers, %.0f/s, load %.1f, seed %d", c.routers, c.rate, c.load, seed), func(t *testing.T) {
				t.Parallel()
				f := newFleet(t, c.routers, c.rate/1000, seed)
				up := map[string]State{}
				f.list(up, nil)
				f.run(20000)
				capacity := c.rate / fleetMembers / c.load / 1000 // capacity of one member in requests per ms
				start := f.now
				f.list(map[string]State{"m1": Removed}, nil)
				f.run(1000)
				f.list(up, map[string]float64{"m1": start}) // in slow start
				f.run(6500)
				f.list(map[string]State{"m2": Draining, "m3": Draining}, map[string]float64{"m1": start}) // the member in slow start has to serve all their reads
				f.rate *= 2
				f.run(3500)
				var all []float64
				for _, at := range f.sent["m1"] {
					if at >= start && at < start+f.settings.SlowStartDuration { // its slow start ends then
						all = append(all, at)
					}
				}
				worst, where, most, allowed := math.Inf(-1), 0.0, 0, 0.0
				for n, last := 0, 0; n < len(all); n++ {
					for last < len(all) && all[last] < all[n]+f.settings.OverloadWindow {
						last++
					}
					windowCenter := all[n] + f.settings.OverloadWindow/2 - start
					share := f.settings.SlowStartFloor + (1-f.settings.SlowStartFloor)*windowCenter/f.settings.SlowStartDuration
					budget := f.settings.OverloadMultiple * share * capacity * f.settings.OverloadWindow
					if over := (float64(last-n) - budget) / math.Sqrt(budget); over > worst {
						worst, where, most, allowed = over, all[n]-start, last-n, budget
					}
				}
				t.Logf("worst window at %.0f ms: %d sent, %.1f allowed, %.2f standard deviations over; %d in total", where, most, allowed, worst, len(all))
				if float64(most) > allowed+2*math.Sqrt(allowed)+2 {
					t.Errorf("%d sent in the window from %.0f ms after its start, want at most %.1f plus %.1f for random variation", most, where, allowed, 2*math.Sqrt(allowed)+2)
				}
				if float64(len(all)) < 0.1*capacity*10000 {
					t.Errorf("only %d sent during slow start: it is too strict", len(all))
				}
			})
		}
	}
}
