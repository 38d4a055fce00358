package raftnode

import (
	"errors"
	"fmt"
	"maps"
	"slices"

	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"wayloft/internal/decide/leasestate"
)

// Recovery is what beginning a coordinator again from one folder comes to.
type Recovery struct {
	Decision     Decision // in place of all that is stored
	Epoch     uint64   // that begins
	PreviousEpoch       uint64
	LastIndex     uint64 // of the last entry that is kept
	CommittedIndex uint64 // of the last one known to be agreed; those after it may or may not have been
	RemovedPeers   []Peer // processes that are no more of the coordinator
}

// Recover begins a coordinator of one from what one of its processes had stored, in a later epoch. All its entries are kept, also
// those that it doesn't know to be agreed: the ones who knew are lost. What only they had is given up; the later epoch
// keeps it from doing harm.
func Recover(fleet, name, addr string, stored Stored, above uint64) (Recovery, error) {
	if stored.Snapshot == nil {
		return Recovery{}, errors.New("nothing is stored here")
	}
	i, reg, err := decodeSnapshot(fleet, stored.Snapshot)
	if err != nil {
		return Recovery{}, err
	}
	r := Recovery{PreviousEpoch: reg.Epoch(), LastIndex: stored.Snapshot.GetMetadata().GetIndex(), CommittedIndex: stored.HardState.GetCommit()}
	term := stored.Snapshot.GetMetadata().GetTerm()
	for _, e := range stored.Entries {
		if e.GetIndex() <= r.LastIndex {
			continue
		}
		if e.GetIndex() != r.LastIndex+1 {
			return Recovery{}, fmt.Errorf("entry %d is missing", r.LastIndex+1)
		}
		r.LastIndex, term = e.GetIndex(), e.GetTerm()
		if e.GetType() != raftpb.EntryNormal || len(e.GetData()) == 0 {
			continue
		}
		var rec proposal
		if err := cbor.Unmarshal(e.GetData(), &rec); err != nil {
			return Recovery{}, fmt.Errorf("entry %d: %w", r.LastIndex, err)
		}
		entry, err := leasestate.Decode(rec.Entry)
		if err != nil {
			return Recovery{}, fmt.Errorf("entry %d: %w", r.LastIndex, err)
		}
		reg.Apply(r.LastIndex, entry)
	}
	r.PreviousEpoch = reg.Epoch()
	r.Epoch = max(r.PreviousEpoch, above) + 1
	self := Peer{ID: ID(name), Name: name, Addr: addr}
	for _, id := range slices.Sorted(maps.Keys(i.Peers)) {
		if id != self.ID {
			r.RemovedPeers = append(r.RemovedPeers, i.Peers[id])
			i.RemovedPeers = append(i.RemovedPeers, id)
		}
	}
	reg.Apply(r.LastIndex+1, leasestate.Entry{Kind: leasestate.BeginEpoch, Epoch: r.Epoch})
	r.Decision = Decision{Action: Save,
		HardState: &raftpb.HardState{Term: proto.Uint64(max(term, stored.HardState.GetTerm()) + 1), Vote: proto.Uint64(0), Commit: proto.Uint64(r.LastIndex + 1)},
		Snapshot: &raftpb.Snapshot{Data: EncodeSnapshot(map[uint64]Peer{self.ID: self}, i.RemovedPeers, reg), Metadata: &raftpb.SnapshotMetadata{
			ConfState: &raftpb.ConfState{Voters: []uint64{self.ID}}, Index: proto.Uint64(r.LastIndex + 1), Term: proto.Uint64(max(term, 1))}}}
	return r, nil
}
