package connpool

import (
	"math"
	"slices"

	"wayloft/internal/decide/timerqueue"
)

// minLifetimeFraction is the smallest fraction of the maximum age and the maximum number of uses that a connection gets. The rest is
// random, so that connections opened together do not expire together.
const minLifetimeFraction = 0.75

type connState int

const (
	connOpening connState = iota
	connIdle
	connBusy
)

type conn struct {
	id        int
	sub       *subPool
	state     connState
	openedFor *waiter // the waiter it is being opened for, if any; nil once established
	retired   bool    // must not be reused
	affinity  any     // set by the last Release

	openedAt    float64
	idleSince   float64
	respondedAt float64 // when the member last completed a response; -Inf before the first one
	uses        int
	maxAgeMs    float64 // randomized; see minLifetimeFraction
	maxUses     int     // randomized; see minLifetimeFraction

	idleInTransaction timerqueue.Timer[*conn]
}

// expired reports whether the connection must not be reused.
func (c *conn) expired(now float64) bool {
	bounds := c.sub.bounds
	return c.retired ||
		bounds.MaxAgeMs > 0 && now-c.openedAt > c.maxAgeMs ||
		bounds.MaxUses > 0 && c.uses >= c.maxUses
}

// settled reports whether nothing of an earlier response can still arrive: there was none, or the reuse delay has passed since.
func (c *conn) settled(now float64) bool { return now-c.respondedAt >= c.sub.bounds.ReuseDelayMs }

// openConn opens a connection for a waiter, or for MinIdle if w is nil.
func (p *Pool) openConn(sub *subPool, w *waiter) {
	p.lastConnID++
	c := &conn{id: p.lastConnID, sub: sub, state: connOpening, openedFor: w, respondedAt: math.Inf(-1)}
	c.idleInTransaction.Value = c
	p.conns[c.id] = c

	m := sub.member
	p.markDirty(m)
	sub.total++
	sub.opening++
	m.total++
	m.opening++
	p.poolTotals[sub.key.Pool]++
	m.localBackoff.recordDial(p.now)

	d := Decision{Action: Open, Conn: c.id, Key: sub.key}
	if w != nil {
		w.dialing = true
		d.RequestID = w.ID
	}
	p.emit(d)
}

// Opened records that a connection is established.
func (p *Pool) Opened(connID int) {
	c := p.conns[connID]
	if c == nil || c.state != connOpening {
		return
	}
	m := c.sub.member
	p.markDirty(m)
	c.sub.opening--
	m.opening--
	m.connectBackoff.failures = 0
	m.localBackoff.failures = 0
	if c.openedFor != nil {
		c.openedFor.dialing = false
		c.openedFor = nil
	}
	c.openedAt = p.now
	c.maxAgeMs = c.sub.bounds.MaxAgeMs * p.lifetimeFraction()
	c.maxUses = int(math.Ceil(float64(c.sub.bounds.MaxUses) * p.lifetimeFraction()))
	p.makeIdle(c)
}

func (p *Pool) lifetimeFraction() float64 {
	return minLifetimeFraction + (1-minLifetimeFraction)*p.random.Next()
}

// ResponseEnded records that the member has completed a response on a busy connection. Release implies it.
func (p *Pool) ResponseEnded(connID int) {
	if c := p.conns[connID]; c != nil {
		c.respondedAt = p.now
	}
}

// Unsettled reports whether more of the last response on a connection, such as a duplicate of it, may still arrive.
func (p *Pool) Unsettled(connID int) bool {
	c := p.conns[connID]
	return c != nil && !c.settled(p.now)
}

// Release returns a busy connection to the pool and sets its affinity.
func (p *Pool) Release(connID int, affinity any) {
	c := p.conns[connID]
	if c == nil || c.state != connBusy {
		return
	}
	c.respondedAt = p.now
	c.affinity = affinity
	p.idleInTransactionTimers.Remove(&c.idleInTransaction)
	if c.expired(p.now) || p.mustYieldSlot(c) {
		p.closeConn(c)
		return
	}
	p.makeIdle(c)
}

func (p *Pool) makeIdle(c *conn) {
	p.markDirty(c.sub.member)
	c.state = connIdle
	c.idleSince = p.now
	if c.retired || !c.sub.member.listed {
		p.closeConn(c)
		return
	}
	c.sub.idle = append(c.sub.idle, c)
}

// SetAwaitingClient records whether a busy connection is waiting for its client or for the member. The idle-in-transaction timeout runs
// while it waits for the client.
func (p *Pool) SetAwaitingClient(connID int, awaitingClient bool) {
	c := p.conns[connID]
	if c == nil || c.state != connBusy {
		return
	}
	timeoutMs := c.sub.bounds.IdleInTransactionTimeoutMs
	if awaitingClient && timeoutMs > 0 {
		p.idleInTransactionTimers.Schedule(&c.idleInTransaction, p.now+timeoutMs)
		return
	}
	p.idleInTransactionTimers.Remove(&c.idleInTransaction)
}

// ConnectionClosed records that a connection has ended, whatever its state.
func (p *Pool) ConnectionClosed(connID int) {
	if c := p.conns[connID]; c != nil {
		p.removeConn(c)
	}
}

// closeConn asks the driver to close a connection and removes it from the pool.
func (p *Pool) closeConn(c *conn) {
	p.emit(Decision{Action: Close, Conn: c.id, Key: c.sub.key})
	p.removeConn(c)
}

func (p *Pool) removeConn(c *conn) {
	sub, m := c.sub, c.sub.member
	p.markDirty(m)
	p.idleInTransactionTimers.Remove(&c.idleInTransaction)
	delete(p.conns, c.id)
	sub.total--
	m.total--
	if p.poolTotals[sub.key.Pool]--; p.poolTotals[sub.key.Pool] == 0 {
		delete(p.poolTotals, sub.key.Pool)
	}
	switch c.state {
	case connOpening:
		sub.opening--
		m.opening--
		if c.openedFor != nil {
			c.openedFor.dialing = false
		}
	case connIdle:
		sub.removeIdle(c)
	}
}

func (s *subPool) removeIdle(c *conn) {
	s.idle = slices.DeleteFunc(s.idle, func(other *conn) bool { return other == c })
}
