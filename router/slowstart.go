package router

import (
	"math"

	"wayloft/internal/decide/slowstart"
)

// beginSlowStart starts the member's slow start and resets its concurrency limit. If it was primary, it may no longer
// be.
func (m *member) beginSlowStart() {
	m.lastKnownNotPrimary = math.Max(m.lastKnownNotPrimary, m.downAt)
	m.concurrencyLimit, m.limitReached = math.Min(initialConcurrencyLimit, m.concurrencyLimit), false
	m.slowStartBudget = slowstart.Bucket{}
}

// slowStartShare returns the share of its normal work that a member can do by now, at the least. A presumed restart
// counts only until the list has had time to show it.
func (r *Router) slowStartShare(m *member) float64 {
	start := m.startedAt
	if r.now-m.presumedRestartAt < r.settings.ListPollTimeout/2 {
		start = math.Max(start, m.presumedRestartAt)
	}
	floor := r.settings.SlowStartFloor
	return math.Min(1, floor+(1-floor)*(r.now-start)/r.settings.SlowStartDuration)
}

// slowStartAllows reports whether a member in slow start may be sent one more request (rule 4): what this router sends
// it must stay below the overload multiple of its share of the work that members normally complete.
func (r *Router) slowStartAllows(m *member, req *request) bool {
	share := r.slowStartShare(m)
	if share >= 1 {
		return true
	}
	rate := r.settings.OverloadMultiple * share * r.workRatePerMember
	return m.slowStartBudget.Allows(r.now, rate, req.class.LatencyObjective, r.settings.OverloadWindow,
		float64(r.settings.Routers), r.random.Next)
}

// recordCompletedWork keeps the highest average rate of completed work per member. The maximum guards against restarts
// of many members and against quiet periods. The rate is divided by the largest number of members that were ever up,
// since losing many members would otherwise raise it. The standard deviation due to the small number of requests is
// subtracted, since the deviations of all routers add up.
func (r *Router) recordCompletedWork(req *request) {
	work := req.class.LatencyObjective
	r.completedWork.Add(r.now, maxSmoothingTime, work)
	span := maxSmoothingTime * (1 - math.Exp(-math.Max(maxSmoothingTime/3, r.now-r.startedAt)/maxSmoothingTime))
	sum := r.completedWork.Value
	r.workRatePerMember = math.Max(r.workRatePerMember, sum/(1+math.Sqrt(work/sum))/span/r.maxMembersUp)
}
