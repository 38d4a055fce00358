// Package policy decides how what all routers of a fleet must agree on is changed: the form of a document and the difference between two
// (Document, Difference), which fields may change (Classify), the versions that were in force (History, kept in the replicated state), and
// how one router comes to the version in force (Follower).
//
// Only lenient fields can be changed: two versions of them may be in force at different routers for a bounded time without harm. Changes
// of strict fields are rejected with their reason.
//
// The package does no I/O, reads no clock and draws randomness from a seeded source only. It never gives a document to apply whose hash
// isn't that of its version.
package policy

import (
	"crypto/sha256"
	"errors"
	"fmt"
	"maps"
	"slices"
	"unicode/utf8"
)

// Bounds of a document, and of a difference.
const (
	MaxDocumentBytes  = 256 << 10 // of the canonical bytes
	MaxFields         = 20000
	MaxFieldNameBytes = 256
	MaxValueBytes     = 256
	MaxReasonBytes    = 200 // of an author, a reason, or of why a version could not be applied
)

// Errors of documents, differences and what holds them. Their texts are part of responses on the wire.
var (
	// ErrMalformed means bytes that Encode doesn't give.
	ErrMalformed = errors.New("unsound")
	// ErrTooLarge means something beyond the bounds.
	ErrTooLarge = errors.New("too large")
	// ErrMismatch means a difference that doesn't lead from the document at hand to the hash that is stated.
	ErrMismatch = errors.New("the hash doesn't fit")
)

// Document is what all routers agree on: flat fields with one form for each value, like "txn_types.order.value" = "3.5",
// "tenants.acme.rate" = "120", "over_share_value" = "0.2". For a field that is missing, each router's own file holds. A Document must not
// be changed once it was passed on; nil is the document without fields.
type Document map[string]string

// Encode gives the canonical bytes: CBOR in the deterministic form of RFC 8949 section 4.2.1.
func (d Document) Encode() []byte {
	if d == nil {
		d = Document{}
	}
	return encode(d)
}

// Hash is the SHA-256 of the canonical bytes.
func (d Document) Hash() [32]byte { return sha256.Sum256(d.Encode()) }

// Decode reads canonical bytes. Other bytes, or a document beyond the bounds, are ErrMalformed or ErrTooLarge.
func Decode(b []byte) (Document, error) {
	if len(b) > MaxDocumentBytes {
		return nil, fmt.Errorf("policy: %w: %d bytes, %d at most", ErrTooLarge, len(b), MaxDocumentBytes)
	}
	d := Document{}
	if err := decode(b, &d); err != nil {
		return nil, fmt.Errorf("policy: %w", err)
	}
	if d == nil {
		return nil, fmt.Errorf("policy: %w: no document", ErrMalformed)
	}
	return d, d.Check()
}

// Check tells whether a document is within the bounds: ErrTooLarge, or ErrMalformed with the field's name.
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
