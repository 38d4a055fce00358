package router

import "math"

const (
	routineCheckPeriod = 1000.0 // ms: shortest health check period in routine operation (docs/design.md)
	requestsPerCheck   = 4.0    // requests per routine check: few enough to notice changes, enough to justify the cost of a check
	recheckPeriod      = 500.0  // ms: check period while a group has no primary (docs/design.md), and interval between trials
)

// requestCheck requests a check of the member as soon as the minimum interval between two checks has passed.
func (m *member) requestCheck() {
	m.checkRequested = true
	m.group.checkTimer.Set(Never)
}

func (r *Router) requestGroupCheck(g *group) {
	for _, m := range g.members {
		m.requestCheck()
	}
}

// nextCheck visits only groups with a check that may be due, in the order in which the groups became active.
func (r *Router) nextCheck() (Decision, bool) {
	if !r.settings.CanHealthCheck {
		return Decision{}, false
	}
	for timer := r.activeGroups.First(r.now); timer != nil; timer = r.activeGroups.First(r.now) {
		g, next := timer.Value, math.Inf(1)
		for _, m := range g.members {
			due := r.checkDue(m)
			if due <= r.now {
				m.checkRequested, m.checkInFlight = false, true
				m.lastCheckSent, g.checkPendingSince = r.now, r.now
				return Decision{Action: HealthCheck, Member: m.id}, true
			}
			next = math.Min(next, due)
		}
		timer.Set(next)
	}
	return Decision{}, false
}

// checkDue returns when the member is to be checked next. The period depends on need: unknown and down members are
// checked more often, and so are all members of a group while requests wait for its primary.
func (r *Router) checkDue(m *member) float64 {
	g, downFor := m.group, m.lastCheckSent-m.downAt
	perMember := float64(len(g.members)) * r.smoothingTime / g.arrivals.Read(r.now, r.smoothingTime)
	switch {
	case m.draining:
		return math.Inf(1)
	case m.checkInFlight:
		return m.lastCheckSent + routineCheckPeriod
	case m.checkRequested:
		return m.lastCheckSent + tick
	// Many routers must not check all members of all groups at once: members that were never checked are checked one by
	// one until the waiting requests can be sent.
	case m.lastCheckSent == Never && g.lastUnplaced == r.now:
		return g.checkPendingSince + 2*tick
	case m.lastCheckSent == Never:
		return m.listedAt + requestsPerCheck*perMember
	case m.down && downFor < recheckPeriod: // the check may have failed on the same broken connection as the request
		return m.lastCheckSent + math.Max(tick, downFor)
	case r.primaryUnavailable(g) && r.now-g.lastUnplaced < recheckPeriod:
		return m.lastCheckSent + recheckPeriod
	case !m.known:
		return m.lastCheckSent + math.Max(recheckPeriod, perMember)
	}
	return r.routineCheckDue(m, perMember)
}

// routineCheckDue returns when a routine check of the member is due. If enough reads need positions to justify it, that
// is well within the smallest staleness bound. Otherwise each check needs a number of requests, so that many routers
// with little traffic do not send more checks than requests, and a response to a request counts as a check. perMember is
// the time in ms in which the group gets one request per member.
func (r *Router) routineCheckDue(m *member, perMember float64) float64 {
	g := m.group
	forReads := 2 * float64(len(g.members)) * r.smoothingTime / g.positionReads.Read(r.now, r.smoothingTime)
	lastReport := math.Max(m.lastCheckSent, m.lastPeerReport)
	routine := math.Max(routineCheckPeriod, requestsPerCheck*perMember) + math.Max(0, m.lastResponse-lastReport)
	return lastReport + math.Max(r.minCheckPeriod, math.Min(forReads, routine))
}

// HealthChecked records the end of a health check. The state that the member reported is passed to
// MemberReported.
func (r *Router) HealthChecked(memberID string, outcome Outcome) {
	m := r.members[memberID]
	if m == nil {
		return
	}
	m.checkInFlight, m.group.checkPendingSince = false, Never
	m.group.checkTimer.Set(Never)
	switch outcome {
	case Overloaded: // too loaded to be checked: the member is running, but nothing else is known
	case NotSent: // no check was made, since this host had no connection left: nothing is known
		if !m.down {
			m.requestCheck()
		}
	case ServerError:
		// Guards against health checks that fail on working members: an error response shows that the member is running.
		// Its role and position are then learned from requests (eligible, writeCandidate).
		m.lastCheckErrored, m.down = true, false
	case Succeeded:
		m.lastCheckErrored = false
		r.recordCheckPassed(m)
	default:
		m.lastCheckErrored = false
		// A response to a request that came after the check was sent is stronger evidence.
		if (!m.down || m.connectFailed) && m.lastResponse < m.lastCheckSent {
			m.down, m.connectFailed = false, false
			r.markDown(m)
		}
	}
}

// recordCheckPassed guards against restarts that the list does not show yet: a member that returns after an absence may
// no longer be primary, and is presumed to be in slow start until the list has had time to show it. If the list shows no
// restart, only this router could not reach the member. A member that is back at once has only lost a connection and
// keeps its role, since reports may be older than the loss.
func (r *Router) recordCheckPassed(m *member) {
	if m.connectFailed && m.down {
		r.refusedConnections.Add(r.now, maxSmoothingTime, 1)
	} else if m.down && r.now-m.downAt > recheckPeriod {
		m.lastKnownNotPrimary = math.Max(m.lastKnownNotPrimary, m.downAt)
		if r.now-m.presumedRestartAt > maxSmoothingTime {
			m.presumedRestartAt = r.now
			m.beginSlowStart()
		}
	}
	m.down, m.known = false, true
	m.trialReady = m.suspected && m.lastCheckSent >= m.suspectedAt && m.lastAttemptSent < m.suspectedAt
}

// markDown marks the member as down and unknown and requests a check of it. If it was primary and has not merely refused
// a connection, all members of its group are checked.
func (r *Router) markDown(m *member) {
	if !m.down {
		m.downAt = r.now
	}
	if !m.connectFailed && r.primary(m.group) == m {
		r.requestGroupCheck(m.group)
	}
	m.down, m.known = true, false
	m.requestCheck()
}
