package router

import "math"

const (
	maxAdmission      = 1.5 // above 1, so that a few slow responses in a row change nothing
	targetSlowShare   = 0.2 // target share of slow responses
	admissionIncrease = 0.075
	admissionDecrease = 0.3 // four times the increase: the two balance at one slow response in five
)

// adjustAdmission moves the admission probability toward the point where one response in five is slow, as adjustLimit
// does for the concurrency limit of a member. It guards against overload by many routers that each send a member so
// little that even the smallest limit does not hold them back: each router then contributes a small reduction. The fewer
// requests are admitted, the more a single fast response raises the probability. headroom is half the latency objective
// divided by the latency, 0 for an overloaded or missing response.
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
	if a.infrequent { // otherwise the concurrency limit of the member applies
		r.slowResponses.of(isPrimary).Add(r.now, maxSmoothingTime, slow, 1)
		g.slowResponses.of(isPrimary).Add(r.now, maxSmoothingTime, slow, 1)
	}
	m.adjustLimit(headroom, float64(r.settings.Routers))
}

// relativeSlowShare returns the share of slow responses of a group divided by that of all groups, or by the target share
// if that is larger. Otherwise an overload of a few groups would cause requests of all other groups to be rejected, or
// would disappear in the average.
func (r *Router) relativeSlowShare(g *group, isPrimary bool) float64 {
	all, own := r.slowResponses.of(isPrimary), g.slowResponses.of(isPrimary)
	share := math.Max(targetSlowShare, all.Total.Read(r.now, maxSmoothingTime)/math.Max(1, all.Weight.Read(r.now, maxSmoothingTime)))
	return own.Estimate(r.now, maxSmoothingTime, priorWeight, share) / share
}

// admits decides at random whether to admit a request, or to let a read use a primary (load shedding). The probability
// grows with the ratio of weight to work of the request, relative to the average request.
func (r *Router) admits(req *request, toPrimary bool) bool {
	meanWeight := r.arrivedWeight.Read(r.now, maxSmoothingTime) / r.arrivals.Read(r.now, maxSmoothingTime)
	probability := *r.admission.of(toPrimary) / r.relativeSlowShare(req.group, toPrimary)
	return probability >= 1 ||
		r.random.Next() < math.Pow(probability, meanWeight*req.class.LatencyObjective/req.weight)
}

// expectedValue returns the expected weight earned per ms of work, assuming exponentially distributed latencies with the
// usual latency as their mean.
func (r *Router) expectedValue(req *request) float64 {
	usual := r.usualLatency(req)
	beforeDeadline := 1 - math.Exp(math.Min(0, r.now-req.deadline)/usual)
	inObjective := 1 - math.Exp(math.Min(0, r.now-req.firstArrival-req.class.LatencyObjective)/usual)
	return req.weight * (inObjective + req.class.LateWeightShare*math.Max(0, beforeDeadline-inObjective)) / usual
}
