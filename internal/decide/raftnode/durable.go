package raftnode

import (
	"errors"
	"fmt"
)

// ErrDataLoss is returned for a data directory that lacks what this node had stored and may have acknowledged.
var ErrDataLoss = errors.New("council: the folder has lost what was acknowledged")

// Durable tracks what of this node is on its disk, as far as others may rely on it. After a write has failed it judges what is read
// again: that must be what was stored before, with or without the write that failed.
type Durable struct {
	stored    durableState
	attempted durableState // with the write that is in progress, or has failed
}

// durableState is the vote, the commit index and the end of the log.
type durableState struct {
	term, vote, commit, last uint64
}

// Loaded passes in what was read.
func (d *Durable) Loaded(stored Stored) {
	d.stored = durableStateOf(stored)
	d.attempted = d.stored
}

// Attempt passes in a decision that is about to be stored.
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

// Confirm passes in that the decision of the latest Attempt is on disk.
func (d *Durable) Confirm() { d.stored = d.attempted }

// Check returns ErrDataLoss, wrapped, if what is read again lacks something that was stored.
func (d *Durable) Check(read Stored) error {
	got := durableStateOf(read)
	if got.covers(d.stored) || got.covers(d.attempted) {
		return nil
	}
	return fmt.Errorf("%w: it holds %s, and held %s", ErrDataLoss, got, d.stored)
}

func durableStateOf(stored Stored) durableState {
	state := durableState{term: stored.HardState.GetTerm(), vote: stored.HardState.GetVote(), commit: stored.HardState.GetCommit(),
		last: stored.Snapshot.GetMetadata().GetIndex()}
	if count := len(stored.Entries); count > 0 {
		state.last = max(state.last, stored.Entries[count-1].GetIndex())
	}
	return state
}

// covers returns whether nothing of another state is lost. A vote counts in its own term alone.
func (s durableState) covers(other durableState) bool {
	keepsVote := s.term > other.term || other.vote == 0 || s.vote == other.vote
	return s.term >= other.term && keepsVote && s.commit >= other.commit && s.last >= other.last
}

func (s durableState) String() string {
	return fmt.Sprintf("term %d with a vote for %x, %d entries, %d of them committed", s.term, s.vote, s.last, s.commit)
}
