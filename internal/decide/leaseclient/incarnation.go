package leaseclient

import "wayloft/internal/decide/random"

// The state machine (leasestate) replaces a session by one of a higher incarnation and refuses a lower one. A process takes its first
// number from the wall clock, which may be stepped between two starts, so numbers alone don't show which of two processes of one name
// was started later. Two classes of numbers do: those of sessions that were opened again are below those of first sessions.
//
//   - A process that has had a session, was paused, or has tried for long opens sessions in the lower class only: it never replaces the
//     first session of a process that was started since, and is itself replaced by it.
//   - A process whose very first request is refused for an incarnation that no start since its own can have drawn, unless the wall clock
//     was stepped in between, has found its predecessor's session, and takes a number above it, once.
const (
	minInitialNumber = 1 << 40 // numbers of first sessions, Unix ms of any clock after November 2004, are above
	reopenedDivisor  = 4       // what a first number is divided by for the lower class: order among processes is kept, until 2109
	takeoverSpread   = 1 << 20 // numbers over which two processes that do the same at once are spread
	startupTimeouts  = 4.0     // session timeouts after which a process counts as started: a predecessor's session has lapsed
	pausedTimeouts   = 1.0     // session timeouts between two looks at the clock after which the process must have been stopped
)

// incarnation is the number under which a process opens its sessions.
type incarnation struct {
	current        uint64 // of the present session, or of the next
	highest        uint64 // of those it has used
	starting       bool   // no session yet, and whoever has a higher number was surely there before
	startupExpired bool   // it has taken too long to count as starting; current changes when no request is on its way
	outcomeUnknown bool   // a request to open the first session brought no answer: it may have been granted, and have ended since
	tookOver       bool   // it took a number above its predecessor's
}

// newIncarnation returns the incarnation of a process that was started at a Unix time in ms.
func newIncarnation(started uint64) incarnation {
	if started < minInitialNumber { // a clock that was never set, or a counter
		started += minInitialNumber
	}
	return incarnation{current: started, highest: started, starting: true}
}

// endStartup ends the time in which this process may replace another's session: its own next one is of the lower class.
func (i *incarnation) endStartup() {
	if i.starting {
		i.starting = false
		i.current = reopenedNumber(i.highest)
	}
}

// prepareRequest comes before each request to open a session.
func (i *incarnation) prepareRequest() {
	if i.startupExpired {
		i.endStartup()
	}
}

// opened takes in that the first session, or another, was granted.
func (i *incarnation) opened() { i.starting = false }

// reopen gives the next session another number than the one that ended: a late request of that one must not count for it.
func (i *incarnation) reopen() {
	if i.current >= minInitialNumber {
		i.current = reopenedNumber(i.highest)
		return
	}
	i.current++
}

// refused takes in that a session of another number has the name; 0: the coordinator doesn't say which. age is how long ago this process
// was started, in ms. It reports whether the process has taken a number above the other's, for a request at once: it doesn't where the
// other may have been started after it, by a wall clock that wasn't stepped.
func (i *incarnation) refused(other uint64, age float64, rng *random.Source) bool {
	ahead := float64(other) > float64(i.current)+age
	if i.starting && !i.startupExpired && ahead && !i.outcomeUnknown && !i.tookOver {
		i.tookOver = true
		i.current = other + 1 + uint64(takeoverSpread*rng.Next())
		i.highest = i.current
		return true
	}
	i.endStartup()
	if other != 0 && other != i.highest {
		i.moveBelow(other, rng)
	}
	return false
}

// moveBelow takes a number below that of a process that was started later, also below the one with which that will open a session again.
func (i *incarnation) moveBelow(other uint64, rng *random.Source) {
	if other >= minInitialNumber {
		other = reopenedNumber(other)
	}
	distance := 1 + uint64(takeoverSpread*rng.Next())
	if distance < other {
		i.current = min(i.current, other-distance)
	}
}

// reopenedNumber returns the number of the lower class that belongs to a first session's.
func reopenedNumber(first uint64) uint64 { return first / reopenedDivisor }
