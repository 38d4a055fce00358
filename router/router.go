package router

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"wayloft/internal/decide/decay"
	"wayloft/internal/decide/lastcommit"
	"wayloft/internal/decide/random"
	"wayloft/internal/decide/timerqueue"
)

const (
	tick                = 10.0     // ms between two looks at what waits, and least between two checks of one member (docs/design.md)
	minSmoothingSpan    = 3000.0   // ms over which measurements decay, at the least: a few latency objectives
	maxSmoothingSpan    = 30000.0  // and at the most: faults come and go in tens of seconds
	smoothingSample     = 30.0     // requests that a smoothing span should hold, so that one answer does not swing it
	priorWeight         = 3.0      // answers that an initial assumption weighs as much as
	maxStall            = 100.0    // ms that this router may be stalled between its clock and a write, less the slack of the rules
	silenceLooksPerWait = 5        // looks at a silence in one expected wait
	earlyTimerLeeway    = tick / 2 // ms: a timer that fires earlier than by this tells nothing of pauses
	checksPerBound      = 3        // health checks in one staleness bound
)

// Router decides for one instance. See the package comment for how it is driven.
type Router struct {
	settings       *Settings
	random         random.Source
	now, startedAt float64
	smoothingSpan  float64 // ms over which measurements decay

	// Members, groups and the endpoint list.
	members         map[string]*member
	groups          map[int]*group
	listed          map[string]bool              // the list being read: member to whether it is not removed
	busyMembers     []*member                    // those with attempts in flight
	membersToClose  []*member                    // whose idle connections are to be closed
	activeGroups    timerqueue.FairQueue[*group] // groups that have had traffic, by when a check may be due
	minCheckPeriod  float64                      // the shortest check period
	mostMembersUp   float64                      // the most members that were up at once
	nextListRequest float64                      // when to ask for the list again
	listRequestedAt float64                      // when it was asked for last

	// Requests.
	requests          map[string]*request
	waiting           []*request
	waitingSorted     bool     // since the last input
	cursor            int      // which of waiting is looked at next
	lastUnplaced      *request // the last request for which no member was found, since the last input
	suspicionsUpdated bool     // since the last input
	timerAt           float64  // when the timer that is out fires; +Inf: none is
	sessionCommits    lastcommit.Commits
	statsByClass      map[*RequestClass]*classStats
	tenantArrivals    map[string]*decay.Sum

	// Measurements over all groups.
	admission          byRole[float64]    // probability of admitting a request
	slowResponses      byRole[decay.Mean] // share of responses that were slow
	arrivals           decay.Sum          // requests
	arrivedWeight      decay.Sum          // weight by work of the requests that arrived
	completedWork      decay.Sum          // latency objectives of requests that succeeded: unlike latency, steady under overload
	workRate           float64            // the most of it in a ms for each member
	refusedConnections decay.Sum          // by members whose checks went on passing
	answeredAttempts   decay.Sum
	lostAttempts       decay.Sum // whose answers were lost rather than late
	timerLateness      decay.Sum // the most that a timer fired late: pauses of this router itself
}

// byRole holds one value for the primaries and one for the replicas.
type byRole[T any] struct{ primary, replica T }

func (b *byRole[T]) of(primary bool) *T {
	if primary {
		return &b.primary
	}
	return &b.replica
}

// New returns a router with no members. Equal seeds and inputs give equal decisions; routers of one fleet need different seeds.
func New(settings *Settings, seed uint64) *Router {
	r := &Router{
		settings:        settings,
		random:          random.Source{Seed: seed},
		nextListRequest: math.Inf(1),
		timerAt:         math.Inf(1),
		members:         map[string]*member{},
		groups:          map[int]*group{},
		requests:        map[string]*request{},
		minCheckPeriod:  restingCheckPeriod,
		smoothingSpan:   maxSmoothingSpan,
		admission:       byRole[float64]{primary: maxAdmission, replica: maxAdmission},
	}
	if settings.PollsList {
		r.nextListRequest = Never
	}
	r.UpdateSettings(settings)
	for _, class := range settings.RequestClasses {
		if class.Level == Bounded {
			r.minCheckPeriod = math.Min(r.minCheckPeriod, class.StalenessBound/checksPerBound)
		}
	}
	return r
}

