package router

import (
	"math"
	"slices"
)

// Reported conveys a member's report of role and position. It may be old, so that its role counts as of its position.
func (r *Router) Reported(memberID string, role Role, position float64) {
	if m := r.members[memberID]; m != nil {
		m.recordRole(role, position, position)
		m.replicationLag = math.Max(0, r.now-position)
	}
}

// PeerReported conveys the result of another router's health check. It counts as evidence of the position alone, which does
// not regress while the member runs; a report from before its last start is ignored. A role tells only whom to ask first.
func (r *Router) PeerReported(memberID string, started float64, role Role, position float64) {
	m := r.members[memberID]
	if m == nil || started < m.startedAt {
		return
	}
	r.Reported(memberID, RoleUnknown, position)
	m.lastPeerReport = r.now // stands in for a resting check until peers go quiet
	if g := m.group; role == Primary {
		others := slices.DeleteFunc(g.members, func(other *member) bool { return other == m })
		g.members = slices.Insert(others, 0, m)
	}
}

// recordRole takes in a role as of a time, and a position. Neither a time nor a position goes back.
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

// recordMisrouted: a misrouted write proves that the member is not primary, a read that its lag is larger than supposed.
func (r *Router) recordMisrouted(m *member, req *request, wasPrimary bool) {
	if req.needsPrimary() {
		m.lastKnownNotPrimary, m.known = r.now, false
		if wasPrimary {
			r.requestGroupCheck(m.group)
		}
		return
	}
	m.replicationLag = math.Max(m.replicationLag, r.now-req.minimumPosition(r.now))
	if r.now-m.lastCheckSent > restingCheckPeriod {
		m.requestCheck()
	}
}

// primary is the member that was confirmed as primary last, and of which nothing later says otherwise; nil if none was.
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

// primaryUnavailable tells whether writes of the group must wait: no primary is known, it is suspected, or writes are held.
func (r *Router) primaryUnavailable(g *group) bool {
	p := r.primary(g)
	return p == nil || p.suspected || r.now < g.writesHeldUntil
}

// HoldWrites has writes of a group wait until a time, as if it had no primary (a planned switchover). A time that has passed
// ends the hold, and all members are asked for their roles.
func (r *Router) HoldWrites(groupID int, until float64) {
	g := r.findGroup(groupID, false)
	g.writesHeldUntil = until
	if until <= r.now {
		r.requestGroupCheck(g)
	}
}
