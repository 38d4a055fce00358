package policy

import (
	"bytes"
	"cmp"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// maxNesting is how deep encoded values may be nested.
const maxNesting = 8

// canonical encodes and decodes CBOR in the deterministic form of RFC 8949 section 4.2.1: one form for each value.
var canonical = newCanonicalMode()

type canonicalMode struct {
	cbor.EncMode
	cbor.DecMode
}

func newCanonicalMode() canonicalMode {
	encoding, encodingErr := cbor.CoreDetEncOptions().EncMode()
	decoding, decodingErr := cbor.DecOptions{
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		IndefLength:       cbor.IndefLengthForbidden,
		MaxNestedLevels:   maxNesting,
		MaxMapPairs:       MaxFields,
		MaxArrayElements:  MaxFields,
	}.DecMode()
	if err := cmp.Or(encodingErr, decodingErr); err != nil {
		panic(err) // the options are constants
	}
	return canonicalMode{encoding, decoding}
}

func encode(v any) []byte {
	b, err := canonical.Marshal(v)
	if err != nil {
		panic(err) // documents and changes hold texts and numbers alone, which can always be encoded
	}
	return b
}

// decode reads what encode gave, and nothing else: another form of the same values is ErrMalformed, since hashes are over bytes.
func decode(b []byte, dst any) error {
	if err := canonical.Unmarshal(b, dst); err != nil {
		return fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if !bytes.Equal(encode(dst), b) {
		return fmt.Errorf("%w: not the canonical form", ErrMalformed)
	}
	return nil
}
