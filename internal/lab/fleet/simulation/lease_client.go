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
	// The interval at which a lease client polls for changes, in ms: the minimum, and the maximum of a uniformly distributed extra.
	minPollIntervalMs = 100
	pollJitterMs      = 20
	// overcountedMarginMs is the safety margin with the seeded defect OvercountLease: the holder considers its lease valid for longer
	// than it is.
	overcountedMarginMs = -1000
)

// leaseClientState is a router's lease client and its state.
type leaseClientState struct {
	client          *leaseclient.Client
	leases          []string // requested by the client
	knownLeader     string   // name of the coordinator node that leads; empty: not known
	pendingRequests map[uint64]pendingRequest
	ownRequests     uint64 // number of requests that the lease client did not make
	watchIndex      uint64 // index up to which it has received the lease state
	heldLeases      map[string]lease.Token
	seenTokens      map[string]lease.Token // of a receiver with the seeded defect ForgetTokens
	starts          int
}

// pendingRequest is a request that has no response yet.
type pendingRequest struct {
	operations []int  // indexes into World.Operations, one for each lease of the request
	resend     func() // sends the request again, to the node that leads now
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

// pollLeases polls random coordinator nodes for changes of the lease state.
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

// executeClientDecisions executes the lease client's pending decisions.
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

// recordOperations adds a request to the history that is checked for linearizability, and returns the indexes of its operations. The
// history has lease requests and token reads only, with a read as one operation for each lease.
func (p *Process) recordOperations(d leaseclient.Decision) (indexes []int) {
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
		indexes = append(indexes, len(p.world.Operations))
		p.world.Operations = append(p.world.Operations, operation)
	}
	return indexes
}

// sendRequest sends a request to the last known leader, or to a random coordinator node.
func (p *Process) sendRequest(d leaseclient.Decision, redirects int) {
	w := p.world
	pending, waiting := p.pendingRequests[d.Request]
	if !waiting {
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
	pending.resend = func() { p.sendRequest(d, redirects+1) }
	p.pendingRequests[d.Request] = pending
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
		if _, waiting := p.pendingRequests[d.Request]; waiting {
			p.knownLeader = ""
			p.failRequest(d.Request)
		}
	})
}

// proposeEntry proposes an entry on behalf of the process itself, not of its lease client.
func (p *Process) proposeEntry(e leasestate.Entry, onResult func(result leasestate.Result, known bool)) {
	const ownRequest = 1 << 62 // separates these request numbers from the lease client's
	p.ownRequests++
	number := p.ownRequests | ownRequest
	p.pendingRequests[number] = pendingRequest{onResult: onResult}
	p.sendRequest(leaseclient.Decision{Action: leaseclient.Propose, Request: number, Entry: e}, 0)
}

func (p *Process) failRequest(number uint64) {
	pending := p.pendingRequests[number]
	delete(p.pendingRequests, number)
	p.client.Advance(p.clock())
	if pending.onResult != nil {
		pending.onResult(leasestate.Result{}, false)
		return
	}
	p.client.RequestFailed(number)
}

// responseReceived handles a coordinator node's response to a request.
func (p *Process) responseReceived(number uint64, d raftnode.Decision, tokens []lease.Token) {
	pending, waiting := p.pendingRequests[number]
	if !waiting {
		return
	}
	switch d.Action {
	case raftnode.Redirect:
		p.knownLeader = d.Leader.Name
		if p.knownLeader == "" {
			p.failRequest(number)
		} else {
			pending.resend()
		}
	case raftnode.ResultUnknown:
		p.failRequest(number)
	default:
		p.requestDone(number, pending, d.Result, tokens)
	}
}

func (p *Process) requestDone(number uint64, pending pendingRequest, result leasestate.Result, tokens []lease.Token) {
	delete(p.pendingRequests, number)
	for n, index := range pending.operations {
		operation := &p.world.Operations[index]
		operation.EndedMs, operation.Held, operation.Token = p.world.Now, result.Held, result.Token
		if tokens != nil {
			operation.Token = tokens[n]
		}
	}
	p.client.Advance(p.clock())
	switch {
	case pending.onResult != nil:
		pending.onResult(result, true)
	case tokens != nil:
		p.client.TokensLearned(number, tokens)
	default:
		p.client.ResponseReceived(number, result)
	}
}
