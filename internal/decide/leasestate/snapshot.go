package leasestate

import (
	"cmp"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"wayloft/internal/decide/policy"
)

const (
	formatWithoutPolicy = 1 // of a snapshot without a policy; builds without policy support can read it
	formatWithPolicy    = 2 // of a snapshot with a policy; the latest
	maxNesting          = 8 // nesting limit of arrays and maps in an entry or a snapshot
)

// snapshot is the whole state in the form in which it is stored.
type snapshot struct {
	Version            uint64              `cbor:"1,keyasint"` // of the snapshot format
	Fleet              string              `cbor:"2,keyasint"`
	Epoch              uint64              `cbor:"3,keyasint"`
	Now                uint64              `cbor:"4,keyasint"` // ms; sum of the elapsed times of all entries
	Index              uint64              `cbor:"5,keyasint"` // of the last applied entry
	Sessions           map[string]*Session `cbor:"6,keyasint"`
	Leases             map[string]*Lease   `cbor:"7,keyasint"`
	Events             []Event             `cbor:"8,keyasint"`
	RejectedOperations uint64              `cbor:"9,keyasint"`            // by the sessions that have ended
	Policy             *policy.History     `cbor:"10,keyasint,omitempty"` // nil until a policy is proposed or a session reports one
}

// codec is a pair of CBOR modes.
type codec struct {
	encoder cbor.EncMode
	decoder cbor.DecMode
}

// canonical encodes in CBOR's deterministic form (RFC 8949, section 4.2.1), in which each value has one encoding, and decodes strictly.
var canonical = newCanonicalCodec()

func newCanonicalCodec() codec {
	encoder, encoderErr := cbor.CoreDetEncOptions().EncMode()
	decoder, decoderErr := cbor.DecOptions{
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		IndefLength:       cbor.IndefLengthForbidden,
		MaxNestedLevels:   maxNesting,
	}.DecMode()
	if err := cmp.Or(encoderErr, decoderErr); err != nil {
		panic(err) // the options are constants
	}
	return codec{encoder, decoder}
}

// Snapshot returns the encoded state. States that result from the same entries have identical snapshots.
func (s *State) Snapshot() []byte {
	encoded, err := canonical.encoder.Marshal(s.data)
	if err != nil {
		panic(err) // all field types of snapshot can be encoded
	}
	return encoded
}

// Restore decodes a snapshot. The error matches ErrNewerVersion if a later build wrote the snapshot, and ErrMalformed if it is damaged. A
// snapshot of another fleet is also an error.
func Restore(fleet string, encoded []byte) (*State, error) {
	if err := checkHeader(fleet, encoded); err != nil {
		return nil, err
	}
	s := New(fleet)
	if err := canonical.decoder.Unmarshal(encoded, &s.data); err != nil {
		return nil, fmt.Errorf("snapshot: %w: %w", ErrMalformed, err)
	}
	if err := s.data.validate(); err != nil {
		return nil, err
	}
	return s, nil
}

// checkHeader checks the version and the fleet, which all versions of the format have, before the rest is decoded strictly.
func checkHeader(fleet string, encoded []byte) error {
	var header struct {
		Version uint64 `cbor:"1,keyasint"`
		Fleet   string `cbor:"2,keyasint"`
	}
	if err := cbor.Unmarshal(encoded, &header); err != nil {
		return fmt.Errorf("snapshot: %w: %w", ErrMalformed, err)
	}
	if header.Version > formatWithPolicy {
		return fmt.Errorf("snapshot: %w: version %d, this build knows %d", ErrNewerVersion, header.Version, formatWithPolicy)
	}
	if header.Fleet != fleet {
		return fmt.Errorf("snapshot: belongs to fleet %.64q, not to fleet %q", header.Fleet, fleet)
	}
	return nil
}

// validate checks that the parts of the snapshot are consistent.
func (s *snapshot) validate() error {
	for name, held := range s.Leases {
		if held == nil || held.Holder != "" && s.Sessions[held.Holder] == nil {
			return fmt.Errorf("snapshot: %w: lease %q is empty or its holder has no session", ErrMalformed, name)
		}
	}
	for name, session := range s.Sessions {
		if session == nil {
			return fmt.Errorf("snapshot: %w: session %q is empty", ErrMalformed, name)
		}
	}
	if s.Policy == nil {
		return nil
	}
	if err := s.Policy.Check(); err != nil {
		return fmt.Errorf("snapshot: %w: %w", ErrMalformed, err)
	}
	return nil
}
