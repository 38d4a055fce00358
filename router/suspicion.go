package router

import "math"

const (
	suspicionThreshold = 10.0                   // expected latencies without a response; a healthy member has it once in 20,000 (e^-10)
	checkThreshold     = suspicionThreshold / 2 // expected latencies after which the member is checked
	priorLossShare     = 0.001                  // assumed share of lost responses until some have been observed
	lossThreshold      = 5.5                    // expected latencies; one healthy request in 250 takes longer (e^-5.5)
)

// updateSuspicions is the failure detector: it suspects members that accept requests but do not respond, because they
// hang, have vanished or are unreachable. It runs after all responses of the current batch of inputs have been recorded.
// A long pause of a member looks the same for a while; the first response clears the suspicion.
//
// A pause delays all attempts at a member at the same time, so the sum of their waiting times alone proves nothing: the
// silence must also be longer than silenceTolerance.
func (r *Router) updateSuspicions() {
	r.suspicionsUpdated = true
	for _, m := range r.busyMembers {
		silence, since := r.silence(m)
		if m.suspected || silence < checkThreshold {
			continue
		}
		m.suspected = silence > suspicionThreshold && r.now-since > r.silenceTolerance(m)
		if m.suspected {
			m.suspectedAt, m.trialReady = r.now, false
			r.requestGroupCheck(m.group)
		} else if m.lastCheckSent < since {
			m.requestCheck()
		}
	}
}

// silence returns for how long the member has not responded and since when. The duration is in expected latencies,
// summed over its attempts in flight; each contributes at most -ln(lossShare), since its response may just have been
// lost. Attempts that were overtaken by responses to later ones are lost or long-running and do not count.
func (r *Router) silence(m *member) (waits, since float64) {
	since = r.now
	for _, a := range m.inFlight {
		if a.waitingSince >= m.respondedUpTo && !a.idle {
			from := math.Max(a.waitingSince, m.lastResponse)
			waits += math.Min((r.now-from)/a.expectedLatency, -math.Log(r.lossShare()))
			since = math.Min(since, from)
		}
	}
	return waits, since
}

// silenceTolerance returns for how many ms all attempts at a member may go without a response before that proves
// anything: twice the longest improbable silence that the member has ended with a response, or a tick
// plus twice the longest recent delay of a timer, which shows a pause of this router, if that is longer.
func (r *Router) silenceTolerance(m *member) float64 {
	return math.Max(2*m.longestSilence.Read(r.now, maxSmoothingTime), tick+2*r.timerLateness.Read(r.now, maxSmoothingTime))
}

// recordResponse records that a member has responded to an attempt, with any outcome.
func (r *Router) recordResponse(a *attempt) {
	m := a.member
	if silence, since := r.silence(m); silence > checkThreshold {
		m.longestSilence.Max(r.now, maxSmoothingTime, r.now-since)
	}
	m.lastResponse, m.respondedUpTo = r.now, math.Max(m.respondedUpTo, a.waitingSince)
	m.suspected, m.down, m.connectFailed = false, false, false
}

// lossShare returns the share of this router's attempts that may run but get no response.
func (r *Router) lossShare() float64 {
	lost := r.lostAttempts.Read(r.now, r.smoothingTime)
	return (lost + priorWeight*priorLossShare) / (lost + r.respondedAttempts.Read(r.now, r.smoothingTime) + priorWeight)
}

// trialAllowed reports whether the request may be the trial of a suspected member: the first trial as soon as a check
// has passed since the suspicion, then one per recheckPeriod. A request that is not idempotent is used only where no
// idempotent requests arrive.
func (r *Router) trialAllowed(m *member, req *request) bool {
	if !m.trialReady && r.now-m.lastAttemptSent < recheckPeriod {
		return false
	}
	return req.effect == Idempotent ||
		m.known && len(m.inFlight) == 0 && r.now-req.group.lastIdempotentArrival > maxSmoothingTime
}
