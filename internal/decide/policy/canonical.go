package policy

import (
	"bytes"
	"cmp"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// maxNesting is the maximum nesting depth of decoded values.
const maxNesting = 8

// canonical encodes and decodes CBOR in the deterministic encoding of RFC 8949 section 4.2.1, in which each value has exactly one form.
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
		panic(err) // unreachable: documents and changes hold only strings and numbers, which can always be encoded
	}
	return b
}

// decode decodes the output of encode. Any other encoding of the same value is ErrMalformed, because hashes are computed over the encoded
// bytes.
func decode(b []byte, dst any) error {
	if err := canonical.Unmarshal(b, dst); err != nil {
		return fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if !bytes.Equal(encode(dst), b) {
		return fmt.Errorf("%w: not in canonical form", ErrMalformed)
	}
	return nil
}
