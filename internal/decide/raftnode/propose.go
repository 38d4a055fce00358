package raftnode

import (
	"strings"

	"wayloft/internal/decide/leasestate"
)

const (
	maxHeartbeatsPerEntry = 512
	maxElapsed            = 60000 // ms that one entry may advance the lease state's time by, its own limit
	maxPolicyViolations   = 50    // reported about one policy proposal

	// minBatchedTimeoutTicks: a heartbeat waits for the tick only if its session's timeout is at least this many ticks. Its sender waits for
	// an answer for a quarter of the timeout.
	minBatchedTimeoutTicks = 16
)

// proposal is an entry of the log: a change of the lease state, and the requests that wait for it.
type proposal struct {
	Proposer          uint64   `cbor:"1,keyasint"` // node that proposed it
	Request           uint64   `cbor:"2,keyasint"` // of that node; 0: nobody waits
	Entry             []byte   `cbor:"3,keyasint"`
	HeartbeatRequests []uint64 `cbor:"4,keyasint,omitempty"` // requests whose heartbeats the entry holds, in their order
}

type pendingHeartbeat struct {
	request uint64
	leasestate.Heartbeat
}

// Propose proposes an entry for a request, whose number no other request may have. Each request ends by one decision: Done, Redirect or
// ResultUnknown.
func (n *Node) Propose(request uint64, entry leasestate.Entry) {
	switch {
	case !n.isLeader:
		n.redirect(request)
	case len(n.pending) >= maxPendingRequests: // a rejection would mean that somebody else holds what was asked for
		n.decide(Decision{Action: ResultUnknown, Request: request})
	case entry.Kind == leasestate.KeepAlive:
		n.queueHeartbeat(request, entry)
	default:
		if entry.Kind == leasestate.ProposePolicy {
			if reason := proposalViolations(entry); reason != "" {
				n.decide(Decision{Action: Done, Request: request, Result: leasestate.Result{Refusal: leasestate.Refusal(reason)}})
				return
			}
		}
		n.proposeRequest(request, entry)
	}
}

func (n *Node) proposeRequest(request uint64, entry leasestate.Entry) {
	n.proposeHeartbeats() // those that came first are applied first
	n.pending[request] = true
	if err := n.propose(entry, request, nil); err != nil {
		n.resultUnknown(request)
	} else if n.settings.SeededDefects.EarlyAnswer {
		n.complete(request, n.previewResult(entry))
	}
}

// proposalViolations returns all that is wrong with the fields of a policy proposal; "" if nothing is. It is checked before the proposal gets
// into the log, because there every build must apply it in the same way, whichever fields it knows.
func proposalViolations(entry leasestate.Entry) string {
	var lines []string
	for _, finding := range entry.Proposal.Difference.Validate() {
		lines = append(lines, finding.Field+": "+finding.Reason)
		if len(lines) == maxPolicyViolations {
			lines = append(lines, "and more")
			break
		}
	}
	return strings.Join(lines, "\n")
}

// previewResult returns what an entry would come to if it were committed; a seeded defect answers with it.
func (n *Node) previewResult(entry leasestate.Entry) leasestate.Result {
	state, err := leasestate.Restore(n.settings.Fleet, n.state.Snapshot())
	if err != nil {
		return leasestate.Result{Refusal: leasestate.Refusal(err.Error())}
	}
	return state.Apply(state.Index()+1, entry)
}

func (n *Node) queueHeartbeat(request uint64, entry leasestate.Entry) {
	n.pending[request] = true
	n.heartbeats = append(n.heartbeats, pendingHeartbeat{request, leasestate.Heartbeat{Session: entry.Session, Incarnation: entry.Incarnation,
		RejectedActs: entry.RejectedActs, Policy: entry.Policy, RejectedPolicy: entry.RejectedPolicy, Reason: entry.Reason}})
	session, open := n.state.Session(entry.Session)
	if !open || float64(session.Timeout) < minBatchedTimeoutTicks*n.settings.Tick {
		n.flushHeartbeats = true
	}
}

// proposeHeartbeats proposes the heartbeats that came since the last tick, many in an entry. With an entry for each, a cluster of three
// would write hundreds of entries a second for a fleet of hundreds. The driver calls Advance at each input, so Advance doesn't call this
// each time.
func (n *Node) proposeHeartbeats() {
	n.flushHeartbeats = false
	for len(n.heartbeats) > 0 {
		batch := n.heartbeats[:min(len(n.heartbeats), maxHeartbeatsPerEntry)]
		n.heartbeats = n.heartbeats[len(batch):]
		entry := leasestate.Entry{Kind: leasestate.KeepAliveAll}
		var requests []uint64
		for _, heartbeat := range batch {
			entry.Heartbeats = append(entry.Heartbeats, heartbeat.Heartbeat)
			requests = append(requests, heartbeat.request)
		}
		if err := n.propose(entry, 0, requests); err != nil {
			for _, request := range requests {
				n.resultUnknown(request)
			}
		}
	}
}

// propose has an entry advance the lease state's time by this leader's clock, and passes it to raft. An error means that raft has dropped
// it.
func (n *Node) propose(entry leasestate.Entry, request uint64, heartbeatRequests []uint64) error {
	elapsed := min(max(0, n.now-n.lastEntryTime), maxElapsed)
	entry.Elapsed = uint64(elapsed)
	err := n.raftNode.Propose(encode(proposal{Proposer: n.id, Request: request, Entry: leasestate.Encode(entry), HeartbeatRequests: heartbeatRequests}))
	if err != nil {
		return err
	}
	n.lastEntryTime += float64(entry.Elapsed)
	if elapsed == maxElapsed {
		n.lastEntryTime = n.now
	}
	return nil
}

// Read asks for a linearizable read. The request ends by Done once everything that was answered before Read is applied here and this node
// is confirmed to have led meanwhile, or by Redirect or ResultUnknown. The driver reads State when it carries out Done.
func (n *Node) Read(request uint64) {
	switch {
	case !n.isLeader:
		n.redirect(request)
	case len(n.pendingReads) >= maxPendingRequests:
		n.decide(Decision{Action: ResultUnknown, Request: request})
	case n.settings.SeededDefects.StaleRead:
		n.decide(Decision{Action: Done, Request: request})
	default:
		n.pendingReads[request] = 0
		n.raftNode.ReadIndex(encode(request))
	}
}

func (n *Node) decide(d Decision) { n.decisions = append(n.decisions, d) }

func (n *Node) redirect(request uint64) {
	n.decide(Decision{Action: Redirect, Request: request, Leader: n.peers[n.leader]})
}

// resultUnknown ends a request that still waits.
func (n *Node) resultUnknown(request uint64) {
	if n.pending[request] {
		delete(n.pending, request)
		n.decide(Decision{Action: ResultUnknown, Request: request})
	}
}

// complete ends a request that still waits.
func (n *Node) complete(request uint64, result leasestate.Result) {
	if n.pending[request] {
		delete(n.pending, request)
		n.decide(Decision{Action: Done, Request: request, Result: result})
	}
}
