package leaseclient

import (
	"maps"
	"math"
	"slices"

	"wayloft/internal/decide/lease"
	"wayloft/internal/decide/leasestate"
)

// heartbeatIntervalFactor is the share of a session's timeout between two heartbeats: two more may fail before it ends.
const heartbeatIntervalFactor = 1.0 / 3

// checkStartupWindow ends the time in which this process counts as one that is starting: after a while, or once it was stopped in between.
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

// requestSession decides to ask for a session; nothing else is asked before it is open.
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
		Kind:           leasestate.KeepAlive,
		Policy:         c.appliedPolicy,
		RejectedPolicy: c.rejectedPolicy,
		Reason:         c.rejectionReason,
		RejectedActs:   uint64(c.RejectedActs),
	})
}

// handleOpenSessionResponse takes in the answer to the request for a session.
func (c *Client) handleOpenSessionResponse(result leasestate.Result) {
	if c.shuttingDown {
		return
	}
	if !result.Held { // another process has this name, or its session hasn't ended yet
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

// heartbeatAcknowledged has the next heartbeat sent in time, and higher tokens reported once more where the coordinator doesn't know them.
func (c *Client) heartbeatAcknowledged() {
	for _, name := range slices.Sorted(maps.Keys(c.leases)) {
		c.reportHigherToken(c.leases[name])
	}
	interval := c.settings.SessionTimeout * heartbeatIntervalFactor
	c.heartbeat = backoff{dueAt: c.now + interval*(1-jitterFactor*c.rng.Next())}
}

// sessionLost takes in that the coordinator has ended this session, or never had it. What was held ends by the holders' own account of
// time; the process opens a session again as another incarnation.
func (c *Client) sessionLost() {
	if !c.sessionOpen || c.shuttingDown {
		return
	}
	c.Reopened++
	c.sessionOpen, c.heartbeat, c.opening = false, notScheduled(), backoff{dueAt: c.now}
	c.incarnation.reopen()
}

// HasSession reports whether this process has a session, as far as it knows.
func (c *Client) HasSession() bool { return c.sessionOpen }

// PolicyApplied says which version of the policy this process has applied, by its number, and which it couldn't apply, with the reason, if
// there is one. The next heartbeat, sent at once, reports it to the coordinator.
func (c *Client) PolicyApplied(applied, rejected uint64, reason string) {
	if c.appliedPolicy == applied && c.rejectedPolicy == rejected && c.rejectionReason == reason {
		return
	}
	c.appliedPolicy, c.rejectedPolicy, c.rejectionReason = applied, rejected, reason
	if c.sessionOpen {
		c.heartbeat.dueAt = math.Min(c.heartbeat.dueAt, c.now)
	}
}

// Shutdown ends this process's part: it stops what it does for the fleet, and closes its session, which gives back all leases.
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
			if decision.Action == lease.Stop { // the session's end gives back all leases at once
				c.decide(Decision{Action: Stop, Lease: name, Token: decision.Token})
			}
		}
	}
	if !c.sessionOpen {
		c.shutdownComplete = true
		return
	}
	c.propose(leasestate.Entry{Kind: leasestate.CloseSession, RejectedActs: uint64(c.RejectedActs)})
}

// ShutdownComplete reports whether the session is closed, or the request to close it has failed and its timeout will end it.
func (c *Client) ShutdownComplete() bool { return c.shutdownComplete }
