package router

import "math"

const (
	initialConcurrencyLimit = 1.0 // attempts in flight at a member not yet known: all routers may start together
	minConcurrencyLimit     = 0.2 // a fifth of the time, so that a member that recovers is still noticed
	minLimitStep            = 0.1
	limitStepShare          = 50 // the step is this part of the limit
	limitDecreaseSteps      = 4  // a slow answer weighs as much as four quick ones
)

// adjustLimit moves the member's concurrency limit towards where one answer in five is slow, that is takes more than half the
// latency objective: with exponentially distributed latencies one in twenty-five is then late. It guards against overload from
// any cause: what a member can't take in time waits in the router, by weight. It may hold back too much where a limit seldom
// moves. headroom is how many times over the answer was quick enough.
func (m *member) adjustLimit(headroom, routers float64) {
	step := math.Max(minLimitStep, m.concurrencyLimit/limitStepShare)
	quick := headroom > 1
	inUse := m.load+1 >= m.concurrencyLimit-1 || !m.limitFound && 2*m.load+2 >= m.concurrencyLimit
	switch {
	case !quick:
		m.concurrencyLimit = math.Max(minConcurrencyLimit, m.concurrencyLimit-limitDecreaseSteps*step*math.Min(1, m.concurrencyLimit))
		m.limitFound = true
	case !inUse: // the answer says nothing of a higher limit
	case m.limitFound:
		m.concurrencyLimit += step
	default:
		// At the start the limit grows faster, until the first slow answer; all routers share what one alone may risk.
		m.concurrencyLimit += math.Min(m.concurrencyLimit, math.Max(0.5, headroom/2/routers))
	}
}

// hasCapacity tells whether the member may take one more attempt, whose latency is expected to be so many ms. A limit below one
// is a share of the time.
func (m *member) hasCapacity(now, expectedLatency float64) bool {
	return m.load < m.concurrencyLimit &&
		(m.concurrencyLimit >= 1 || now-m.lastAttemptSent >= expectedLatency/m.concurrencyLimit)
}
