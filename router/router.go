// Package router decides where the requests of one router go. Its interface is in types.go.
//
// The host calls At first whenever something has come in, then the inputs (Listed, Arrive, Returned ...),
// which only update what is known, then pulls Next until it has nothing left, and does each decision before
// the next. Instances share nothing, read no clock and draw chance from their own seed.
package router

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"wayloft/internal/decide/decay"
	"wayloft/internal/decide/lastcommit"
	"wayloft/internal/decide/random"
	"wayloft/internal/decide/slowstart"
	"wayloft/internal/decide/timerqueue"
)

const (
	tick                    = 10.0   // ms between two looks at what waits; least between two checks of one member (DESIGN)
	restingCheckPeriod      = 1000.0 // the shortest check period where nothing presses (DESIGN)
	requestsPerCheck        = 4.0    // requests that pay for a resting check: few enough to notice a change, checks cost points
	recheckPeriod           = 500.0  // check period while a group has no primary (DESIGN); also between two trials
	minSmoothingSpan        = 3000.0 // ms over which what is measured fades, at the least: a few latency objectives
	maxSmoothingSpan        = 30000. // and at the most: trouble comes and goes in tens of seconds
	smoothingSample         = 30.0   // requests that a memory should hold, so that one answer doesn't swing it
	priorWeight             = 3.0    // answers that what is supposed at first weighs as much as
	suspicionThreshold      = 10.0   // expected waits of silence; one healthy chance in twenty thousand (e^-10)
	priorLossShare          = 0.001  // share of answers supposed lost on the way until some were
	lostThreshold           = 5.5    // expected waits; one healthy request in 250 takes longer (e^-5.5)
	initialConcurrencyLimit = 1.0    // attempts at once to a member not yet known: all routers may start together
	maxAdmission            = 1.5    // of the chance to be taken on, so that a few slow answers in a row change nothing
	listPacedAfter          = 2000.0 // ms after which a call for the list has paced the next: a beat of the watch
	listPacedPause          = 250.0  // ms until that one, by half more or less
	minConcurrencyLimit     = 0.2    // a fifth of the time, so that a member that recovers is still noticed
	maxNotSentPause         = 100.0  // ms between two attempts at one member that come back not sent, at the most; beat at the least
	maxStall                = 100.0  // ms that this router may be held up between its clock and a write, less the slack of the rules
)

// Never is the time of what has not happened, and the position of what told none.
var Never = math.Inf(-1)

// member is this router's own record of one server.
type member struct {
	id, zone                                  string
	group                                     *group
	draining                                  bool    // the list says that it drains or is gone
	started                                   float64 // Never: long ago
	known                                     bool    // some check or answer has come since it was last marked unknown
	down                                      bool    // reset or failed to connect, and no check has gone through since
	lastConfirmedPrimary, lastKnownNotPrimary float64 // when it was last known to be primary, and not to be
	position                                  float64 // a time up to which it surely has every commit
	replicationLag                            float64 // how far behind it seemed at the last check or miss
	connectFailed                             bool    // it refused the last connection: down, or only full
	lastCheckErrored                          bool    // its last check came back with an error
	checkRequested, checkInFlight             bool    // check as soon as the least gap allows; one is out
	listedAt, downAt, presumedRestartAt       float64 // first listed; went down; was last back from a possible restart

	slowStartBudget slowstart.Bucket // while cold: latency objective it may be sent

	lastCheckSent, lastResponse, lastAttemptSent float64
	lastPeerReport                               float64 // when another router's check was last heard of
	inFlight                                     []*attempt
	load                                         float64   // of these, without those whose clients have yet to go on
	answeredUpTo                                 float64   // when the latest attempt that it has answered was sent
	suspected                                    bool      // has been silent too long; cleared by any answer to an attempt
	suspectedAt                                  float64   // when the doubt began
	trialReady                                   bool      // a check has passed since, and no trial has gone out
	longestSilence                               decay.Sum // the longest unlikely silence that an answer has ended
	latencyRatios, successes, failures           decay.Sum // latency against the usual; committed; failed, refused or lost
	concurrencyLimit                             float64   // how many of this router's attempts it may hold at once
	limitFound                                   bool      // the limit has been found once
}

type group struct {
	id                            int
	members                       []*member
	active                        bool                         // it has had traffic here
	lastUnplaced, writesHeldUntil float64                      // when a request last found no member; writes wait
	checkTimer                    timerqueue.FairTimer[*group] // when one may be due
	checkPendingSince             float64                      // when its latest check went out; Never: one has come back since
	arrivals, positionReads       decay.Sum                    // requests; reads that need a known position
	lastIdempotentArrival         float64                      // when the last repeatable request came
	slowResponses                 map[bool]*decay.Mean         // of replicas, of primaries
}

type attempt struct {
	member                                    *member
	request                                   *request
	waitingSince, sentAt, expectedLatency     float64 // at: since when the member has had to answer
	inFlight, misrouted, canceled, infrequent bool    // rare: the least limit would not have held it back
	idle, clientsTurn                         bool    // nothing to answer: it's the pool's turn, or its client's (away)
	retryNotBefore                            float64 // it came back not sent: no other goes to this member before
	previousAttemptSent                       float64 // the member's record before it
	previousTrialReady                        bool
}

type request struct {
	id, session                         string
	class                               *RequestClass
	stats                               *classStats
	group                               *group
	firstArrival, deadline              float64 // the client's first try, as far as it can be told, and the end of this one
	requiredPosition                    float64 // the position a session or fresh read must see
	weight, rank                        float64 // rank: its place among those waiting
	attempts                            []*attempt
	notSentCount                        int // of these, those that came back not sent
	effect                              Effect
	mayHaveRunSince                     float64 // when the earliest attempt that may have run went out, if any
	mayHaveRunZone                      string
	lastOutcome                         Outcome // how the last attempt ended
	checksRequestedAt, halfTime         float64 // when checks were asked for on its behalf; half of this try's time
	admitted, attemptInFlight, finished bool    // placed: an attempt is out; over: it has had its final answer
	sticky                              bool
	stickyMember                        *member
}

// classStats is what one request class has shown of itself.
type classStats struct {
	latency          decay.Mean       // until an answer
	arrivals         decay.Sum        // requests
	unsuccessfulEnds decay.Sum        // tries ended here without success, whose clients may come back
	timeouts         [2]commonTimeout // what many tries are given
}

type commonTimeout struct{ timeout, votes float64 }

// estimateAge guesses how long a client has been trying: most tries are given one of two times, a repeat what earlier
// ones left. Guards against jams of repeats that look new; the second time, against taking clients for old
// where others turn impatient. It misjudges those whose time is rare.
func (u *classStats) estimateAge(now float64, kind *RequestClass, ttl float64, marked bool) float64 {
	n := slices.IndexFunc(u.timeouts[:], func(h commonTimeout) bool {
		return math.Abs(ttl-h.timeout) <= kind.Deadline/50 // a fiftieth: the clock's tick and the network
	})
	weak, step, first := 0, 1.0, !marked && u.unsuccessfulEnds.Read(now, 2*kind.Deadline) < 0.5
	if u.timeouts[1].votes < u.timeouts[0].votes {
		weak = 1
	}
	if first { // nobody can be back
		step = 3
	}
	if n >= 0 { // few votes, since all clients may change their habit at once
		u.timeouts[n].votes = math.Min(u.timeouts[n].votes+step, 10)
	} else if u.timeouts[weak].votes--; u.timeouts[weak].votes < 0 {
		u.timeouts[weak] = commonTimeout{ttl, step}
	}
	if first || n >= 0 && (n != weak || !marked && u.timeouts[n].votes > 3) {
		return 0
	}
	u.unsuccessfulEnds.Add(now, 2*kind.Deadline, -1)
	return math.Max(0, kind.Deadline-ttl)
}

