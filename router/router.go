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
	tick                    = 10.0     // ms between passes over waiting requests, minimum between checks of a member (docs/design.md)
	minSmoothingTime        = 3000.0   // ms; lower bound of the time constant of measurements, a few latency objectives long
	maxSmoothingTime        = 30000.0  // ms; upper bound of it, because faults come and go within tens of seconds
	smoothingSample         = 30.0     // requests that the time constant should span, so that a single response has little influence
	priorWeight             = 3.0      // an initial estimate weighs as much as this many responses
	maxStall                = 100.0    // ms that this router may stall between clock reading and write, minus the slack of the rules
	suspicionUpdatesPerWait = 5        // suspicion updates per expected latency while a member does not respond
	earlyTimerLeeway        = tick / 2 // ms; a timer that fires earlier than this before its deadline says nothing about pauses
	checksPerStalenessBound = 3
)

// Router makes the decisions of one router instance. The package comment describes how to drive it.
type Router struct {
	settings       *Settings
	random         random.Source
	now, startedAt float64
	smoothingTime  float64 // time constant of the decaying measurements in ms

	// Members, groups and the endpoint list.
	members         map[string]*member
	groups          map[int]*group
	pendingList     map[string]bool              // the list being received: member id to false if it is removed, else true
	busyMembers     []*member                    // members with attempts in flight
	idleCloseQueue  []*member                    // members whose idle connections are to be closed
	activeGroups    timerqueue.FairQueue[*group] // groups that have had requests, by when a health check may be due
	minCheckPeriod  float64                      // shortest health check period
	maxMembersUp    float64                      // largest number of members that were up at the same time
	nextListRequest float64                      // when to request the list next
	listRequestedAt float64                      // when the list was last requested

	// Requests.
	requests          map[string]*request
	waiting           []*request
	waitingSorted     bool     // reset by Advance and by inputs that add to waiting
	cursor            int      // index in waiting of the request to handle next
	lastUnplaced      *request // last request for which no member was found; reset by Advance
	suspicionsUpdated bool     // suspicions are up to date; reset by Advance
	timerDeadline     float64  // deadline of the pending timer; +Inf if there is none
	sessionCommits    lastcommit.Commits
	statsByClass      map[*RequestClass]*classStats
	tenantArrivals    map[string]*decay.Sum

	// Measurements over all groups.
	admission          byRole[float64]    // admission probability of requests
	slowResponses      byRole[decay.Mean] // share of slow responses
	arrivals           decay.Sum          // requests
	arrivedWeight      decay.Sum          // sum of weight divided by latency objective over the requests that arrived
	completedWork      decay.Sum          // sum of latency objectives of successful requests; steady under overload, unlike latency
	workRatePerMember  float64            // highest rate of completed work per ms and member so far
	refusedConnections decay.Sum          // by members whose health checks kept passing
	respondedAttempts  decay.Sum
	lostAttempts       decay.Sum // attempts whose response was lost rather than late
	timerLateness      decay.Sum // decaying maximum of timer delays: pauses of this router
}

// byRole holds one value for primaries and one for replicas.
type byRole[T any] struct{ primary, replica T }

func (b *byRole[T]) of(primary bool) *T {
	if primary {
		return &b.primary
	}
	return &b.replica
}

// New returns a router without members. Equal seeds and inputs give equal decisions; the routers of a fleet need
// different seeds.
func New(settings *Settings, seed uint64) *Router {
	r := &Router{
		settings:        settings,
		random:          random.Source{Seed: seed},
		nextListRequest: math.Inf(1),
		timerDeadline:   math.Inf(1),
		members:         map[string]*member{},
		groups:          map[int]*group{},
		requests:        map[string]*request{},
		minCheckPeriod:  routineCheckPeriod,
		smoothingTime:   maxSmoothingTime,
		admission:       byRole[float64]{primary: maxAdmission, replica: maxAdmission},
	}
	if settings.PollsEndpointList {
		r.nextListRequest = Never
	}
	r.UpdateSettings(settings)
	for _, class := range settings.RequestClasses {
		if class.Level == Bounded {
			r.minCheckPeriod = math.Min(r.minCheckPeriod, class.StalenessBound/checksPerStalenessBound)
		}
	}
	return r
}

// UpdateSettings applies settings that differ from the current ones only in weights and tenants. Open requests keep the
// class they arrived with. Measurements of a class or tenant carry over by name, and the measured weight of past
// arrivals is scaled to the new weights.
func (r *Router) UpdateSettings(settings *Settings) {
	stats, tenants := map[*RequestClass]*classStats{}, map[string]*decay.Sum{}
	oldWeight, newWeight := 0.0, 0.0
	for _, name := range slices.Sorted(maps.Keys(settings.RequestClasses)) {
		class := settings.RequestClasses[name]
		previous := cmp.Or(r.settings.RequestClasses[name], class)
		stats[class] = cmp.Or(r.statsByClass[previous], &classStats{})
		work := stats[class].arrivals.Read(r.now, maxSmoothingTime) / class.LatencyObjective
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

// Advance sets the current time, at which all inputs and decisions up to the next call take place. The time passed in
// must not decrease.
func (r *Router) Advance(now float64) {
	r.now, r.startedAt = now, cmp.Or(r.startedAt, now)
	r.cursor, r.waitingSorted, r.suspicionsUpdated, r.lastUnplaced = 0, false, false, nil
}

// TimerFired records that the timer of the last SetTimer decision has fired. It may be part of a batch of events whose
// time is before the timer's deadline; Next then asks for a new timer, since none is pending any more.
func (r *Router) TimerFired() {
	if r.now > r.timerDeadline-earlyTimerLeeway {
		r.timerLateness.Max(r.now, maxSmoothingTime, r.now-r.timerDeadline)
	}
	r.timerDeadline = math.Inf(1)
}

// Next returns the next decision, or false if there is none until the next input.
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

// nextIdleClose guards against full connection tables: idle connections of this router keep other routers from
// connecting. The cost is a new handshake later.
func (r *Router) nextIdleClose() (Decision, bool) {
	last := len(r.idleCloseQueue) - 1
	if last < 0 {
		return Decision{}, false
	}
	m := r.idleCloseQueue[last]
	r.idleCloseQueue = r.idleCloseQueue[:last]
	return Decision{Action: CloseIdleConnections, Member: m.id}, true
}

func (r *Router) nextTimer() (Decision, bool) {
	deadline := r.nextDeadline()
	if deadline >= r.timerDeadline {
		return Decision{}, false
	}
	r.timerDeadline = deadline
	return Decision{Action: SetTimer, Time: deadline}, true
}

// nextDeadline returns when the router must run next if no input arrives, at least one tick from now.
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
			if lost := a.waitingSince + r.lossTimeout(a); !a.canceled && !a.idle && lost > r.now {
				deadline = math.Min(deadline, lost)
			}
		}
		if !m.suspected { // a slightly longer silence may be enough to suspect it
			deadline = math.Min(deadline, r.now+m.inFlight[0].expectedLatency/suspicionUpdatesPerWait)
		}
	}
	return math.Max(deadline, r.now+tick)
}
