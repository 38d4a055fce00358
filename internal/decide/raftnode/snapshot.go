package raftnode

import (
	"fmt"
	"slices"

	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"wayloft/internal/decide/leasestate"
)

// snapshotFormat is the version of the snapshot encoding.
const snapshotFormat = uint64(1)

// snapshotData is the content of a Raft snapshot.
type snapshotData struct {
	Format       uint64          `cbor:"1,keyasint"`
	Peers        map[uint64]Peer `cbor:"2,keyasint"` // by ID
	State        []byte          `cbor:"3,keyasint"`
	RemovedPeers []uint64        `cbor:"4,keyasint"` // IDs of nodes that left, which can't be used again
}

// deterministicEncoder encodes equal values as identical bytes.
var deterministicEncoder = func() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err) // only invalid options cause an error, and these are constants
	}
	return mode
}()

func encode(value any) []byte {
	encoded, err := deterministicEncoder.Marshal(value)
	if err != nil {
		panic(err) // only types that can be encoded are passed
	}
	return encoded
}

// DecodeSnapshot returns the content of a snapshot: the cluster's members by ID, and the lease state. The error matches
// leasestate.ErrNewerVersion for a later format and leasestate.ErrMalformed for malformed data.
func DecodeSnapshot(fleet string, snapshot *raftpb.Snapshot) (map[uint64]Peer, *leasestate.State, error) {
	data, state, err := decodeSnapshot(fleet, snapshot)
	return data.Peers, state, err
}

func decodeSnapshot(fleet string, snapshot *raftpb.Snapshot) (snapshotData, *leasestate.State, error) {
	var data snapshotData
	if err := cbor.Unmarshal(snapshot.GetData(), &data); err != nil {
		return data, nil, fmt.Errorf("snapshot: %w: %w", leasestate.ErrMalformed, err)
	}
	if data.Format > snapshotFormat {
		return data, nil, fmt.Errorf("snapshot: %w: format %d, this build knows %d", leasestate.ErrNewerVersion, data.Format, snapshotFormat)
	}
	state, err := leasestate.Restore(fleet, data.State)
	return data, state, err
}

// EncodeSnapshot returns the data of a snapshot. removedPeers are the IDs of the nodes that left the cluster.
func EncodeSnapshot(peers map[uint64]Peer, removedPeers []uint64, state *leasestate.State) []byte {
	return encode(snapshotData{Format: snapshotFormat, Peers: peers, State: state.Snapshot(), RemovedPeers: removedPeers})
}

// InitialSnapshot returns the snapshot with which a new cluster starts, identical on all of its nodes. Its state has no epoch: the first
// leader sets it.
func InitialSnapshot(fleet string, peers []Peer) *raftpb.Snapshot {
	confState := &raftpb.ConfState{}
	byID := map[uint64]Peer{}
	for _, peer := range peers {
		byID[peer.ID] = peer
		confState.Voters = append(confState.Voters, peer.ID)
	}
	slices.Sort(confState.Voters)
	return &raftpb.Snapshot{
		Data:     EncodeSnapshot(byID, nil, leasestate.NewUninitialized(fleet)),
		Metadata: &raftpb.SnapshotMetadata{ConfState: confState, Index: proto.Uint64(1), Term: proto.Uint64(1)},
	}
}

// restore replaces the lease state and the membership with those of a snapshot.
func (n *Node) restore(snapshot *raftpb.Snapshot) error {
	data, state, err := decodeSnapshot(n.settings.Fleet, snapshot)
	if err != nil {
		return err
	}
	n.peers, n.removedPeers, n.state = data.Peers, data.RemovedPeers, state
	n.confState = snapshot.GetMetadata().GetConfState()
	n.applied = snapshot.GetMetadata().GetIndex()
	n.snapshotIndex = n.applied
	n.eventIndex = n.state.Index()
	return nil
}

// takeSnapshot takes a snapshot and compacts the log, except for the last entries before it.
func (n *Node) takeSnapshot() {
	snapshot, err := n.log.CreateSnapshot(n.applied, n.confState, EncodeSnapshot(n.peers, n.removedPeers, n.state))
	if err != nil {
		n.err = err
		return
	}
	first, err := n.log.FirstIndex()
	if err != nil {
		n.err = err
		return
	}
	compacted := max(n.applied, trailingEntries) - min(trailingEntries, n.settings.SnapshotInterval/2) // last index that is deleted
	if compacted >= first {
		if err := n.log.Compact(compacted); err != nil {
			n.err = err
			return
		}
	} else {
		compacted = first - 1
	}
	n.snapshotIndex, n.membersChanged = n.applied, false
	n.decide(Decision{Action: Compact, Snapshot: snapshot, CompactBelow: compacted + 1})
}
