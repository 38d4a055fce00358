// Package leasestate is the replicated state machine of the coordinator cluster: the sessions of the fleet's processes, leases with
// their holders, request queues and fencing tokens, operators' orders with the steps recorded for them, and the policy in force.
//
// It is deterministic: it reads no clock, draws no random numbers and does no I/O, so the same log entries give the same state
// and the same bytes of snapshot on every node.
//
// Time enters only through the log: each entry carries the ms that passed on the leader's clock since the leader's entry before.
// A new leader can't know for how long the log stood still, so its first entry restarts every session's timeout. A lease lasts as long
// as its holder's session; the holder counts that time from before its request was sent, so its own count ends first.
package leasestate

import (
	"fmt"
	"maps"
	"slices"

	"wayloft/internal/decide/lease"
)

// State is the state after all entries applied so far. It isn't safe for concurrent use.
type State struct{ data snapshot }

// New returns an empty state of a fleet, in the first epoch.
func New(fleet string) *State {
	return &State{snapshot{
		Version:  formatWithoutPolicy,
		Fleet:    fleet,
		Epoch:    1,
		Sessions: map[string]*Session{},
		Leases:   map[string]*Lease{},
	}}
}

// NewUninitialized returns an empty state that takes its epoch from the first leader's BeginTerm entry. Guards against a coordinator
// cluster that is created a second time by mistake: its tokens are above all that the one before has granted.
func NewUninitialized(fleet string) *State {
	s := New(fleet)
	s.data.Epoch = 0
	return s
}

// Result is the answer to the process that proposed an entry.
type Result struct {
	// Held tells that the session is open, or that it holds the lease, under Token; of an order or a proposal, that it is accepted.
	Held bool
	// Token is the one of the grant; where the lease was refused, the highest known.
	Token lease.Token
	// Refusal is why the entry was refused; empty where it wasn't.
	Refusal Refusal
	// Number is the number of the order or of the policy's version; of an OpenSession that was refused, the incarnation that has the
	// session's name.
	Number uint64
}

// Apply applies one log entry. index is its place in the log: an entry at or below the index already reached changes nothing.
func (s *State) Apply(index uint64, entry Entry) Result {
	if index <= s.data.Index {
		return Result{Refusal: refusedAlreadyApplied}
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

// beginTerm takes in that a new leader begins: all sessions get their whole timeout again.
func (s *State) beginTerm(epoch uint64) {
	if s.data.Epoch == 0 {
		s.data.Epoch = epoch
	}
	for _, session := range s.data.Sessions {
		session.LastHeartbeat = s.data.Now
	}
}

// beginEpoch raises the epoch at an operator's request; all leases are granted anew, under tokens above all before.
func (s *State) beginEpoch(epoch uint64) Result {
	if epoch <= s.data.Epoch {
		return Result{Refusal: Refusal(fmt.Sprintf("epoch %d has begun already", s.data.Epoch))}
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

// Session returns the open session of that name, or false.
func (s *State) Session(name string) (Session, bool) {
	session := s.data.Sessions[name]
	if session == nil {
		return Session{}, false
	}
	return *session, true
}

// Lease returns a copy of the lease of that name, or false where it was never asked for.
func (s *State) Lease(name string) (Lease, bool) {
	stored := s.data.Leases[name]
	if stored == nil {
		return Lease{}, false
	}
	found := *stored
	found.Queue, found.Steps = slices.Clone(stored.Queue), slices.Clone(stored.Steps)
	return found, true
}

// Sessions returns the names of all open sessions, sorted.
func (s *State) Sessions() []string { return slices.Sorted(maps.Keys(s.data.Sessions)) }

// Leases returns the names of all leases, sorted.
func (s *State) Leases() []string { return slices.Sorted(maps.Keys(s.data.Leases)) }

// Index returns the index of the latest entry applied.
func (s *State) Index() uint64 { return s.data.Index }

// Now returns the state's time: the ms that have passed by the leaders' clocks.
func (s *State) Now() uint64 { return s.data.Now }

// RejectedActs returns how many acts were rejected for their fencing token by sessions that have ended since.
func (s *State) RejectedActs() uint64 { return s.data.RejectedActs }

// Fleet returns the name of the fleet.
func (s *State) Fleet() string { return s.data.Fleet }

// Epoch returns the present epoch; 0 before the first leader has begun.
func (s *State) Epoch() uint64 { return s.data.Epoch }
