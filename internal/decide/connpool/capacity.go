package connpool

// mayOpen reports whether a sub-pool may open another connection. It may close an idle connection to make room for it.
func (p *Pool) mayOpen(sub *subPool) bool {
	m, bounds := sub.member, sub.bounds
	if !m.listed || m.localBackoff.paused(p.now) {
		return false
	}
	if bounds.PerMember > 0 && sub.total >= bounds.PerMember {
		return false
	}
	return p.poolHasRoom(sub) && !p.mustBackOff(sub) && p.memberHasRoom(sub) && p.routerHasRoom()
}

// poolHasRoom reports whether the pool's limit across all members allows another connection.
func (p *Pool) poolHasRoom(sub *subPool) bool {
	pool := sub.key.Pool
	if sub.bounds.Total == 0 || p.poolTotals[pool] < sub.bounds.Total {
		return true
	}
	return p.closeLongestIdle(func(c *conn) bool { return c.sub.key.Pool == pool })
}

// memberHasRoom reports whether the member's limit across all pools allows this sub-pool another connection.
func (p *Pool) memberHasRoom(sub *subPool) bool {
	m := sub.member
	limit := p.memberLimit(m)
	if limit == 0 {
		return true
	}
	share, starved := p.fairShare(m)
	if starved && sub.total >= share && m.total+1 >= limit {
		return false // the last slot is reserved for a pool below its fair share
	}
	return m.total < limit || p.closeLongestIdle(func(c *conn) bool { return c.sub.member == m })
}

func (p *Pool) routerHasRoom() bool {
	return len(p.conns) < p.settings.MaxTotal || p.closeLongestIdle(func(*conn) bool { return true })
}

// memberLimit returns the maximum number of connections to a member; 0 means no limit.
func (p *Pool) memberLimit(m *memberState) int {
	learned, configured := m.learnedLimit.conns, p.settings.MaxPerMember
	if learned > 0 && configured > 0 {
		return min(learned, configured)
	}
	return max(learned, configured)
}

// fairShare returns how many of a member's connections each active pool is entitled to, and whether any pool with waiters has fewer.
func (p *Pool) fairShare(m *memberState) (share int, starved bool) {
	activeSubPools := 0
	for _, sub := range m.subPools {
		if sub.inUse() {
			activeSubPools++
		}
	}
	share = max(1, p.memberLimit(m)/max(1, activeSubPools))
	for _, sub := range m.subPools {
		starved = starved || sub.waiting > 0 && sub.total < share
	}
	return share, starved
}

// mustYieldSlot reports whether a released connection must be closed instead of reused, because its pool has more than its fair
// share of the member's connections while another pool with waiters has less. Without this, a pool that is always busy would never
// free a slot.
func (p *Pool) mustYieldSlot(c *conn) bool {
	m := c.sub.member
	limit := p.memberLimit(m)
	if limit == 0 || m.total < limit {
		return false
	}
	share, starved := p.fairShare(m)
	return starved && c.sub.total > share
}

// closeLongestIdle closes the eligible connection that has been idle longest and reports whether there was one.
func (p *Pool) closeLongestIdle(eligible func(*conn) bool) bool {
	var longest *conn
	for _, m := range p.members {
		for _, sub := range m.subPools {
			if len(sub.idle) == 0 || !eligible(sub.idle[0]) {
				continue
			}
			if longest == nil || sub.idle[0].idleBefore(longest) {
				longest = sub.idle[0]
			}
		}
	}
	if longest == nil {
		return false
	}
	p.closeConn(longest)
	return true
}

// idleBefore reports whether c became idle before another connection. Ties are broken by ID.
func (c *conn) idleBefore(other *conn) bool {
	return c.idleSince < other.idleSince || c.idleSince == other.idleSince && c.id < other.id
}
