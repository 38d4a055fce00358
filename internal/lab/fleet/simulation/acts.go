package simulation

import "wayloft/internal/decide/lease"

const (
	// The interval at which a lease holder sends commands, in ms: the minimum, and the maximum of a uniformly distributed extra.
	minCommandIntervalMs = 40
	commandJitterMs      = 40
	commandsPerInterval  = 2
	// maxCommandDelayMs is the longest time between a holder's check of its lease and the sending of the command. The holder may be
	// paused in between.
	maxCommandDelayMs = 30
)

// sendCommands makes a lease holder send commands to random routers for as long as it holds the lease under the same fencing token.
func (p *Process) sendCommands(name string, granted lease.Token) {
	w := p.world
	if current, held := p.heldLeases[name]; !held || current != granted {
		return
	}
	p.client.Advance(p.clock())
	if token, valid := p.client.Valid(name); valid {
		w.checkNotSuperseded(p, name, token)
		for range commandsPerInterval {
			to := w.Routers[w.rand.IntN(len(w.Routers))]
			p.later(w.rand.Float64()*maxCommandDelayMs, func() { p.sendCommand(to, name, token) })
		}
	}
	p.later(minCommandIntervalMs+w.rand.Float64()*commandJitterMs, func() { p.sendCommands(name, granted) })
}

func (p *Process) sendCommand(to *Process, name string, token lease.Token) {
	w := p.world
	incarnation := p.incarnation
	w.send(p, to, commandBytes, func() {
		verdict, highest := to.checkToken(lease.Scope{Lease: name, Subject: "g"}, p.Name, token)
		switch verdict {
		case lease.Accepted:
			w.checkAccepted(to, name, p.Name, token)
		case lease.Stale:
			w.StaleCommands++
		}
		w.send(to, p, commandResponseBytes, func() {
			if p.incarnation == incarnation && verdict == lease.Stale {
				p.client.OperationRejected(name, highest)
			}
		})
	})
}

// checkToken is the receiver's check of the fencing token of a command. Seeded defects skip or weaken it.
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
