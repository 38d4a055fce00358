package router

import "math"

const (
	initialConcurrencyLimit = 1.0 // attempts in flight at a new member; low because all routers may start at the same time
	minConcurrencyLimit     = 0.2 // one attempt in flight a fifth of the time, so that the recovery of a member is still noticed
	minLimitStep            = 0.1
	limitStepDivisor        = 50 // the step is the limit divided by this
	limitDecreaseSteps      = 4  // a slow response lowers the limit by as many steps as four fast ones raise it
)

// adjustLimit moves the member's concurrency limit toward the point where one response in five is slow, meaning that it
// takes more than half the latency objective: with exponentially distributed latencies, one in 25 then misses the
// objective. This guards against overload of any cause: requests that a member can't serve in time wait in the router,
// ordered by weight. Where the limit is seldom adjusted, it may hold back too much. headroom is half the latency
// objective divided by the latency.
func (m *member) adjustLimit(headroom, routers float64) {
	step := math.Max(minLimitStep, m.concurrencyLimit/limitStepDivisor)
	quick := headroom > 1
	inUse := m.load+1 >= m.concurrencyLimit-1 || !m.limitReached && 2*m.load+2 >= m.concurrencyLimit
	switch {
	case !quick:
		m.concurrencyLimit = math.Max(minConcurrencyLimit, m.concurrencyLimit-limitDecreaseSteps*step*math.Min(1, m.concurrencyLimit))
		m.limitReached = true
	case !inUse: // the response does not show that a higher limit is possible
	case m.limitReached:
		m.concurrencyLimit += step
	default:
		// Until the first slow response the limit grows faster; the risk that one router may take is divided among all
		// routers.
		m.concurrencyLimit += math.Min(m.concurrencyLimit, math.Max(0.5, headroom/2/routers))
	}
}

// hasCapacity reports whether the member may get one more attempt with this expected latency in ms. A limit below 1 is
// the share of the time in which an attempt may be in flight.
func (m *member) hasCapacity(now, expectedLatency float64) bool {
	return m.load < m.concurrencyLimit &&
		(m.concurrencyLimit >= 1 || now-m.lastAttemptSent >= expectedLatency/m.concurrencyLimit)
}
