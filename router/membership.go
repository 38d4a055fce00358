package router

import (
	"maps"
	"math"
	"slices"

	"wayloft/internal/decide/decay"
	"wayloft/internal/decide/slowstart"
	"wayloft/internal/decide/timerqueue"
)

const (
	longListRequest          = 2000.0 // ms: a failed list request that took this long, a heartbeat of the watch, has delayed the next one
	longListRequestPause     = 250.0  // ms: mean pause before the next request after that, with jitter of one half
	listPausesPerPollTimeout = 8      // otherwise the mean pause is the poll timeout divided by this, at most one second
)

// member is this router's state of one member.
type member struct {
	id, zone string
	group    *group

	// From the endpoint list.
	draining  bool    // draining or removed: gets no new attempts
	startedAt float64 // Never: long ago
	listedAt  float64 // when it first appeared in the list

	// Role and position.
	known                bool    // a check or response has arrived since the member was last marked unknown
	lastConfirmedPrimary float64 // latest time at which it was known to be primary
	lastKnownNotPrimary  float64 // latest time at which it was known not to be primary
	position             float64 // it has certainly applied every commit up to this position
	replicationLag       float64 // lag at the last check or misrouted read

	// Health.
	down              bool    // its connection was reset or refused, and no check has passed since
	downAt            float64 // when it was marked down
	connectFailed     bool    // it refused the last connection: it is down or its connection table is full
	lastCheckErrored  bool    // the last check ended with an error response
	checkRequested    bool    // to be checked once the minimum interval between checks has passed
	checkInFlight     bool
	lastCheckSent     float64
	lastPeerReport    float64 // when a health check by another router was last reported
	lastResponse      float64
	presumedRestartAt float64 // when it last returned after an absence that may have been a restart
	suspected         bool    // has not responded for too long; cleared by any response to an attempt
	suspectedAt       float64 // when it became suspected
	trialReady        bool    // a check has passed since then, and no trial has been sent
	respondedUpTo     float64 // when the latest attempt that it has responded to was sent
	longestSilence    decay.Sum
	latencyRatios     decay.Sum // sum of latencies of successes, each relative to the usual latency
	successes         decay.Sum
	failures          decay.Sum // failed, refused or lost attempts

	// Load and capacity.
	inFlight         []*attempt
	load             float64 // attempts in flight, except those that wait for their clients
	lastAttemptSent  float64
	concurrencyLimit float64 // limit on this router's attempts in flight at the member
	limitReached     bool    // a slow response has shown the limit, which now grows slowly
	slowStartBudget  slowstart.Bucket
}

// group is a replica set: a primary and its replicas.
type group struct {
	id                    int
	members               []*member                    // in the order in which they are asked
	active                bool                         // it has had requests at this router
	lastUnplaced          float64                      // when a request last found no suitable member
	writesHeldUntil       float64                      // writes wait until then
	checkTimer            timerqueue.FairTimer[*group] // when a check may be due
	checkPendingSince     float64                      // when the latest check was sent; Never if a check has ended since
	arrivals              decay.Sum                    // requests
	positionReads         decay.Sum                    // reads that need a known position
	lastIdempotentArrival float64
	slowResponses         byRole[decay.Mean]
}

// findGroup returns a group, creating it if necessary. Only groups of the endpoint list are stored, because clients can
// name any group.
func (r *Router) findGroup(id int, listed bool) *group {
	if g := r.groups[id]; g != nil {
		return g
	}
	g := &group{id: id, lastUnplaced: Never, checkPendingSince: Never, active: !listed}
	g.checkTimer.Value = g
	if listed {
		r.groups[id] = g
	}
	return g
}

// activate starts health checks of the group's members with its first request.
func (r *Router) activate(g *group) {
	if !g.active {
		g.active = true
		r.activeGroups.Add(&g.checkTimer)
	}
}

// BeginList starts an endpoint list, which is complete or contains changes; ListMember calls and one EndList follow.
func (r *Router) BeginList() { r.pendingList = map[string]bool{} }

