package router

import "math"

const (
	maxAdmission      = 1.5 // the admission probability rises above 1, so that a few slow answers in a row change nothing
	targetSlowShare   = 0.2 // share of answers that may be slow
	admissionIncrease = 0.075
	admissionDecrease = 0.3 // four times the increase: the two balance at one slow answer in five
)

// adjustAdmission moves the probability of admitting requests to where one answer in five is slow, as adjustLimit does with a
// member's limit. It guards against overload where each router sends a member so little that not even the smallest limit
// holds it back: each router moves a little. The fewer are admitted, the more an answer speaks for. headroom is how many times
// over the answer was quick enough; 0 for a refusal or no answer.
func (r *Router) adjustAdmission(a *attempt, headroom float64) {
	m, g := a.member, a.member.group
	isPrimary := m == r.primary(g)
	admission, slow := r.admission.of(isPrimary), 0.0
	if headroom > 1 {
		*admission = math.Min(maxAdmission, *admission+admissionIncrease/math.Min(1, *admission))
	} else {
		slow = 1
		if a.infrequent {
			*admission -= admissionDecrease * *admission / math.Max(1, m.concurrencyLimit)
		}
	}
	if a.infrequent { // else the member's limit sees to it
		r.slowResponses.of(isPrimary).Add(r.now, maxSmoothingSpan, slow, 1)
		g.slowResponses.of(isPrimary).Add(r.now, maxSmoothingSpan, slow, 1)
	}
	m.adjustLimit(headroom, float64(r.settings.Routers))
}

// relativeSlowShare is the share of a group's answers that were slow, divided by that of all groups, or by one in five if that is
// more. It guards against an overload of a few groups that has requests of all others rejected, or hides behind them.
func (r *Router) relativeSlowShare(g *group, isPrimary bool) float64 {
	all, own := r.slowResponses.of(isPrimary), g.slowResponses.of(isPrimary)
	share := math.Max(targetSlowShare, all.Total.Read(r.now, maxSmoothingSpan)/math.Max(1, all.Weight.Read(r.now, maxSmoothingSpan)))
	return own.Estimate(r.now, maxSmoothingSpan, priorWeight, share) / share
}

// admits decides whether to admit a request, or to let it use a primary (load shedding): the larger its weight for its work
// against that of others, the likelier.
func (r *Router) admits(req *request, toPrimary bool) bool {
	meanWeight := r.arrivedWeight.Read(r.now, maxSmoothingSpan) / r.arrivals.Read(r.now, maxSmoothingSpan)
	probability := *r.admission.of(toPrimary) / r.relativeSlowShare(req.group, toPrimary)
	return probability >= 1 ||
		r.random.Next() < math.Pow(probability, meanWeight*req.class.LatencyObjective/req.weight)
}

// expectedValue is the weight to be expected for a ms of work, if latencies are exponentially distributed around the usual one.
func (r *Router) expectedValue(req *request) float64 {
	usual := r.usualLatency(req)
	beforeDeadline := 1 - math.Exp(math.Min(0, r.now-req.deadline)/usual)
	inObjective := 1 - math.Exp(math.Min(0, r.now-req.firstArrival-req.class.LatencyObjective)/usual)
	return req.weight * (inObjective + req.class.LateWeightShare*math.Max(0, beforeDeadline-inObjective)) / usual
}
