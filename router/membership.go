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
	listPacedAfter   = 2000.0 // ms after which a call for the list has paced the next one: a heartbeat of the watch
	listPacedPause   = 250.0  // ms until that next one, by half more or less
	listPausesInPoll = 8      // else the pause is this part of the poll timeout, a second at most
)

// member is this router's own record of one server.
type member struct {
	id, zone string
	group    *group

	// From the endpoint list.
	draining  bool    // it drains or is removed: it gets no new attempt
	startedAt float64 // Never: long ago
	listedAt  float64 // when it was first listed

	// Role and position.
	known                bool    // a check or answer has come since it was last marked unknown
	lastConfirmedPrimary float64 // the latest time at which it was known to be primary
	lastKnownNotPrimary  float64 // and not to be
	position             float64 // it surely has every commit up to then
	replicationLag       float64 // how far behind it was at the last check or misrouted read

	// Health.
	down              bool    // reset or failed to connect, and no check has passed since
	downAt            float64 // since when
	connectFailed     bool    // it refused the last connection: it is down, or only full
	lastCheckErrored  bool    // its last check came back with an error
	checkRequested    bool    // to be checked as soon as the least gap allows
	checkInFlight     bool
	lastCheckSent     float64
	lastPeerReport    float64 // when another router's check of it was last reported
	lastResponse      float64
	presumedRestartAt float64 // when it last came back from what may have been a restart
	suspected         bool    // has not responded for too long; cleared by any response to an attempt
	suspectedAt       float64 // when the suspicion began
	trialReady        bool    // a check has passed since, and no trial has gone out
	answeredUpTo      float64 // when the latest attempt that it has answered was sent
	longestSilence    decay.Sum
	latencyRatios     decay.Sum // latencies of successes, each against the usual
	successes         decay.Sum
	failures          decay.Sum // failed, refused or lost

	// Load and capacity.
	inFlight         []*attempt
	load             float64 // attempts in flight, without those that wait for their clients
	lastAttemptSent  float64
	concurrencyLimit float64 // how many of this router's attempts it may have in flight
	limitFound       bool    // the limit has been reached once, so that it grows slowly
	slowStartBudget  slowstart.Bucket
}

// group is a replica set: one primary and its replicas.
type group struct {
	id                    int
	members               []*member                    // in the order in which they are asked
	active                bool                         // it has had traffic here
	lastUnplaced          float64                      // when a request last found no member
	writesHeldUntil       float64                      // writes wait until then
	checkTimer            timerqueue.FairTimer[*group] // when a check may be due
	checkPendingSince     float64                      // when its latest check went out; Never: one has come back since
	arrivals              decay.Sum                    // requests
	positionReads         decay.Sum                    // reads that need a known position
	lastIdempotentArrival float64
	slowResponses         byRole[decay.Mean]
}

// findGroup returns a group, new if there is none. Only groups that the list names are kept: clients may name any.
func (r *Router) findGroup(id int, listed bool) *group {
	if g := r.groups[id]; g != nil {
		return g
	}
	g := &group{id: id, lastUnplaced: Never, checkPendingSince: Never, active: !listed}
	g.checkTimer.Of = g
	if listed {
		r.groups[id] = g
	}
	return g
}

// activate has the group's members checked from its first request on.
func (r *Router) activate(g *group) {
	if !g.active {
		g.active = true
		r.activeGroups.Add(&g.checkTimer)
	}
}

// BeginList begins an endpoint list, complete or of changes; ListMember calls and one EndList follow.
func (r *Router) BeginList() { r.listed = map[string]bool{} }

// ListMember conveys one member of a list. started is when it started, Never if long ago; a later start than that known
// before begins slow start. Whether a member is primary is never taken from a list.
func (r *Router) ListMember(id, zone string, groupID int, state State, started float64) {
	g := r.findGroup(groupID, true)
	m := r.members[id]
	if m == nil {
		m = r.addMember(id, zone, g)
	}
	r.listed[id] = state != Removed
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
	place := int(r.random.Next() * float64(len(g.members)+1)) // each router asks members in an order of its own
	g.members = slices.Insert(g.members, place, m)
	return m
}

// EndList ends a list. Members that a complete list lacks are forgotten, as are those removed, unless the settings have
// soft removal.
func (r *Router) EndList(complete bool) {
	up := 0.0
	for id, m := range r.members {
		present, mentioned := r.listed[id]
		if !present && (mentioned || complete) && !r.settings.SoftRemoval {
			r.removeMember(m)
		} else if !m.draining {
			up++
		}
	}
	r.dropEmptyGroups()
	r.rebindWaiting()
	r.mostMembersUp = math.Max(r.mostMembersUp, up)
	if r.settings.PollsList && r.nextListRequest != Never {
		r.nextListRequest = math.Inf(1)
	}
}

// removeMember forgets a member. Attempts that are in flight there keep its record.
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

// rebindWaiting gives requests that wait the group that the list has now: it may be new, or listed again.
func (r *Router) rebindWaiting() {
	for _, req := range r.waiting {
		if g := r.groups[req.group.id]; g != nil && g != req.group {
			req.group = g
			r.activate(g)
		}
	}
}

// ListFailed says that a call for the list failed or its watch broke. The next call has jitter, since many routers must not
// ask again at once. One that failed only after a long time, a silent watch or a call that hung, is followed sooner: it has
// spread the routers already, and the next one may hang too.
func (r *Router) ListFailed() {
	if !r.settings.PollsList {
		return
	}
	pause := math.Min(r.settings.ListPollTimeout/listPausesInPoll, restingCheckPeriod)
	if r.now-r.listRequestedAt >= listPacedAfter {
		pause = math.Min(pause, listPacedPause)
	}
	r.nextListRequest = math.Min(r.nextListRequest, r.now+pause*(0.5+r.random.Next()))
}

func (r *Router) nextListDecision() (Decision, bool) {
	if r.nextListRequest > r.now {
		return Decision{}, false
	}
	r.listRequestedAt = r.now
	r.nextListRequest = r.now + r.settings.ListPollTimeout/2 // unless an answer comes before
	return Decision{Action: RequestList}, true
}
