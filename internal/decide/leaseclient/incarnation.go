package leaseclient

import "wayloft/internal/decide/random"

// The state machine (leasestate) replaces a session by one of a higher incarnation and refuses a lower one. A process takes its first
// incarnation from the wall clock, which may be stepped between two starts, so the numbers alone don't show which of two processes of the
// same name started later. Therefore incarnations fall into two classes: those of reopened sessions are below those of first sessions.
//
//   - A process that has had a session, was paused, or has tried for too long opens sessions in the lower class only. It never replaces
//     the first session of a process that started since, and is itself replaced by it.
//   - The very first request of a process may be refused for an incarnation higher than any process started since can have, unless the
//     wall clock was stepped in between. Then the session is its predecessor's, and the process takes an incarnation above it, once.
const (
	minInitialNumber = 1 << 40 // lower bound of the incarnations of first sessions; Unix ms are above it since November 2004
	reopenedDivisor  = 4       // divides a first incarnation to get one of the lower class; keeps the order among processes, until 2109
	takeoverSpread   = 1 << 20 // range of random offsets that keep two processes that take over at once apart
	startupTimeouts  = 4.0     // session timeouts after which startup is over: a predecessor's session has expired
	pausedTimeouts   = 1.0     // session timeouts between two calls of Advance after which the process must have been paused
)

// incarnation chooses the incarnation number under which a process opens each of its sessions.
type incarnation struct {
	current        uint64 // of the open session, or of the next one
	highest        uint64 // highest number of a first session that it has taken
	starting       bool   // still in startup: no session opened yet, and a number out of reach of later processes is a predecessor's
	startupExpired bool   // startup took too long or the process was paused; current changes only while no request is in flight
	outcomeUnknown bool   // a request to open the first session got no response: it may have been granted, and have ended since
	tookOver       bool   // it has taken a number above its predecessor's
}

// newIncarnation returns the incarnation of a process that started at a Unix time in ms.
func newIncarnation(started uint64) incarnation {
	if started < minInitialNumber { // a clock that was never set, or a counter instead of a time
		started += minInitialNumber
	}
	return incarnation{current: started, highest: started, starting: true}
}

// endStartup ends the time in which this process may replace another's session: its next number is of the lower class.
func (i *incarnation) endStartup() {
	if i.starting {
		i.starting = false
		i.current = reopenedNumber(i.highest)
	}
}

// prepareRequest must be called before each request to open a session.
func (i *incarnation) prepareRequest() {
	if i.startupExpired {
		i.endStartup()
	}
}

// opened records that a session was opened.
func (i *incarnation) opened() { i.starting = false }

// reopen gives the next session another number than the one that ended, so that a late request of the old one isn't applied to it.
func (i *incarnation) reopen() {
	if i.current >= minInitialNumber {
		i.current = reopenedNumber(i.highest)
		return
	}
	i.current++
}

// refused handles a refusal because a session of a higher number has the name; 0: the coordinator doesn't say which number. age is how long
// ago this process started, in ms. It reports whether the process has taken a number above the other's, and must request it at once. It
// takes none if the other process may have started later, by a wall clock that wasn't stepped.
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

// moveBelow takes a number below that of a process that started later, and below the one with which that process will reopen its session.
func (i *incarnation) moveBelow(other uint64, rng *random.Source) {
	if other >= minInitialNumber {
		other = reopenedNumber(other)
	}
	distance := 1 + uint64(takeoverSpread*rng.Next())
	if distance < other {
		i.current = min(i.current, other-distance)
	}
}

// reopenedNumber returns the number of the lower class for a first session's number.
func reopenedNumber(first uint64) uint64 { return first / reopenedDivisor }
