package raftnode

import (
	"cmp"
	"errors"
	"fmt"
	"hash/fnv"
	"maps"
	"slices"

	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"wayloft/internal/decide/leasestate"
)

const (
	maxPeers        = 9    // of a cluster; more nodes would only make it slower
	maxRemovedPeers = 1000 // number of IDs of removed nodes that are remembered
	maxCaughtUpLag  = 64   // entries that a node may be behind and still count as caught up
)

// Peer is a coordinator node. It is stored in snapshots and in the log with these fields.
type Peer struct {
	ID   uint64 `cbor:"1,keyasint"`
	Name string `cbor:"2,keyasint"`
	Addr string `cbor:"3,keyasint"`
}

// ID returns a node's Raft ID: a hash of its name, never 0.
func ID(name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name)) // never fails
	return cmp.Or(h.Sum64(), 1)
}

// CheckPeers returns an error if the peers can't be the initial members of a cluster to which the named node belongs.
func CheckPeers(name string, peers []Peer) error {
	nameByID, names := map[uint64]string{}, map[string]bool{}
	for _, peer := range peers {
		if other, taken := nameByID[peer.ID]; taken {
			return duplicateIDError(other, peer.Name)
		}
		nameByID[peer.ID], names[peer.Name] = peer.Name, true
	}
	switch {
	case len(peers) > maxPeers:
		return fmt.Errorf("%d processes, %d at most", len(peers), maxPeers)
	case len(peers) > 0 && !names[name]:
		return fmt.Errorf("%q is not among those who begin the council", name)
	}
	return nil
}

func duplicateIDError(name, other string) error {
	return fmt.Errorf("peers %q and %q have one number: rename one", name, other)
}

// membershipContext is stored in the log with a membership change: the request that waits for it and the peers that join. Its CBOR keys are
// text and differ from the field names.
type membershipContext struct {
	Proposer uint64 `cbor:"By"`
	Request  uint64 `cbor:"Number"`
	Add      []Peer `cbor:"Add"`
}

// ChangeMembership adds nodes to the cluster and removes others, with a joint configuration. The request completes with Done, whose result
// has the reason if the change was rejected, with Redirect or with ResultUnknown. A removed node can't join again under the same name.
func (n *Node) ChangeMembership(request uint64, add []Peer, remove []string) {
	if !n.isLeader {
		n.redirect(request)
		return
	}
	err := n.checkMembershipChange(add, remove)
	if err == nil {
		change := membershipChange(add, remove)
		change.Context = encode(membershipContext{Proposer: n.id, Request: request, Add: add})
		err = n.raftNode.ProposeConfChange(change)
	}
	if err != nil { // the operator sees its text
		n.decide(Decision{Action: Done, Request: request, Result: leasestate.Result{Rejection: leasestate.Rejection(err.Error())}})
		return
	}
	n.pending[request] = true
}

// checkMembershipChange returns the reason why a change is rejected. If there are several, it is the one that concerns the cluster as a
// whole, or else the last one found.
func (n *Node) checkMembershipChange(add []Peer, remove []string) error {
	var err error
	for _, peer := range add {
		id := ID(peer.Name)
		if old, taken := n.peers[id]; taken && old.Name != peer.Name {
			err = fmt.Errorf("%q and %q have one number: rename one", old.Name, peer.Name)
		} else if slices.Contains(n.removedPeers, id) {
			err = fmt.Errorf("%q was of this council before: its votes may still be on their way, take another name", peer.Name)
		}
	}
	for _, name := range remove {
		if n.peers[ID(name)].Name != name {
			err = fmt.Errorf("%q is not of this council", name)
		}
	}
	left := len(n.peers) + len(add) - len(remove)
	switch {
	case len(add)+len(remove) == 0:
		return errors.New("nothing to change")
	case left < 1 || left > maxPeers:
		return fmt.Errorf("%d processes would be left, 1 to %d may be", left, maxPeers)
	case len(n.confState.GetVotersOutgoing()) > 0:
		return errors.New("a change is on")
	}
	return err
}

func membershipChange(add []Peer, remove []string) *raftpb.ConfChangeV2 {
	change := &raftpb.ConfChangeV2{Transition: raftpb.ConfChangeTransitionJointImplicit.Enum()}
	addChange := func(kind raftpb.ConfChangeType, name string) {
		change.Changes = append(change.Changes, &raftpb.ConfChangeSingle{Type: kind.Enum(), NodeId: proto.Uint64(ID(name))})
	}
	for _, peer := range add {
		addChange(raftpb.ConfChangeAddNode, peer.Name)
	}
	for _, name := range remove {
		addChange(raftpb.ConfChangeRemoveNode, name)
	}
	return change
}

// applyMembership applies a committed membership change.
func (n *Node) applyMembership(entry *raftpb.Entry) error {
	change := &raftpb.ConfChangeV2{}
	if err := proto.Unmarshal(entry.GetData(), change); err != nil {
		return fmt.Errorf("entry %d: %w", entry.GetIndex(), err)
	}
	n.confState = n.raftNode.ApplyConfChange(change)
	n.membersChanged = true // a node that joins needs a snapshot whose configuration includes it
	var committed membershipContext
	if len(change.GetContext()) > 0 {
		if err := cbor.Unmarshal(change.GetContext(), &committed); err != nil {
			return fmt.Errorf("entry %d: %w", entry.GetIndex(), err)
		}
	}
	for _, peer := range committed.Add {
		peer.ID = ID(peer.Name)
		n.peers[peer.ID] = peer
	}
	n.dropRemovedPeers()
	if committed.Proposer == n.id {
		n.complete(committed.Request, leasestate.Result{Held: true})
	}
	return nil
}

func (n *Node) dropRemovedPeers() {
	for _, id := range slices.Sorted(maps.Keys(n.peers)) {
		if slices.Contains(n.confState.GetVoters(), id) || slices.Contains(n.confState.GetVotersOutgoing(), id) {
			continue
		}
		delete(n.peers, id)
		n.removedPeers = append(n.removedPeers, id)
		if len(n.removedPeers) > maxRemovedPeers {
			n.removedPeers = n.removedPeers[1:]
		}
	}
}

// PeerStatus is the status of one coordinator node as seen by this node.
type PeerStatus struct {
	Peer
	Leader   bool
	Applied  uint64 // index; for other nodes, the last one that the leader knows to be in their log
	CaughtUp bool   // it is at most a few entries behind
	Known    bool   // whether Applied and CaughtUp are known
}

// Peers returns the cluster's members as this node knows them, sorted by name.
func (n *Node) Peers() []PeerStatus {
	var all []PeerStatus
	progress := n.raftNode.Status().Progress
	for id, peer := range n.peers {
		status := PeerStatus{Peer: peer, Leader: id == n.leader}
		if id == n.id {
			status.Applied, status.CaughtUp, status.Known = n.applied, true, true
		} else if follower, ok := progress[id]; ok && n.isLeader {
			status.Applied, status.Known = follower.Match, true
			status.CaughtUp = follower.RecentActive && follower.Match+maxCaughtUpLag >= n.applied
		}
		all = append(all, status)
	}
	slices.SortFunc(all, func(a, b PeerStatus) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

// Peer returns the member of the cluster with an ID.
func (n *Node) Peer(id uint64) (peer Peer, known bool) {
	peer, known = n.peers[id]
	return peer, known
}
