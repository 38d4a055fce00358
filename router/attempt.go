package router

import (
	"math"
	"slices"
)

// Refused connections above both thresholds show that connection tables are full; fewer are isolated connection
// failures.
const (
	minRefusalsForFullTable = 0.5 // refused connections, as a decaying sum
	arrivalsPerRefusal      = 20  // one refused connection per this many requests
)

// attempt is one sending of a request to a member.
type attempt struct {
	member          *member
	request         *request
	sentAt          float64
	waitingSince    float64 // since when the attempt has been waiting for the member
	expectedLatency float64
	inFlight        bool
	misrouted       bool
	canceled        bool
	infrequent      bool // attempts at the member are so rare that even the smallest concurrency limit would not delay this one
	idle            bool // no response of the member is due: the attempt waits for a pooled connection or for the client
	awaitingClient  bool // idle after part of the response has been passed to the client

	retryNotBefore      float64 // earliest time at which the request may be sent to this member again after NotSent
	previousAttemptSent float64 // state of the member before this attempt, for undoNotSent
	previousTrialReady  bool
}

// AttemptEnded records how an attempt of a request ended. index is the attempt's index within the request; latency is
// the time in ms from sending the attempt to its end. finished means that the request needs no further attempt because
// its final response is out or part of this one. role and position are what the response reported about the member,
// RoleUnknown and Never if nothing. Each attempt ends once; calls for other attempts are ignored.
func (r *Router) AttemptEnded(id string, index int, outcome Outcome, latency float64, finished bool, role Role, position float64) {
	a := r.attemptInFlight(id, index)
	if a == nil {
		return
	}
	req, m := a.request, a.member
	r.recordAttemptEnd(a, outcome, latency, role, position)
	if outcome == Succeeded && req.class.Level == Write && r.settings.TracksSessionCommits && req.session != "" {
		r.rememberCommit(req.session, position)
	}
	a.inFlight, a.misrouted = false, outcome == Misrouted
	req.attemptInFlight, req.lastOutcome = false, outcome
	if outcome == NotSent && !finished {
		a.undoNotSent(r.now)
	}
	if req.mayHaveRunSince == Never && outcome.MayHaveRun() {
		req.mayHaveRunSince, req.mayHaveRunZone = a.sentAt, m.zone
	}
	if req.finished || finished {
		r.release(req)
	} else {
		r.waiting, r.waitingSorted = append(r.waiting, req), false
	}
}

// attemptInFlight returns an attempt, or nil if it is not in flight.
func (r *Router) attemptInFlight(id string, index int) *attempt {
	req := r.requests[id]
	if req == nil || index >= len(req.attempts) || !req.attempts[index].inFlight {
		return nil
	}
	return req.attempts[index]
}

// AttemptIdleChanged reports what an attempt that consists of several exchanges waits for: the member or, if idle is set, the
// client or the connection pool. responseBegun means that part of the response has been passed to the client, so that
// the request must never be sent again.
func (r *Router) AttemptIdleChanged(id string, index int, idle, responseBegun bool) {
	a := r.attemptInFlight(id, index)
	if a == nil {
		return
	}
	if responseBegun {
		a.request.effect = NonIdempotent
	}
	if a.idle && !idle {
		a.waitingSince, a.member.lastAttemptSent = r.now, r.now
	} else if !a.idle && idle && responseBegun {
		r.recordResponse(a)
	}
	awaitingClient := idle && responseBegun
	if awaitingClient && !a.awaitingClient {
		a.member.load--
	} else if !awaitingClient && a.awaitingClient {
		a.member.load++
	}
	a.idle, a.awaitingClient = idle, awaitingClient
}

// recordAttemptEnd updates the state of a member when an attempt at it ends.
func (r *Router) recordAttemptEnd(a *attempt, outcome Outcome, latency float64, role Role, position float64) {
	m, req := a.member, a.request
	if outcome.isResponse() {
		r.recordResponse(a)
	}
	r.removeInFlight(a)
	if outcome.isResponse() {
		r.respondedAttempts.Add(r.now, r.smoothingTime, 1)
		wasPrimary := r.primary(m.group) == m
		m.recordRole(role, r.now, position)
		if outcome == Misrouted {
			r.recordMisrouted(m, req, wasPrimary)
		}
	}
	switch outcome {
	case Succeeded:
		r.recordSuccess(a, latency)
	case ServerError:
		m.failures.Add(r.now, r.smoothingTime, 1)
	case ConnectFailed, Reset:
		m.failures.Add(r.now, r.smoothingTime, 1)
		m.connectFailed = outcome == ConnectFailed
		r.markDown(m)
	case TimedOut, Canceled:
		r.recordNoResponse(a)
	case Overloaded:
		r.adjustAdmission(a, 0)
	}
}

// removeInFlight removes an attempt from the load of its member.
func (r *Router) removeInFlight(a *attempt) {
	m := a.member
	m.inFlight = slices.DeleteFunc(m.inFlight, func(other *attempt) bool { return other == a })
	if !a.awaitingClient {
		m.load--
	}
	if len(m.inFlight) > 0 {
		return
	}
	r.busyMembers = slices.DeleteFunc(r.busyMembers, func(other *member) bool { return other == m })
	if r.refusedConnections.Read(r.now, maxSmoothingTime) > math.Max(minRefusalsForFullTable, r.arrivals.Value/arrivalsPerRefusal) {
		r.idleCloseQueue = append(r.idleCloseQueue, m)
	}
}

func (r *Router) recordSuccess(a *attempt, latency float64) {
	m, req := a.member, a.request
	r.recordCompletedWork(req)
	usual := r.usualLatency(req)
	req.stats.latency.Add(r.now, r.smoothingTime, latency, 1)
	m.latencyRatios.Add(r.now, r.smoothingTime, latency/usual)
	m.successes.Add(r.now, r.smoothingTime, 1)
	r.adjustAdmission(a, req.class.LatencyObjective/2/latency)
}

// recordNoResponse estimates the probability that the response to an attempt was lost; otherwise it is late, and its
// latency counts as at least the time waited. A loss is more likely the faster other responses are and the more
// responses have been lost.
func (r *Router) recordNoResponse(a *attempt) {
	m, req, waited := a.member, a.request, r.now-a.waitingSince
	loss := r.lossShare()
	lost := loss / (loss + (1-loss)*math.Exp(-(waited/a.expectedLatency)))
	r.lostAttempts.Add(r.now, r.smoothingTime, lost)
	m.failures.Add(r.now, r.smoothingTime, lost)
	req.stats.latency.Add(r.now, r.smoothingTime, (1-lost)*(waited+a.expectedLatency), 1-lost)
	if lost < 0.5 && waited > math.Min(req.class.LatencyObjective/2, 2*a.expectedLatency) { // otherwise the attempt ended early because the client had little time left
		r.adjustAdmission(a, 0)
	}
}
