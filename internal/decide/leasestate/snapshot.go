package leasestate

import (
	"cmp"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"wayloft/internal/decide/policy"
)

const (
	formatWithoutPolicy = 1 // of a snapshot without a policy: builds that know no policy can read it
	formatWithPolicy    = 2 // of one with a policy
	maxNesting          = 8 // of arrays and maps in an entry or a snapshot
)

// snapshot is the whole state as it is stored.
type snapshot struct {
	Version      uint64              `cbor:"1,keyasint"` // of the format
	Fleet        string              `cbor:"2,keyasint"`
	Epoch        uint64              `cbor:"3,keyasint"`
	Now          uint64              `cbor:"4,keyasint"` // ms that have passed by the leaders' clocks
	Index        uint64              `cbor:"5,keyasint"` // of the latest entry applied
	Sessions     map[string]*Session `cbor:"6,keyasint"`
	Leases       map[string]*Lease   `cbor:"7,keyasint"`
	Events       []Event             `cbor:"8,keyasint"`
	RejectedActs uint64              `cbor:"9,keyasint"`            // by sessions that have ended
	Policy       *policy.History     `cbor:"10,keyasint,omitempty"` // nil: nothing was ever proposed
}

// codec is a form of CBOR.
type codec struct {
	encoder cbor.EncMode
	decoder cbor.DecMode
}

// canonical is CBOR's deterministic form, one encoding for each value (RFC 8949, 4.2.1), read strictly.
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
		panic(err) // the options are constant
	}
	return codec{encoder, decoder}
}

// Snapshot returns the whole state as bytes, the same for the same entries.
func (s *State) Snapshot() []byte {
	encoded, err := canonical.encoder.Marshal(s.data)
	if err != nil {
		panic(err) // a state has no value that can't be encoded
	}
	return encoded
}

// Restore reads a snapshot of the fleet named. One that a later build wrote is refused with ErrNewerVersion, a damaged one with
// ErrMalformed, and one of another fleet, too.
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

// checkHeader reads of a snapshot only what every version has, before the rest is read strictly.
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
		return fmt.Errorf("snapshot: of fleet %.64q, not of %q", header.Fleet, fleet)
	}
	return nil
}

// validate refuses a snapshot whose parts don't fit together.
func (s *snapshot) validate() error {
	for name, held := range s.Leases {
		if held == nil || held.Holder != "" && s.Sessions[held.Holder] == nil {
			return fmt.Errorf("snapshot: %w: the holder of %q has no session", ErrMalformed, name)
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
