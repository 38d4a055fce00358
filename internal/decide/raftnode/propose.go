package raftnode

import (
	"strings"

	"wayloft/internal/decide/leasestate"
)

const (
	maxHeartbeatsPerEntry = 512
	maxElapsed            = 60000 // ms; the limit that leasestate.Decode has for the elapsed time of one entry
	maxPolicyViolations   = 50    // violations reported for one policy proposal

	// minBatchedTimeoutTicks is the shortest session timeout, in ticks, with which a heartbeat may wait for the next tick. The sender waits
	// for a response for only a quarter of the timeout.
	minBatchedTimeoutTicks = 16
)

// proposal is the content of a log entry: an entry of the lease state, and the requests that wait for it.
type proposal struct {
	Proposer          uint64   `cbor:"1,keyasint"` // ID of the node that proposed it
	Request           uint64   `cbor:"2,keyasint"` // of that node; 0 if no request waits
	Entry             []byte   `cbor:"3,keyasint"`
	HeartbeatRequests []uint64 `cbor:"4,keyasint,omitempty"` // requests of the entry's heartbeats, in the same order
}

type pendingHeartbeat struct {
	request uint64
	leasestate.Heartbeat
}

// Propose proposes an entry for a request, which must have a unique number. Each request completes with exactly one decision: Done, Redirect
// or ResultUnknown.
func (n *Node) Propose(request uint64, entry leasestate.Entry) {
	switch {
	case !n.isLeader:
		n.redirect(request)
	case len(n.pending) >= maxPendingRequests: // not a rejection, which would mean that another session holds the lease
		n.decide(Decision{Action: ResultUnknown, Request: request})
	case entry.Kind == leasestate.KeepAlive:
		n.queueHeartbeat(request, entry)
	default:
		if entry.Kind == leasestate.ProposePolicy {
			if reason := proposalViolations(entry); reason != "" {
				n.decide(Decision{Action: Done, Request: request, Result: leasestate.Result{Rejection: leasestate.Rejection(reason)}})
				return
			}
		}
		n.proposeRequest(request, entry)
	}
}

func (n *Node) proposeRequest(request uint64, entry leasestate.Entry) {
	n.proposeHeartbeats() // preserves the order of arrival
	n.pending[request] = true
	if err := n.propose(entry, request, nil); err != nil {
		n.resultUnknown(request)
	} else if n.settings.SeededDefects.EarlyResponse {
		n.complete(request, n.previewResult(entry))
	}
}

// proposalViolations returns what is wrong with the fields of a policy proposal, one violation per line; empty if nothing is. This is checked
// before the proposal gets into the log, because every build must apply a log entry in the same way, whichever fields it knows.
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

// previewResult returns the result that an entry would have if it were committed. Only the seeded defect EarlyResponse uses it.
func (n *Node) previewResult(entry leasestate.Entry) leasestate.Result {
	state, err := leasestate.Restore(n.settings.Fleet, n.state.Snapshot())
	if err != nil {
		return leasestate.Result{Rejection: leasestate.Rejection(err.Error())}
	}
	return state.Apply(state.Index()+1, entry)
}

func (n *Node) queueHeartbeat(request uint64, entry leasestate.Entry) {
	n.pending[request] = true
	n.heartbeats = append(n.heartbeats, pendingHeartbeat{request, leasestate.Heartbeat{Session: entry.Session, Incarnation: entry.Incarnation,
		RejectedOperations: entry.RejectedOperations, Policy: entry.Policy, RejectedPolicy: entry.RejectedPolicy, Reason: entry.Reason}})
	session, open := n.state.Session(entry.Session)
	if !open || float64(session.Timeout) < minBatchedTimeoutTicks*n.settings.Tick {
		n.flushHeartbeats = true
	}
}

// proposeHeartbeats proposes the heartbeats that have arrived since the last tick, batched into entries. With one entry per heartbeat, a
// cluster of three nodes would write hundreds of entries per second for a fleet of hundreds of processes. The driver calls Advance at each
// input, so Advance doesn't call this every time.
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

// propose sets the entry's elapsed time from this leader's clock and proposes it to raft. An error means that raft has dropped the proposal.
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

// Read requests a linearizable read. The request completes with Done once a quorum has confirmed that this node still leads and every entry
// whose result was returned before Read is applied here, or with Redirect or ResultUnknown. The driver reads State when it executes Done.
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

// resultUnknown completes a request with an unknown result if it is still pending.
func (n *Node) resultUnknown(request uint64) {
	if n.pending[request] {
		delete(n.pending, request)
		n.decide(Decision{Action: ResultUnknown, Request: request})
	}
}

// complete completes a request with a result if it is still pending.
func (n *Node) complete(request uint64, result leasestate.Result) {
	if n.pending[request] {
		delete(n.pending, request)
		n.decide(Decision{Action: Done, Request: request, Result: result})
	}
}
