package raftnode

import (
	"fmt"
	"slices"

	"go.etcd.io/raft/v3/raftpb"
)

// maxKnownIncarnations bounds how many nodes are remembered, with those that left.
const maxKnownIncarnations = 4 * maxPeers

// Identity is what a node sends its peers about its data directory when it connects.
type Identity struct {
	Name         string   `cbor:"1,keyasint"`
	StorageID    uint64   `cbor:"2,keyasint"` // drawn when the directory was created
	Incarnations []uint64 `cbor:"3,keyasint"` // drawn at each start, the latest last
	Term         uint64   `cbor:"4,keyasint"` // stored at this start
	LastIndex    uint64   `cbor:"5,keyasint"` // of the log, at this start
}

// KnownIncarnations remembers the data directories of the cluster's other nodes. Raft requires that a node remembers what it voted for and
// what it acknowledged. A node whose directory was lost, or replaced by an older copy, may break that, so its messages are rejected. It
// can't detect a copy that is as old as the latest start, if this node was started since and received nothing in between.
type KnownIncarnations struct {
	Known        map[string]StorageIdentity `cbor:"1,keyasint"` // by node; to be stored when Handshake says that it has changed
	acknowledged map[string]uint64          // index up to which the node acknowledged entries that are committed
	terms        map[string]uint64          // the highest that the node has stored, by what it sent
}

// StorageIdentity is the identity of a data directory at its latest known start.
type StorageIdentity struct {
	StorageID   uint64 `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
}

// HandshakeReason says why a node is rejected.
type HandshakeReason int

// The reasons why a node is rejected.
const (
	IdentityMissing HandshakeReason = iota
	StorageReplaced                 // it has another data directory than before
	StorageOutdated                 // its data directory is an older copy
	TooManyNodes
)

// HandshakeError is the error of a node that is rejected.
type HandshakeError struct {
	Reason HandshakeReason
	Node   string
}

// Error returns the text that the rejected node receives and logs. It is on the wire, so it keeps the words of the settings: a folder is a
// data directory and the council the coordinator cluster.
func (e *HandshakeError) Error() string {
	switch e.Reason {
	case IdentityMissing:
		return "it doesn't say who it is"
	case StorageReplaced:
		return fmt.Sprintf("%s has another folder than before: one that was lost can't vote again; "+
			"remove %s from the council and add a process under a new name", e.Node, e.Node)
	case StorageOutdated:
		return fmt.Sprintf("the folder of %s is an older copy: it has forgotten what it acknowledged; "+
			"remove %s from the council and add a process under a new name", e.Node, e.Node)
	}
	return "too many processes have been met"
}

// NewKnownIncarnations returns one that knows no node.
func NewKnownIncarnations() *KnownIncarnations {
	return &KnownIncarnations{Known: map[string]StorageIdentity{}, acknowledged: map[string]uint64{}, terms: map[string]uint64{}}
}

// Handshake judges a node that connects. A node that is rejected gets a *HandshakeError. If changed, Known must be stored before the first
// message of the node is passed on.
func (k *KnownIncarnations) Handshake(identity Identity) (changed bool, err error) {
	name := identity.Name
	if len(identity.Incarnations) == 0 || name == "" {
		return false, &HandshakeError{IdentityMissing, name}
	}
	incarnation := identity.Incarnations[len(identity.Incarnations)-1]
	previous, known := k.Known[name]
	switch {
	case known && previous.StorageID != identity.StorageID:
		return false, &HandshakeError{StorageReplaced, name}
	case known && previous.Incarnation == incarnation: // it runs on: what it stored at its start is less than what it has sent since
		return false, nil
	case known && !slices.Contains(identity.Incarnations, previous.Incarnation),
		identity.Term < k.terms[name],
		identity.LastIndex < k.acknowledged[name]:
		return false, &HandshakeError{StorageOutdated, name}
	case !known && len(k.Known) >= maxKnownIncarnations:
		return false, &HandshakeError{TooManyNodes, name}
	}
	k.Known[name] = StorageIdentity{identity.StorageID, incarnation}
	return true, nil
}

// MessageReceived notes what a message proves to be on its sender's disk. committed is the latest index that this node knows to be
// committed.
func (k *KnownIncarnations) MessageReceived(name string, message *raftpb.Message, committed uint64) {
	switch message.GetType() {
	case raftpb.MsgPreVote, raftpb.MsgPreVoteResp:
		return // these carry a term that nobody has stored
	case raftpb.MsgAppResp:
		if !message.GetReject() {
			k.acknowledged[name] = max(k.acknowledged[name], min(message.GetIndex(), committed))
		}
	}
	k.terms[name] = max(k.terms[name], message.GetTerm())
}

// Retain forgets all nodes but those named.
func (k *KnownIncarnations) Retain(names map[string]bool) {
	for name := range k.Known {
		if !names[name] {
			delete(k.Known, name)
			delete(k.acknowledged, name)
			delete(k.terms, name)
		}
	}
}