// Router decides for one instance.
type Router struct {
	settings                                 *Settings
	random                                   random.Source
	now, startedAt                           float64
	members                                  map[string]*member
	groups                                   map[int]*group
	requests                                 map[string]*request
	waiting                                  []*request
	cursor                                   int                          // which of them was looked at last
	lastUnplaced                             *request                     // what found no member last, since the last input
	sorted, suspicionsUpdated                bool                         // since the last input; looked: for silent members
	busyMembers                              []*member                    // those that hold attempts
	activeGroups                             timerqueue.FairQueue[*group] // those that have had traffic
	admission                                map[bool]float64             // chance to take requests on, for replicas and primaries
	slowResponses                            map[bool]*decay.Mean         // from all groups
	arrivedWeight                            decay.Sum                    // worth by work of what arrived
	sessionCommits                           lastcommit.Commits           // where session tokens are the router\'s own memory
	completedWork                            decay.Sum                    // latency objectives committed; unlike latency they hold still in a jam
	workRate, mostMembersUp                  float64                      // the most of them a ms and member; members up at once
	refusedConnections                       decay.Sum                    // connections refused by members whose checks went on
	membersToClose                           []*member                    // whose connections are to be closed
	arrivals, answeredAttempts, lostAttempts decay.Sum                    // requests; attempts answered in any way, and rather lost than long
	smoothingSpan                            float64                      // ms over which what is measured fades
	classes                                  map[*RequestClass]*classStats
	tenantArrivals                           map[string]*decay.Sum // by tenant
	listed                                   map[string]bool
	minCheckPeriod                           float64   // the shortest check period
	timerLateness                            decay.Sum // how late the timer rang at most: pauses of this router's own
	nextListRequest, timerAt                 float64   // when to ask for the list again; the timer that is out
	listRequestedAt                          float64   // when it was asked for last
}

func New(set *Settings, seed uint64) *Router {
	r := &Router{settings: set, random: random.Source{Seed: seed}, nextListRequest: math.Inf(1), timerAt: math.Inf(1),
		members: map[string]*member{}, groups: map[int]*group{}, requests: map[string]*request{},
		minCheckPeriod: restingCheckPeriod, smoothingSpan: maxSmoothingSpan, admission: map[bool]float64{false: maxAdmission, true: maxAdmission},
		slowResponses: map[bool]*decay.Mean{false: {}, true: {}}}
	if set.PollsList {
		r.nextListRequest = Never
	}
	r.UpdateSettings(set)
	for _, kind := range set.RequestClasses {
		if kind.Level == Bounded {
			r.minCheckPeriod = math.Min(r.minCheckPeriod, kind.StalenessBound/3)
		}
	}
	return r
}

// UpdateSettings takes settings with other values and tenants. A request that is open ends by those it was taken under;
// what was learned stays, by name, and what arrived is weighed as it would be worth now.
func (r *Router) UpdateSettings(set *Settings) {
	uses, shares, old, worth := map[*RequestClass]*classStats{}, map[string]*decay.Sum{}, 0.0, 0.0
	for _, name := range slices.Sorted(maps.Keys(set.RequestClasses)) {
		kind, was := set.RequestClasses[name], cmp.Or(r.settings.RequestClasses[name], set.RequestClasses[name])
		uses[kind] = cmp.Or(r.classes[was], &classStats{})
		n := uses[kind].arrivals.Read(r.now, maxSmoothingSpan) / kind.LatencyObjective
		old, worth = old+n*was.PriorityWeight, worth+n*kind.PriorityWeight
	}
	for name := range set.Tenants {
		shares[name] = cmp.Or(r.tenantArrivals[name], &decay.Sum{})
	}
	if r.settings, r.classes, r.tenantArrivals = set, uses, shares; old > 0 {
		r.arrivedWeight.Sum *= worth / old
	}
}

// Advance sets the time; all that follows until the next call happens then.
func (r *Router) Advance(now float64) {
	r.now, r.startedAt = now, cmp.Or(r.startedAt, now)
	r.cursor, r.sorted, r.suspicionsUpdated, r.lastUnplaced = 0, false, false, nil
}

// updateSuspicions finds members suspected, once the answers that came with the present batch are heard. Guards against
// whatever takes requests and answers none: hung, vanished or cut off. Long pauses look the same for a while; the
// first answer ends the doubt. One pause silences all that is out there together, so that no chance of theirs
// is against it: a silence must also be longer than a look can tell, than this router's own pauses, and than
// twice what answers have ended.
func (r *Router) updateSuspicions() {
	r.suspicionsUpdated = true
	for _, m := range r.busyMembers {
		quiet, since := r.silence(m)
		if m.suspected || quiet < suspicionThreshold/2 {
			continue
		}
		if m.suspected = quiet > suspicionThreshold && r.now-since > r.silenceTolerance(m); m.suspected {
			m.suspectedAt, m.trialReady = r.now, false
			r.requestGroupCheck(m.group)
		} else if m.lastCheckSent < since {
			m.requestCheck()
		}
	}
}

// silenceTolerance is how long all that is out at a member may keep quiet together and mean nothing.
func (r *Router) silenceTolerance(m *member) float64 {
	return math.Max(2*m.longestSilence.Read(r.now, maxSmoothingSpan), tick+2*r.timerLateness.Read(r.now, maxSmoothingSpan))
}

// findGroup finds a group, or makes one; only what the list names is kept, whatever clients name.
func (r *Router) findGroup(no int, listed bool) *group {
	g := r.groups[no]
	if g == nil {
		g = &group{id: no, lastUnplaced: Never, checkPendingSince: Never, active: !listed,
			slowResponses: map[bool]*decay.Mean{false: {}, true: {}}}
		if g.checkTimer.Of = g; listed {
			r.groups[no] = g
		}
	}
	return g
}

// BeginList, Listed and ListEnd convey one list, whole or of changes.
func (r *Router) BeginList() { r.listed = map[string]bool{} }

func (r *Router) ListMember(id, zone string, groupNo int, state State, started float64) {
	g := r.findGroup(groupNo, true)
	m := r.members[id]
	if m == nil {
		m = &member{id: id, zone: zone, group: g, lastConfirmedPrimary: Never, lastKnownNotPrimary: Never, position: Never, started: Never,
			lastCheckSent: Never, lastResponse: Never, lastAttemptSent: Never, lastPeerReport: Never, listedAt: r.now,
			presumedRestartAt: Never, concurrencyLimit: initialConcurrencyLimit}
		r.members[id] = m
		g.members = slices.Insert(g.members, int(r.random.Next()*float64(len(g.members)+1)), m) // asked in turn
	}
	r.listed[id] = state != Removed
	g.checkTimer.Set(r.now)
	if started > m.started {
		m.started = started
		m.beginSlowStart()
		m.checkRequested = m.lastCheckSent != Never
	}
	if !r.settings.SoftRemoval || state != Removed {
		m.draining = state != Up
	}
}

