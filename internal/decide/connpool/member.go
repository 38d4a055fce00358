package connpool

import (
	"maps"
	"slices"

	"wayloft/internal/decide/timerqueue"
)

// memberState holds the connections to one member, by pool, and the limits on opening more.
type memberState struct {
	id         string
	listed     bool // the member accepts new requests
	dirty      bool // changed since the last sweep
	sweepTimer timerqueue.Timer[*memberState]
	subPools   map[string]*subPool // by pool name
	total      int                 // connections, including those being opened
	opening    int

	learnedLimit   learnedLimit
	connectBackoff connectBackoff
	localBackoff   localBackoff
}

// established returns the number of established connections.
func (m *memberState) established() int { return m.total - m.opening }

// subPool holds the connections of one key and the requests waiting for one of them.
type subPool struct {
	key     Key
	bounds  Bounds
	member  *memberState
	total   int // connections, including those being opened
	opening int
	idle    []*conn              // longest idle first
	queues  map[string][]*waiter // by tenant; no queue is empty
	tenants []string             // tenants with a queue, in round-robin order
	waiting int                  // requests in all queues
}

// inUse reports whether the sub-pool has connections or waiters.
func (s *subPool) inUse() bool { return s.total > 0 || s.waiting > 0 }

// lacksMinIdle reports whether a connection must be opened for MinIdle. Such connections are opened one at a time.
func (s *subPool) lacksMinIdle() bool { return s.total < s.bounds.MinIdle && s.opening == 0 }

// member returns the state of a member, creating it if necessary, and marks it dirty.
func (p *Pool) member(id string) *memberState {
	m := p.members[id]
	if m == nil {
		m = &memberState{id: id, subPools: map[string]*subPool{}, learnedLimit: learnedLimit{raiseIntervalMs: minLimitRaiseIntervalMs}}
		m.sweepTimer.Value = m
		p.members[id] = m
	}
	p.markDirty(m)
	return m
}

// markDirty makes the next sweep visit a member. It must be called on every change to the member, its sub-pools or its connections.
func (p *Pool) markDirty(m *memberState) {
	if !m.dirty {
		m.dirty = true
		p.dirty = append(p.dirty, m)
	}
}

// subPool returns the sub-pool of a key, creating it if necessary.
func (p *Pool) subPool(key Key) *subPool {
	m := p.member(key.Member)
	sub := m.subPools[key.Pool]
	if sub == nil {
		sub = &subPool{key: key, bounds: p.settings.Pools[key.Pool], member: m, queues: map[string][]*waiter{}}
		m.subPools[key.Pool] = sub
	}
	return sub
}

// MemberListed sets whether a member accepts new requests. A member that does not accept them keeps only its busy connections.
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

// RetireConnections prevents the reuse of all current connections to a member. It is called when the member has restarted, has
// moved or has been removed.
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
