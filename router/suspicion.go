package router

import "math"

const (
	suspicionThreshold = 10.0                   // expected waits without a response; a healthy member has it once in 20,000 (e^-10)
	checkThreshold     = suspicionThreshold / 2 // expected waits after which the member is checked
	priorLossShare     = 0.001                  // share of answers assumed to be lost on the way until some were
	lostThreshold      = 5.5                    // expected waits; one healthy request in 250 takes longer (e^-5.5)
)

// updateSuspicions is the failure detector: it suspects members that take requests and answer none, since they are hung,
// vanished or cut off. It runs after the answers of the present batch of inputs have been taken in. A long pause looks the
// same for a while; the first answer clears the suspicion.
//
// A pause silences all attempts at a member together, so that the sum of their waits alone proves nothing: a silence must
// also be longer than silenceTolerance.
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

// silence is how long the member has not responded, summed over its attempts in flight, in expected waits, as far as losses
// on the way do not explain it, and since when. Attempts that answers to later ones have overtaken are lost, or long, and
// do not count.
func (r *Router) silence(m *member) (waits, since float64) {
	since = r.now
	for _, a := range m.inFlight {
		if a.waitingSince >= m.answeredUpTo && !a.idle {
			from := math.Max(a.waitingSince, m.lastResponse)
			waits += math.Min((r.now-from)/a.expectedLatency, -math.Log(r.lossShare()))
			since = math.Min(since, from)
		}
	}
	return waits, since
}

// silenceTolerance is for how many ms all attempts at a member may stay without an answer and prove nothing: twice the
// longest unlikely silence that it has ended by an answer, and twice the pauses of this router itself.
func (r *Router) silenceTolerance(m *member) float64 {
	return math.Max(2*m.longestSilence.Read(r.now, maxSmoothingSpan), tick+2*r.timerLateness.Read(r.now, maxSmoothingSpan))
}

// recordResponse takes in that a member has responded to an attempt, whatever it said.
func (r *Router) recordResponse(a *attempt) {
	m := a.member
	if silence, since := r.silence(m); silence > checkThreshold {
		m.longestSilence.Max(r.now, maxSmoothingSpan, r.now-since)
	}
	m.lastResponse, m.answeredUpTo = r.now, math.Max(m.answeredUpTo, a.waitingSince)
	m.suspected, m.down, m.connectFailed = false, false, false
}

// lossShare is the share of this router's attempts that get no answer though they may run.
func (r *Router) lossShare() float64 {
	lost := r.lostAttempts.Read(r.now, r.smoothingSpan)
	return (lost + priorWeight*priorLossShare) / (lost + r.answeredAttempts.Read(r.now, r.smoothingSpan) + priorWeight)
}

// trialAllowed tells whether the request may be the trial of a suspected member: the first one as soon as a check has passed
// since, then one each recheckPeriod. A request that may not run twice is a trial only where no idempotent ones come.
func (r *Router) trialAllowed(m *member, req *request) bool {
	if !m.trialReady && r.now-m.lastAttemptSent < recheckPeriod {
		return false
	}
	return req.effect == Idempotent ||
		m.known && len(m.inFlight) == 0 && r.now-req.group.lastIdempotentArrival > maxSmoothingSpan
}
