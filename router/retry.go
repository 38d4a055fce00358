package router

import (
	"math"
	"slices"
)

const maxNotSentPause = 100.0 // ms: longest pause between two attempts at a member that end as not sent; the shortest is a tick

// nextCancellation cancels attempts of idempotent requests so that they are retried: attempts at suspected members, and
// attempts whose response is probably lost rather than late, provided that a retry can be in time. A request that merely
// takes long may run twice.
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
	return retryUseful && waited > r.lossTimeout(a) || m.suspected && waited > a.expectedLatency
}

// lossTimeout returns the time in ms after which a response counts as lost: longer than a late response or a single pause
// explains.
func (r *Router) lossTimeout(a *attempt) float64 {
	return math.Max(lossThreshold*a.expectedLatency, r.silenceTolerance(a.member))
}

// undoNotSent reverts the accounting of an attempt that was not sent: the member has received nothing of it.
func (a *attempt) undoNotSent(now float64) {
	m, req := a.member, a.request
	req.notSentCount++
	a.retryNotBefore = now + req.notSentPause(m)
	if math.Max(m.startedAt, m.presumedRestartAt) <= a.sentAt { // otherwise the member's slow start has begun again since
		m.slowStartBudget.Spend(-req.class.LatencyObjective)
	}
	if m.lastAttemptSent == a.sentAt {
		m.lastAttemptSent = a.previousAttemptSent
		m.trialReady = a.previousTrialReady && m.suspectedAt <= a.sentAt
	}
}

// notSentPause returns for how many ms the request is not sent again to a member after NotSent: a backoff that doubles
// each time. NotSent does not count as an attempt and its cause may pass at any moment; the pause prevents endless
// attempts at one member in the same instant.
func (req *request) notSentPause(m *member) float64 {
	pause := tick
	for _, a := range req.attempts {
		if a.member == m && a.retryNotBefore > 0 {
			pause *= 2
		}
	}
	return math.Min(pause, maxNotSentPause)
}

// pausedAt reports whether the request is in the pause after NotSent at the member.
func (req *request) pausedAt(m *member, now float64) bool {
	return req.notSentCount > 0 && slices.ContainsFunc(req.attempts, func(a *attempt) bool {
		return a.member == m && now < a.retryNotBefore
	})
}
