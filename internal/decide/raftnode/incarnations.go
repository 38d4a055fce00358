package raftnode

import (
	"fmt"
	"slices"

	"go.etcd.io/raft/v3/raftpb"
)

// Identity is what a process says of its folder when it begins to talk.
type Identity struct {
	Name   string   `cbor:"1,keyasint"`
	StorageID uint64   `cbor:"2,keyasint"` // drawn when it was made
	Incarnations []uint64 `cbor:"3,keyasint"` // drawn at each start, the latest last
	Term   uint64   `cbor:"4,keyasint"` // what it held at this start
	LastIndex   uint64   `cbor:"5,keyasint"`
}

// KnownIncarnations remembers the folders of the coordinator's other processes. Raft rests on a process remembering what it voted for and what
// it acknowledged; one whose folder was lost, or put back from an older copy, may break that, so nothing of it is taken. What
// it can't tell: a copy that is as old as the latest start, if this process started since and heard nothing in between.
type KnownIncarnations struct {
	Known  map[string]StorageIdentity `cbor:"1,keyasint"` // to be stored whenever Hello says so
	acknowledged map[string]uint64          // entries that it acknowledged and that are committed
	terms   map[string]uint64
}

// StorageIdentity is a folder as it was met last.
type StorageIdentity struct {
	StorageID uint64 `cbor:"1,keyasint"`
	Incarnation  uint64 `cbor:"2,keyasint"`
}

// NewKnownIncarnations makes one that has met nobody.
func NewKnownIncarnations() *KnownIncarnations {
	return &KnownIncarnations{Known: map[string]StorageIdentity{}, acknowledged: map[string]uint64{}, terms: map[string]uint64{}}
}

// Handshake judges who begins to talk; news: what is known has changed and must be stored before its first message is taken.
func (m *KnownIncarnations) Handshake(id Identity) (news bool, err error) {
	if len(id.Incarnations) == 0 || id.Name == "" {
		return false, fmt.Errorf("it doesn't say who it is")
	}
	last := id.Incarnations[len(id.Incarnations)-1]
	was, known := m.Known[id.Name]
	switch {
	case known && was.StorageID != id.StorageID:
		return false, fmt.Errorf("%s has another folder than before: one that was lost can't vote again; remove %s from the council and add a process under a new name", id.Name, id.Name)
	case known && was.Incarnation == last: // it runs on: what it held at its start is less than what it has said since
		return false, nil
	case known && !slices.Contains(id.Incarnations, was.Incarnation),
		id.Term < m.terms[id.Name], id.LastIndex < m.acknowledged[id.Name]:
		return false, fmt.Errorf("the folder of %s is an older copy: it has forgotten what it acknowledged; remove %s from the council and add a process under a new name", id.Name, id.Name)
	case !known && len(m.Known) >= 4*mostPeers:
		return false, fmt.Errorf("too many processes have been met")
	}
	m.Known[id.Name] = StorageIdentity{id.StorageID, last}
	return true, nil
}

// MessageReceived notes what a message proves of its sender's disk; committed is as far as this process knows.
func (m *KnownIncarnations) MessageReceived(name string, msg *raftpb.Message, committed uint64) {
	switch msg.GetType() {
	case raftpb.MsgPreVote, raftpb.MsgPreVoteResp:
		return // these carry a term that nobody has stored
	case raftpb.MsgAppResp:
		if !msg.GetReject() {
			m.acknowledged[name] = max(m.acknowledged[name], min(msg.GetIndex(), committed))
		}
	}
	m.terms[name] = max(m.terms[name], msg.GetTerm())
}

// Forget drops all but those named.
func (m *KnownIncarnations) Forget(but map[string]bool) {
	for name := range m.Known {
		if !but[name] {
			delete(m.Known, name)
			delete(m.acknowledged, name)
			delete(m.terms, name)
		}
	}
}
