package raftnode

import (
	"errors"
	"fmt"
)

// ErrDataLoss means that the data directory lacks data that this node had stored and may have acknowledged to others.
var ErrDataLoss = errors.New("the data directory has lost what was acknowledged")

// Durable tracks which of the node's data on disk other nodes may rely on. After a failed write, the data is read again, and Durable checks
// that it is the data from before, with or without the failed write.
type Durable struct {
	stored    durableState
	attempted durableState // stored, plus the write that is in progress or has failed
}

// durableState is the term, the vote, the commit index and the last log index.
type durableState struct {
	term, vote, commit, last uint64
}

// Loaded passes in the data that was read at startup.
func (d *Durable) Loaded(stored Stored) {
	d.stored = durableStateOf(stored)
	d.attempted = d.stored
}

// Attempt reports that a decision is about to be stored.
func (d *Durable) Attempt(decision Decision) {
	next := d.stored
	if hardState := decision.HardState; hardState != nil {
		next.term, next.vote, next.commit = hardState.GetTerm(), hardState.GetVote(), hardState.GetCommit()
	}
	if index := decision.Snapshot.GetMetadata().GetIndex(); decision.Action == Save && index > 0 {
		next.last = index
	}
	if count := len(decision.Entries); count > 0 {
		next.last = decision.Entries[count-1].GetIndex()
	}
	d.attempted = next
}

// Confirm reports that the decision of the last Attempt is on disk.
func (d *Durable) Confirm() { d.stored = d.attempted }

// Check returns an error that wraps ErrDataLoss if the data that was read again lacks something that had been stored.
func (d *Durable) Check(read Stored) error {
	got := durableStateOf(read)
	if got.covers(d.stored) || got.covers(d.attempted) {
		return nil
	}
	return fmt.Errorf("%w: found %s; expected at least %s", ErrDataLoss, got, d.stored)
}

func durableStateOf(stored Stored) durableState {
	state := durableState{term: stored.HardState.GetTerm(), vote: stored.HardState.GetVote(), commit: stored.HardState.GetCommit(),
		last: stored.Snapshot.GetMetadata().GetIndex()}
	if count := len(stored.Entries); count > 0 {
		state.last = max(state.last, stored.Entries[count-1].GetIndex())
	}
	return state
}

// covers reports whether s has everything that other has. A vote is valid only in its own term.
func (s durableState) covers(other durableState) bool {
	keepsVote := s.term > other.term || other.vote == 0 || s.vote == other.vote
	return s.term >= other.term && keepsVote && s.commit >= other.commit && s.last >= other.last
}

func (s durableState) String() string {
	return fmt.Sprintf("term %d, vote %x, last index %d, commit index %d", s.term, s.vote, s.last, s.commit)
}
