// Package policy decides how what all routers of a fleet must agree on changes: what a document is and what two of them differ
// in, which differences may take hold at different moments at different routers, and how one router comes to the version in
// force. It owns the form and the bounds of a document and one router's account of it (Follower); which version is in force is
// replicated state's. It must never do I/O, read a clock, draw chance but by chance.Source, or adopt a document whose hash doesn't fit.
//
// Only lenient fields can be changed: of these, two versions may overlap for a bounded time without harm. Strict ones are
// refused with their reason (Classify).
package policy

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"errors"
	"fmt"
	"maps"
	"slices"
	"unicode/utf8"

	"github.com/fxamacker/cbor/v2"
)

// Bounds of a document, and of a difference.
const (
	MaxDocumentBytes  = 256 << 10 // of the canonical bytes
	MaxFields         = 20000
	MaxFieldNameBytes = 256 // bytes of a field's name
	MaxValueBytes     = 256 // bytes of a value
	MaxReasonBytes    = 200 // bytes of an author, a reason, or of why a version could not be taken
)

var (
	// ErrMalformed is of bytes that Encode doesn't give.
	ErrMalformed = errors.New("unsound")
	// ErrTooLarge is of a document beyond the bounds.
	ErrTooLarge = errors.New("too large")
	// ErrMismatch is of a difference that doesn't lead from the document at hand to the hash that is stated.
	ErrMismatch = errors.New("the hash doesn't fit")
)

// Document is what all routers agree on: flat fields in one form each, like "txn_types.order.value" = "3.5", "tenants.acme.rate" =
// "120", "over_share_value" = "0.2". A field that is missing is each router's own file's to say. It must not be changed once it
// was handed on; nil is the document without fields.
type Document map[string]string

// Difference leads from one document to another.
type Difference struct {
	Set     map[string]string `cbor:"1,keyasint,omitempty"` // fields that are new or have another value
	Removed []string          `cbor:"2,keyasint,omitempty"` // in order
}

var canonical = func() (m struct {
	cbor.EncMode
	cbor.DecMode
}) {
	var err, other error
	m.EncMode, err = cbor.CoreDetEncOptions().EncMode() // RFC 8949, 4.2.1: one form for each value
	m.DecMode, other = cbor.DecOptions{ExtraReturnErrors: cbor.ExtraDecErrorUnknownField, DupMapKey: cbor.DupMapKeyEnforcedAPF,
		IndefLength: cbor.IndefLengthForbidden, MaxNestedLevels: 8, MaxMapPairs: MaxFields, MaxArrayElements: MaxFields}.DecMode()
	if err := cmp.Or(err, other); err != nil {
		panic(err)
	}
	return m
}()

func encode(v any) []byte {
	b, err := canonical.EncMode.Marshal(v)
	if err != nil {
		panic(err) // texts and numbers alone
	}
	return b
}

// decode reads what encode gave, and nothing else: another form of the same values is refused, since hashes are over bytes.
func decode(b []byte, into any) error {
	if err := canonical.DecMode.Unmarshal(b, into); err != nil {
		return fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if !bytes.Equal(encode(into), b) {
		return fmt.Errorf("%w: not the canonical form", ErrMalformed)
	}
	return nil
}

// Encode gives the canonical bytes: CBOR, RFC 8949 section 4.2.1.
func (d Document) Encode() []byte {
	if d == nil {
		d = Document{}
	}
	return encode(d)
}

// Hash is SHA-256 over the canonical bytes.
func (d Document) Hash() [32]byte { return sha256.Sum256(d.Encode()) }

// Decode reads canonical bytes. Bytes that are no document's, or beyond the bounds, are ErrUnsound or ErrTooLarge.
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

// Check tells whether a document is within the bounds: ErrTooLarge, or ErrUnsound with the field's name.
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

// Diff gives what leads from one document to another.
func Diff(old, new Document) Difference {
	var x Difference
	for field, value := range new {
		if had, there := old[field]; !there || had != value {
			if x.Set == nil {
				x.Set = map[string]string{}
			}
			x.Set[field] = value
		}
	}
	for field := range old {
		if _, there := new[field]; !there {
			x.Removed = append(x.Removed, field)
		}
	}
	slices.Sort(x.Removed)
	return x
}

// Apply gives the document that a difference leads to; d stays as it is. A difference that was not made from d is ErrMismatch
// where that shows: a field that is gone must have been there, one that is set must have had another value. That it shows is
// not certain: who has a hash compares it.
func (d Document) Apply(x Difference) (Document, error) {
	next := maps.Clone(d)
	if next == nil {
		next = Document{}
	}
	for _, field := range x.Removed {
		if _, there := next[field]; !there {
			return nil, fmt.Errorf("policy: %.64q: %w: it is to go and isn't there", field, ErrMismatch)
		}
		if _, set := x.Set[field]; set {
			return nil, fmt.Errorf("policy: %.64q: %w: it is to go and to be set", field, ErrMalformed)
		}
		delete(next, field)
	}
	for field, value := range x.Set {
		if had, there := d[field]; there && had == value {
			return nil, fmt.Errorf("policy: %.64q: %w: it has this value already", field, ErrMismatch)
		}
		next[field] = value
	}
	return next, next.Check()
}

// Encode gives a difference's canonical bytes.
func (x Difference) Encode() []byte { return encode(x) }

// DecodeDifference reads a difference's canonical bytes, within a document's bounds.
func DecodeDifference(b []byte) (x Difference, err error) {
	if len(b) > 2*MaxDocumentBytes {
		return x, fmt.Errorf("policy: difference: %w: %d bytes, %d at most", ErrTooLarge, len(b), 2*MaxDocumentBytes)
	}
	if err := decode(b, &x); err != nil {
		return x, fmt.Errorf("policy: difference: %w", err)
	}
	return x, x.Check()
}

// Check tells whether a difference is within a document's bounds, and names what goes in order and once.
func (x Difference) Check() error {
	if err := Document(x.Set).Check(); err != nil {
		return err
	}
	if len(x.Removed) > MaxFields {
		return fmt.Errorf("policy: %w: %d fields, %d at most", ErrTooLarge, len(x.Removed), MaxFields)
	}
	for n, field := range x.Removed {
		if err := checkField(field, ""); err != nil {
			return err
		}
		if n > 0 && field <= x.Removed[n-1] {
			return fmt.Errorf("policy: %w: fields that go must be in order, once", ErrMalformed)
		}
	}
	return nil
}

// Size is about the bytes that a difference takes, never less than its texts; it costs less than Encode.
func (x Difference) Size() (bytes int) {
	for field, value := range x.Set {
		bytes += len(field) + len(value) + 6
	}
	for _, field := range x.Removed {
		bytes += len(field) + 3
	}
	return bytes
}

// Empty tells whether a difference changes nothing.
func (x Difference) Empty() bool { return len(x.Set)+len(x.Removed) == 0 }

// Fields names all that a difference touches, in order.
func (x Difference) Fields() []string {
	return slices.Sorted(slices.Values(append(slices.Collect(maps.Keys(x.Set)), x.Removed...)))
}
