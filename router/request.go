package router

import (
	"cmp"
	"math"
	"slices"
)

// request is one client request, kept until its final response is out and it has no attempt in flight.
type request struct {
	id, session string
	class       *RequestClass
	stats       *classStats
	group       *group
	effect      RetryEffect // effect of its class; NonIdempotent once part of the response has been passed to the client

	firstArrival     float64     // estimated arrival of the client's original request, of which this may be a retry
	deadline         float64     // when the client stops waiting for this request
	halfTime         float64     // when half of the client's waiting time has passed
	requiredPosition float64     // position that a session or fresh read must see
	lagBehavior      LagBehavior // how a member handles it that lags too far behind
	weight           float64     // priority weight, reduced while its tenant is over quota
	rank             float64     // order among waiting requests, largest first

	attempts          []*attempt
	notSentCount      int     // attempts that ended as not sent
	attemptInFlight   bool    // at most one at a time
	lastOutcome       Outcome // outcome of the last attempt
	mayHaveRunSince   float64 // when the earliest attempt that may have run was sent; Never if there is none
	mayHaveRunZone    string  // zone of the member of that attempt
	checksRequestedAt float64 // when health checks were requested on its behalf
	admitted          bool
	finished          bool // its final response is out

	sticky       bool    // only stickyMember may serve it
	stickyMember *member // nil if that member is not in the list
}

// RequestArrived adds a request. If the settings have no such class, it returns false and does nothing. tokenAge is the age of
// the session token that came with the request, 0 for none; ttl is how long the client waits from now on; isRetry means
// that the client marked the request as a retry.
func (r *Router) RequestArrived(id, tenant, session, className string, groupID int, tokenAge, ttl float64, isRetry bool) bool {
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
		requiredPosition: r.requiredPosition(class, session, tokenAge), lagBehavior: r.settings.LagBehavior, weight: class.PriorityWeight,
		mayHaveRunSince: Never, checksRequestedAt: Never,
	}
	r.recordArrival(req, tenant)
	r.requests[id] = req
	r.waiting, r.waitingSorted = append(r.waiting, req), false
	return true
}

// requiredPosition returns the position that a new request must see no matter when it is sent, Never for none.
func (r *Router) requiredPosition(class *RequestClass, session string, tokenAge float64) float64 {
	switch class.Level {
	case Session:
		required := Never
		if tokenAge != 0 { // a negative age is valid: a commit may carry a timestamp slightly ahead of this clock
			required = r.now - tokenAge
		}
		if r.settings.TracksSessionCommits && session != "" {
			required = math.Max(required, r.sessionCommits.RequiredPosition(session))
		}
		return required
	case Fresh:
		return r.now
	}
	return Never
}

// recordArrival updates the arrival measurements and reduces the weight of a request whose tenant is over quota.
func (r *Router) recordArrival(req *request, tenant string) {
	class, g := req.class, req.group
	r.arrivals.Add(r.now, maxSmoothingTime, 1)
	req.stats.arrivals.Add(r.now, maxSmoothingTime, 1)
	r.smoothingTime = math.Max(minSmoothingTime, math.Min(maxSmoothingTime, smoothingSample*maxSmoothingTime/r.arrivals.Value))
	g.arrivals.Add(r.now, r.smoothingTime, 1)
	g.checkTimer.Set(r.now)
	r.activate(g)
	if class.Effect == Idempotent {
		g.lastIdempotentArrival = r.now
	}
	r.recordPositionRead(req)
	if arrivals := r.tenantArrivals[tenant]; arrivals != nil {
		rate := arrivals.Add(r.now, r.smoothingTime, 1) * 1000 / r.smoothingTime
		if rate > r.settings.Tenants[tenant]/float64(r.settings.Routers) {
			req.weight *= r.settings.OverQuotaWeight
		}
	}
	r.arrivedWeight.Add(r.now, maxSmoothingTime, req.weight/class.LatencyObjective)
}

// recordPositionRead counts a request for which the positions of members must be known. Where members enforce the bound of a
// read themselves, they need not be.
func (r *Router) recordPositionRead(req *request) {
	if req.class.Level == Bounded && req.lagBehavior == LagServes {
		req.group.positionReads.Add(r.now, r.smoothingTime, 1)
	}
}

// MembersNotTold records that a request that has just arrived does not tell a member which position it must see. No member
// can then wait for that position or reject the read, whatever the settings say: each one responds with the data it has.
func (r *Router) MembersNotTold(id string) {
	if req := r.requests[id]; req != nil && req.lagBehavior != LagServes {
		req.lagBehavior = LagServes
		r.recordPositionRead(req)
	}
}

// Pin restricts a request that has just arrived to one member, to which the connection of its session leads.
func (r *Router) Pin(id, memberID string) {
	if req := r.requests[id]; req != nil {
		req.sticky, req.stickyMember = true, r.members[memberID]
	}
}

// RequestQueued reports for how many ms a request that has just arrived had been queued behind earlier requests of its
// client. The client's remaining waiting time shrinks by that, so that no response is produced after the client has
// stopped waiting; the latency objective still counts from now.
func (r *Router) RequestQueued(id string, waited float64) {
	if req := r.requests[id]; req != nil {
		req.deadline -= waited
		req.halfTime = (r.now + req.deadline) / 2
	}
}

// ClientGone reports that the client of a request has disconnected and needs no response.
func (r *Router) ClientGone(id string) {
	if req := r.requests[id]; req != nil {
		r.endUnsuccessful(req)
	}
}

// endUnsuccessful ends a request without success; its client may retry.
func (r *Router) endUnsuccessful(req *request) {
	req.stats.unsuccessfulEnds.Add(r.now, 2*req.class.Deadline, 1)
	r.release(req)
}

// release ends a request, and forgets it once it has no attempt in flight.
func (r *Router) release(req *request) {
	req.finished = true
	if !req.attemptInFlight {
		delete(r.requests, req.id)
	}
}

// rememberCommit stores the position of a session's last commit and from time to time discards those that all members
// have applied. Reads go on to require what was discarded, since a member may join from an old copy.
func (r *Router) rememberCommit(session string, position float64) {
	r.sessionCommits.Record(session, cmp.Or(math.Max(position, 0), r.now)) // if no position was reported, the current time
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

// minimumPosition returns the position that the request must see if it is sent now.
func (req *request) minimumPosition(now float64) float64 {
	if req.class.Level == Bounded {
		return now - req.class.StalenessBound
	}
	return req.requiredPosition
}

// sentAttempts returns the number of attempts that were sent or may still be.
func (req *request) sentAttempts() int { return len(req.attempts) - req.notSentCount }

func (req *request) triedAt(m *member) bool {
	return slices.ContainsFunc(req.attempts, func(a *attempt) bool { return a.member == m })
}

func (req *request) misroutedBy(m *member) bool {
	return slices.ContainsFunc(req.attempts, func(a *attempt) bool { return a.member == m && a.misrouted })
}
