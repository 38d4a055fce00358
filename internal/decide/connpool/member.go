package connpool

import (
	"maps"
	"slices"

	"wayloft/internal/decide/timerqueue"
)

// memberState is one member: its connections by pool, and what limits the opening of more.
type memberState struct {
	id         string
	listed     bool // the member takes new work
	dirty      bool // changed since the last sweep
	sweepTimer timerqueue.Timer[*memberState]
	subPools   map[string]*subPool // by the pool's name
	total      int                 // connections, those being opened among them
	opening    int

	learnedLimit   learnedLimit
	connectBackoff connectBackoff
	localBackoff   localBackoff
}

// established returns the number of connections that are up.
func (m *memberState) established() int { return m.total - m.opening }

// subPool holds the connections of one key and the requests that wait for one.
type subPool struct {
	key     Key
	bounds  Bounds
	member  *memberState
	total   int // connections, those being opened among them
	opening int
	idle    []*conn              // the longest idle first
	queues  map[string][]*waiter // by tenant; none is empty
	tenants []string             // those with a queue, in the order of their turns
	waiting int                  // requests in all queues
}

// inUse reports whether the sub-pool has connections or waiters.
func (s *subPool) inUse() bool { return s.total > 0 || s.waiting > 0 }

// lacksMinIdle reports whether a connection must be opened for MinIdle. They are opened one at a time.
func (s *subPool) lacksMinIdle() bool { return s.total < s.bounds.MinIdle && s.opening == 0 }

// member returns the state of a member, a new one if it is not known. It becomes dirty.
func (p *Pool) member(id string) *memberState {
	m := p.members[id]
	if m == nil {
		m = &memberState{id: id, subPools: map[string]*subPool{}, learnedLimit: learnedLimit{raiseIntervalMs: minLimitRaiseIntervalMs}}
		m.sweepTimer.Of = m
		p.members[id] = m
	}
	p.markDirty(m)
	return m
}

// markDirty has the next sweep visit a member. Whatever changes a member, its sub-pools or connections must call it.
func (p *Pool) markDirty(m *memberState) {
	if !m.dirty {
		m.dirty = true
		p.dirty = append(p.dirty, m)
	}
}

// subPool returns the sub-pool of a key, a new one if it is not known.
func (p *Pool) subPool(key Key) *subPool {
	m := p.member(key.Member)
	sub := m.subPools[key.Pool]
	if sub == nil {
		sub = &subPool{key: key, bounds: p.settings.Pools[key.Pool], member: m, queues: map[string][]*waiter{}}
		m.subPools[key.Pool] = sub
	}
	return sub
}

// MemberListed says whether a member takes new work. One that does not keeps its busy connections and nothing else.
func (p *Pool) MemberListed(memberID string, listed bool) {
	p.member(memberID).listed = listed
	if !listed {
		p.RetireConnections(memberID)
		return
	}
	for pool, bounds := range p.settings.Pools {
		if bounds.MinIdle > 0 {
			p.subPool(Key{memberID, pool})
		}
	}
}

// RetireConnections has no connection to a member reused that was opened before: the member was restarted, has moved, or is gone.
func (p *Pool) RetireConnections(memberID string) {
	p.CloseIdle(memberID)
	for _, c := range p.conns {
		if c.sub.key.Member == memberID {
			c.retired = true
		}
	}
}

// CloseIdle closes the idle connections to a member.
func (p *Pool) CloseIdle(memberID string) {
	m := p.members[memberID]
	if m == nil {
		return
	}
	for _, pool := range slices.Sorted(maps.Keys(m.subPools)) {
		for _, c := range slices.Clone(m.subPools[pool].idle) {
			p.closeConn(c)
		}
	}
}
