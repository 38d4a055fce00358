package leaseclient

import (
	"cmp"
	"maps"
	"slices"

	"wayloft/internal/decide/lease"
	"wayloft/internal/decide/leasestate"
	"wayloft/internal/decide/timerqueue"
)

const (
	requestSpreadFactor = 0.5  // of the session timeout, over which processes spread their first requests for a lease
	maxHolders          = 1000 // bound on the leases that one process requests
)

// holder is this process's state for one lease, as a candidate or as the lease holder.
type holder struct {
	*lease.Holder
	lease string
	timer timerqueue.Timer[*holder]
}

// Acquire makes this process a candidate for a lease. It begins to request the lease after a random delay, so that the first process that
// starts doesn't get all leases.
func (c *Client) Acquire(name string) {
	_, candidate := c.candidates[name]
	full := len(c.holders)+len(c.candidates) >= maxHolders
	if candidate || c.holders[name] != nil || c.shuttingDown || full {
		return
	}
	c.candidates[name] = c.now + c.settings.SessionTimeout*requestSpreadFactor*c.rng.Next()
}

// startRequesting creates the holder of a lease, whose first request is due at once.
func (c *Client) startRequesting(name string) {
	h := &holder{
		Holder: lease.NewHolder(lease.Settings{
			Duration:     c.settings.SessionTimeout,
			SafetyMargin: c.settings.SafetyMargin,
			Seed:         c.settings.Seed + uint64(len(c.holders)),
		}),
		lease: name,
	}
	h.timer.Value = h
	h.Advance(c.now)
	h.Acquire()
	c.holders[name] = h
	c.deadlines.Schedule(&h.timer, h.NextDeadline())
}

// Release gives up a lease, whether it is held or only requested.
func (c *Client) Release(name string) {
	delete(c.candidates, name)
	// A response to this holder's request must not be matched to the request of a holder created later for the same lease.
	maps.DeleteFunc(c.pending, func(_ uint64, request pendingRequest) bool {
		return request.kind == leasestate.AcquireLease && request.lease == name
	})
	if h := c.holder(name); h != nil {
		h.Release("")
		c.pullDecisions(h)
		delete(c.holders, name)
		c.deadlines.Remove(&h.timer)
	}
}

// Transfer transfers a lease that this process holds to the session of the given name. This process no longer requests it.
func (c *Client) Transfer(name, successor string) {
	if h := c.holder(name); h != nil {
		h.Release(successor)
		c.pullDecisions(h)
	}
}

// Valid reports whether this process may act under a lease now, and returns the fencing token to send along. Call it right before sending.
func (c *Client) Valid(name string) (lease.Token, bool) {
	if h := c.holder(name); h != nil {
		return h.Valid()
	}
	return lease.Token{}, false
}

// OperationRejected records that a receiver rejected an order of this process and named a higher token.
func (c *Client) OperationRejected(name string, higher lease.Token) {
	if h := c.holder(name); h != nil {
		h.OperationRejected(higher)
		c.pullDecisions(h)
	}
}

// holder returns the holder of a lease, advanced to the current time; nil: there is none.
func (c *Client) holder(name string) *holder {
	h := c.holders[name]
	if h != nil {
		h.Advance(c.now)
	}
	return h
}

// advanceDueHolders advances the holders whose timers are due. The others are advanced when they are next used.
func (c *Client) advanceDueHolders() {
	var due []*holder
	for timer := c.deadlines.First(); timer != nil && timer.Deadline() <= c.now; timer = c.deadlines.First() {
		c.deadlines.Remove(timer)
		due = append(due, timer.Value)
	}
	slices.SortFunc(due, func(a, b *holder) int { return cmp.Compare(a.lease, b.lease) })
	for _, h := range due {
		c.holdersAdvanced++
		h.Advance(c.now)
		c.pullDecisions(h)
	}
}

// pullDecisions applies a holder's decisions and sets its timer.
func (c *Client) pullDecisions(h *holder) {
	for decision, more := h.Next(); more; decision, more = h.Next() {
		c.applyDecision(h, decision)
	}
	c.deadlines.Schedule(&h.timer, h.NextDeadline())
}

func (c *Client) applyDecision(h *holder, decision lease.Decision) {
	switch decision.Action {
	case lease.RequestLease:
		if c.sessionOpen { // otherwise it is requested again once a session is open
			request := pendingRequest{kind: leasestate.AcquireLease, lease: h.lease, holderRequest: decision.Request}
			c.proposeRequest(request, c.WithSession(leasestate.Entry{Kind: leasestate.AcquireLease, Lease: h.lease}))
		}
	case lease.ReleaseLease:
		c.propose(leasestate.Entry{Kind: leasestate.ReleaseLease, Lease: h.lease, Token: decision.Token})
	case lease.TransferLease:
		c.propose(leasestate.Entry{Kind: leasestate.TransferLease, Lease: h.lease, Token: decision.Token, To: decision.To})
	case lease.Start:
		c.receiver.TokenLearned(h.lease, decision.Token) // orders of earlier holders are stale here from now on
		c.decide(Decision{Action: Start, Lease: h.lease, Token: decision.Token})
	case lease.Stop:
		c.decide(Decision{Action: Stop, Lease: h.lease, Token: decision.Token})
	}
}

// handleAcquireResponse handles the response to a request for a lease.
func (c *Client) handleAcquireResponse(request pendingRequest, result leasestate.Result) {
	h := c.holder(request.lease)
	if h == nil {
		return
	}
	if result.Held {
		h.Granted(request.holderRequest, result.Token)
	} else {
		h.Denied(request.holderRequest)
	}
	c.pullDecisions(h)
}
