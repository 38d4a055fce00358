package raftnode

import (
	"fmt"
	"slices"

	"go.etcd.io/raft/v3/raftpb"
)

// maxKnownIncarnations limits the number of remembered nodes, including those that have left the cluster.
const maxKnownIncarnations = 4 * maxPeers

// Identity describes a node's data directory. The node sends it to a peer when it connects.
type Identity struct {
	Name         string   `cbor:"1,keyasint"`
	StorageID    uint64   `cbor:"2,keyasint"` // random, generated when the directory was created
	Incarnations []uint64 `cbor:"3,keyasint"` // random, one generated at each start; the latest is last
	Term         uint64   `cbor:"4,keyasint"` // stored at this start of the node
	LastIndex    uint64   `cbor:"5,keyasint"` // of the log at this start of the node
}

// KnownIncarnations keeps track of the data directories of the cluster's other nodes. Raft requires that a node remembers its votes and what
// it has acknowledged. A node whose directory was lost or replaced by an older copy may violate that, so its messages are rejected. A copy
// that was taken after the other node's latest start isn't detected if this node was restarted since and has received no message from that
// node in between.
type KnownIncarnations struct {
	Known        map[string]StorageIdentity `cbor:"1,keyasint"` // by node name; must be stored when Handshake reports a change
	acknowledged map[string]uint64          // by node name: last committed index that the node has acknowledged
	terms        map[string]uint64          // by node name: highest term that the node's messages prove to be stored
}

// StorageIdentity is the identity of a data directory at its latest known start.
type StorageIdentity struct {
	StorageID   uint64 `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
}

// HandshakeReason is the reason why a node is rejected.
type HandshakeReason int

// Reasons why a node is rejected.
const (
	IdentityMissing HandshakeReason = iota
	StorageReplaced                 // its data directory isn't the one that it had before
	StorageOutdated                 // its data directory is an older copy of the one that it had
	TooManyNodes
)

// HandshakeError is the error for a node that is rejected.
type HandshakeError struct {
	Reason HandshakeReason
	Node   string
}

// Error returns the text that the rejected node receives and logs. It is part of the wire protocol and uses the terms of the settings file:
// "folder" is the data directory, and "council" is the coordinator cluster.
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

// NewKnownIncarnations returns an empty KnownIncarnations.
func NewKnownIncarnations() *KnownIncarnations {
	return &KnownIncarnations{Known: map[string]StorageIdentity{}, acknowledged: map[string]uint64{}, terms: map[string]uint64{}}
}

// Handshake checks the identity of a node that connects. It returns a *HandshakeError if the node is rejected. If changed is true, Known must
// be stored before a message of that node is passed to Node.Step.
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
	case known && previous.Incarnation == incarnation: // same run: Term and LastIndex are as of its start, lower than what it sent since
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

// MessageReceived records what a message proves to be on its sender's disk. committed is the last index that this node knows to be committed.
func (k *KnownIncarnations) MessageReceived(name string, message *raftpb.Message, committed uint64) {
	switch message.GetType() {
	case raftpb.MsgPreVote, raftpb.MsgPreVoteResp:
		return // pre-vote messages carry a term that no node has stored
	case raftpb.MsgAppResp:
		if !message.GetReject() {
			k.acknowledged[name] = max(k.acknowledged[name], min(message.GetIndex(), committed))
		}
	}
	k.terms[name] = max(k.terms[name], message.GetTerm())
}

// Retain removes all nodes except those named.
func (k *KnownIncarnations) Retain(names map[string]bool) {
	for name := range k.Known {
		if !names[name] {
			delete(k.Known, name)
			delete(k.acknowledged, name)
			delete(k.terms, name)
		}
	}
}
