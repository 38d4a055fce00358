package policy

import (
	"fmt"
	"maps"
	"slices"
)

// Difference leads from one document to another.
type Difference struct {
	Set     map[string]string `cbor:"1,keyasint,omitempty"` // fields that are new or have another value
	Removed []string          `cbor:"2,keyasint,omitempty"` // in order
}

// Bytes that Difference.Size assumes for a field besides its texts.
const (
	setFieldOverhead     = 6
	removedFieldOverhead = 3
)

// Diff gives what leads from one document to another.
func Diff(from, to Document) Difference {
	var diff Difference
	for field, value := range to {
		if before, exists := from[field]; !exists || before != value {
			if diff.Set == nil {
				diff.Set = map[string]string{}
			}
			diff.Set[field] = value
		}
	}
	for field := range from {
		if _, exists := to[field]; !exists {
			diff.Removed = append(diff.Removed, field)
		}
	}
	slices.Sort(diff.Removed)
	return diff
}

// Apply gives the document that a difference leads to; d stays as it is. A difference that was not made from d is ErrMismatch where that
// shows: a removed field must exist, and a set one must have had another value. It doesn't show always, so a caller that has the hash
// compares it.
func (d Document) Apply(diff Difference) (Document, error) {
	next := maps.Clone(d)
	if next == nil {
		next = Document{}
	}
	for _, field := range diff.Removed {
		if _, exists := next[field]; !exists {
			return nil, fmt.Errorf("policy: %.64q: %w: it is to go and isn't there", field, ErrMismatch)
		}
		if _, set := diff.Set[field]; set {
			return nil, fmt.Errorf("policy: %.64q: %w: it is to go and to be set", field, ErrMalformed)
		}
		delete(next, field)
	}
	for field, value := range diff.Set {
		if before, exists := d[field]; exists && before == value {
			return nil, fmt.Errorf("policy: %.64q: %w: it has this value already", field, ErrMismatch)
		}
		next[field] = value
	}
	return next, next.Check()
}

// Encode gives the canonical bytes of a difference.
func (diff Difference) Encode() []byte { return encode(diff) }

// DecodeDifference reads what Encode gave. Other bytes, or more than a document's bounds allow, are ErrMalformed or ErrTooLarge.
func DecodeDifference(b []byte) (diff Difference, err error) {
	const maxBytes = 2 * MaxDocumentBytes // one document may be removed, and another set
	if len(b) > maxBytes {
		return diff, fmt.Errorf("policy: difference: %w: %d bytes, %d at most", ErrTooLarge, len(b), maxBytes)
	}
	if err := decode(b, &diff); err != nil {
		return diff, fmt.Errorf("policy: difference: %w", err)
	}
	return diff, diff.Check()
}

// Check tells whether a difference is within a document's bounds, and names removed fields in order and once: else ErrTooLarge or
// ErrMalformed.
func (diff Difference) Check() error {
	if err := Document(diff.Set).Check(); err != nil {
		return err
	}
	if len(diff.Removed) > MaxFields {
		return fmt.Errorf("policy: %w: %d fields, %d at most", ErrTooLarge, len(diff.Removed), MaxFields)
	}
	for n, field := range diff.Removed {
		if err := checkField(field, ""); err != nil {
			return err
		}
		if n > 0 && field <= diff.Removed[n-1] {
			return fmt.Errorf("policy: %w: fields that go must be in order, once", ErrMalformed)
		}
	}
	return nil
}

// Size is about the bytes that an encoded difference takes, never less than its texts; it costs less than Encode.
func (diff Difference) Size() (bytes int) {
	for field, value := range diff.Set {
		bytes += len(field) + len(value) + setFieldOverhead
	}
	for _, field := range diff.Removed {
		bytes += len(field) + removedFieldOverhead
	}
	return bytes
}

// Empty tells whether a difference changes nothing.
func (diff Difference) Empty() bool { return len(diff.Set)+len(diff.Removed) == 0 }

// Fields names all fields that a difference changes, in order.
func (diff Difference) Fields() []string {
	return slices.Sorted(slices.Values(append(slices.Collect(maps.Keys(diff.Set)), diff.Removed...)))
}
