package leaseclient

import (
	"maps"
	"math"
	"slices"

	"wayloft/internal/decide/lease"
	"wayloft/internal/decide/leasestate"
)

// heartbeatIntervalFactor is the longest heartbeat interval as a fraction of the session timeout: two more heartbeats may fail before the
// session expires.
const heartbeatIntervalFactor = 1.0 / 3

// checkStartupWindow ends the startup of this process's incarnation when it has taken too long, or when the process was paused since the
// last call.
func (c *Client) checkStartupWindow(now float64) {
	if !c.started {
		c.started, c.startedAt = true, now
		return
	}
	paused := now-c.now > pausedTimeouts*c.settings.SessionTimeout
	if paused || now-c.startedAt > startupTimeouts*c.settings.SessionTimeout {
		c.incarnation.startupExpired = true
	}
}

// requestSession decides to request a session. Leases are requested only once it is open.
func (c *Client) requestSession() {
	c.opening.dueAt = math.Inf(1)
	c.incarnation.prepareRequest()
	c.propose(leasestate.Entry{
		Kind:           leasestate.OpenSession,
		Role:           c.settings.Role,
		Address:        c.settings.Address,
		Timeout:        uint64(c.settings.SessionTimeout),
		Policy:         c.appliedPolicy,
		RejectedPolicy: c.rejectedPolicy,
		Reason:         c.rejectionReason,
	})
}

func (c *Client) sendHeartbeat() {
	c.heartbeat.dueAt = math.Inf(1)
	c.propose(leasestate.Entry{
		Kind:               leasestate.KeepAlive,
		Policy:             c.appliedPolicy,
		RejectedPolicy:     c.rejectedPolicy,
		Reason:             c.rejectionReason,
		RejectedOperations: uint64(c.RejectedOperations),
	})
}

// handleOpenSessionResponse handles the response to a request to open a session.
func (c *Client) handleOpenSessionResponse(result leasestate.Result) {
	if c.shuttingDown {
		return
	}
	if !result.Held { // another process has this name, or its session hasn't expired yet
		if c.incarnation.refused(result.Number, c.now-c.startedAt, &c.rng) {
			c.opening.dueAt = c.now
		} else {
			c.retryLater(&c.opening)
		}
		return
	}
	c.incarnation.opened()
	c.sessionOpen, c.opening = true, notScheduled()
	c.heartbeatAcknowledged()
	for _, name := range slices.Sorted(maps.Keys(c.holders)) {
		h := c.holder(name)
		h.RequestNow()
		c.pullDecisions(h)
	}
}

// heartbeatAcknowledged schedules the next heartbeat, and reports higher tokens again that the coordinator doesn't know.
func (c *Client) heartbeatAcknowledged() {
	for _, name := range slices.Sorted(maps.Keys(c.leases)) {
		c.reportHigherToken(c.leases[name])
	}
	interval := c.settings.SessionTimeout * heartbeatIntervalFactor
	c.heartbeat = backoff{dueAt: c.now + interval*(1-jitterFactor*c.rng.Next())}
}

// sessionLost handles a response which shows that the coordinator has ended this session, or never had it. The leases that were held end by
// the holders' own timers; the process opens a session again as another incarnation.
func (c *Client) sessionLost() {
	if !c.sessionOpen || c.shuttingDown {
		return
	}
	c.SessionsReopened++
	c.sessionOpen, c.heartbeat, c.opening = false, notScheduled(), backoff{dueAt: c.now}
	c.incarnation.reopen()
}

// HasSession reports whether this process has an open session, as far as it knows.
func (c *Client) HasSession() bool { return c.sessionOpen }

// PolicyApplied records the number of the policy version that this process has applied, and that of one that it couldn't apply, if any, with
// the reason. The next heartbeat, which is sent at once, reports them to the coordinator.
func (c *Client) PolicyApplied(applied, rejected uint64, reason string) {
	if c.appliedPolicy == applied && c.rejectedPolicy == rejected && c.rejectionReason == reason {
		return
	}
	c.appliedPolicy, c.rejectedPolicy, c.rejectionReason = applied, rejected, reason
	if c.sessionOpen {
		c.heartbeat.dueAt = math.Min(c.heartbeat.dueAt, c.now)
	}
}

// Shutdown stops all acting under leases and closes the session, which releases all leases.
func (c *Client) Shutdown() {
	if c.shuttingDown {
		return
	}
	c.shuttingDown = true
	clear(c.candidates)
	for _, name := range slices.Sorted(maps.Keys(c.holders)) {
		h := c.holder(name)
		h.Release("")
		for decision, more := h.Next(); more; decision, more = h.Next() {
			if decision.Action == lease.Stop { // the end of the session releases all leases at once
				c.decide(Decision{Action: Stop, Lease: name, Token: decision.Token})
			}
		}
	}
	if !c.sessionOpen {
		c.shutdownComplete = true
		return
	}
	c.propose(leasestate.Entry{Kind: leasestate.CloseSession, RejectedOperations: uint64(c.RejectedOperations)})
}

// ShutdownComplete reports whether the session is closed, or the request to close it has failed and the session will expire.
func (c *Client) ShutdownComplete() bool { return c.shutdownComplete }
