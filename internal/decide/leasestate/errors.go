package leasestate

import "errors"

// Decoding errors, to be matched with errors.Is.
var (
	// ErrNewerVersion means that the entry or snapshot was written by a later build. The node must stop: skipping it would make its state
	// diverge from that of the other nodes.
	ErrNewerVersion = errors.New("written by a later version")
	// ErrMalformed means that the bytes can't have been written by any build.
	ErrMalformed = errors.New("malformed")
)

// Rejection is the reason why an entry was rejected. Its text is sent on the wire and shown to operators. Code compares it only with the
// constants below.
type Rejection string

// Error implements error.
func (r Rejection) Error() string { return string(r) }

// Refusals whose text doesn't depend on the state. The texts are part of the wire protocol.
const (
	// RejectedNoSession means that the entry's session isn't open, or is open with another incarnation: it must be opened first.
	RejectedNoSession Rejection = "no such session"

	rejectedAlreadyApplied   Rejection = "applied before"
	rejectedStateBehind      Rejection = "a receiver knows a higher fence than this council"
	rejectedNotHolder        Rejection = "not the holder"
	rejectedNoSuccessor      Rejection = "the successor has no session"
	rejectedInvalidSession   Rejection = "a session needs a name and a length"
	rejectedTooManySessions  Rejection = "too many sessions"
	rejectedOlderIncarnation Rejection = "a later incarnation has this name"
	rejectedLeaseNameOrCount Rejection = "no duty named, or too many"
	rejectedEmptyOrder       Rejection = "an order needs words"
)