func (r *Router) EndList(whole bool) {
	up := 0.0
	for id, m := range r.members {
		if here, told := r.listed[id]; !here && (told || whole) && !r.settings.SoftRemoval {
			m.draining = true // what is out to it keeps its record; its group goes with the last member
			delete(r.members, id)
			m.group.members = slices.DeleteFunc(m.group.members, func(o *member) bool { return o == m })
		} else if !m.draining {
			up++
		}
	}
	maps.DeleteFunc(r.groups, func(_ int, g *group) bool {
		if len(g.members) == 0 {
			r.activeGroups.Leave(&g.checkTimer)
		}
		return len(g.members) == 0
	})
	for _, t := range r.waiting { // its group may have come, or come back
		if g := r.groups[t.group.id]; g != nil && g != t.group {
			t.group = g
			r.activate(g)
		}
	}
	r.mostMembersUp = math.Max(r.mostMembersUp, up)
	if r.settings.PollsList && r.nextListRequest != Never {
		r.nextListRequest = math.Inf(1)
	}
}

// ListFailed says that a call failed or the subscription broke. Many must not ask again at once, nor late:
// one that took its time, a silence or a call that hung, has paced them already, and another may follow.
func (r *Router) ListFailed() {
	if !r.settings.PollsList {
		return
	}
	pause := math.Min(r.settings.ListPollTimeout/8, restingCheckPeriod)
	if r.now-r.listRequestedAt >= listPacedAfter {
		pause = math.Min(pause, listPacedPause)
	}
	r.nextListRequest = math.Min(r.nextListRequest, r.now+pause*(0.5+r.random.Next()))
}

// Arrive takes a request; false: its request class is not in the settings. marked: its client says it is a repeat.
func (r *Router) Arrive(id, tenant, session, txnType string, groupNo int, tokenAge, ttl float64,
	marked bool) bool {
	kind := r.settings.RequestClasses[txnType]
	if kind == nil {
		return false
	}
	g := r.findGroup(groupNo, false)
	age := r.classes[kind].estimateAge(r.now, kind, ttl, marked)
	if r.settings.ClientsMarkRetries && !marked {
		age = 0
	}
	t := &request{id: id, class: kind, stats: r.classes[kind], group: g, firstArrival: r.now - age, deadline: r.now + ttl,
		effect: kind.Effect, halfTime: r.now + ttl/2, requiredPosition: Never, session: session, mayHaveRunSince: Never, checksRequestedAt: Never,
		weight: kind.PriorityWeight}
	switch {
	case kind.Level == Session && r.settings.RemembersCommits && r.sessionCommits.Of(session) != 0:
		t.requiredPosition = r.sessionCommits.Of(session)
	case kind.Level == Session && tokenAge != 0: // a commit may be dated a little ahead
		t.requiredPosition = r.now - tokenAge
	case kind.Level == Fresh:
		t.requiredPosition = r.now
	}
	r.arrivals.Add(r.now, maxSmoothingSpan, 1)
	t.stats.arrivals.Add(r.now, maxSmoothingSpan, 1)
	r.smoothingSpan = math.Max(minSmoothingSpan, math.Min(maxSmoothingSpan, smoothingSample*maxSmoothingSpan/r.arrivals.Sum))
	g.arrivals.Add(r.now, r.smoothingSpan, 1)
	g.checkTimer.Set(r.now)
	if r.activate(g); kind.Effect == Idempotent {
		g.lastIdempotentArrival = r.now
	}
	if kind.Level == Bounded && r.settings.Lag == LagAnswers { // else members see to the bound themselves
		g.positionReads.Add(r.now, r.smoothingSpan, 1)
	}
	if f := r.tenantArrivals[tenant]; f != nil &&
		f.Add(r.now, r.smoothingSpan, 1)*1000/r.smoothingSpan > r.settings.Tenants[tenant]/float64(r.settings.Routers) {
		t.weight *= r.settings.OverQuotaWeight
	}
	r.arrivedWeight.Add(r.now, maxSmoothingSpan, t.weight/kind.LatencyObjective)
	r.requests[id] = t
	r.waiting, r.sorted = append(r.waiting, t), false
	return true
}

func (r *Router) activate(g *group) {
	if !g.active {
		g.active = true
		r.activeGroups.Join(&g.checkTimer)
	}
}

// AttemptEnded says how an attempt ended. position is never where the answer told no position.
func (r *Router) AttemptEnded(id string, seq int, how Outcome, rtt float64, done bool, role Role, gtid float64) {
	t := r.requests[id]
	if t == nil || seq >= len(t.attempts) || !t.attempts[seq].inFlight {
		return
	}
	sub, m := t.attempts[seq], t.attempts[seq].member
	r.recordAttemptEnd(sub, how, rtt, role, gtid)
	if how == Succeeded && t.class.Level == Write && r.settings.RemembersCommits && t.session != "" {
		r.rememberCommit(t.session, gtid)
	}
	sub.inFlight, sub.misrouted, t.attemptInFlight, t.lastOutcome = false, how == Misrouted, false, how
	if how == NotSent && !done {
		t.undoNotSent(sub, r.now)
	}
	if t.mayHaveRunSince == Never && (how == ServerError || how == TimedOut || how == Reset || how == Canceled) {
		t.mayHaveRunSince, t.mayHaveRunZone = sub.sentAt, m.zone
	}
	if t.finished = t.finished || done; t.finished {
		r.release(t)
	} else {
		r.waiting, r.sorted = append(r.waiting, t), false
	}
}

// sentAttempts counts the attempts that were sent, or may yet be.
func (t *request) sentAttempts() int { return len(t.attempts) - t.notSentCount }

// undoNotSent takes back what an attempt that was not sent has counted for: the member has had nothing of it.
func (t *request) undoNotSent(sub *attempt, now float64) {
	m := sub.member
	t.notSentCount++
	sub.retryNotBefore = now + t.notSentPause(m)
	if math.Max(m.started, m.presumedRestartAt) <= sub.sentAt { // else the budget is another by now
		m.slowStartBudget.Spend(-t.class.LatencyObjective)
	}
	if m.lastAttemptSent == sub.sentAt {
		m.lastAttemptSent, m.trialReady = sub.previousAttemptSent, sub.previousTrialReady && m.suspectedAt <= sub.sentAt
	}
}

// notSentPause is how long the request waits before it tries a member again where it was not sent. That is no attempt, and the
// cause may pass in a moment; guards against asking one member without end in one instant.
func (t *request) notSentPause(m *member) float64 {
	pause := tick
	for _, sub := range t.attempts {
		if sub.member == m && sub.retryNotBefore > 0 {
			pause *= 2
		}
	}
	return math.Min(pause, maxNotSentPause)
}

// pausedAt tells whether the request has just come back not sent from the member.
func (t *request) pausedAt(m *member, now float64) bool {
	return t.notSentCount > 0 && slices.ContainsFunc(t.attempts, func(s *attempt) bool { return s.member == m && now < s.retryNotBefore })
}

