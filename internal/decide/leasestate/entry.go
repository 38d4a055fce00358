package leasestate

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"wayloft/internal/decide/lease"
	"wayloft/internal/decide/policy"
)

const (
	maxTextBytes = 256 // length limit of each name, reason, step and other text field of an entry
	// maxElapsedMs limits the elapsed time of one entry and the timeout of a session. A leader that was paused for longer doesn't need more:
	// it restarts all session timeouts instead of counting the pause.
	maxElapsedMs = 60000
)

// Kind is the operation of an entry. Its text is stored in the log.
type Kind string

// The kinds of entries, with the Entry fields that each of them uses.
const (
	BeginTerm     Kind = "lead"   // first entry of a new leader: restarts all session timeouts; a state without an epoch takes Epoch
	AdvanceTime   Kind = "tick"   // only advances the time by Elapsed
	OpenSession   Kind = "open"   // opens Session, or replaces it by one of a higher Incarnation; Role, Timeout, Address
	KeepAlive     Kind = "beat"   // heartbeat of Session
	KeepAliveAll  Kind = "beats"  // heartbeats of many sessions: Heartbeats
	CloseSession  Kind = "end"    // closes Session at its own request
	AcquireLease  Kind = "take"   // Session requests Lease
	ReleaseLease  Kind = "free"   // Session releases Lease, which it holds under Token
	TransferLease Kind = "pass"   // Session transfers Lease, which it holds under Token, to the session To, if that is open
	RecordStep    Kind = "note"   // Session, which holds Lease under Token, records the step Text before it executes it
	ReportToken   Kind = "told"   // a receiver has seen a higher Token for Lease than the latest grant in this state
	BeginEpoch    Kind = "ascend" // an operator starts a new Epoch
	PlaceOrder    Kind = "order"  // an operator places the order Text for the holder of Lease
	CompleteOrder Kind = "did"    // Session, which holds Lease under Token, has completed order Number with the outcome Text
	// ProposePolicy requests a change of the policy: Proposal. A build that doesn't know this kind stops at such an entry, so all coordinator
	// nodes must be upgraded before the first one is proposed.
	ProposePolicy Kind = "propose"
)

// known reports whether this build can apply entries of the kind.
func (k Kind) known() bool {
	switch k {
	case BeginTerm, AdvanceTime, OpenSession, KeepAlive, KeepAliveAll, CloseSession, AcquireLease, ReleaseLease, TransferLease,
		RecordStep, ReportToken, BeginEpoch, PlaceOrder, CompleteOrder, ProposePolicy:
		return true
	}
	return false
}

// Entry is one log entry. Only the fields that its kind uses are set.
type Entry struct {
	Kind               Kind             `cbor:"1,keyasint"`
	Elapsed            uint64           `cbor:"2,keyasint,omitempty"` // ms on the leader's clock since its previous entry
	Session            string           `cbor:"3,keyasint,omitempty"`
	Incarnation        uint64           `cbor:"4,keyasint,omitempty"`
	Role               string           `cbor:"5,keyasint,omitempty"`
	Timeout            uint64           `cbor:"6,keyasint,omitempty"` // ms; the session expires after a longer time without a heartbeat
	Lease              string           `cbor:"7,keyasint,omitempty"`
	Token              lease.Token      `cbor:"8,keyasint,omitzero"`
	To                 string           `cbor:"9,keyasint,omitempty"`
	Text               string           `cbor:"10,keyasint,omitempty"`
	Epoch              uint64           `cbor:"11,keyasint,omitempty"`
	Address            string           `cbor:"12,keyasint,omitempty"` // at which Session receives the acts of lease holders
	Policy             uint64           `cbor:"13,keyasint,omitempty"` // packed policy version that Session has applied
	Number             uint64           `cbor:"14,keyasint,omitempty"`
	Heartbeats         []Heartbeat      `cbor:"15,keyasint,omitempty"`
	RejectedOperations uint64           `cbor:"16,keyasint,omitempty"` // operations that Session has rejected since its start for a stale fencing token
	Proposal           *policy.Proposal `cbor:"17,keyasint,omitempty"`
	RejectedPolicy     uint64           `cbor:"18,keyasint,omitempty"` // packed policy version that Session couldn't apply
	Reason             string           `cbor:"19,keyasint,omitempty"` // why Session couldn't apply RejectedPolicy
}

// Heartbeat is the heartbeat of one session in a KeepAliveAll entry. Its fields have the same meaning as in Entry.
type Heartbeat struct {
	Session            string `cbor:"1,keyasint"`
	Incarnation        uint64 `cbor:"2,keyasint"`
	RejectedOperations uint64 `cbor:"3,keyasint,omitempty"`
	Policy             uint64 `cbor:"4,keyasint,omitempty"`
	RejectedPolicy     uint64 `cbor:"5,keyasint,omitempty"`
	Reason             string `cbor:"6,keyasint,omitempty"`
}

// Encode returns the encoding of an entry in the log.
func Encode(entry Entry) []byte {
	encoded, err := canonical.encoder.Marshal(entry)
	if err != nil {
		panic(err) // all field types of Entry can be encoded
	}
	return encoded
}

// Decode decodes an entry. The error matches ErrNewerVersion if the kind or a field is unknown to this build, and ErrMalformed if the
// bytes can't have been written by any build.
func Decode(encoded []byte) (Entry, error) {
	var entry Entry
	if err := canonical.decoder.Unmarshal(encoded, &entry); err != nil {
		if unknown := (*cbor.UnknownFieldError)(nil); errors.As(err, &unknown) {
			return entry, fmt.Errorf("entry: %w: %w", ErrNewerVersion, err)
		}
		return entry, fmt.Errorf("entry: %w: %w", ErrMalformed, err)
	}
	return entry, entry.validate()
}

// validate checks what the encoding doesn't: the kind, the limits, and that exactly the entries of kind ProposePolicy have a proposal.
func (e *Entry) validate() error {
	if !e.Kind.known() {
		return fmt.Errorf("entry: %w: kind %.32q", ErrNewerVersion, e.Kind)
	}
	if size := e.longestTextBytes(); size > maxTextBytes {
		return fmt.Errorf("entry: %w: a text of %d bytes, %d at most", ErrMalformed, size, maxTextBytes)
	}
	if (e.Kind == ProposePolicy) != (e.Proposal != nil) {
		return fmt.Errorf("entry: %w: %q with or without a proposal", ErrMalformed, e.Kind)
	}
	if e.Proposal != nil {
		if err := e.Proposal.Check(); err != nil {
			return fmt.Errorf("entry: %w: %w", ErrMalformed, err)
		}
	}
	if e.Elapsed > maxElapsedMs || e.Timeout > maxElapsedMs {
		return fmt.Errorf("entry: %w: %d ms elapsed, a timeout of %d ms, %d at most", ErrMalformed, e.Elapsed, e.Timeout, maxElapsedMs)
	}
	return nil
}

// longestTextBytes returns the length of the longest text field, except for those of the proposal, which has its own limits.
func (e *Entry) longestTextBytes() (size int) {
	for _, text := range []string{e.Session, e.Role, e.Lease, e.To, e.Text, e.Address, e.Reason} {
		size = max(size, len(text))
	}
	for _, heartbeat := range e.Heartbeats {
		size = max(size, len(heartbeat.Session), len(heartbeat.Reason))
	}
	return size
}
