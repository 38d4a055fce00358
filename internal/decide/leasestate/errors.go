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

// Refusal is the reason why an entry was rejected. Its text is sent on the wire and shown to operators. Code compares it only with the
// constants below.
type Refusal string

// Error implements error.
func (r Refusal) Error() string { return string(r) }

// Refusals whose text doesn't depend on the state. The texts are part of the wire protocol.
const (
	// RefusedNoSession means that the entry's session isn't open, or is open with another incarnation: it must be opened first.
	RefusedNoSession Refusal = "no such session"

	refusedAlreadyApplied   Refusal = "applied before"
	refusedStateBehind      Refusal = "a receiver knows a higher fence than this council"
	refusedNotHolder        Refusal = "not the holder"
	refusedNoSuccessor      Refusal = "the successor has no session"
	refusedInvalidSession   Refusal = "a session needs a name and a length"
	refusedTooManySessions  Refusal = "too many sessions"
	refusedOlderIncarnation Refusal = "a later incarnation has this name"
	refusedLeaseNameOrCount Refusal = "no duty named, or too many"
	refusedEmptyOrder       Refusal = "an order needs words"
)
