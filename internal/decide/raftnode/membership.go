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
	maxPeers        = 9    // of a cluster: more only make it slower
	maxRemovedPeers = 1000 // remembered
	maxCaughtUpLag  = 64   // entries that a node may lack and still count as caught up
)

// Peer is a coordinator node. It is stored as it is here.
type Peer struct {
	ID   uint64 `cbor:"1,keyasint"`
	Name string `cbor:"2,keyasint"`
	Addr string `cbor:"3,keyasint"`
}

// ID returns a node's Raft ID, which is drawn from its name and never 0.
func ID(name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name)) // never fails
	return cmp.Or(h.Sum64(), 1)
}

// CheckPeers returns an error if these can't be the initial members of a cluster that this node belongs to.
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

// membershipContext is stored with a change of the membership: the request that waits for it and the peers that join. Its keys are the
// fields' names.
type membershipContext struct {
	Proposer uint64 `cbor:"By"`
	Request  uint64 `cbor:"Number"`
	Add      []Peer `cbor:"Add"`
}

// ChangeMembership has nodes join or leave the cluster, through a joint configuration. The request ends by Done, whose result says why
// it was rejected, by Redirect or by ResultUnknown. A node that left can't join again under its name.
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
	if err != nil { // its text is the reason that the operator sees
		n.decide(Decision{Action: Done, Request: request, Result: leasestate.Result{Refusal: leasestate.Refusal(err.Error())}})
		return
	}
	n.pending[request] = true
}

// checkMembershipChange returns why a change is rejected; of several reasons, the one that concerns the cluster as a whole, or else the
// last.
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

// applyMembership applies a committed change of the membership.
func (n *Node) applyMembership(entry *raftpb.Entry) error {
	change := &raftpb.ConfChangeV2{}
	if err := proto.Unmarshal(entry.GetData(), change); err != nil {
		return fmt.Errorf("entry %d: %w", entry.GetIndex(), err)
	}
	n.confState = n.raftNode.ApplyConfChange(change)
	n.membersChanged = true // a node that joins takes no snapshot that lacks it
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

// PeerStatus is the state of one coordinator node, as this one sees it.
type PeerStatus struct {
	Peer
	Leader   bool
	Applied  uint64 // index; of other nodes, what the leader knows to be in their log
	CaughtUp bool   // it lacks at most a few entries
	Known    bool   // Applied and CaughtUp are known
}

// Peers returns the cluster's members as this node knows them, by name.
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

// Peer returns a member of the cluster by its ID.
func (n *Node) Peer(id uint64) (peer Peer, known bool) {
	peer, known = n.peers[id]
	return peer, known
}