// Pin says that a request, just arrived, can go to one member alone, where its session's connection leads.
func (r *Router) Pin(id, node string) {
	if t := r.requests[id]; t != nil {
		t.sticky, t.stickyMember = true, r.members[node]
	}
}

// Queued says that a request, just arrived, waited so long for its turn behind others of its client's. That is
// its client's time; an answer may still be soon. Guards against answers that nobody waits for any more.
func (r *Router) Queued(id string, waited float64) {
	if t := r.requests[id]; t != nil {
		t.deadline -= waited
		t.halfTime = (r.now + t.deadline) / 2
	}
}

// TurnChanged says whose turn it is in an attempt that takes more than one: the member's, or its client's or the
// pool's, who make it rest. started: part of the answer is with the client, so it is never sent again.
func (r *Router) TurnChanged(id string, seq int, rests, started bool) {
	t := r.requests[id]
	if t == nil || seq >= len(t.attempts) || !t.attempts[seq].inFlight {
		return
	}
	if started {
		t.effect = NonIdempotent
	}
	sub := t.attempts[seq]
	if sub.idle && !rests {
		sub.waitingSince, sub.member.lastAttemptSent = r.now, r.now
	} else if !sub.idle && rests && started {
		r.recordResponse(sub)
	}
	if away := rests && started; away != sub.clientsTurn {
		sub.clientsTurn = away
		sub.member.load += map[bool]float64{true: -1, false: 1}[away]
	}
	sub.idle = rests
}

// recordResponse takes in that a member has answered, whatever it said.
func (r *Router) recordResponse(sub *attempt) {
	m := sub.member
	if quiet, since := r.silence(m); quiet > suspicionThreshold/2 {
		m.longestSilence.Max(r.now, maxSmoothingSpan, r.now-since)
	}
	m.lastResponse, m.answeredUpTo = r.now, math.Max(m.answeredUpTo, sub.waitingSince)
	m.suspected, m.down, m.connectFailed = false, false, false
}

// rememberCommit keeps a session's last commit, and at times drops those that every member has by now.
func (r *Router) rememberCommit(session string, gtid float64) {
	r.sessionCommits.Add(session, cmp.Or(math.Max(gtid, 0), r.now)) // none told: now
	if r.sessionCommits.Full() {
		least := math.Inf(1)
		for _, m := range r.members {
			if !m.draining {
				least = math.Min(least, m.position)
			}
		}
		r.sessionCommits.Drop(least)
	}
}

// release drops a request that has had its final answer once no attempt of it is out any more.
func (r *Router) release(t *request) {
	if t.finished = true; !t.attemptInFlight {
		delete(r.requests, t.id)
	}
}

func (r *Router) endUnsuccessful(t *request) {
	t.stats.unsuccessfulEnds.Add(r.now, 2*t.class.Deadline, 1)
	r.release(t)
}

// recordAttemptEnd updates the record of a member from the end of an attempt to it.
func (r *Router) recordAttemptEnd(sub *attempt, how Outcome, rtt float64, role Role, gtid float64) {
	m, t := sub.member, sub.request
	if how <= Overloaded || how == Misrouted {
		r.recordResponse(sub)
	}
	m.inFlight = slices.DeleteFunc(m.inFlight, func(o *attempt) bool { return o == sub })
	if !sub.clientsTurn {
		m.load--
	}
	if len(m.inFlight) == 0 {
		r.busyMembers = slices.DeleteFunc(r.busyMembers, func(o *member) bool { return o == m })
		if r.refusedConnections.Read(r.now, maxSmoothingSpan) > math.Max(0.5, r.arrivals.Sum/20) { // a few are no full tables
			r.membersToClose = append(r.membersToClose, m)
		}
	}
	switch how {
	case Succeeded, ServerError, Overloaded, Misrouted:
		r.answeredAttempts.Add(r.now, r.smoothingSpan, 1)
		thought := r.primary(m.group) == m
		m.recordRole(role, r.now, gtid)
		if how == Misrouted {
			r.recordMisrouted(m, t, thought)
		}
	case ConnectFailed, Reset:
		m.failures.Add(r.now, r.smoothingSpan, 1)
		m.connectFailed = how == ConnectFailed
		r.markDown(m)
	}
	switch {
	case how == Succeeded:
		r.recordCompletedWork(t)
		usual := r.usualLatency(t)
		t.stats.latency.Add(r.now, r.smoothingSpan, rtt, 1)
		m.latencyRatios.Add(r.now, r.smoothingSpan, rtt/usual)
		m.successes.Add(r.now, r.smoothingSpan, 1)
		r.adjustAdmission(sub, t.class.LatencyObjective/2/rtt)
	case how == ServerError:
		m.failures.Add(r.now, r.smoothingSpan, 1)
	case how == TimedOut || how == Canceled:
		r.recordNoResponse(sub)
	case how == Overloaded:
		r.adjustAdmission(sub, 0)
	}
}

// recordNoResponse weighs whether an attempt without an answer was lost on the way, or is only long and counts as
// at least that slow: the one grows likely where others are quick and many are lost.
func (r *Router) recordNoResponse(sub *attempt) {
	m, t := sub.member, sub.request
	waits, loss := (r.now-sub.waitingSince)/sub.expectedLatency, r.lossShare()
	lost := loss / (loss + (1-loss)*math.Exp(-waits))
	r.lostAttempts.Add(r.now, r.smoothingSpan, lost)
	m.failures.Add(r.now, r.smoothingSpan, lost)
	t.stats.latency.Add(r.now, r.smoothingSpan, (1-lost)*(r.now-sub.waitingSince+sub.expectedLatency), 1-lost)
	if lost < 0.5 && r.now-sub.waitingSince > math.Min(t.class.LatencyObjective/2, 2*sub.expectedLatency) { // else its client's time was short
		r.adjustAdmission(sub, 0)
	}
}

// lossShare is the share of this router's attempts that get no answer though they may run.
func (r *Router) lossShare() float64 {
	lost := r.lostAttempts.Read(r.now, r.smoothingSpan)
	return (lost + priorWeight*priorLossShare) / (lost + r.answeredAttempts.Read(r.now, r.smoothingSpan) + priorWeight)
}

// adjustLimit moves the limit towards where one answer in five is not soon: with exponential waits, and half the
// latency objective as soon, one in twenty-five is then late. It guards against overload from any cause: what a member
// can't take in time is held here, by worth. It may hold back too much where a limit seldom moves.
func (m *member) adjustLimit(ease, routers float64) {
	step := math.Max(0.1, m.concurrencyLimit/50)
	switch {
	case !(ease > 1):
		m.concurrencyLimit = math.Max(minConcurrencyLimit, m.concurrencyLimit-4*step*math.Min(1, m.concurrencyLimit))
		m.limitFound = true
	case m.load+1 < m.concurrencyLimit-1 && (m.limitFound || 2*m.load+2 < m.concurrencyLimit):
	case m.limitFound:
		m.concurrencyLimit += step
	default:
		// A start: faster, until the first answer that is not quick enough; what one alone may dare all share.
		m.concurrencyLimit += math.Min(m.concurrencyLimit, math.Max(0.5, ease/2/routers))
	}
}

