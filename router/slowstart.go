package router

import (
	"math"

	"wayloft/internal/decide/slowstart"
)

// beginSlowStart begins the member's slow start, and its concurrency limit anew. If it was primary, it may be no more.
func (m *member) beginSlowStart() {
	m.lastKnownNotPrimary = math.Max(m.lastKnownNotPrimary, m.downAt)
	m.concurrencyLimit, m.limitFound = math.Min(initialConcurrencyLimit, m.concurrencyLimit), false
	m.slowStartBudget = slowstart.Bucket{}
}

// slowStartShare is the least share of its usual work that a member can do by now. A restart that was only presumed counts until
// the list has had time to tell of it.
func (r *Router) slowStartShare(m *member) float64 {
	start := m.startedAt
	if r.now-m.presumedRestartAt < r.settings.ListPollTimeout/2 {
		start = math.Max(start, m.presumedRestartAt)
	}
	floor := r.settings.SlowStartFloor
	return math.Min(1, floor+(1-floor)*(r.now-start)/r.settings.SlowStartDuration)
}

// slowStartAllows tells whether a member in slow start may be sent one more request (rule 4): what this router sends it stays
// under the allowed multiple of its share of the work that members usually complete.
func (r *Router) slowStartAllows(m *member, req *request) bool {
	share := r.slowStartShare(m)
	if share >= 1 {
		return true
	}
	rate := r.settings.OverloadMultiple * share * r.workRate
	return m.slowStartBudget.Allows(r.now, rate, req.class.LatencyObjective, r.settings.OverloadWindow,
		float64(r.settings.Routers), r.random.Next)
}

// recordCompletedWork keeps the best average of completed work, for each of the most members that were ever up, lest a loss of
// many members raises it, less the standard deviation of few requests, since the deviations of all routers add up. It guards
// against restarts of many members, and lulls.
func (r *Router) recordCompletedWork(req *request) {
	work := req.class.LatencyObjective
	r.completedWork.Add(r.now, maxSmoothingSpan, work)
	span := maxSmoothingSpan * (1 - math.Exp(-math.Max(maxSmoothingSpan/3, r.now-r.startedAt)/maxSmoothingSpan))
	sum := r.completedWork.Value
	r.workRate = math.Max(r.workRate, sum/(1+math.Sqrt(work/sum))/span/r.mostMembersUp)
}
