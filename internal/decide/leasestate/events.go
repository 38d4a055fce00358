package leasestate

import (
	"cmp"
	"slices"

	"wayloft/internal/decide/lease"
)

// maxEvents is the number of latest events that are kept for watchers. A watcher that is further behind reads the whole state again.
const maxEvents = 1000

// Event is one change of a session, a lease or the policy that watchers are notified of.
type Event struct {
	Index   uint64      `cbor:"1,keyasint"`           // of the entry that caused it
	Session string      `cbor:"2,keyasint,omitempty"` // that was opened or ended; for an event of a lease, its holder
	Ended   bool        `cbor:"3,keyasint,omitempty"` // the session has ended or no longer holds the lease
	Lease   string      `cbor:"4,keyasint,omitempty"`
	Token   lease.Token `cbor:"5,keyasint,omitzero"`
	Reason  EndReason   `cbor:"6,keyasint,omitempty"` // why the session ended
	Policy  uint64      `cbor:"7,keyasint,omitempty"` // packed policy version that is now in force
}

// emit records an event of the entry that is being applied.
func (s *State) emit(event Event) {
	event.Index = s.data.Index
	s.data.Events = appendBounded(s.data.Events, event, maxEvents)
}

// EventsSince returns the events of the entries after index. It returns false if some of them are no longer kept; the caller must then read
// the whole state again.
func (s *State) EventsSince(index uint64) ([]Event, bool) {
	events := s.data.Events
	if len(events) == maxEvents && index < events[0].Index {
		return nil, false
	}
	first, _ := slices.BinarySearchFunc(events, index+1, func(event Event, at uint64) int { return cmp.Compare(event.Index, at) })
	return slices.Clone(events[first:]), true
}

// appendBounded appends to a list and drops its oldest elements beyond the limit.
func appendBounded[T any](list []T, element T, most int) []T {
	list = append(list, element)
	if excess := len(list) - most; excess > 0 {
		list = slices.Delete(list, 0, excess)
	}
	return list
}