// hasCapacity tells whether the member may hold one more. A limit below one is a share of the time.
func (m *member) hasCapacity(now, expected float64) bool {
	return m.load < m.concurrencyLimit && (m.concurrencyLimit >= 1 || now-m.lastAttemptSent >= expected/m.concurrencyLimit)
}

// silence is how long the member has kept quiet, summed over what is out there, in expected waits, as far as
// losses on the way don't explain it, and since when. What later answers have overtaken is lost, or long, and
// tells nothing.
func (r *Router) silence(m *member) (sum, since float64) {
	since = r.now
	for _, sub := range m.inFlight {
		if sub.waitingSince >= m.answeredUpTo && !sub.idle {
			from := math.Max(sub.waitingSince, m.lastResponse)
			sum += math.Min((r.now-from)/sub.expectedLatency, -math.Log(r.lossShare()))
			since = math.Min(since, from)
		}
	}
	return sum, since
}

func (m *member) recordRole(role Role, at, gtid float64) {
	m.position = math.Max(m.position, gtid)
	m.known = m.known || role != RoleUnknown
	if role == Primary {
		m.lastConfirmedPrimary = math.Max(m.lastConfirmedPrimary, at)
	} else if role == Replica {
		m.lastKnownNotPrimary = math.Max(m.lastKnownNotPrimary, at)
	}
}

// recordMisrouted: a write's miss proves that the member is not primary, a read's that it is further behind.
func (r *Router) recordMisrouted(m *member, t *request, thought bool) {
	if t.needsPrimary() {
		m.lastKnownNotPrimary, m.known = r.now, false
		if thought {
			r.requestGroupCheck(m.group)
		}
		return
	}
	m.replicationLag = math.Max(m.replicationLag, r.now-t.minimumPosition(r.now))
	if r.now-m.lastCheckSent > restingCheckPeriod {
		m.requestCheck()
	}
}

func (r *Router) markDown(m *member) {
	if !m.down {
		m.downAt = r.now
	}
	if !m.connectFailed && r.primary(m.group) == m {
		r.requestGroupCheck(m.group)
	}
	m.down, m.known = true, false
	m.requestCheck()
}

// requestCheck has the member checked as soon as the least gap allows.
func (m *member) requestCheck() {
	m.checkRequested = true
	m.group.checkTimer.Set(Never)
}

func (r *Router) requestGroupCheck(g *group) {
	for _, m := range g.members {
		m.requestCheck()
	}
}

// HealthChecked conveys the end of a check.
func (r *Router) HealthChecked(node string, how Outcome) {
	m := r.members[node]
	if m == nil {
		return
	}
	m.checkInFlight, m.group.checkPendingSince = false, Never
	m.group.checkTimer.Set(Never)
	if how == Overloaded {
		return // too crowded to be checked: it is there, and nothing else is told
	}
	if how == NotSent { // never made, since no connection was left here: nothing is told
		if !m.down {
			m.requestCheck()
		}
		return
	}
	// Guards against checks that fail where members serve: an answer since is the better evidence, and an error
	// shows that it is there. The requests themselves then ask (fit, pick).
	if m.lastCheckErrored = how == ServerError; m.lastCheckErrored {
		m.down = false
		return
	} else if how != Succeeded {
		if (!m.down || m.connectFailed) && m.lastResponse < m.lastCheckSent {
			m.down, m.connectFailed = false, false
			r.markDown(m)
		}
		return
	}
	// Guards against restarts before the list says so: back after an absence a member may not be primary, and is
	// cold until the list has had time to tell; if it doesn't, only this router could not reach the member. One
	// that is back at once lost a connection, and its role stays: reports may be older than that.
	if m.connectFailed && m.down {
		r.refusedConnections.Add(r.now, maxSmoothingSpan, 1)
	} else if m.down && r.now-m.downAt > recheckPeriod {
		if m.lastKnownNotPrimary = math.Max(m.lastKnownNotPrimary, m.downAt); r.now-m.presumedRestartAt > maxSmoothingSpan {
			m.presumedRestartAt = r.now
			m.beginSlowStart()
		}
	}
	m.down, m.known = false, true
	m.trialReady = m.suspected && m.lastCheckSent >= m.suspectedAt && m.lastAttemptSent < m.suspectedAt
}

// beginSlowStart starts a cold member's record of speed and limit anew.
func (m *member) beginSlowStart() {
	m.lastKnownNotPrimary = math.Max(m.lastKnownNotPrimary, m.downAt) // if it was primary, it may be no more
	m.concurrencyLimit, m.limitFound, m.slowStartBudget = math.Min(initialConcurrencyLimit, m.concurrencyLimit), false, slowstart.Bucket{}
}

// Reported conveys a report of role and position, dated by that position, since it may be old.
func (r *Router) Reported(node string, role Role, gtid float64) {
	if m := r.members[node]; m != nil {
		m.recordRole(role, gtid, gtid)
		m.replicationLag = math.Max(0, r.now-gtid)
	}
}

// PeerReported conveys another router's check: a position, which of one start never goes back, and whom to ask.
func (r *Router) PeerReported(node string, started float64, role Role, gtid float64) {
	if m := r.members[node]; m != nil && started >= m.started {
		r.Reported(node, RoleUnknown, gtid)
		m.lastPeerReport = r.now // stands in for a resting check until it goes quiet
		if g := m.group; role == Primary {
			g.members = slices.Insert(slices.DeleteFunc(g.members, func(o *member) bool { return o == m }), 0, m)
		}
	}
}

// HoldWrites has writes of a group wait until then, as without a primary; an earlier time has it asked anew.
func (r *Router) HoldWrites(groupNo int, until float64) {
	g := r.findGroup(groupNo, false)
	if g.writesHeldUntil = until; until <= r.now {
		r.requestGroupCheck(g)
	}
}

// ClientGone says that the client of a request has left; nothing is owed any more.
func (r *Router) ClientGone(id string) {
	if t := r.requests[id]; t != nil {
		r.endUnsuccessful(t)
	}
}

// TimerFired: another is asked for, also after one in a batch that began before its time: there may be no other.
func (r *Router) TimerFired() {
	if r.now > r.timerAt-tick/2 {
		r.timerLateness.Max(r.now, maxSmoothingSpan, r.now-r.timerAt)
	}
	r.timerAt = math.Inf(1)
}

// Next gives the next decision; false: none is left.
func (r *Router) Next() (Decision, bool) {
	if !r.suspicionsUpdated {
		r.updateSuspicions()
	}
	if r.nextListRequest <= r.now {
		r.listRequestedAt, r.nextListRequest = r.now, r.now+r.settings.ListPollTimeout/2 // unless something is heard before
		return Decision{Action: RequestList}, true
	}
	// Guards against full connection tables: idle connections here keep other routers out. Costs a handshake.
	if n := len(r.membersToClose); n > 0 {
		m := r.membersToClose[n-1]
		r.membersToClose = r.membersToClose[:n-1]
		return Decision{Action: CloseIdleConnections, Member: m.id}, true
	}
	for _, next := range []func() (Decision, bool){r.nextCancellation, r.nextWaiting, r.nextCheck} {
		if d, ok := next(); ok {
			return d, true
		}
	}
	if due := r.nextDeadline(); due < r.timerAt {
		r.timerAt = due
		return Decision{Action: SetTimer, Time: due}, true
	}
	return Decision{}, false
}

