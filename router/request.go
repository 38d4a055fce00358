package router

import (
	"cmp"
	"math"
	"slices"
)

// request is what a client asked once, until its final response is out and no attempt is in flight any more.
type request struct {
	id, session string
	class       *RequestClass
	stats       *classStats
	group       *group
	effect      Effect // of its class; NonIdempotent once part of the response is with the client

	firstArrival     float64 // the client's first try, as far as it can be told
	deadline         float64 // of this try
	halfTime         float64 // when half of this try's time is over
	requiredPosition float64 // that a session or fresh read must see
	weight           float64 // its priority weight, lowered when its tenant is over quota
	rank             float64 // its place among those that wait: the largest first

	attempts          []*attempt
	notSentCount      int     // of these, those that ended as not sent
	attemptInFlight   bool    // one at a time
	lastOutcome       Outcome // of the last attempt
	mayHaveRunSince   float64 // when the earliest attempt that may have run was sent; Never: none
	mayHaveRunZone    string  // the zone of its member
	checksRequestedAt float64 // when members were checked on its behalf
	admitted          bool
	finished          bool // it has had its final response

	sticky       bool    // only stickyMember may take it
	stickyMember *member // nil if that is not in the list
}

// Arrive takes a request in. It returns false, and does nothing, if the settings have no such class. tokenAge is the age of the
// session token that came with it, 0 for none; ttl is how long the client waits from now; isRetry says that the client marked
// it as a retry.
func (r *Router) Arrive(id, tenant, session, className string, groupID int, tokenAge, ttl float64, isRetry bool) bool {
	class := r.settings.RequestClasses[className]
	if class == nil {
		return false
	}
	stats := r.statsByClass[class]
	age := stats.estimateAge(r.now, class, ttl, isRetry)
	if r.settings.ClientsMarkRetries && !isRetry {
		age = 0
	}
	req := &request{
		id: id, session: session, class: class, stats: stats, group: r.findGroup(groupID, false), effect: class.Effect,
		firstArrival: r.now - age, deadline: r.now + ttl, halfTime: r.now + ttl/2,
		requiredPosition: r.requiredPosition(class, session, tokenAge), weight: class.PriorityWeight,
		mayHaveRunSince: Never, checksRequestedAt: Never,
	}
	r.recordArrival(req, tenant)
	r.requests[id] = req
	r.waiting, r.waitingSorted = append(r.waiting, req), false
	return true
}

// requiredPosition is the position that a new request must see, whenever it is sent; Never for none.
func (r *Router) requiredPosition(class *RequestClass, session string, tokenAge float64) float64 {
	switch {
	case class.Level == Session && r.settings.RemembersCommits && r.sessionCommits.Position(session) != 0:
		return r.sessionCommits.Position(session)
	case class.Level == Session && tokenAge != 0: // an age below 0 is no error: a commit may be dated a little ahead
		return r.now - tokenAge
	case class.Level == Fresh:
		return r.now
	}
	return Never
}

// recordArrival measures what arrives, and lowers the weight of a request whose tenant is over its quota.
func (r *Router) recordArrival(req *request, tenant string) {
	class, g := req.class, req.group
	r.arrivals.Add(r.now, maxSmoothingSpan, 1)
	req.stats.arrivals.Add(r.now, maxSmoothingSpan, 1)
	r.smoothingSpan = math.Max(minSmoothingSpan, math.Min(maxSmoothingSpan, smoothingSample*maxSmoothingSpan/r.arrivals.Value))
	g.arrivals.Add(r.now, r.smoothingSpan, 1)
	g.checkTimer.Set(r.now)
	r.activate(g)
	if class.Effect == Idempotent {
		g.lastIdempotentArrival = r.now
	}
	if class.Level == Bounded && r.settings.Lag == LagAnswers { // else members see to the bound themselves
		g.positionReads.Add(r.now, r.smoothingSpan, 1)
	}
	if arrivals := r.tenantArrivals[tenant]; arrivals != nil {
		rate := arrivals.Add(r.now, r.smoothingSpan, 1) * 1000 / r.smoothingSpan
		if rate > r.settings.Tenants[tenant]/float64(r.settings.Routers) {
			req.weight *= r.settings.OverQuotaWeight
		}
	}
	r.arrivedWeight.Add(r.now, maxSmoothingSpan, req.weight/class.LatencyObjective)
}

// Pin says that a request that has just arrived may go to one member alone, to which its session's connection leads.
func (r *Router) Pin(id, memberID string) {
	if req := r.requests[id]; req != nil {
		req.sticky, req.stickyMember = true, r.members[memberID]
	}
}

// Queued says for how many ms a request that has just arrived had waited for its turn behind other requests of its client. It
// shortens the time that the client has left, so that no answer comes when nobody waits any more; the latency objective
// counts from now.
func (r *Router) Queued(id string, waited float64) {
	if req := r.requests[id]; req != nil {
		req.deadline -= waited
		req.halfTime = (r.now + req.deadline) / 2
	}
}

// ClientGone says that the client of a request has left: no response is owed any more.
func (r *Router) ClientGone(id string) {
	if req := r.requests[id]; req != nil {
		r.endUnsuccessful(req)
	}
}

// endUnsuccessful ends a request without success; its client may come back.
func (r *Router) endUnsuccessful(req *request) {
	req.stats.unsuccessfulEnds.Add(r.now, 2*req.class.Deadline, 1)
	r.release(req)
}

// release ends a request, and forgets it once no attempt of it is in flight any more.
func (r *Router) release(req *request) {
	req.finished = true
	if !req.attemptInFlight {
		delete(r.requests, req.id)
	}
}

// rememberCommit keeps the position of a session's last commit, and at times drops those that every member has by now.
func (r *Router) rememberCommit(session string, position float64) {
	r.sessionCommits.Record(session, cmp.Or(math.Max(position, 0), r.now)) // no position was told: now
	if !r.sessionCommits.PruneDue() {
		return
	}
	least := math.Inf(1)
	for _, m := range r.members {
		if !m.draining {
			least = math.Min(least, m.position)
		}
	}
	r.sessionCommits.Prune(least)
}

func (req *request) needsPrimary() bool { return req.class.Level == Write || req.class.Level == Fresh }

// minimumPosition is the position that the request must see if it is sent now.
func (req *request) minimumPosition(now float64) float64 {
	if req.class.Level == Bounded {
		return now - req.class.StalenessBound
	}
	return req.requiredPosition
}

// sentAttempts counts the attempts that were sent, or may yet be.
func (req *request) sentAttempts() int { return len(req.attempts) - req.notSentCount }

func (req *request) triedAt(m *member) bool {
	return slices.ContainsFunc(req.attempts, func(a *attempt) bool { return a.member == m })
}

func (req *request) misroutedBy(m *member) bool {
	return slices.ContainsFunc(req.attempts, func(a *attempt) bool { return a.member == m && a.misrouted })
}
