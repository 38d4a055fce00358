package leasestate

import "errors"

// Decoding errors, matched by errors.Is.
var (
	// ErrNewerVersion means that a later build wrote an entry or a snapshot: a node that can't read it must stop, not skip it.
	ErrNewerVersion = errors.New("written by a later version")
	// ErrMalformed means that no build writes such bytes.
	ErrMalformed = errors.New("malformed")
)

// Refusal is why an entry was refused. Its text goes over the wire and to operators as it is; code decides by the constants alone.
type Refusal string

// Error returns the refusal's text.
func (r Refusal) Error() string { return string(r) }

// Refusals that don't name anything of the state. Their texts are on the wire.
const (
	// RefusedNoSession is of an entry whose session isn't open, or is open under another incarnation: it must be opened first.
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
