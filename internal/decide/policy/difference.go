package policy

import (
	"fmt"
	"maps"
	"slices"
)

// Difference is the set of field changes that turns one document into another.
type Difference struct {
	Set     map[string]string `cbor:"1,keyasint,omitempty"` // added fields and fields with a new value
	Removed []string          `cbor:"2,keyasint,omitempty"` // sorted
}

// Encoding overhead in bytes that Difference.Size assumes for each field, in addition to its name and value.
const (
	setFieldOverhead     = 6
	removedFieldOverhead = 3
)

// Diff returns the difference that turns one document into another.
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

// Apply returns the document that results from applying a difference to d; d is not modified. It returns ErrMismatch if the difference
// evidently was not computed from d: a removed field must exist, and a set field must have had another value. This does not detect every
// wrong base document, so callers that know the expected hash must compare it.
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

// Encode returns the canonical encoding of a difference.
func (diff Difference) Encode() []byte { return encode(diff) }

// DecodeDifference decodes the output of Encode. It returns ErrMalformed for any other bytes, and ErrTooLarge for more than the size limits
// allow.
func DecodeDifference(b []byte) (diff Difference, err error) {
	const maxBytes = 2 * MaxDocumentBytes // a difference may remove one whole document and set another
	if len(b) > maxBytes {
		return diff, fmt.Errorf("policy: difference: %w: %d bytes, %d at most", ErrTooLarge, len(b), maxBytes)
	}
	if err := decode(b, &diff); err != nil {
		return diff, fmt.Errorf("policy: difference: %w", err)
	}
	return diff, diff.Check()
}

// Check returns ErrTooLarge unless the difference is within the limits of a document, and ErrMalformed unless its removed fields are sorted
// and unique.
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

// Size estimates the encoded size of a difference in bytes, at least the length of all its names and values. It is cheaper than Encode.
func (diff Difference) Size() (bytes int) {
	for field, value := range diff.Set {
		bytes += len(field) + len(value) + setFieldOverhead
	}
	for _, field := range diff.Removed {
		bytes += len(field) + removedFieldOverhead
	}
	return bytes
}

// Empty reports whether a difference changes nothing.
func (diff Difference) Empty() bool { return len(diff.Set)+len(diff.Removed) == 0 }

// Fields returns the sorted names of all fields that a difference changes.
func (diff Difference) Fields() []string {
	return slices.Sorted(slices.Values(append(slices.Collect(maps.Keys(diff.Set)), diff.Removed...)))
}
