package simulation

import (
	"wayloft/internal/decide/lease"
	"wayloft/internal/decide/leaseclient"
	"wayloft/internal/decide/leasestate"
	"wayloft/internal/decide/raftnode"
	"wayloft/internal/decide/switchover"
)

const (
	requestTimeoutMs = 300
	maxRedirects     = 3
	// The interval at which a lease client asks for changes, ms: the least, and the most that is drawn on top.
	minPollIntervalMs = 100
	pollJitterMs      = 20
	// overcountedMarginMs is the margin of OvercountLease: a lease seems to last longer than it does.
	overcountedMarginMs = -1000
)

// leaseClientState is a router's lease client and what it needs.
type leaseClientState struct {
	client          *leaseclient.Client
	leases          []string // that it requests
	knownLeader     string   // of the coordinator; empty: not known
	pendingRequests map[uint64]pendingRequest
	ownRequests     uint64 // requests that are not the lease client's
	watchIndex      uint64 // up to which it knows the lease state
	heldLeases      map[string]lease.Token
	seenTokens      map[string]lease.Token // of a receiver with ForgetTokens
	starts          int
}

// pendingRequest is a request without a response yet.
type pendingRequest struct {
	operations []int  // its places in the history, one for each lease that it asks about
	resend     func() // to the node that leads now
	onResult   func(result leasestate.Result, known bool)
}

func (p *Process) startRouter() {
	p.starts++
	p.pendingRequests, p.heldLeases, p.seenTokens = map[uint64]pendingRequest{}, map[string]lease.Token{}, map[string]lease.Token{}
	p.watchIndex, p.knownLeader = 0, ""
	margin := SafetyMarginMs
	if p.world.options.SeededDefects.OvercountLease {
		margin = overcountedMarginMs
	}
	p.client = leaseclient.New(leaseclient.Settings{
		Name:           p.Name,
		Role:           "router",
		Address:        p.Name,
		Incarnation:    uint64(p.starts) * 1000,
		SessionTimeout: SessionTimeoutMs,
		SafetyMargin:   margin,
		Leases:         p.leases,
		Seed:           p.clientSeed(),
	})
	p.client.Advance(p.clock())
	for n := range p.world.options.Leases {
		p.client.LearnToken(leaseName(n))
	}
	if p.world.options.Policy != nil {
		p.startPolicyRouter()
		return
	}
	p.pollLeases()
	if p.world.switchovers != nil {
		p.client.LearnToken(switchover.LeaseName(0))
		p.startDriver()
	}
}

func (p *Process) clientSeed() uint64 {
	lastCharacter := uint64(p.Name[len(p.Name)-1])
	return p.world.options.Seed + uint64(len(p.Name)) + uint64(p.starts)<<8 + lastCharacter<<16
}

// pollLeases asks some coordinator node for changes of the lease state, again and again.
func (p *Process) pollLeases() {
	w := p.world
	coordinator := w.randomCoordinator()
	incarnation, since := p.incarnation, p.watchIndex
	w.send(p, coordinator, pollBytes, func() {
		update, index := leaseclient.Changes(coordinator.node.State(), since, false)
		w.send(coordinator, p, pollBytes+pollEntryBytes*(len(update.Sessions)+len(update.Leases)), func() {
			if p.incarnation == incarnation && p.watchIndex == since {
				p.watchIndex = index
				p.client.UpdateReceived(update)
			}
		})
	})
	p.later(minPollIntervalMs+w.rand.Float64()*pollJitterMs, p.pollLeases)
}

// executeClientDecisions carries out what the lease client decides.
func (p *Process) executeClientDecisions() {
	for d, more := p.client.Next(); more; d, more = p.client.Next() {
		switch d.Action {
		case leaseclient.Propose, leaseclient.QueryTokens:
			p.pendingRequests[d.Request] = pendingRequest{operations: p.recordOperations(d)}
			p.sendRequest(d, 0)
		case leaseclient.Start:
			p.startLease(d.Lease, d.Token)
		case leaseclient.Stop:
			p.stopLease(d.Lease)
		}
	}
}

func (p *Process) startLease(name string, token lease.Token) {
	p.heldLeases[name] = token
	p.world.leaseStarted(p, name)
	if name != switchover.LeaseName(0) {
		p.sendCommands(name, token)
		return
	}
	p.orderState.BeginLease(token)
	p.switchover = &switchoverLease{token: token}
}

