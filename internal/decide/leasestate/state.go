// Package leasestate implements the replicated state machine of the coordinator cluster. It holds the sessions of the fleet's processes,
// the leases with their holders, wait queues and fencing tokens, the operators' orders with the steps recorded for them, and the policy in
// force.
//
// It is deterministic: it reads no clock, draws no random numbers and does no I/O, so the same log entries produce the same state
// and byte-identical snapshots on every node.
//
// Time enters only through the log: each entry carries the milliseconds that have elapsed on the leader's clock since the leader's previous
// entry. A new leader can't know how much time has passed since the last entry of the previous one, so its first entry restarts every
// session's timeout. A lease is valid as long as its holder's session. The holder measures that time from before it sent its request, so it
// considers the lease expired before the coordinator does.
package leasestate

import (
	"fmt"
	"maps"
	"slices"

	"wayloft/internal/decide/lease"
)

// State is the result of all entries applied so far. It isn't safe for concurrent use.
type State struct{ data snapshot }

// New returns an empty state for a fleet, in epoch 1.
func New(fleet string) *State {
	return &State{snapshot{
		Version:  formatWithoutPolicy,
		Fleet:    fleet,
		Epoch:    1,
		Sessions: map[string]*Session{},
		Leases:   map[string]*Lease{},
	}}
}

// NewUninitialized returns an empty state that takes its epoch from the first leader's BeginTerm entry. If a coordinator cluster is created
// a second time by mistake, its fencing tokens are then higher than all that the previous cluster granted.
func NewUninitialized(fleet string) *State {
	s := New(fleet)
	s.data.Epoch = 0
	return s
}

// Result is the response to the process that proposed an entry.
type Result struct {
	// Held reports that the session is open, that it holds the lease under Token, or that the order or the policy proposal was accepted.
	Held bool
	// Token is the fencing token of the lease's latest grant, also if another session holds the lease.
	Token lease.Token
	// Rejection is the reason why the entry was rejected; empty if it wasn't.
	Rejection Rejection
	// Number is the number of the order or of the policy version. For an OpenSession entry that was rejected as older, it is the incarnation
	// of the open session.
	Number uint64
}

// Apply applies one log entry. index is its index in the log; an entry that is already applied changes nothing.
func (s *State) Apply(index uint64, entry Entry) Result {
	if index <= s.data.Index {
		return Result{Rejection: rejectedAlreadyApplied}
	}
	s.data.Index = index
	s.data.Now += entry.Elapsed
	if entry.Kind == BeginTerm {
		s.beginTerm(entry.Epoch)
	}
	s.expireSessions()
	switch entry.Kind {
	case OpenSession:
		return s.openSession(entry)
	case KeepAlive, CloseSession, AcquireLease, ReleaseLease, TransferLease, RecordStep, CompleteOrder:
		return s.applySessionEntry(entry)
	case KeepAliveAll:
		s.keepAliveAll(entry.Heartbeats)
	case ProposePolicy:
		return s.proposePolicy(entry)
	case PlaceOrder:
		return s.placeOrder(entry)
	case ReportToken:
		return s.reportToken(entry)
	case BeginEpoch:
		return s.beginEpoch(entry.Epoch)
	}
	return Result{}
}

// beginTerm handles the first entry of a new leader: it restarts the timeout of every session, and sets the epoch if there is none yet.
func (s *State) beginTerm(epoch uint64) {
	if s.data.Epoch == 0 {
		s.data.Epoch = epoch
	}
	for _, session := range s.data.Sessions {
		session.LastHeartbeat = s.data.Now
	}
}

// beginEpoch raises the epoch at an operator's request. Every lease is taken from its holder and granted to the next session in its queue,
// under a token higher than all previous ones.
func (s *State) beginEpoch(epoch uint64) Result {
	if epoch <= s.data.Epoch {
		return Result{Rejection: Rejection(fmt.Sprintf("epoch %d has begun already", s.data.Epoch))}
	}
	s.data.Epoch = epoch
	for _, name := range s.Leases() {
		s.freeLease(name)
	}
	if s.data.Policy != nil && s.data.Policy.BeginEpoch(epoch) {
		s.emit(Event{Policy: s.data.Policy.Version.Packed()})
	}
	return Result{}
}

// Session returns a copy of an open session; false if there is none with that name.
func (s *State) Session(name string) (Session, bool) {
	session := s.data.Sessions[name]
	if session == nil {
		return Session{}, false
	}
	return *session, true
}

// Lease returns a copy of a lease; false if no entry has ever named it.
func (s *State) Lease(name string) (Lease, bool) {
	stored := s.data.Leases[name]
	if stored == nil {
		return Lease{}, false
	}
	found := *stored
	found.Queue, found.Steps = slices.Clone(stored.Queue), slices.Clone(stored.Steps)
	return found, true
}

// Sessions returns the names of all open sessions in sorted order.
func (s *State) Sessions() []string { return slices.Sorted(maps.Keys(s.data.Sessions)) }

// Leases returns the names of all leases in sorted order.
func (s *State) Leases() []string { return slices.Sorted(maps.Keys(s.data.Leases)) }

// Index returns the index of the last applied entry.
func (s *State) Index() uint64 { return s.data.Index }

// Now returns the state's time in ms: the sum of the elapsed times of all entries.
func (s *State) Now() uint64 { return s.data.Now }

// RejectedOperations returns how many operations the sessions that have ended by now had rejected because of a stale fencing token.
func (s *State) RejectedOperations() uint64 { return s.data.RejectedOperations }

// Fleet returns the name of the fleet.
func (s *State) Fleet() string { return s.data.Fleet }

// Epoch returns the current epoch; 0 before the first BeginTerm entry of an uninitialized state.
func (s *State) Epoch() uint64 { return s.data.Epoch }
