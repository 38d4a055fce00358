package simulation

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"wayloft/internal/decide/healthshare"
	"wayloft/router"
)

const (
	healthSharingDurationMs = 20000
	// The mean number of requests per second of one router. One in requestsPerWrite is a write.
	requestsPerSecond = 12
	requestsPerWrite  = 6
	requestDeadlineMs = 2000
	// How long a member takes to execute a request, in ms: the minimum, and the mean of an exponentially distributed extra.
	minRequestMs       = 2
	meanExtraRequestMs = 5
	// proberTickMs is the interval at which the prober's clock advances, probeDurationMs how long a probe of a member takes.
	proberTickMs    = 5
	probeDurationMs = 2
	// maxArrivalDelayMs is the latest time at which the first request of a router arrives.
	maxArrivalDelayMs = 100
)

// groupMemberIDs are the IDs of the group's members; the first is the primary.
var groupMemberIDs = []string{"a", "b", "c", "d", "e"}

// HealthSharingResult reports the cost of health checks and the age of the positions by which replicas were chosen for reads.
type HealthSharingResult struct {
	ChecksPerRequest float64 // over the whole fleet
	PositionAgeMs    float64 // 99th percentile of the age of the positions by which replicas were chosen
	PrimaryShare     float64 // of the reads
	Requests         int
}

// RunHealthSharing runs routers in front of one group of five members for 20 s of simulated time. Each router gets, on average, ten
// reads with a staleness bound and two writes per second. If period (ms) is above 0, a prober checks each member once per period and
// sends its reports to all routers.
func RunHealthSharing(routers int, period float64, seed uint64) HealthSharingResult {
	w := &healthSharingWorld{rand: rand.New(rand.NewPCG(seed, 7))}
	for n := range routers {
		w.routers = append(w.routers, &sharingRouter{
			world:     w,
			number:    n,
			router:    router.New(healthSharingSettings(routers), seed+uint64(n)*7919),
			positions: map[string]float64{},
		})
	}
	for _, r := range w.routers {
		r.start()
	}
	if period > 0 {
		prober := healthshare.NewProber(period)
		prober.SetMembers(groupMemberIDs)
		w.After(1, func() { w.probe(prober) })
	}
	w.runUntil(healthSharingDurationMs, func() bool { return false })
	return w.result()
}

func healthSharingSettings(routers int) *router.Settings {
	return newRouterSettings(routers, map[string]*router.RequestClass{
		"read":  {LatencyObjective: 500, Deadline: 2000, PriorityWeight: 1, Level: router.Bounded, StalenessBound: 1500},
		"write": {LatencyObjective: 1000, Deadline: 5000, PriorityWeight: 1, LateWeightShare: 0.5, Effect: router.NonIdempotent, Level: router.Write},
	})
}

// healthSharingWorld is one run of RunHealthSharing.
type healthSharingWorld struct {
	timeline
	rand           *rand.Rand
	routers        []*sharingRouter
	checks         int
	requests       int
	reads          int
	primaryReads   int
	positionAgesMs []float64 // of replicas that reads were sent to
}

// position returns the role and the position that a member would report now.
func (w *healthSharingWorld) position(member string) (router.Role, float64) {
	if member == groupMemberIDs[0] {
		return router.Primary, w.Now
	}
	lagMs := 5 + 20*float64(member[0]-'a')
	return router.Replica, w.Now - lagMs
}

// probe executes the prober's decisions, and reschedules itself at proberTickMs intervals.
func (w *healthSharingWorld) probe(prober *healthshare.Prober) {
	prober.Advance(w.Now)
	for d, more := prober.Next(); more; d, more = prober.Next() {
		if d.Action == healthshare.Probe {
			w.checks++
			w.After(probeDurationMs, func() {
				role, position := w.position(d.Member)
				prober.Reported(healthshare.Report{Member: d.Member, Position: position, Primary: role == router.Primary, Replica: role == router.Replica, At: w.Now})
			})
			continue
		}
		for _, r := range w.routers {
			w.After(0.5+w.rand.Float64(), func() { r.reportsReceived(d.Reports) })
		}
	}
	w.After(proberTickMs, func() { w.probe(prober) })
}

