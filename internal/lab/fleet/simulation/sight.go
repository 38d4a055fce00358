package simulation

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"

	"wayloft/internal/decide/healthshare"
	"wayloft/router"
)

// HealthSharingResult is what health sharing came to: checks for each request over the whole fleet, the age of the positions that reads rested on, and
// how many reads the primary had to take.
type HealthSharingResult struct {
	ChecksPerRequest float64
	PositionAgeMs    float64 // ms, 99th percentile
	PrimaryShare     float64
	Requests         int
}

// Health sharing plays so many routers' modules before one group of five, each with ten bounded reads and two writes a second, for 20 s in
// simulated time; with health sharing, its owner asks each member once a period and all others hear of it.
func RunHealthSharing(routers int, period float64, seed uint64) HealthSharingResult {
	r := rand.New(rand.NewPCG(seed, 7))
	ids := []string{"a", "b", "c", "d", "e"}
	set := &router.Settings{Routers: routers, ListPollTimeout: 10000, SlowStartFloor: 0.2, SlowStartDuration: 1000, OverloadMultiple: 2.5, OverloadWindow: 2000, MaxAttempts: 6,
		CanHealthCheck: true, CanCancel: true, RetryAfter: 1000, Tenants: map[string]float64{}, RequestClasses: map[string]*router.RequestClass{
			"read":  {LatencyObjective: 500, Deadline: 2000, PriorityWeight: 1, Level: router.Bounded, StalenessBound: 1500},
			"write": {LatencyObjective: 1000, Deadline: 5000, PriorityWeight: 1, LateWeightShare: 0.5, Effect: router.NonIdempotent, Level: router.Write}}}
	var now float64
	var q eventQueue
	seq := 0
	after := func(ms float64, do func()) {
		seq++
		heap.Push(&q, event{now + ms, seq, do})
	}
	lag := func(id string) float64 { return 5 + 20*float64(id[0]-'a') }
	position := func(id string) (router.Role, float64) {
		if id == "a" {
			return router.Primary, now
		}
		return router.Replica, now - lag(id)
	}
	checks, txns, atPrimary, reads := 0, 0, 0, 0
	var ages []float64
	known := make([]map[string]float64, routers) // positions, as each router knows them
	all := make([]*router.Router, routers)
	var pull func(n int)
	alarms := make([]int, routers)
	hear := func(n int, f func(*router.Router)) {
		all[n].Advance(now)
		f(all[n])
		pull(n)
	}
	told := func(n int, id string, at float64) { known[n][id] = max(known[n][id], at) }
	pull = func(n int) {
		for d, more := all[n].Next(); more; d, more = all[n].Next() {
			switch d.Action {
			case router.HealthCheck:
				checks++
				after(1+r.Float64(), func() {
					role, at := position(d.Member)
					after(1, func() {
						told(n, d.Member, at)
						hear(n, func(m *router.Router) { m.Reported(d.Member, role, at); m.HealthChecked(d.Member, router.Succeeded) })
					})
				})
			case router.SendAttempt:
				if d.RequestID[0] == 'r' {
					if reads++; d.Member == "a" {
						atPrimary++
					} else {
						ages = append(ages, now-known[n][d.Member])
					}
				}
				took := 2 + r.ExpFloat64()*5
				after(took, func() {
					role, at := position(d.Member)
					told(n, d.Member, at)
					hear(n, func(m *router.Router) { m.AttemptEnded(d.RequestID, d.Attempt, router.Succeeded, took, true, role, at) })
				})
			case router.SetTimer:
				alarms[n]++ // the one before is stopped, as the host does
				k := alarms[n]
				after(d.Time-now, func() {
					if k == alarms[n] {
						hear(n, func(m *router.Router) { m.TimerFired() })
					}
				})
			}
		}
	}
	seqs := make([]map[string]int, routers)
	for n := range all {
		all[n], known[n], seqs[n] = router.New(set, seed+uint64(n)*7919), map[string]float64{}, map[string]int{}
		hear(n, func(m *router.Router) {
			m.BeginList()
			for _, id := range ids {
				m.ListMember(id, "z", 0, router.Up, router.Never)
			}
			m.EndList(true)
		})
		var arrive func()
		arrive = func() {
			txns++
			id, kind := fmt.Sprint("r", n, "-", txns), "read"
			if r.IntN(6) == 0 {
				id, kind = fmt.Sprint("w", n, "-", txns), "write"
			}
			hear(n, func(m *router.Router) { m.Arrive(id, "", "", kind, 0, 0, 2000, false) })
			after(r.ExpFloat64()*1000/12, arrive)
		}
		after(r.Float64()*100, arrive)
	}
	if period > 0 {
		o := healthshare.NewProber(period)
		o.SetMembers(ids)
		var turn func()
		turn = func() {
			o.Advance(now)
			for d, more := o.Next(); more; d, more = o.Next() {
				if d.Action == healthshare.Probe {
					checks++
					after(2, func() {
						role, at := position(d.Member)
						o.Reported(healthshare.Report{Member: d.Member, Position: at, Primary: role == router.Primary, Replica: role == router.Replica, At: now})
					})
					continue
				}
				for n := range all {
					after(0.5+r.Float64(), func() {
						for _, rep := range d.Reports {
							role := router.Replica
							if rep.Primary {
								role = router.Primary
							}
							told(n, rep.Member, rep.Position)
							hear(n, func(m *router.Router) { m.PeerReported(rep.Member, router.Never, role, rep.Position) })
						}
					})
				}
			}
			after(5, turn)
		}
		after(1, turn)
	}
	for len(q) > 0 {
		e := heap.Pop(&q).(event)
		if now = e.atMs; now > 20000 {
			break
		}
		e.do()
	}
	slices.Sort(ages)
	s := HealthSharingResult{ChecksPerRequest: float64(checks) / float64(txns), PrimaryShare: float64(atPrimary) / float64(max(1, reads)), Requests: txns}
	if len(ages) > 0 {
		s.PositionAgeMs = ages[len(ages)*99/100]
	}
	return s
}
