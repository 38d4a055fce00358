package router

import (
	"math"
	"slices"
)

const maxNotSentPause = 100.0 // ms between two attempts at one member that end as not sent, at the most; tick at the least

// nextCancellation takes attempts of idempotent requests back so that they are sent again: at members that are suspected, and
// where the answer is lost rather than late, if a retry can still be in time. A request that only takes long then runs twice.
func (r *Router) nextCancellation() (Decision, bool) {
	if !r.settings.CanCancel {
		return Decision{}, false
	}
	for _, m := range r.busyMembers {
		for _, a := range m.inFlight {
			if r.shouldCancel(a) {
				a.canceled = true
				index := slices.Index(a.request.attempts, a)
				return Decision{Action: CancelAttempt, RequestID: a.request.id, Attempt: index}, true
			}
		}
	}
	return Decision{}, false
}

func (r *Router) shouldCancel(a *attempt) bool {
	m, req, waited := a.member, a.request, r.now-a.waitingSince
	if a.canceled || a.idle || req.finished || req.effect != Idempotent || req.sentAttempts() >= r.settings.MaxAttempts {
		return false
	}
	usual := r.usualLatency(req)
	retryUseful := r.now+usual < req.firstArrival+req.class.LatencyObjective ||
		req.class.LateWeightShare > 0 && r.now+usual < req.deadline
	return retryUseful && waited > r.lostAfter(a) || m.suspected && waited > a.expectedLatency
}

// lostAfter is after how many ms an answer is lost rather than late, or than one pause explains.
func (r *Router) lostAfter(a *attempt) float64 {
	return math.Max(lostThreshold*a.expectedLatency, r.silenceTolerance(a.member))
}

// undoNotSent takes back what an attempt that was not sent has counted for: the member has had nothing of it.
func (a *attempt) undoNotSent(now float64) {
	m, req := a.member, a.request
	req.notSentCount++
	a.retryNotBefore = now + req.notSentPause(m)
	if math.Max(m.startedAt, m.presumedRestartAt) <= a.sentAt { // else the member's slow start has begun anew since
		m.slowStartBudget.Spend(-req.class.LatencyObjective)
	}
	if m.lastAttemptSent == a.sentAt {
		m.lastAttemptSent = a.previousAttemptSent
		m.trialReady = a.previousTrialReady && m.suspectedAt <= a.sentAt
	}
}

// notSentPause is for how many ms the request is not sent to a member to which it could not be sent: a backoff that doubles. That
// was no attempt, and its cause may pass in a moment; the pause guards against asking one member without end in one instant.
func (req *request) notSentPause(m *member) float64 {
	pause := tick
	for _, a := range req.attempts {
		if a.member == m && a.retryNotBefore > 0 {
			pause *= 2
		}
	}
	return math.Min(pause, maxNotSentPause)
}

// pausedAt tells whether the request could not be sent to the member just now.
func (req *request) pausedAt(m *member, now float64) bool {
	return req.notSentCount > 0 && slices.ContainsFunc(req.attempts, func(a *attempt) bool {
		return a.member == m && now < a.retryNotBefore
	})
}
