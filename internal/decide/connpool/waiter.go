package connpool

import "slices"

// waiter is a request that has no connection yet.
type waiter struct {
	Request
	sub        *subPool
	enqueuedAt float64
	waiting    bool // false once served, rejected or cancelled
	dialing    bool // a connection is being opened for it
}

// enqueuedBefore reports whether w was enqueued before another waiter. Ties are broken by ID.
func (w *waiter) enqueuedBefore(other *waiter) bool {
	return w.enqueuedAt < other.enqueuedAt || w.enqueuedAt == other.enqueuedAt && w.ID < other.ID
}

// Request asks for a connection. Unless it is cancelled, an Assign or Reject decision follows.
func (p *Pool) Request(r Request) {
	sub := p.subPool(r.Key)
	w := &waiter{Request: r, sub: sub, enqueuedAt: p.now, waiting: true}
	if sub.queues[r.Tenant] == nil {
		sub.tenants = append(sub.tenants, r.Tenant)
	}
	sub.queues[r.Tenant] = append(sub.queues[r.Tenant], w)
	p.waiters[r.ID] = w
	sub.waiting++
	if sub.waiting == 1 {
		p.contended = append(p.contended, sub)
	}
}

// Cancel withdraws a request that is still waiting.
func (p *Pool) Cancel(requestID string) {
	if w := p.waiters[requestID]; w != nil {
		p.removeWaiter(w)
	}
}

func (p *Pool) reject(w *waiter, reason RejectReason) {
	p.removeWaiter(w)
	p.emit(Decision{Action: Reject, RequestID: w.ID, Key: w.sub.key, Reason: reason})
}

// removeWaiter removes a waiter from its queue.
func (p *Pool) removeWaiter(w *waiter) {
	sub := w.sub
	p.markDirty(sub.member)
	w.waiting = false
	delete(p.waiters, w.ID)
	sub.waiting--
	if sub.waiting == 0 {
		p.contended = slices.DeleteFunc(p.contended, func(other *subPool) bool { return other == sub })
	}
	queue := sub.queues[w.Tenant]
	index := slices.Index(queue, w)
	queue = slices.Delete(queue, index, index+1)
	if len(queue) > 0 {
		sub.queues[w.Tenant] = queue
		return
	}
	delete(sub.queues, w.Tenant)
	sub.tenants = slices.DeleteFunc(sub.tenants, func(other string) bool { return other == w.Tenant })
}

// serveWaiters assigns idle connections to waiters, opens connections for the remaining ones, and rejects those that may not wait.
func (p *Pool) serveWaiters(sub *subPool) {
	for sub.waiting > 0 && len(sub.idle) > 0 {
		p.assign(p.popWaiter(sub))
	}
	for w := sub.firstNotDialing(); w != nil && sub.opening < sub.waiting && p.mayOpen(sub); w = sub.firstNotDialing() {
		p.openConn(sub, w)
	}
	if sub.bounds.WaitTimeoutMs > 0 && sub.member.listed {
		return
	}
	for w := sub.firstNotDialing(); w != nil && (sub.waiting > sub.opening || !sub.member.listed); w = sub.firstNotDialing() {
		p.reject(w, NoCapacity)
	}
}

// popWaiter removes and returns the waiter to serve next: FIFO within a tenant, round-robin between tenants.
func (p *Pool) popWaiter(sub *subPool) *waiter {
	tenant := sub.tenants[0]
	w := sub.queues[tenant][0]
	p.removeWaiter(w)
	if sub.queues[tenant] != nil {
		sub.tenants = append(sub.tenants[1:], tenant)
	}
	return w
}

func (p *Pool) assign(w *waiter) {
	sub := w.sub
	c := sub.preferredIdle(w.Affinity, p.now)
	sub.removeIdle(c)
	unsettled := !c.settled(p.now)
	c.state = connBusy
	c.uses++
	p.emit(Decision{Action: Assign, Conn: c.id, RequestID: w.ID, Key: sub.key, Unsettled: unsettled})
}

// preferredIdle returns the idle connection to reuse. It prefers connections with the same affinity, since another one has to be prepared for
// the request, then settled connections, then the most recently used one, so that surplus connections stay idle until they time out.
func (s *subPool) preferredIdle(affinity any, now float64) *conn {
	var best *conn
	bestRank := -1
	for _, c := range slices.Backward(s.idle) {
		if rank := c.reuseRank(affinity, now); rank > bestRank {
			best, bestRank = c, rank
		}
	}
	return best
}

func (c *conn) reuseRank(affinity any, now float64) (rank int) {
	if affinity != nil && c.affinity == affinity {
		rank += 2
	}
	if c.settled(now) {
		rank++
	}
	return rank
}

// firstNotDialing returns the first waiter for which no connection is being opened, round-robin between tenants; nil if there is
// none.
func (s *subPool) firstNotDialing() *waiter {
	for index := 0; ; index++ {
		exhausted := true
		for _, tenant := range s.tenants {
			queue := s.queues[tenant]
			if index >= len(queue) {
				continue
			}
			exhausted = false
			if !queue[index].dialing {
				return queue[index]
			}
		}
		if exhausted {
			return nil
		}
	}
}

// longestWaiting returns the waiter that was enqueued first; nil if there is none.
func (s *subPool) longestWaiting() *waiter {
	var first *waiter
	for _, queue := range s.queues {
		if first == nil || queue[0].enqueuedBefore(first) {
			first = queue[0]
		}
	}
	return first
}
