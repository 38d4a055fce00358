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

// Next returns the next decision; false if there is none, or while a Save decision waits for Saved.
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

// appendToLog keeps in memory what raft wants stored.
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

// Saved passes in that what the last Save decision holds is on disk. Messages and answers that rest on it are decided now.
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

// recordReadIndexes notes which index must be applied before each read is answered.
func (n *Node) recordReadIndexes(states []raft.ReadState) {
	for _, state := range states {
		var request uint64
		if err := cbor.Unmarshal(state.RequestCtx, &request); err != nil {
			continue // no read of this node's
		}
		if _, waits := n.pendingReads[request]; waits {
			n.pendingReads[request] = state.Index
		}
	}
}

// completeReads answers the reads whose index is applied.
func (n *Node) completeReads() {
	for _, request := range slices.Sorted(maps.Keys(n.pendingReads)) {
		if index := n.pendingReads[request]; index > 0 && index <= n.applied {
			delete(n.pendingReads, request)
			n.decide(Decision{Action: Done, Request: request})
		}
	}
}

// updateLeader takes in who leads. Requests that wait at a node that no longer leads may have been carried out or not.
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

// apply applies a committed entry. An entry that can't be decoded is an error: all nodes stop at it rather than diverge.
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
	events, _ := n.state.Since(n.eventIndex)
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

// heartbeatResult returns the answer to one heartbeat of an entry of many.
func (n *Node) heartbeatResult(heartbeat leasestate.Heartbeat) leasestate.Result {
	if session, open := n.state.Session(heartbeat.Session); open && session.Incarnation == heartbeat.Incarnation {
		return leasestate.Result{Held: true}
	}
	return leasestate.Result{Refusal: leasestate.RefusedNoSession}
}
