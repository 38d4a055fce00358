package backend

import (
	"errors"
	"math"
	"strconv"

	"wayloft/internal/decide/connpool"
	"wayloft/internal/decide/syscallerror"
	"wayloft/internal/eventloop"
	"wayloft/internal/invariant"
	"wayloft/internal/pg"
	"wayloft/router"
)

// CloseIdle closes the idle connections to a member.
func (b *Backend) CloseIdle(memberID string) {
	b.poolInput().CloseIdle(memberID)
	b.driver.Defer(b.carryOutDecisions)
}

// poolInput advances the pool to the current time and returns it, ready for an input.
func (b *Backend) poolInput() *connpool.Pool {
	b.pool.Advance(b.driver.Now())
	b.setTimer(b.pool.NextSweep())
	return b.pool
}

// setTimer schedules carryOutDecisions for the given time, unless the timer is already set for that time or an earlier one.
func (b *Backend) setTimer(at float64) {
	if at >= b.timerAt {
		return
	}
	if b.timer != nil {
		b.timer.Stop()
	}
	b.timerAt = at
	b.timer = b.driver.After(at-b.driver.Now(), func() {
		if b.timerAt == at { // a timer that is stopped too late may still fire
			b.timerAt = math.Inf(1)
			b.carryOutDecisions()
		}
	})
}

// carryOutDecisions carries out the pool's decisions until there are none left.
func (b *Backend) carryOutDecisions() {
	if b.carryingOut {
		return
	}
	b.carryingOut = true
	b.pool.Advance(b.driver.Now())
	for d, more := b.pool.Next(); more; d, more = b.pool.Next() {
		b.carryOut(d)
	}
	b.carryingOut = false
	b.setTimer(b.pool.NextDeadline())
}

// carryOut carries out one decision of the pool.
func (b *Backend) carryOut(d connpool.Decision) {
	c, j := b.conns[d.Conn], b.waiting[d.RequestID]
	switch d.Action {
	case connpool.Open:
		b.dial(d)
	case connpool.Assign:
		delete(b.waiting, d.RequestID)
		b.assign(d, c, j)
	case connpool.Close:
		if c != nil {
			c.conn.Close()
			c.unregister()
		}
	case connpool.Reject:
		delete(b.waiting, d.RequestID)
		if j != nil {
			b.reject(d.Reason, j)
		}
	case connpool.CloseIdleInTransaction:
		if c != nil && c.job != nil && c.streamState != nil {
			b.IdleTransactions++
			b.driver.Defer(func() {
				c.terminateClient(pg.IdleInTransactionSessionTimeout, "a transaction was left open and idle for too long")
			})
		}
	}
}

// assign starts a job on the connection that the pool has assigned to it.
func (b *Backend) assign(d connpool.Decision, c *memberConn, j *job) {
	invariant.Check(c != nil && j != nil && !j.ended, "an established connection is assigned to a waiting job")
	if c == nil || j == nil {
		b.pool.ConnectionClosed(d.Conn)
		return
	}
	if c.conn.Unread() || c.reader.Buffered() > 0 { // it has ended or has unexpected bytes, which would be taken for a part of the response
		c.drop()
		b.requestConn(j)
		return
	}
	c.barrier = barrierNone
	if d.Unsettled && c.streamState == nil {
		c.barrier = barrierSent
	}
	if !c.startJob(j) {
		c.barrier = barrierNone
		b.poolInput().Release(d.Conn, c.settingsID())
	}
}

// reject ends a job that the pool has rejected.
func (b *Backend) reject(reason connpool.RejectReason, j *job) {
	outcome := router.NotSent
	switch reason {
	case connpool.NoCapacity:
		if !j.member.unavailable {
			b.NoConnection++
		}
	case connpool.WaitTimedOut:
		b.QueueTimeouts++
	case connpool.ConnectFailed:
		outcome = router.ConnectFailed
	}
	b.driver.Defer(func() { b.endJob(j, outcome) })
}

// requestConn asks the pool for a connection.
func (b *Backend) requestConn(j *job) {
	b.poolRequests++
	j.poolRequest = strconv.Itoa(b.poolRequests)
	b.waiting[j.poolRequest] = j
	poolRequest := connpool.Request{ID: j.poolRequest, Key: connpool.Key{Member: j.member.id, Pool: StatementPool}}
	switch {
	case j.cancelKey != nil:
		poolRequest.Key.Pool = CancelPool
	case j.request != nil && j.request.Stream != nil:
		stream := j.request.Stream
		poolRequest.Key.Pool = stream.Pool
		poolRequest.Tenant = j.request.Tenant
		poolRequest.Affinity = stream.Client.Session().Settings().ID()
	}
	b.poolInput().Request(poolRequest)
}

// dial opens a connection. The connection can be used once the member has accepted the login.
func (b *Backend) dial(d connpool.Decision) {
	m := b.members[d.Key.Member]
	if m == nil {
		b.poolInput().ConnectionClosed(d.Conn)
		return
	}
	started := b.driver.Now()
	b.driver.Dial(m.addr, b.options.DialTimeoutMs, func(socket *eventloop.Conn, err error) {
		defer b.carryOutDecisions()
		if err != nil {
			b.poolInput().OpenFailed(d.Conn, failureCause(err))
			return
		}
		c := b.newConn(d, m, socket)
		if d.Key.Pool == CancelPool {
			c.ready = true
			b.poolInput().Opened(c.id)
			return
		}
		c.logIn(started + b.options.DialTimeoutMs)
	})
}

// newConn wraps a connected socket in a memberConn and registers it as the socket's handler.
func (b *Backend) newConn(d connpool.Decision, m *member, socket *eventloop.Conn) *memberConn {
	c := &memberConn{
		backend: b,
		id:      d.Conn,
		pool:    d.Key.Pool,
		member:  m,
		conn:    socket,
		reader:  pg.NewReader(true, b.options.MaxResponse),
	}
	b.conns[c.id] = c
	socket.Handle(c)
	return c
}

// logIn sends the pool's login. The connection is closed if the member has not accepted the login by the deadline.
func (c *memberConn) logIn(deadline float64) {
	if c.pool != StatementPool {
		c.reader.EnableExtended()
		c.streamState = newStreamState(c.backend.options.MaxPrepared)
	}
	login := c.backend.options.Logins[c.pool]
	c.conn.Write(pg.AppendStartup(nil, login.User, login.Database))
	c.backend.driver.After(deadline-c.backend.driver.Now(), func() {
		if !c.ready {
			c.connectFailed(connpool.Unreachable)
		}
	})
}

// failureCause returns why a dial failed. Failures caused by this host must not count against the member.
func failureCause(err error) connpool.FailureCause {
	var dial *eventloop.DialError
	if errors.As(err, &dial) && dial.Cause() != syscallerror.Peer {
		return connpool.NoLocalResources
	}
	return connpool.Unreachable
}
