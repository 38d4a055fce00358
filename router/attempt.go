package router

import (
	"math"
	"slices"
)

// Above both of these, refused connections show that connection tables are full; fewer are single connections that failed.
const (
	fewRefusals        = 0.5 // refused connections, decaying
	arrivalsPerRefusal = 20  // one refused connection for so many requests
)

// attempt is one sending of a request to a member.
type attempt struct {
	member          *member
	request         *request
	sentAt          float64
	waitingSince    float64 // since when the member has had to answer
	expectedLatency float64
	inFlight        bool
	misrouted       bool
	canceled        bool
	infrequent      bool // attempts at the member are so rare that even the smallest concurrency limit would not hold this one back
	idle            bool // the member has nothing to answer: it is the pool's turn, or the client's
	clientsTurn     bool // idle, and the client has had part of the response

	retryNotBefore      float64 // it ended as not sent: the request goes to this member again then at the earliest
	previousAttemptSent float64 // the member's record before this attempt, for undoNotSent
	previousTrialReady  bool
}

// AttemptEnded says how an attempt of a request ended. index is the attempt's place among those of the request, latency the time
// in ms from sending it to its end. finished says that the request needs no further attempt, since its final response is out
// or in this answer. role and position are what the answer told of the member: RoleUnknown and Never if nothing. Each attempt
// ends once; calls for others are ignored.
func (r *Router) AttemptEnded(id string, index int, outcome Outcome, latency float64, finished bool, role Role, position float64) {
	a := r.attemptInFlight(id, index)
	if a == nil {
		return
	}
	req, m := a.request, a.member
	r.recordAttemptEnd(a, outcome, latency, role, position)
	if outcome == Succeeded && req.class.Level == Write && r.settings.RemembersCommits && req.session != "" {
		r.rememberCommit(req.session, position)
	}
	a.inFlight, a.misrouted = false, outcome == Misrouted
	req.attemptInFlight, req.lastOutcome = false, outcome
	if outcome == NotSent && !finished {
		a.undoNotSent(r.now)
	}
	if req.mayHaveRunSince == Never && outcome.mayHaveRun() {
		req.mayHaveRunSince, req.mayHaveRunZone = a.sentAt, m.zone
	}
	if req.finished || finished {
		r.release(req)
	} else {
		r.waiting, r.waitingSorted = append(r.waiting, req), false
	}
}

// attemptInFlight finds an attempt, nil if it is not in flight (any more).
func (r *Router) attemptInFlight(id string, index int) *attempt {
	req := r.requests[id]
	if req == nil || index >= len(req.attempts) || !req.attempts[index].inFlight {
		return nil
	}
	return req.attempts[index]
}

// TurnChanged says who has to act in an attempt that takes more than one turn: the member, or, where idle, the client or the
// connection pool. responseBegun says that part of the response is with the client, so that the request is never sent again.
func (r *Router) TurnChanged(id string, index int, idle, responseBegun bool) {
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
	clientsTurn := idle && responseBegun
	if clientsTurn && !a.clientsTurn {
		a.member.load--
	} else if !clientsTurn && a.clientsTurn {
		a.member.load++
	}
	a.idle, a.clientsTurn = idle, clientsTurn
}

// recordAttemptEnd updates the record of a member from the end of an attempt.
func (r *Router) recordAttemptEnd(a *attempt, outcome Outcome, latency float64, role Role, position float64) {
	m, req := a.member, a.request
	if outcome.isAnswer() {
		r.recordResponse(a)
	}
	r.removeInFlight(a)
	if outcome.isAnswer() {
		r.answeredAttempts.Add(r.now, r.smoothingSpan, 1)
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
		m.failures.Add(r.now, r.smoothingSpan, 1)
	case ConnectFailed, Reset:
		m.failures.Add(r.now, r.smoothingSpan, 1)
		m.connectFailed = outcome == ConnectFailed
		r.markDown(m)
	case TimedOut, Canceled:
		r.recordNoResponse(a)
	case Overloaded:
		r.adjustAdmission(a, 0)
	}
}

// removeInFlight takes an attempt off its member's load.
func (r *Router) removeInFlight(a *attempt) {
	m := a.member
	m.inFlight = slices.DeleteFunc(m.inFlight, func(other *attempt) bool { return other == a })
	if !a.clientsTurn {
		m.load--
	}
	if len(m.inFlight) > 0 {
		return
	}
	r.busyMembers = slices.DeleteFunc(r.busyMembers, func(other *member) bool { return other == m })
	if r.refusedConnections.Read(r.now, maxSmoothingSpan) > math.Max(fewRefusals, r.arrivals.Value/arrivalsPerRefusal) {
		r.membersToClose = append(r.membersToClose, m)
	}
}

func (r *Router) recordSuccess(a *attempt, latency float64) {
	m, req := a.member, a.request
	r.recordCompletedWork(req)
	usual := r.usualLatency(req)
	req.stats.latency.Add(r.now, r.smoothingSpan, latency, 1)
	m.latencyRatios.Add(r.now, r.smoothingSpan, latency/usual)
	m.successes.Add(r.now, r.smoothingSpan, 1)
	r.adjustAdmission(a, req.class.LatencyObjective/2/latency)
}

// recordNoResponse weighs whether an attempt without an answer was lost on the way, or only takes long, so that it counts as at
// least that slow: a loss is the more likely the quicker others are and the more are lost.
func (r *Router) recordNoResponse(a *attempt) {
	m, req, waited := a.member, a.request, r.now-a.waitingSince
	loss := r.lossShare()
	lost := loss / (loss + (1-loss)*math.Exp(-(waited/a.expectedLatency)))
	r.lostAttempts.Add(r.now, r.smoothingSpan, lost)
	m.failures.Add(r.now, r.smoothingSpan, lost)
	req.stats.latency.Add(r.now, r.smoothingSpan, (1-lost)*(waited+a.expectedLatency), 1-lost)
	if lost < 0.5 && waited > math.Min(req.class.LatencyObjective/2, 2*a.expectedLatency) { // else its client's time was short
		r.adjustAdmission(a, 0)
	}
}