// UpdateSettings takes settings that differ from the present ones in weights and tenants alone. Requests that are open keep
// the class they arrived with. Measurements of a class or tenant are kept by its name, and the weight of past arrivals is
// scaled to the new weights.
func (r *Router) UpdateSettings(settings *Settings) {
	stats, tenants := map[*RequestClass]*classStats{}, map[string]*decay.Sum{}
	oldWeight, newWeight := 0.0, 0.0
	for _, name := range slices.Sorted(maps.Keys(settings.RequestClasses)) {
		class := settings.RequestClasses[name]
		previous := cmp.Or(r.settings.RequestClasses[name], class)
		stats[class] = cmp.Or(r.statsByClass[previous], &classStats{})
		work := stats[class].arrivals.Read(r.now, maxSmoothingSpan) / class.LatencyObjective
		oldWeight += work * previous.PriorityWeight
		newWeight += work * class.PriorityWeight
	}
	for name := range settings.Tenants {
		tenants[name] = cmp.Or(r.tenantArrivals[name], &decay.Sum{})
	}
	r.settings, r.statsByClass, r.tenantArrivals = settings, stats, tenants
	if oldWeight > 0 {
		r.arrivedWeight.Value *= newWeight / oldWeight
	}
}

// Advance sets the time; all inputs and decisions until the next call happen then. Drivers pass a clock that
// does not go back.
func (r *Router) Advance(now float64) {
	r.now, r.startedAt = now, cmp.Or(r.startedAt, now)
	r.cursor, r.waitingSorted, r.suspicionsUpdated, r.lastUnplaced = 0, false, false, nil
}

// TimerFired says that the timer of the last SetTimer decision has fired. It may have fired in a batch of events whose time is
// earlier than the timer's: Next then asks for another, since none is out any more.
func (r *Router) TimerFired() {
	if r.now > r.timerAt-earlyTimerLeeway {
		r.timerLateness.Max(r.now, maxSmoothingSpan, r.now-r.timerAt)
	}
	r.timerAt = math.Inf(1)
}

// Next returns the next decision; false: there is none until the next input.
func (r *Router) Next() (Decision, bool) {
	if !r.suspicionsUpdated {
		r.updateSuspicions()
	}
	for _, next := range []func() (Decision, bool){
		r.nextListDecision, r.nextIdleClose, r.nextCancellation, r.nextWaiting, r.nextCheck, r.nextTimer,
	} {
		if decision, ok := next(); ok {
			return decision, true
		}
	}
	return Decision{}, false
}

// nextIdleClose guards against full connection tables: idle connections of this router keep others out. It costs a handshake.
func (r *Router) nextIdleClose() (Decision, bool) {
	last := len(r.membersToClose) - 1
	if last < 0 {
		return Decision{}, false
	}
	m := r.membersToClose[last]
	r.membersToClose = r.membersToClose[:last]
	return Decision{Action: CloseIdleConnections, Member: m.id}, true
}

func (r *Router) nextTimer() (Decision, bool) {
	deadline := r.nextDeadline()
	if deadline >= r.timerAt {
		return Decision{}, false
	}
	r.timerAt = deadline
	return Decision{Action: SetTimer, Time: deadline}, true
}

// nextDeadline is when something may have to be done next if no input comes; one tick from now at the earliest.
func (r *Router) nextDeadline() float64 {
	deadline := r.nextListRequest
	if len(r.waiting) > 0 {
		deadline = r.now
	}
	if r.settings.CanHealthCheck {
		deadline = math.Min(deadline, r.activeGroups.Earliest())
	}
	for _, m := range r.busyMembers {
		for _, a := range m.inFlight {
			if lost := a.waitingSince + r.lostAfter(a); !a.canceled && !a.idle && lost > r.now {
				deadline = math.Min(deadline, lost)
			}
		}
		if !m.suspected { // a little more silence may be enough to suspect it
			deadline = math.Min(deadline, r.now+m.inFlight[0].expectedLatency/silenceLooksPerWait)
		}
	}
	return math.Max(deadline, r.now+tick)
}
