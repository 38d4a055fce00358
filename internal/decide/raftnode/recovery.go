package raftnode

import (
	"errors"
	"fmt"
	"maps"
	"slices"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"wayloft/internal/decide/leasestate"
)

// ErrNothingStored is returned by Recover for a data directory without a snapshot.
var ErrNothingStored = errors.New("the data directory has no snapshot")

// Recovery is the result of Recover.
type Recovery struct {
	Decision       Decision // Save decision that replaces all stored data
	Epoch          uint64   // of the new cluster
	PreviousEpoch  uint64
	LastIndex      uint64 // of the last entry that is retained
	CommittedIndex uint64 // last index known to be committed; later entries may or may not have been
	RemovedPeers   []Peer
}

// Recover creates a single-node cluster from the stored data of one node, in an epoch above both the previous one and knownEpoch. It retains
// all entries of the node, including those that the node doesn't know to be committed, because the nodes that would know are lost. Entries
// that only those nodes had are lost, too. The new epoch makes that harmless, since receivers reject fencing tokens of earlier epochs.
func Recover(fleet, name, addr string, stored Stored, knownEpoch uint64) (Recovery, error) {
	if stored.Snapshot == nil {
		return Recovery{}, ErrNothingStored
	}
	data, state, err := decodeSnapshot(fleet, stored.Snapshot)
	if err != nil {
		return Recovery{}, err
	}
	last, term, err := replay(state, stored)
	if err != nil {
		return Recovery{}, err
	}
	self := Peer{ID: ID(name), Name: name, Addr: addr}
	recovery := Recovery{PreviousEpoch: state.Epoch(), Epoch: max(state.Epoch(), knownEpoch) + 1, LastIndex: last,
		CommittedIndex: stored.HardState.GetCommit()}
	for _, id := range slices.Sorted(maps.Keys(data.Peers)) {
		if id != self.ID {
			recovery.RemovedPeers = append(recovery.RemovedPeers, data.Peers[id])
			data.RemovedPeers = append(data.RemovedPeers, id)
		}
	}
	index := last + 1
	state.Apply(index, leasestate.Entry{Kind: leasestate.BeginEpoch, Epoch: recovery.Epoch})
	recovery.Decision = Decision{
		Action: Save,
		HardState: &raftpb.HardState{Term: proto.Uint64(max(term, stored.HardState.GetTerm()) + 1), Vote: proto.Uint64(0),
			Commit: proto.Uint64(index)},
		Snapshot: &raftpb.Snapshot{
			Data: EncodeSnapshot(map[uint64]Peer{self.ID: self}, data.RemovedPeers, state),
			Metadata: &raftpb.SnapshotMetadata{ConfState: &raftpb.ConfState{Voters: []uint64{self.ID}}, Index: proto.Uint64(index),
				Term: proto.Uint64(max(term, 1))},
		},
	}
	return recovery, nil
}

// replay applies the stored entries to the state of the stored snapshot and returns the index and term of the last one.
func replay(state *leasestate.State, stored Stored) (last, term uint64, err error) {
	last, term = stored.Snapshot.GetMetadata().GetIndex(), stored.Snapshot.GetMetadata().GetTerm()
	for _, entry := range stored.Entries {
		if entry.GetIndex() <= last {
			continue
		}
		if entry.GetIndex() != last+1 {
			return 0, 0, fmt.Errorf("log entry %d is missing", last+1)
		}
		last, term = entry.GetIndex(), entry.GetTerm()
		if entry.GetType() != raftpb.EntryNormal || len(entry.GetData()) == 0 {
			continue
		}
		_, change, err := decodeProposal(entry)
		if err != nil {
			return 0, 0, err
		}
		state.Apply(last, change)
	}
	return last, term, nil
}
