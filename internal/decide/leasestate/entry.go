package leasestate

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"wayloft/internal/decide/lease"
	"wayloft/internal/decide/policy"
)

const (
	maxTextBytes = 256   // of a name, a reason or a step
	maxElapsedMs = 60000 // in one entry, and of a session's timeout: a leader that stood still for longer has to resign
)

// Kind tells what an entry does. Its text is in the log.
type Kind string

// The kinds of entries, with the fields that each of them sets.
const (
	BeginTerm     Kind = "lead"   // a new leader begins: all sessions get their whole timeout again; Epoch is taken by a state that has none
	AdvanceTime   Kind = "tick"   // time has passed
	OpenSession   Kind = "open"   // Session begins, or begins again with a higher Incarnation; Role, Timeout, Address
	KeepAlive     Kind = "beat"   // a heartbeat of Session
	KeepAliveAll  Kind = "beats"  // Heartbeats of many sessions
	CloseSession  Kind = "end"    // Session ends at its own request
	AcquireLease  Kind = "take"   // Session requests Lease
	ReleaseLease  Kind = "free"   // Session gives Lease back, held under Token
	TransferLease Kind = "pass"   // Session gives Lease, held under Token, to the session named To, if that is open
	RecordStep    Kind = "note"   // Session records a step of Lease, held under Token, before it is taken: Text
	ReportToken   Kind = "told"   // a receiver has seen a higher Token of Lease than is known here
	BeginEpoch    Kind = "ascend" // an operator begins a new Epoch
	PlaceOrder    Kind = "order"  // an operator orders something of the holder of Lease: Text
	CompleteOrder Kind = "did"    // Session ended order Number of Lease, held under Token; Text tells the outcome
	// ProposePolicy asks for a change of the policy: Proposal. Builds that don't know it stop at such an entry, so all nodes of the
	// coordinator must know it before the first.
	ProposePolicy Kind = "propose"
)

// known tells whether this build can apply entries of the kind.
func (k Kind) known() bool {
	switch k {
	case BeginTerm, AdvanceTime, OpenSession, KeepAlive, KeepAliveAll, CloseSession, AcquireLease, ReleaseLease, TransferLease,
		RecordStep, ReportToken, BeginEpoch, PlaceOrder, CompleteOrder, ProposePolicy:
		return true
	}
	return false
}

// Entry is one entry of the log; only the fields of its kind are set.
type Entry struct {
	Kind           Kind             `cbor:"1,keyasint"`
	Elapsed        uint64           `cbor:"2,keyasint,omitempty"` // ms on the leader's clock since its entry before
	Session        string           `cbor:"3,keyasint,omitempty"`
	Incarnation    uint64           `cbor:"4,keyasint,omitempty"`
	Role           string           `cbor:"5,keyasint,omitempty"`
	Timeout        uint64           `cbor:"6,keyasint,omitempty"` // ms without a heartbeat that the session outlives
	Lease          string           `cbor:"7,keyasint,omitempty"`
	Token          lease.Token      `cbor:"8,keyasint,omitzero"`
	To             string           `cbor:"9,keyasint,omitempty"`
	Text           string           `cbor:"10,keyasint,omitempty"`
	Epoch          uint64           `cbor:"11,keyasint,omitempty"`
	Address        string           `cbor:"12,keyasint,omitempty"` // where Session receives acts of lease holders
	Policy         uint64           `cbor:"13,keyasint,omitempty"` // number of the policy's version that Session has applied
	Number         uint64           `cbor:"14,keyasint,omitempty"`
	Heartbeats     []Heartbeat      `cbor:"15,keyasint,omitempty"`
	RejectedActs   uint64           `cbor:"16,keyasint,omitempty"` // acts that Session rejected for their fencing token since its start
	Proposal       *policy.Proposal `cbor:"17,keyasint,omitempty"`
	RejectedPolicy uint64           `cbor:"18,keyasint,omitempty"` // number of a version that Session couldn't apply
	Reason         string           `cbor:"19,keyasint,omitempty"` // why it couldn't
}

// Heartbeat is the heartbeat of one session within a KeepAliveAll entry; the fields are those of the same names in Entry.
type Heartbeat struct {
	Session        string `cbor:"1,keyasint"`
	Incarnation    uint64 `cbor:"2,keyasint"`
	RejectedActs   uint64 `cbor:"3,keyasint,omitempty"`
	Policy         uint64 `cbor:"4,keyasint,omitempty"`
	RejectedPolicy uint64 `cbor:"5,keyasint,omitempty"`
	Reason         string `cbor:"6,keyasint,omitempty"`
}

// Encode returns an entry's bytes for the log.
func Encode(entry Entry) []byte {
	encoded, err := canonical.encoder.Marshal(entry)
	if err != nil {
		panic(err) // an entry has no value that can't be encoded
	}
	return encoded
}

// Decode reads an entry. One with a kind or a field that this build doesn't know is refused as a whole with ErrNewerVersion, one that no
// build writes with ErrMalformed.
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

// validate refuses what Decode must not let in.
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

// longestTextBytes returns the bytes of the longest text outside of a proposal, which has bounds of its own.
func (e *Entry) longestTextBytes() (size int) {
	for _, text := range []string{e.Session, e.Role, e.Lease, e.To, e.Text, e.Address, e.Reason} {
		size = max(size, len(text))
	}
	for _, heartbeat := range e.Heartbeats {
		size = max(size, len(heartbeat.Session), len(heartbeat.Reason))
	}
	return size
}
