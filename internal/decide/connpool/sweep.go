package connpool

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

const sweepIntervalMs = 100.0

// sweep closes connections that have expired or have been idle too long, opens connections for MinIdle, times out waiters and idle
// transactions, raises learned limits, and removes unused members.
func (p *Pool) sweep() {
	p.nextSweepAt = p.now + sweepIntervalMs
	p.assignmentDue = true
	for timer := p.memberTimers.First(); timer != nil && timer.Deadline() <= p.now; timer = p.memberTimers.First() {
		p.memberTimers.Remove(timer)
		p.markDirty(timer.Value)
	}
	members := p.dirty
	p.dirty = nil
	slices.SortFunc(members, func(a, b *memberState) int { return cmp.Compare(a.id, b.id) })
	for _, m := range members {
		m.dirty = false
		if p.members[m.id] == m { // otherwise it has been removed, and may have been added again since
			p.sweepMember(m)
		}
	}
	p.sweepIdleInTransaction()
}

func (p *Pool) sweepMember(m *memberState) {
	p.sweepVisits++
	m.learnedLimit.raiseIfDue(m.total, p.now)
	for _, pool := range slices.Sorted(maps.Keys(m.subPools)) {
		sub := m.subPools[pool]
		p.sweepSubPool(sub)
		if !sub.inUse() && (!m.listed || sub.bounds.MinIdle == 0) {
			delete(m.subPools, pool)
		}
	}
	p.memberTimers.Remove(&m.sweepTimer)
	if !m.listed && len(m.subPools) == 0 {
		delete(p.members, m.id)
		return
	}
	if deadline := m.nextDeadline(p.now); !math.IsInf(deadline, 1) {
		p.memberTimers.Schedule(&m.sweepTimer, deadline)
	}
}

func (p *Pool) sweepSubPool(sub *subPool) {
	for _, c := range slices.Clone(sub.idle) {
		idleTooLong := sub.bounds.IdleTimeoutMs > 0 && p.now-c.idleSince > sub.bounds.IdleTimeoutMs
		if idleTooLong || c.expired(p.now) {
			p.closeConn(c)
		}
	}
	if sub.bounds.WaitTimeoutMs > 0 {
		p.timeOutWaiters(sub)
	}
	if sub.lacksMinIdle() && p.now >= sub.member.connectBackoff.retryAt && p.mayOpen(sub) {
		p.openConn(sub, nil)
	}
}

func (p *Pool) timeOutWaiters(sub *subPool) {
	for w := sub.longestWaiting(); w != nil && p.now-w.enqueuedAt >= sub.bounds.WaitTimeoutMs; w = sub.longestWaiting() {
		p.reject(w, WaitTimedOut)
	}
}

func (p *Pool) sweepIdleInTransaction() {
	var overdue []*conn
	for timer := p.idleInTransactionTimers.First(); timer != nil && timer.Deadline() < p.now; timer = p.idleInTransactionTimers.First() {
		p.sweepVisits++
		p.idleInTransactionTimers.Remove(timer)
		overdue = append(overdue, timer.Value)
	}
	slices.SortFunc(overdue, func(a, b *conn) int { return cmp.Compare(a.id, b.id) })
	for _, c := range overdue {
		p.emit(Decision{Action: CloseIdleInTransaction, Conn: c.id, Key: c.sub.key})
	}
}

// nextDeadline returns when a sweep must visit a member again if nothing changes; +Inf if never.
func (m *memberState) nextDeadline(now float64) float64 {
	deadline := math.Inf(1)
	if m.learnedLimit.conns > 0 {
		deadline = m.learnedLimit.raiseAt
	}
	for _, sub := range m.subPools {
		deadline = math.Min(deadline, sub.nextDeadline(now))
	}
	return deadline
}

func (s *subPool) nextDeadline(now float64) float64 {
	deadline := math.Inf(1)
	for _, c := range s.idle {
		if s.bounds.IdleTimeoutMs > 0 {
			deadline = math.Min(deadline, c.idleSince+s.bounds.IdleTimeoutMs)
		}
		if s.bounds.MaxAgeMs > 0 {
			deadline = math.Min(deadline, c.openedAt+c.maxAgeMs)
		}
	}
	if s.bounds.WaitTimeoutMs > 0 {
		for _, queue := range s.queues {
			deadline = math.Min(deadline, queue[0].enqueuedAt+s.bounds.WaitTimeoutMs)
		}
	}
	if s.lacksMinIdle() {
		deadline = math.Min(deadline, max(now, s.member.connectBackoff.retryAt, s.member.localBackoff.dialAt))
	}
	return deadline
}
