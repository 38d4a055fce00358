// Package memory decides what a router keeps in memory for its clients and members, and what is refused first when they make it hold too
// much. It counts bytes by the capacity of what holds them. Each holder reports changes to an Account, and asks it before it takes more.
//
// Nothing here is safe for concurrent use: all of it runs on the event loop.
package memory

// Use is what memory is held for.
type Use int

// Uses, in the order in which they are refused.
const (
	// InputAhead is a part of a request, or a request that is sent ahead of the response to an earlier one. It is refused first, so that
	// nobody's next request is given up for it.
	InputAhead Use = iota
	// Request is a complete request that waits, or is at a member.
	Request
	// Response is a response on its way from a member to a client. It is refused last, since its request may have run.
	Response
)

// percentInUse is the share of the limit that may be in use, all uses together, after more has been taken for a use.
var percentInUse = [...]int{InputAhead: 50, Request: 75, Response: 100}

// percentUnread is the share of the limit that responses may take which their clients leave unread. It leaves room for the requests of others.
const percentUnread = 50

// FreeBytes is what each connection may hold of an incomplete request whatever others hold, so that small requests are always accepted.
const FreeBytes = 4 << 10

// Account is the memory that all clients and members together make the router hold.
type Account struct{ limit, held, unread int }

// NewAccount returns an account with a limit in bytes, of which nothing is held.
func NewAccount(limit int) *Account { return &Account{limit: limit} }

// Change records that the bytes held have changed by delta.
func (a *Account) Change(delta int) { a.held += delta }

// ChangeUnread records that the bytes of responses that clients leave unread have changed by delta. They count as held.
func (a *Account) ChangeUnread(delta int) {
	a.unread += delta
	a.held += delta
}

// TooMuchUnread reports whether clients that leave responses unread must be ended: these take more than their share, or more is held than the
// limit allows.
func (a *Account) TooMuchUnread() bool {
	return a.unread > a.limit/100*percentUnread || a.Exceeded()
}

// Allows reports whether this many more bytes may be taken for a use.
func (a *Account) Allows(use Use, bytes int) bool {
	return a.held+bytes <= a.limit/100*percentInUse[use]
}

// Exceeded reports whether more is held than the limit allows.
func (a *Account) Exceeded() bool { return a.held > a.limit }

// Held returns the bytes held.
func (a *Account) Held() int { return a.held }

// Limit returns the limit in bytes.
func (a *Account) Limit() int { return a.limit }

const (
	bytesPerMiB = 1 << 20
	// programBytes is the resident memory beside the Go runtime's: the program's code, the C library and its threads.
	programBytes = 22 * bytesPerMiB
	// baseHeapBytes is the heap of a router with the most sessions and none of their requests, with the runtime's own structures.
	baseHeapBytes = 4 * bytesPerMiB
	// garbageFactor is the heap per byte in use, between two collections.
	garbageFactor = 3
	// LeastBytes is the least memory with which a router serves.
	LeastBytes = 30 * bytesPerMiB

	// Parts of the configured memory, as divisors.
	leastHeapDivisor  = 4  // the least that the heap may take
	leastPeersDivisor = 16 // the least that clients and members may make the router hold: twice the longest message
	kernelDivisor     = 3  // left for what else counts as the process's memory, where there is more than enough
)

// CollectionPercent is by how much the heap may grow, in percent of what is in use, before garbage is collected.
const CollectionPercent = 50

// HeapLimit returns the limit of the Go runtime's memory for a configured limit of the process's memory, both in bytes.
func HeapLimit(configured int) int {
	return max(min(configured-programBytes, configured-configured/kernelDivisor), configured/leastHeapDivisor)
}

// PeersLimit returns the limit of an Account for a configured limit of the process's memory, both in bytes.
func PeersLimit(configured int) int {
	return max((HeapLimit(configured)-baseHeapBytes)/garbageFactor, configured/leastPeersDivisor)
}