// nextDeadline is when something may have to be done next if nothing comes in; a beat from now at the earliest.
func (r *Router) nextDeadline() float64 {
	due := r.nextListRequest
	if len(r.waiting) > 0 {
		due = r.now
	}
	if r.settings.CanHealthCheck {
		due = math.Min(due, r.activeGroups.Soonest())
	}
	for _, m := range r.busyMembers {
		for _, sub := range m.inFlight {
			if lost := sub.waitingSince + r.lostAfter(sub); !sub.canceled && !sub.idle && lost > r.now {
				due = math.Min(due, lost)
			}
		}
		if !m.suspected { // a fifth of an expected wait more of silence may be enough
			due = math.Min(due, r.now+m.inFlight[0].expectedLatency/5)
		}
	}
	return math.Max(due, r.now+tick)
}

func (r *Router) nextCheck() (Decision, bool) {
	for c := r.activeGroups.First(r.now); r.settings.CanHealthCheck && c != nil; c = r.activeGroups.First(r.now) {
		g, next := c.Of, math.Inf(1)
		for _, m := range g.members {
			due := r.checkDue(m)
			if due <= r.now {
				m.checkRequested, m.checkInFlight, m.lastCheckSent, g.checkPendingSince = false, true, r.now, r.now
				return Decision{Action: HealthCheck, Member: m.id}, true
			}
			next = math.Min(next, due)
		}
		c.Set(next)
	}
	return Decision{}, false
}

// checkDue follows need: well inside the smallest bound where enough reads need positions to pay for it; at
// rest some requests pay for each check, lest many routers with little traffic check more than they send, and an
// answer tells as much; sooner for a member marked unknown or down, and for all while requests need a primary.
func (r *Router) checkDue(m *member) float64 {
	g, gone := m.group, m.lastCheckSent-m.downAt
	each := float64(len(g.members)) * r.smoothingSpan / g.arrivals.Read(r.now, r.smoothingSpan)
	switch {
	case m.draining:
		return math.Inf(1)
	case m.checkInFlight:
		return m.lastCheckSent + restingCheckPeriod
	case m.checkRequested:
		return m.lastCheckSent + tick
	// Guards against many routers that ask all members of all groups: one by one until what waits can go.
	case m.lastCheckSent == Never && g.lastUnplaced == r.now:
		return g.checkPendingSince + 2*tick
	case m.lastCheckSent == Never:
		return m.listedAt + requestsPerCheck*each
	case m.down && gone < recheckPeriod: // it may have met what the request met
		return m.lastCheckSent + math.Max(tick, gone)
	case r.primaryUnavailable(g) && r.now-g.lastUnplaced < recheckPeriod:
		return m.lastCheckSent + recheckPeriod
	case !m.known:
		return m.lastCheckSent + math.Max(recheckPeriod, each)
	}
	need := 2 * float64(len(g.members)) * r.smoothingSpan / g.positionReads.Read(r.now, r.smoothingSpan)
	seen := math.Max(m.lastCheckSent, m.lastPeerReport)
	rest := math.Max(restingCheckPeriod, requestsPerCheck*each) + math.Max(0, m.lastResponse-seen)
	return seen + math.Max(r.minCheckPeriod, math.Min(need, rest))
}

// primary is the member with the latest claim that nothing later denies.
func (r *Router) primary(g *group) *member {
	var best *member
	for _, m := range g.members {
		if m.lastConfirmedPrimary > m.lastKnownNotPrimary && !m.down && !m.draining && (best == nil || m.lastConfirmedPrimary > best.lastConfirmedPrimary) {
			best = m
		}
	}
	return best
}

func (r *Router) primaryUnavailable(g *group) bool {
	p := r.primary(g)
	return p == nil || p.suspected || r.now < g.writesHeldUntil
}

// nextCancellation takes repeatable requests back to send them again: from a member suspected, and where the answer is
// rather lost than late, if another try can still be in time. One that is only long is worked on twice.
func (r *Router) nextCancellation() (Decision, bool) {
	for n := 0; r.settings.CanCancel && n < len(r.busyMembers); n++ {
		m := r.busyMembers[n]
		for _, sub := range m.inFlight {
			t, age := sub.request, r.now-sub.waitingSince
			if sub.canceled || sub.idle || t.finished || t.effect != Idempotent || t.sentAttempts() >= r.settings.MaxAttempts {
				continue
			}
			usual := r.usualLatency(t)
			useful := r.now+usual < t.firstArrival+t.class.LatencyObjective || t.class.LateWeightShare > 0 && r.now+usual < t.deadline
			if useful && age > r.lostAfter(sub) || m.suspected && age > sub.expectedLatency {
				sub.canceled = true
				return Decision{Action: CancelAttempt, RequestID: t.id, Attempt: slices.Index(t.attempts, sub)}, true
			}
		}
	}
	return Decision{}, false
}

// lostAfter is when an answer is rather lost than late, or than one pause explains.
func (r *Router) lostAfter(sub *attempt) float64 {
	return math.Max(lostThreshold*sub.expectedLatency, r.silenceTolerance(sub.member))
}

func (r *Router) nextWaiting() (Decision, bool) {
	if !r.sorted {
		for _, t := range r.waiting {
			t.rank = r.expectedValue(t)
		}
		slices.SortStableFunc(r.waiting, func(a, b *request) int {
			return cmp.Or(cmp.Compare(b.rank, a.rank), cmp.Compare(a.deadline, b.deadline))
		})
		r.sorted = true
	}
	for r.cursor < len(r.waiting) {
		t := r.waiting[r.cursor]
		r.cursor++
		if d, ok := r.place(t); ok {
			return d, true
		}
	}
	r.waiting = slices.DeleteFunc(r.waiting, func(t *request) bool { return t.attemptInFlight || t.finished })
	r.cursor = len(r.waiting)
	return Decision{}, false
}

// expectedValue is the value to be expected for a ms of work if answers take as long as usual, exponentially.
func (r *Router) expectedValue(t *request) float64 {
	usual := r.usualLatency(t)
	late := 1 - math.Exp(math.Min(0, r.now-t.deadline)/usual)
	soon := 1 - math.Exp(math.Min(0, r.now-t.firstArrival-t.class.LatencyObjective)/usual)
	return t.weight * (soon + t.class.LateWeightShare*math.Max(0, late-soon)) / usual
}

// adjustAdmission moves the chance of taking requests on to where one answer in five is not soon, as adapt does a limit. It
// guards against jams where each router sends a member too little for the least limit: each moves a little.
// The fewer are taken on, the more an answer speaks for. ease: how many times over it came soon enough.
func (r *Router) adjustAdmission(sub *attempt, ease float64) {
	g, pri, slow := sub.member.group, sub.member == r.primary(sub.member.group), 0.0
	if ease > 1 {
		r.admission[pri] = math.Min(maxAdmission, r.admission[pri]+0.075/math.Min(1, r.admission[pri]))
	} else if slow = 1; sub.infrequent {
		r.admission[pri] -= 0.3 * r.admission[pri] / math.Max(1, sub.member.concurrencyLimit)
	}
	if sub.infrequent { // else the member's limit sees to it
		r.slowResponses[pri].Add(r.now, maxSmoothingSpan, slow, 1)
		g.slowResponses[pri].Add(r.now, maxSmoothingSpan, slow, 1)
	}
	sub.member.adjustLimit(ease, float64(r.settings.Routers))
}

