package router

import (
	"math"
	"slices"
)

// MemberReported passes in a member's report of its role and position. The report may be old, so its role is valid as of its
// position.
func (r *Router) MemberReported(memberID string, role Role, position float64) {
	if m := r.members[memberID]; m != nil {
		m.recordRole(role, position, position)
		m.replicationLag = math.Max(0, r.now-position)
	}
}

// PeerReported passes in the result of another router's health check. It is evidence of the position only, which does
// not regress while the member runs; a report from before the member's last start is ignored. The reported role only
// affects which member is asked first.
func (r *Router) PeerReported(memberID string, started float64, role Role, position float64) {
	m := r.members[memberID]
	if m == nil || started < m.startedAt {
		return
	}
	r.MemberReported(memberID, RoleUnknown, position)
	m.lastPeerReport = r.now // replaces a routine check while peers keep reporting
	if g := m.group; role == Primary {
		others := slices.DeleteFunc(g.members, func(other *member) bool { return other == m })
		g.members = slices.Insert(others, 0, m)
	}
}

// recordRole records a role as of a time, and a position. Neither the time nor the position moves back.
func (m *member) recordRole(role Role, at, position float64) {
	m.position = math.Max(m.position, position)
	m.known = m.known || role != RoleUnknown
	switch role {
	case Primary:
		m.lastConfirmedPrimary = math.Max(m.lastConfirmedPrimary, at)
	case Replica:
		m.lastKnownNotPrimary = math.Max(m.lastKnownNotPrimary, at)
	}
}

// recordMisrouted: a misrouted write proves that the member is not primary, a misrouted read that its lag is larger than
// recorded.
func (r *Router) recordMisrouted(m *member, req *request, wasPrimary bool) {
	if req.needsPrimary() {
		m.lastKnownNotPrimary, m.known = r.now, false
		if wasPrimary {
			r.requestGroupCheck(m.group)
		}
		return
	}
	m.replicationLag = math.Max(m.replicationLag, r.now-req.minimumPosition(r.now))
	if r.now-m.lastCheckSent > routineCheckPeriod {
		m.requestCheck()
	}
}

// primary returns the member that was most recently confirmed as primary and for which no later evidence contradicts
// that, or nil.
func (r *Router) primary(g *group) *member {
	var latest *member
	for _, m := range g.members {
		if m.lastConfirmedPrimary <= m.lastKnownNotPrimary || m.down || m.draining {
			continue
		}
		if latest == nil || m.lastConfirmedPrimary > latest.lastConfirmedPrimary {
			latest = m
		}
	}
	return latest
}

// primaryUnavailable reports whether writes of the group must wait: no primary is known, it is suspected, or a write
// hold is active.
func (r *Router) primaryUnavailable(g *group) bool {
	p := r.primary(g)
	return p == nil || p.suspected || r.now < g.writesHeldUntil
}

// HoldWrites holds writes of a group until a time, as if it had no primary (for a planned switchover). A time in the
// past ends the hold, and all members are checked for their roles.
func (r *Router) HoldWrites(groupID int, until float64) {
	g := r.findGroup(groupID, false)
	g.writesHeldUntil = until
	if until <= r.now {
		r.requestGroupCheck(g)
	}
}
