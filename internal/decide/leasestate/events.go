package leasestate

import (
	"cmp"
	"slices"

	"wayloft/internal/decide/lease"
)

// maxEvents is how many events are kept for watchers: one that is further behind reads the whole state again.
const maxEvents = 1000

// Event is one change that watchers are notified of: of a session, a lease or the policy.
type Event struct {
	Index   uint64      `cbor:"1,keyasint"`           // of the entry that made it
	Session string      `cbor:"2,keyasint,omitempty"` // that began or ended; of a lease its holder
	Ended   bool        `cbor:"3,keyasint,omitempty"` // the session, or its hold of the lease
	Lease   string      `cbor:"4,keyasint,omitempty"`
	Token   lease.Token `cbor:"5,keyasint,omitzero"`
	Reason  EndReason   `cbor:"6,keyasint,omitempty"` // why the session ended
	Policy  uint64      `cbor:"7,keyasint,omitempty"` // number of the version that is in force now
}

// emit keeps an event of the entry that is being applied.
func (s *State) emit(event Event) {
	event.Index = s.data.Index
	s.data.Events = appendBounded(s.data.Events, event, maxEvents)
}

// Since returns the events after an index, or false where some of them are no longer kept: then the whole state must be read again.
func (s *State) Since(index uint64) ([]Event, bool) {
	events := s.data.Events
	if len(events) == maxEvents && index < events[0].Index {
		return nil, false
	}
	first, _ := slices.BinarySearchFunc(events, index+1, func(event Event, at uint64) int { return cmp.Compare(event.Index, at) })
	return slices.Clone(events[first:]), true
}

// appendBounded appends to a list of which the latest elements are kept.
func appendBounded[T any](list []T, element T, most int) []T {
	list = append(list, element)
	if excess := len(list) - most; excess > 0 {
		list = slices.Delete(list, 0, excess)
	}
	return list
}