// relativeSlowShare is the share of a group's answers that were slow against that of all groups, or one in five if that
// is more. Guards against a jam of a few groups that has requests of all others refused, or hides behind them.
func (r *Router) relativeSlowShare(g *group, pri bool) float64 {
	all, own := r.slowResponses[pri], g.slowResponses[pri]
	share := math.Max(0.2, all.All.Read(r.now, maxSmoothingSpan)/math.Max(1, all.Weight.Read(r.now, maxSmoothingSpan)))
	return own.Value(r.now, maxSmoothingSpan, priorWeight, share) / share
}

// admits decides by worth for work, against the others', whether to take a request on, or let a primary have it.
func (r *Router) admits(t *request, pri bool) bool {
	mean := r.arrivedWeight.Read(r.now, maxSmoothingSpan) / r.arrivals.Read(r.now, maxSmoothingSpan)
	part := r.admission[pri] / r.relativeSlowShare(t.group, pri)
	return part >= 1 || r.random.Next() < math.Pow(part, mean*t.class.LatencyObjective/t.weight)
}

// place sends, ends or holds one waiting request.
func (r *Router) place(t *request) (Decision, bool) {
	if t.attemptInFlight || t.finished {
		return Decision{}, false
	}
	if r.cannotSucceed(t) || !t.admitted && !r.admits(t, t.needsPrimary()) {
		return r.endRequest(t), true
	}
	t.admitted = true
	if s := r.lastUnplaced; s != nil && s.group == t.group && s.class == t.class && t.class.Level != Bounded &&
		!s.sticky && !t.sticky && s.requiredPosition == Never && t.requiredPosition == Never && len(s.attempts)+len(t.attempts) == 0 {
		return Decision{}, false // one like it has just found none
	}
	m := r.selectMember(t)
	if m != nil && m == r.primary(m.group) && !t.needsPrimary() && !r.admits(t, true) {
		return r.endRequest(t), true
	}
	if m == nil {
		if r.lastUnplaced = t; !t.needsPrimary() || r.primaryUnavailable(t.group) { // else a known primary is full
			t.group.lastUnplaced = r.now
			t.group.checkTimer.Set(math.Min(t.group.checkTimer.At(), r.now))
		}
		return Decision{}, false
	}
	expected := r.expectedLatency(t, m)
	sub := &attempt{member: m, request: t, waitingSince: r.now, sentAt: r.now, expectedLatency: expected, inFlight: true,
		infrequent: r.now-m.lastAttemptSent > expected/minConcurrencyLimit, previousAttemptSent: m.lastAttemptSent, previousTrialReady: m.trialReady}
	t.attempts = append(t.attempts, sub)
	if len(m.inFlight) == 0 {
		r.busyMembers = append(r.busyMembers, m)
	}
	m.inFlight, m.load = append(m.inFlight, sub), m.load+1
	t.attemptInFlight = true // so that no other goes out before it has returned
	m.lastAttemptSent, m.trialReady = r.now, false
	m.slowStartBudget.Spend(t.class.LatencyObjective)
	d := Decision{Action: SendAttempt, RequestID: t.id, Member: m.id, NotAfter: r.notAfter(t, m)}
	if t.effect == Idempotent && !r.settings.CanCancel {
		d.Wait = r.lostAfter(sub) // in place of taking it back
	}
	return d, true
}

// cannotSucceed tells that nothing can come of it. Unsent at half its time in vain: its client had better return.
func (r *Router) cannotSucceed(t *request) bool {
	usual, ran := r.usualLatency(t), t.mayHaveRunSince != Never
	return t.sentAttempts() >= r.settings.MaxAttempts || r.now+usual > t.deadline ||
		t.sticky && (t.stickyMember == nil || t.stickyMember.draining || t.stickyMember.down) ||
		ran && t.effect == NonIdempotent || t.sentAttempts() == 0 && r.now+2*tick > t.halfTime &&
		(r.primaryUnavailable(t.group) || r.now > t.firstArrival+t.class.LatencyObjective) ||
		ran && t.class.Level == Write && t.lastOutcome == Reset || // DESIGN: a write that met a reset ends in error
		ran && t.class.Effect == IdempotentWithKey && r.now-t.mayHaveRunSince > t.class.IdempotencyWindow-maxStall ||
		t.class.LateWeightShare == 0 && r.now+usual > t.firstArrival+t.class.LatencyObjective
}

func (r *Router) endRequest(t *request) Decision {
	r.endUnsuccessful(t)
	promise := t.effect == Idempotent || t.effect == IdempotentWithKey && t.class.Scope == ScopeAll &&
		r.now+r.settings.RetryAfter-t.mayHaveRunSince < t.class.IdempotencyWindow // when its client is told to come back
	if t.mayHaveRunSince != Never && !promise {
		return Decision{Action: FailRequest, RequestID: t.id}
	}
	// A repeat could not be answered in time either; the wait may be longer than needed after a short jam.
	return Decision{Action: RejectRequest, RequestID: t.id, Wait: r.settings.RetryAfter}
}

// usualLatency is the smoothed time to an answer of a request class, over all members. Until some are in, a quarter of
// the latency objective is supposed: whoever set it expects answers well inside it.
func (r *Router) usualLatency(t *request) float64 {
	return t.stats.latency.Value(r.now, r.smoothingSpan, priorWeight, t.class.LatencyObjective/4)
}

// latencyRatio is the member's smoothed latency against what is usual.
func (r *Router) latencyRatio(m *member) float64 {
	return (m.latencyRatios.Read(r.now, r.smoothingSpan) + priorWeight) / (m.successes.Read(r.now, r.smoothingSpan) + priorWeight)
}

func (r *Router) expectedLatency(t *request, m *member) float64 {
	return r.usualLatency(t) * r.latencyRatio(m)
}

// minimumPosition is the position that the request must see if sent now.
func (t *request) minimumPosition(now float64) float64 {
	if t.class.Level == Bounded {
		return now - t.class.StalenessBound
	}
	return t.requiredPosition
}

// provenPosition is the position that a member must be known to have: where members answer whatever they hold, data must be young
// enough even if this router is held up before it writes.
func (r *Router) provenPosition(t *request) float64 {
	if t.class.Level == Bounded && r.settings.Lag == LagAnswers {
		return t.minimumPosition(r.now) + maxStall
	}
	return t.minimumPosition(r.now)
}

func (t *request) needsPrimary() bool { return t.class.Level == Write || t.class.Level == Fresh }

