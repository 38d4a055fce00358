package raftnode

import (
	"fmt"
	"maps"
	"slices"

	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"

	"wayloft/internal/decide/leasestate"
)

// Next returns the next decision; false if there is none, also because a Save decision awaits the call of Saved.
func (n *Node) Next() (Decision, bool) {
	for {
		if len(n.decisions) > 0 {
			d := n.decisions[0]
			n.decisions = n.decisions[1:]
			return d, true
		}
		if n.ready != nil || n.err != nil || !n.raftNode.HasReady() {
			return Decision{}, false
		}
		ready := n.raftNode.Ready()
		n.ready = &ready
		if n.err = n.appendToLog(ready); n.err != nil {
			return Decision{}, false
		}
		if ready.HardState != nil || len(ready.Entries) > 0 || !raft.IsEmptySnap(ready.Snapshot) {
			return Decision{Action: Save, HardState: ready.HardState, Entries: ready.Entries, Snapshot: ready.Snapshot}, true
		}
		n.Saved() // nothing to store
	}
}

// appendToLog updates the in-memory log with what raft wants to be stored.
func (n *Node) appendToLog(ready raft.Ready) error {
	if !raft.IsEmptySnap(ready.Snapshot) {
		if err := n.log.ApplySnapshot(ready.Snapshot); err != nil {
			return err
		}
	}
	if err := n.log.Append(ready.Entries); err != nil {
		return err
	}
	if !raft.IsEmptyHardState(ready.HardState) {
		return n.log.SetHardState(ready.HardState)
	}
	return nil
}

// Saved reports that the contents of the last Save decision are on disk. The messages and responses that depend on them become decisions
// now.
func (n *Node) Saved() {
	ready := n.ready
	if ready == nil {
		return
	}
	n.ready = nil
	if !raft.IsEmptySnap(ready.Snapshot) {
		if n.err = n.restore(ready.Snapshot); n.err != nil {
			return
		}
	}
	for _, message := range ready.Messages {
		n.decide(Decision{Action: Send, Message: message})
	}
	for _, entry := range ready.CommittedEntries {
		if n.err = n.apply(entry); n.err != nil {
			return
		}
	}
	n.recordReadIndexes(ready.ReadStates)
	n.raftNode.Advance(*ready)
	if ready.SoftState != nil {
		n.updateLeader(ready.SoftState)
	}
	n.completeReads()
	if n.applied-n.snapshotIndex >= n.settings.SnapshotInterval || n.membersChanged {
		n.takeSnapshot()
	}
}

// recordReadIndexes records which index must be applied before each read completes.
func (n *Node) recordReadIndexes(states []raft.ReadState) {
	for _, state := range states {
		var request uint64
		if err := cbor.Unmarshal(state.RequestCtx, &request); err != nil {
			continue // not a read of this node
		}
		if _, waits := n.pendingReads[request]; waits {
			n.pendingReads[request] = state.Index
		}
	}
}

// completeReads completes the reads whose index is applied.
func (n *Node) completeReads() {
	for _, request := range slices.Sorted(maps.Keys(n.pendingReads)) {
		if index := n.pendingReads[request]; index > 0 && index <= n.applied {
			delete(n.pendingReads, request)
			n.decide(Decision{Action: Done, Request: request})
		}
	}
}

// updateLeader handles a change of the leader or of this node's role. If this node is no longer the leader, its pending requests may or may
// not be applied, so they complete with an unknown result.
func (n *Node) updateLeader(state *raft.SoftState) {
	if n.leader != state.Lead {
		n.leader = state.Lead
		n.decide(Decision{Action: LeaderChanged, Leader: n.peers[state.Lead]})
	}
	isLeader := state.RaftState == raft.StateLeader
	if isLeader == n.isLeader {
		return
	}
	n.isLeader, n.advanceTimePending = isLeader, false
	if isLeader {
		n.beginTerm()
		return
	}
	n.heartbeats, n.flushHeartbeats = nil, false
	for _, request := range slices.Sorted(maps.Keys(n.pending)) {
		n.resultUnknown(request)
	}
	for _, request := range slices.Sorted(maps.Keys(n.pendingReads)) {
		delete(n.pendingReads, request)
		n.decide(Decision{Action: ResultUnknown, Request: request})
	}
}

// apply applies a committed entry. An entry that can't be decoded is an error, at which all nodes stop so that their states don't diverge.
func (n *Node) apply(entry *raftpb.Entry) error {
	n.applied = entry.GetIndex()
	switch entry.GetType() {
	case raftpb.EntryConfChange, raftpb.EntryConfChangeV2:
		return n.applyMembership(entry)
	}
	if len(entry.GetData()) == 0 {
		return nil
	}
	committed, change, err := decodeProposal(entry)
	if err != nil {
		return err
	}
	result := n.state.Apply(entry.GetIndex(), change)
	if committed.Proposer == n.id {
		if change.Kind == leasestate.AdvanceTime {
			n.advanceTimePending = false
		}
		n.complete(committed.Request, result)
		for i, request := range committed.HeartbeatRequests {
			if n.pending[request] {
				n.complete(request, n.heartbeatResult(change.Heartbeats[i]))
			}
		}
	}
	events, _ := n.state.EventsSince(n.eventIndex)
	for _, event := range events {
		n.decide(Decision{Action: Applied, Event: event})
	}
	n.eventIndex = n.state.Index()
	return nil
}

func decodeProposal(entry *raftpb.Entry) (committed proposal, change leasestate.Entry, err error) {
	if err = cbor.Unmarshal(entry.GetData(), &committed); err == nil {
		change, err = leasestate.Decode(committed.Entry)
	}
	if err != nil {
		return proposal{}, leasestate.Entry{}, fmt.Errorf("entry %d: %w", entry.GetIndex(), err)
	}
	return committed, change, nil
}

// heartbeatResult returns the result of one heartbeat of a KeepAliveAll entry.
func (n *Node) heartbeatResult(heartbeat leasestate.Heartbeat) leasestate.Result {
	if session, open := n.state.Session(heartbeat.Session); open && session.Incarnation == heartbeat.Incarnation {
		return leasestate.Result{Held: true}
	}
	return leasestate.Result{Rejection: leasestate.RejectedNoSession}
}