// ListMember passes in one member of a list. started is when the member started, Never if long ago; if that is later
// than the start known so far, slow start begins. The list is never used to determine which member is primary.
func (r *Router) ListMember(id, zone string, groupID int, state State, started float64) {
	g := r.findGroup(groupID, true)
	m := r.members[id]
	if m == nil {
		m = r.addMember(id, zone, g)
	}
	r.pendingList[id] = state != Removed
	g.checkTimer.Set(r.now)
	if started > m.startedAt {
		m.startedAt = started
		m.beginSlowStart()
		m.checkRequested = m.lastCheckSent != Never
	}
	if !r.settings.SoftRemoval || state != Removed {
		m.draining = state != Up
	}
}

func (r *Router) addMember(id, zone string, g *group) *member {
	m := &member{
		id: id, zone: zone, group: g, listedAt: r.now, startedAt: Never, presumedRestartAt: Never,
		lastConfirmedPrimary: Never, lastKnownNotPrimary: Never, position: Never,
		lastCheckSent: Never, lastPeerReport: Never, lastResponse: Never, lastAttemptSent: Never,
		concurrencyLimit: initialConcurrencyLimit,
	}
	r.members[id] = m
	place := int(r.random.Next() * float64(len(g.members)+1)) // each router has its own random order
	g.members = slices.Insert(g.members, place, m)
	return m
}

// EndList ends a list. Removed members and members missing from a complete list are forgotten, unless the settings have
// soft removal.
func (r *Router) EndList(complete bool) {
	up := 0.0
	for id, m := range r.members {
		present, mentioned := r.pendingList[id]
		if !present && (mentioned || complete) && !r.settings.SoftRemoval {
			r.removeMember(m)
		} else if !m.draining {
			up++
		}
	}
	r.dropEmptyGroups()
	r.rebindWaiting()
	r.maxMembersUp = math.Max(r.maxMembersUp, up)
	if r.settings.PollsEndpointList && r.nextListRequest != Never {
		r.nextListRequest = math.Inf(1)
	}
}

// removeMember forgets a member. Attempts in flight there keep a reference to its state.
func (r *Router) removeMember(m *member) {
	m.draining = true
	delete(r.members, m.id)
	m.group.members = slices.DeleteFunc(m.group.members, func(other *member) bool { return other == m })
}

func (r *Router) dropEmptyGroups() {
	maps.DeleteFunc(r.groups, func(_ int, g *group) bool {
		empty := len(g.members) == 0
		if empty {
			r.activeGroups.Remove(&g.checkTimer)
		}
		return empty
	})
}

// rebindWaiting assigns waiting requests to the current group of the list, which may be new or listed again.
func (r *Router) rebindWaiting() {
	for _, req := range r.waiting {
		if g := r.groups[req.group.id]; g != nil && g != req.group {
			req.group = g
			r.activate(g)
		}
	}
}

// ListFailed reports that a list request failed or its watch broke. The next request has jitter, so that many routers do
// not ask again at once. It comes sooner if the failed one took long, as a silent watch or a hanging call does: the
// routers are already spread out in time, and the next request may hang too.
func (r *Router) ListFailed() {
	if !r.settings.PollsEndpointList {
		return
	}
	pause := math.Min(r.settings.ListPollTimeout/listPausesPerPollTimeout, routineCheckPeriod)
	if r.now-r.listRequestedAt >= longListRequest {
		pause = math.Min(pause, longListRequestPause)
	}
	r.nextListRequest = math.Min(r.nextListRequest, r.now+pause*(0.5+r.random.Next()))
}

func (r *Router) nextListDecision() (Decision, bool) {
	if r.nextListRequest > r.now {
		return Decision{}, false
	}
	r.listRequestedAt = r.now
	r.nextListRequest = r.now + r.settings.ListPollTimeout/2 // unless a response arrives first
	return Decision{Action: RequestList}, true
}