// selectMember chooses a member for the request, or none: it waits.
func (r *Router) selectMember(t *request) *member {
	pri := r.primary(t.group)
	if t.sticky {
		return r.eligible(t, t.stickyMember)
	}
	if t.needsPrimary() {
		if pri != nil {
			return r.eligible(t, pri)
		}
		for _, m := range t.group.members {
			asks := m.lastCheckErrored && !m.known || !r.settings.CanHealthCheck // the request does, where checks tell nothing
			if asks && r.now-m.lastKnownNotPrimary > recheckPeriod && r.eligible(t, m) != nil {
				return m
			}
		}
		return nil
	}
	need := r.provenPosition(t)
	var fresh, likely, rest, unsure []*member
	full, unasked := false, false
	for _, m := range t.group.members {
		fits, near := r.eligible(t, m) != nil, r.now-m.replicationLag >= need
		switch {
		case fits && m.suspected:
			return m // its trial is due
		case m == pri || m.suspected || m.draining || m.down || t.misroutedBy(m):
		case m.lastCheckSent == Never:
			unasked = r.settings.CanHealthCheck
		case fits && m.position >= need:
			fresh = append(fresh, m)
		case fits && near:
			likely = append(likely, m)
		case fits:
			rest = append(rest, m)
		case m.position >= need:
			full = true
		case near && m.known:
			unsure = append(unsure, m)
		}
	}
	switch {
	case len(fresh) > 0:
		return r.drawMember(t, fresh)
	// Guards against a shortage of replicas: where all that would do are full, half the primary's room serves.
	case full && (unasked || pri == nil || pri.load >= pri.concurrencyLimit/2):
		return nil
	case !full && r.settings.Lag != LagAnswers && len(likely) > 0:
		return r.drawMember(t, likely)
	case unasked:
		return nil
	case !full && r.settings.Lag != LagAnswers && len(t.attempts) == 0 && len(rest) > 0:
		return slices.MinFunc(rest, func(a, b *member) int { return cmp.Compare(a.replicationLag, b.replicationLag) })
	case full || r.settings.Lag != LagAnswers:
		return r.eligible(t, pri)
	}
	// None is known fresh enough, some seemed so: ask two, wait a moment, as waiting operations do (DESIGN).
	if len(unsure) > 0 && r.settings.CanHealthCheck && t.checksRequestedAt == Never {
		t.checksRequestedAt = r.now
		r.drawMember(t, unsure).requestCheck()
		r.drawMember(t, unsure).requestCheck()
		return nil
	}
	asked := func(m *member) bool { return m.checkInFlight && !m.suspected && !m.down }
	if r.now-t.checksRequestedAt < t.class.LatencyObjective/8 && slices.ContainsFunc(t.group.members, asked) {
		return nil
	}
	return r.eligible(t, pri)
}

func (t *request) misroutedBy(m *member) bool {
	return slices.ContainsFunc(t.attempts, func(s *attempt) bool { return s.member == m && s.misrouted })
}

// drawMember picks one by chance, weighted against smoothed latency times one plus attempts out.
func (r *Router) drawMember(t *request, from []*member) *member {
	var best *member
	top := Never
	for _, m := range from {
		good, bad := m.successes.Read(r.now, r.smoothingSpan), m.failures.Read(r.now, r.smoothingSpan)
		cost := r.latencyRatio(m) * (1 + m.load)
		// Guards against members that fail or refuse quickly, whose latency would draw more requests to them.
		weight := math.Pow((good+1)/(good+bad+1), 4) / (cost * cost)
		if slices.ContainsFunc(t.attempts, func(s *attempt) bool { return s.member == m }) {
			weight /= 10 // it has not answered this one
		}
		if m.zone == r.settings.Zone {
			weight *= 2 // crossing has a price; more would jam zones with few members
		}
		if x := math.Log(r.random.Next()) / weight; best == nil || x > top {
			best, top = m, x
		}
	}
	return best
}

// slowStartShare is the least share of its usual work that a member can do by now.
func (r *Router) slowStartShare(m *member) float64 {
	start := m.started
	if r.now-m.presumedRestartAt < r.settings.ListPollTimeout/2 {
		start = math.Max(start, m.presumedRestartAt)
	}
	return math.Min(1, r.settings.SlowStartFloor+(1-r.settings.SlowStartFloor)*(r.now-start)/r.settings.SlowStartDuration)
}

// eligible is the one place that every send passes: it gives the member back if the request may go there now.
func (r *Router) eligible(t *request, m *member) *member {
	if m == nil || m.draining || m.down || t.attemptInFlight || t.finished || t.pausedAt(m, r.now) || t.needsPrimary() && r.now < m.group.writesHeldUntil {
		return nil
	}
	// Rule 2: a referenced request that may have run stays where its repeats are discarded.
	if t.mayHaveRunSince != Never && t.class.Effect == IdempotentWithKey && t.class.Scope == ScopeZone && m.zone != t.mayHaveRunZone {
		return nil
	}
	// Rule 5: where members answer whatever they hold, only a known position will do.
	if t.class.Level != Any && r.settings.Lag == LagAnswers && m.position < r.provenPosition(t) && m != r.primary(m.group) {
		return nil
	}
	// Guards against full connection tables: where checks pass all the same, a pause.
	if m.connectFailed && r.now-m.lastAttemptSent < r.expectedLatency(t, m) || !m.known && r.settings.CanHealthCheck && !m.lastCheckErrored ||
		m.suspected && !r.trialAllowed(m, t) ||
		!r.slowStartAllows(m, t) || !m.hasCapacity(r.now, r.expectedLatency(t, m)) {
		return nil
	}
	return m
}

// trialAllowed tells whether the request may be a doubted member's trial: the first as soon as a check has passed since.
func (r *Router) trialAllowed(m *member, t *request) bool {
	return (m.trialReady || r.now-m.lastAttemptSent >= recheckPeriod) &&
		(t.effect == Idempotent || m.known && len(m.inFlight) == 0 && r.now-t.group.lastIdempotentArrival > maxSmoothingSpan)
}

// slowStartAllows tells whether a cold member can take one more (rule 4): what goes there from here stays under the
// allowed multiple of the cold share of what a member has committed here.
func (r *Router) slowStartAllows(m *member, t *request) bool {
	w := r.slowStartShare(m)
	rate := r.settings.OverloadMultiple * w * r.workRate
	return w >= 1 || m.slowStartBudget.Allows(r.now, rate, t.class.LatencyObjective, r.settings.OverloadWindow, float64(r.settings.Routers), r.random.Next)
}

// notAfter tells until when what an attempt rests on holds: its connection may take a while to come up, while
// the data that is known there ages (rule 5) and the window for repeats closes (rule 2). It may be held up after asking.
func (r *Router) notAfter(t *request, m *member) float64 {
	by := math.Inf(1)
	if t.class.Level == Bounded && r.settings.Lag == LagAnswers && m != r.primary(m.group) {
		by = m.position + t.class.StalenessBound - maxStall
	}
	if t.mayHaveRunSince != Never && t.class.Effect == IdempotentWithKey {
		by = math.Min(by, t.mayHaveRunSince+t.class.IdempotencyWindow-maxStall)
	}
	return by
}

// recordCompletedWork keeps the best average that members have committed, over the most that were ever up, lest a loss of
// many raises it, less what few requests vary by, since all add up. Guards against restarts of many, and lulls.
func (r *Router) recordCompletedWork(t *request) {
	r.completedWork.Add(r.now, maxSmoothingSpan, t.class.LatencyObjective)
	span := maxSmoothingSpan * (1 - math.Exp(-math.Max(maxSmoothingSpan/3, r.now-r.startedAt)/maxSmoothingSpan))
	r.workRate = math.Max(r.workRate, r.completedWork.Sum/(1+math.Sqrt(t.class.LatencyObjective/r.completedWork.Sum))/span/r.mostMembersUp)
}
