package router

import "math"

const (
	restingCheckPeriod = 1000.0 // ms: the shortest check period where nothing presses (docs/design.md)
	requestsPerCheck   = 4.0    // requests that pay for a resting check: few enough to notice a change; checks have a cost
	recheckPeriod      = 500.0  // ms: check period while a group has no primary (docs/design.md); also between two trials
)

// requestCheck has the member checked as soon as the least gap between two checks allows.
func (m *member) requestCheck() {
	m.checkRequested = true
	m.group.checkTimer.Set(Never)
}

func (r *Router) requestGroupCheck(g *group) {
	for _, m := range g.members {
		m.requestCheck()
	}
}

// nextCheck visits only groups with a check that may be due, in the order in which they became active.
func (r *Router) nextCheck() (Decision, bool) {
	if !r.settings.CanHealthCheck {
		return Decision{}, false
	}
	for timer := r.activeGroups.First(r.now); timer != nil; timer = r.activeGroups.First(r.now) {
		g, next := timer.Of, math.Inf(1)
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

// checkDue is when the member is to be checked next. The period follows need: members that are unknown or down are checked
// sooner, and so are all while requests wait for a primary.
func (r *Router) checkDue(m *member) float64 {
	g, downFor := m.group, m.lastCheckSent-m.downAt
	perMember := float64(len(g.members)) * r.smoothingSpan / g.arrivals.Read(r.now, r.smoothingSpan)
	switch {
	case m.draining:
		return math.Inf(1)
	case m.checkInFlight:
		return m.lastCheckSent + restingCheckPeriod
	case m.checkRequested:
		return m.lastCheckSent + tick
	// Guards against many routers that ask all members of all groups: one by one until what waits can go.
	case m.lastCheckSent == Never && g.lastUnplaced == r.now:
		return g.checkPendingSince + 2*tick
	case m.lastCheckSent == Never:
		return m.listedAt + requestsPerCheck*perMember
	case m.down && downFor < recheckPeriod: // the check may have met the same broken connection as the request
		return m.lastCheckSent + math.Max(tick, downFor)
	case r.primaryUnavailable(g) && r.now-g.lastUnplaced < recheckPeriod:
		return m.lastCheckSent + recheckPeriod
	case !m.known:
		return m.lastCheckSent + math.Max(recheckPeriod, perMember)
	}
	return r.restingCheckDue(m, perMember)
}

// restingCheckDue is well inside the smallest staleness bound where enough reads need positions to pay for it. Else some
// requests pay for each check, lest many routers with little traffic check more than they send, and an answer to a request
// counts as a check. perMember is the time in ms in which the group has one request for each member.
func (r *Router) restingCheckDue(m *member, perMember float64) float64 {
	g := m.group
	forReads := 2 * float64(len(g.members)) * r.smoothingSpan / g.positionReads.Read(r.now, r.smoothingSpan)
	lastReport := math.Max(m.lastCheckSent, m.lastPeerReport)
	resting := math.Max(restingCheckPeriod, requestsPerCheck*perMember) + math.Max(0, m.lastResponse-lastReport)
	return lastReport + math.Max(r.minCheckPeriod, math.Min(forReads, resting))
}

// HealthChecked conveys the end of a health check. What the member reported in it comes by Reported.
func (r *Router) HealthChecked(memberID string, outcome Outcome) {
	m := r.members[memberID]
	if m == nil {
		return
	}
	m.checkInFlight, m.group.checkPendingSince = false, Never
	m.group.checkTimer.Set(Never)
	switch outcome {
	case Overloaded: // too crowded to be checked: it is there, and nothing else is told
	case NotSent: // never made, since no connection was left on this host: nothing is told
		if !m.down {
			m.requestCheck()
		}
	case ServerError:
		// Guards against checks that fail where members serve: an error shows that the member is there. The requests
		// themselves then find out what it does (eligible, writeCandidate).
		m.lastCheckErrored, m.down = true, false
	case Succeeded:
		m.lastCheckErrored = false
		r.recordCheckPassed(m)
	default:
		m.lastCheckErrored = false
		// An answer to a request since the check went out is the better evidence.
		if (!m.down || m.connectFailed) && m.lastResponse < m.lastCheckSent {
			m.down, m.connectFailed = false, false
			r.markDown(m)
		}
	}
}

// recordCheckPassed guards against restarts that the list does not tell yet: a member that is back after an absence may not be
// primary any more, and is taken as starting slowly until the list has had time to tell. If the list does not, only this router
// could not reach the member. One that is back at once lost a connection and keeps its role: reports may be older than that.
func (r *Router) recordCheckPassed(m *member) {
	if m.connectFailed && m.down {
		r.refusedConnections.Add(r.now, maxSmoothingSpan, 1)
	} else if m.down && r.now-m.downAt > recheckPeriod {
		m.lastKnownNotPrimary = math.Max(m.lastKnownNotPrimary, m.downAt)
		if r.now-m.presumedRestartAt > maxSmoothingSpan {
			m.presumedRestartAt = r.now
			m.beginSlowStart()
		}
	}
	m.down, m.known = false, true
	m.trialReady = m.suspected && m.lastCheckSent >= m.suspectedAt && m.lastAttemptSent < m.suspectedAt
}

// markDown marks the member down and unknown, and has it checked; if it was primary and did not only refuse a connection, its
// whole group.
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
