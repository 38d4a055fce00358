// Package policy manages changes to the policy, the settings on which all routers of a fleet must agree: the encoding of a document and of
// the difference between two documents (Document, Difference), which fields may change (Classify), the versions that have been in force
// (History, kept in the replicated state), and how a router obtains the version in force (Follower).
//
// Only lenient fields can be changed: routers may apply different versions of them for a bounded time without harm. Changes to strict
// fields are rejected with a reason.
//
// The package does no I/O, reads no clock, and takes randomness only from a seeded source. It never hands out a document to apply whose
// hash differs from that of its version.
package policy

import (
	"crypto/sha256"
	"errors"
	"fmt"
	"maps"
	"slices"
	"unicode/utf8"
)

// Size limits of documents and differences.
const (
	MaxDocumentBytes  = 256 << 10 // of the canonical encoding
	MaxFields         = 20000
	MaxFieldNameBytes = 256
	MaxValueBytes     = 256
	MaxReasonBytes    = 200 // of an author, the reason for a change, or the reason why a version could not be applied
)

// Errors about documents, differences and the types that contain them. Their texts are sent in responses on the wire, so they must not
// change.
var (
	// ErrMalformed means that bytes are not the canonical encoding of any value, or that a decoded value is invalid.
	ErrMalformed = errors.New("unsound")
	// ErrTooLarge means that a size limit is exceeded.
	ErrTooLarge = errors.New("too large")
	// ErrMismatch means that a difference does not apply to the base document, or that a document does not have the stated hash.
	ErrMismatch = errors.New("the hash doesn't fit")
)

// Document holds the settings on which all routers agree, as a flat map of fields in which each value has exactly one textual form, such as
// "txn_types.order.value" = "3.5", "tenants.acme.rate" = "120" or "over_share_value" = "0.2". For a field that is not in the document, each
// router uses its own configuration file. A Document must not be modified after it has been passed on. A nil Document has no fields.
type Document map[string]string

// Encode returns the canonical encoding: CBOR in the deterministic encoding of RFC 8949 section 4.2.1.
func (d Document) Encode() []byte {
	if d == nil {
		d = Document{}
	}
	return encode(d)
}

// Hash returns the SHA-256 of the canonical encoding.
func (d Document) Hash() [32]byte { return sha256.Sum256(d.Encode()) }

// Decode decodes the output of Encode. It returns ErrMalformed for any other bytes, and ErrTooLarge for a document beyond the size limits.
func Decode(b []byte) (Document, error) {
	if len(b) > MaxDocumentBytes {
		return nil, fmt.Errorf("policy: %w: %d bytes, %d at most", ErrTooLarge, len(b), MaxDocumentBytes)
	}
	d := Document{}
	if err := decode(b, &d); err != nil {
		return nil, fmt.Errorf("policy: %w", err)
	}
	if d == nil {
		return nil, fmt.Errorf("policy: %w: null instead of a document", ErrMalformed)
	}
	return d, d.Check()
}

// Check returns ErrTooLarge if the document exceeds a size limit, and ErrMalformed, with the name of the field, if a name or value is not
// UTF-8. History.Propose returns errors of Check and Apply, so their texts are part of responses on the wire
// and must not change.
func (d Document) Check() error {
	if len(d) > MaxFields {
		return fmt.Errorf("policy: %w: %d fields, %d at most", ErrTooLarge, len(d), MaxFields)
	}
	for _, field := range slices.Sorted(maps.Keys(d)) {
		if err := checkField(field, d[field]); err != nil {
			return err
		}
	}
	if n := len(d.Encode()); n > MaxDocumentBytes {
		return fmt.Errorf("policy: %w: %d bytes, %d at most", ErrTooLarge, n, MaxDocumentBytes)
	}
	return nil
}

func checkField(field, value string) error {
	switch {
	case field == "" || len(field) > MaxFieldNameBytes:
		return fmt.Errorf("policy: %w: a field's name of %d bytes, 1 to %d may be", ErrTooLarge, len(field), MaxFieldNameBytes)
	case len(value) > MaxValueBytes:
		return fmt.Errorf("policy: %.64s: %w: a value of %d bytes, %d at most", field, ErrTooLarge, len(value), MaxValueBytes)
	case !utf8.ValidString(field) || !utf8.ValidString(value):
		return fmt.Errorf("policy: %.64q: %w: not UTF-8", field, ErrMalformed)
	}
	return nil
}