func (w *healthSharingWorld) result() HealthSharingResult {
	result := HealthSharingResult{
		ChecksPerRequest: float64(w.checks) / float64(w.requests),
		PrimaryShare:     float64(w.primaryReads) / float64(max(1, w.reads)),
		Requests:         w.requests,
	}
	slices.Sort(w.positionAgesMs)
	if count := len(w.positionAgesMs); count > 0 {
		result.PositionAgeMs = w.positionAgesMs[count*99/100]
	}
	return result
}

// sharingRouter is one router, with the clients that send it requests.
type sharingRouter struct {
	world     *healthSharingWorld
	number    int
	router    *router.Router
	positions map[string]float64 // by member: the highest position that this router has learned
	timer     resettableTimer
}

// start lists the members and schedules the first request.
func (r *sharingRouter) start() {
	r.update(func(to *router.Router) {
		to.BeginList()
		for _, id := range groupMemberIDs {
			to.ListMember(id, "z", 0, router.Up, router.Never)
		}
		to.EndList(true)
	})
	r.world.After(r.world.rand.Float64()*maxArrivalDelayMs, r.sendRequests)
}

// update passes an input to the router and executes the router's decisions.
func (r *sharingRouter) update(input func(*router.Router)) {
	r.router.Advance(r.world.Now)
	input(r.router)
	for d, more := r.router.Next(); more; d, more = r.router.Next() {
		switch d.Action {
		case router.HealthCheck:
			r.healthCheck(d.Member)
		case router.SendAttempt:
			r.sendAttempt(d)
		case router.SetTimer:
			r.timer.set(r.world.After, d.Time-r.world.Now, func() { r.update((*router.Router).TimerFired) })
		}
	}
}

// sendRequests sends a request and schedules the next one after a random time.
func (r *sharingRouter) sendRequests() {
	w := r.world
	w.requests++
	id, class := fmt.Sprint("r", r.number, "-", w.requests), "read"
	if w.rand.IntN(requestsPerWrite) == 0 {
		id, class = fmt.Sprint("w", r.number, "-", w.requests), "write"
	}
	r.update(func(to *router.Router) { to.RequestArrived(id, "", "", class, 0, 0, requestDeadlineMs, false) })
	w.After(w.rand.ExpFloat64()*1000/requestsPerSecond, r.sendRequests)
}

func (r *sharingRouter) healthCheck(member string) {
	w := r.world
	w.checks++
	w.After(1+w.rand.Float64(), func() {
		role, position := w.position(member)
		w.After(1, func() {
			r.learn(member, position)
			r.update(func(to *router.Router) {
				to.MemberReported(member, role, position)
				to.HealthChecked(member, router.Succeeded)
			})
		})
	})
}

func (r *sharingRouter) sendAttempt(d router.Decision) {
	w := r.world
	if isRead := d.RequestID[0] == 'r'; isRead {
		w.reads++
		if d.Member == groupMemberIDs[0] {
			w.primaryReads++
		} else {
			w.positionAgesMs = append(w.positionAgesMs, w.Now-r.positions[d.Member])
		}
	}
	durationMs := minRequestMs + w.rand.ExpFloat64()*meanExtraRequestMs
	w.After(durationMs, func() {
		role, position := w.position(d.Member)
		r.learn(d.Member, position)
		r.update(func(to *router.Router) {
			to.AttemptEnded(d.RequestID, d.Attempt, router.Succeeded, durationMs, true, role, position)
		})
	})
}

// reportsReceived handles reports from the prober.
func (r *sharingRouter) reportsReceived(reports []healthshare.Report) {
	for _, report := range reports {
		role := router.Replica
		if report.Primary {
			role = router.Primary
		}
		r.learn(report.Member, report.Position)
		r.update(func(to *router.Router) { to.PeerReported(report.Member, router.Never, role, report.Position) })
	}
}

func (r *sharingRouter) learn(member string, position float64) {
	r.positions[member] = max(r.positions[member], position)
}
