package simulation

import "wayloft/internal/decide/lease"

const (
	// A lease holder sends acts at this interval, ms: the least, and the most that is drawn on top.
	minActIntervalMs = 40
	actJitterMs      = 40
	actsPerInterval  = 2
	// maxActDelayMs is the most between a holder's check of its lease and the act; it may be paused meanwhile.
	maxActDelayMs = 30
)

// sendActs has a lease holder send acts for as long as it holds the lease under one token.
func (p *Process) sendActs(name string, granted lease.Token) {
	w := p.world
	if current, held := p.heldLeases[name]; !held || current != granted {
		return
	}
	p.client.Advance(p.clock())
	if token, valid := p.client.Valid(name); valid {
		w.checkNotSuperseded(p, name, token)
		for range actsPerInterval {
			to := w.Routers[w.rand.IntN(len(w.Routers))]
			p.later(w.rand.Float64()*maxActDelayMs, func() { p.sendAct(to, name, token) })
		}
	}
	p.later(minActIntervalMs+w.rand.Float64()*actJitterMs, func() { p.sendActs(name, granted) })
}

func (p *Process) sendAct(to *Process, name string, token lease.Token) {
	w := p.world
	incarnation := p.incarnation
	w.send(p, to, actBytes, func() {
		verdict, highest := to.checkToken(lease.Scope{Lease: name, Subject: "g"}, p.Name, token)
		switch verdict {
		case lease.Accepted:
			w.actAccepted(to, name, p.Name, token)
		case lease.Stale:
			w.StaleActs++
		}
		w.send(to, p, actResponseBytes, func() {
			if p.incarnation == incarnation && verdict == lease.Stale {
				p.client.ActRejected(name, highest)
			}
		})
	})
}

// checkToken is the receiver's check of an act, or what a seeded defect leaves of it.
func (p *Process) checkToken(scope lease.Scope, holder string, token lease.Token) (lease.Verdict, lease.Token) {
	switch {
	case p.world.options.SeededDefects.SkipTokenCheck:
		return lease.Accepted, token
	case p.world.options.SeededDefects.ForgetTokens:
		if token.Compare(p.seenTokens[scope.Lease]) < 0 {
			return lease.Stale, p.seenTokens[scope.Lease]
		}
		p.seenTokens[scope.Lease] = token
		return lease.Accepted, token
	}
	return p.client.Check(scope, holder, token)
}