func (p *Process) stopLease(name string) {
	delete(p.heldLeases, name)
	p.world.leaseStopped(p, name)
	if name == switchover.LeaseName(0) {
		p.switchover = nil
	}
}

// recordOperations writes a request into the history that is checked: only lease requests and token reads are, a read as one
// operation for each lease.
func (p *Process) recordOperations(d leaseclient.Decision) (places []int) {
	operation := Operation{Client: p.world.clientNumber(p), Kind: ReadOperation, StartedMs: p.world.Now, EndedMs: -1}
	names := d.Leases
	if d.Action == leaseclient.Propose {
		if d.Entry.Kind != leasestate.AcquireLease {
			return nil
		}
		operation.Kind, operation.Session = AcquireOperation, d.Entry.Session
		names = []string{d.Entry.Lease}
	}
	for _, name := range names {
		operation.Lease = name
		places = append(places, len(p.world.Operations))
		p.world.Operations = append(p.world.Operations, operation)
	}
	return places
}

// sendRequest sends a request to the node that is thought to lead, or to any.
func (p *Process) sendRequest(d leaseclient.Decision, redirects int) {
	w := p.world
	open, waits := p.pendingRequests[d.Request]
	if !waits {
		return
	}
	if redirects > maxRedirects {
		p.failRequest(d.Request)
		return
	}
	to := w.processes[p.knownLeader]
	if to == nil {
		to = w.randomCoordinator()
	}
	open.resend = func() { p.sendRequest(d, redirects+1) }
	p.pendingRequests[d.Request] = open
	incarnation := p.incarnation
	w.send(p, to, requestBytes, func() {
		w.lastRequest++
		to.requesters[w.lastRequest] = requester{process: p, incarnation: incarnation, request: d.Request}
		to.node.Advance(to.clock())
		if d.Action == leaseclient.QueryTokens {
			to.tokenReads[w.lastRequest] = d.Leases
			to.node.Read(w.lastRequest)
		} else {
			to.node.Propose(w.lastRequest, d.Entry)
		}
	})
	p.later(requestTimeoutMs, func() {
		if _, waits := p.pendingRequests[d.Request]; waits {
			p.knownLeader = ""
			p.failRequest(d.Request)
		}
	})
}

// proposeEntry sends a request that is not the lease client's.
func (p *Process) proposeEntry(e leasestate.Entry, onResult func(result leasestate.Result, known bool)) {
	const ownRequest = 1 << 62 // keeps the numbers apart from the lease client's
	p.ownRequests++
	number := p.ownRequests | ownRequest
	p.pendingRequests[number] = pendingRequest{onResult: onResult}
	p.sendRequest(leaseclient.Decision{Action: leaseclient.Propose, Request: number, Entry: e}, 0)
}

func (p *Process) failRequest(number uint64) {
	open := p.pendingRequests[number]
	delete(p.pendingRequests, number)
	p.client.Advance(p.clock())
	if open.onResult != nil {
		open.onResult(leasestate.Result{}, false)
		return
	}
	p.client.Failed(number)
}

// responseReceived handles a coordinator node's response to a request.
func (p *Process) responseReceived(number uint64, d raftnode.Decision, tokens []lease.Token) {
	open, waits := p.pendingRequests[number]
	if !waits {
		return
	}
	switch d.Action {
	case raftnode.Redirect:
		p.knownLeader = d.Leader.Name
		if p.knownLeader == "" {
			p.failRequest(number)
		} else {
			open.resend()
		}
	case raftnode.ResultUnknown:
		p.failRequest(number)
	default:
		p.requestDone(number, open, d.Result, tokens)
	}
}

func (p *Process) requestDone(number uint64, open pendingRequest, result leasestate.Result, tokens []lease.Token) {
	delete(p.pendingRequests, number)
	for n, place := range open.operations {
		operation := &p.world.Operations[place]
		operation.EndedMs, operation.Held, operation.Token = p.world.Now, result.Held, result.Token
		if tokens != nil {
			operation.Token = tokens[n]
		}
	}
	p.client.Advance(p.clock())
	switch {
	case open.onResult != nil:
		open.onResult(result, true)
	case tokens != nil:
		p.client.TokensLearned(number, tokens)
	default:
		p.client.Answered(number, result)
	}
}
