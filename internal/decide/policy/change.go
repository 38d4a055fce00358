package policy

import (
	"cmp"
	"fmt"
	"unicode/utf8"
)

// Change is a version and its difference from the preceding version.
type Change struct {
	Version    Version    `cbor:"1,keyasint"`
	Difference Difference `cbor:"2,keyasint"`
}

// Proposal requests a change. It is accepted only while Base is the version in force (compare-and-set).
type Proposal struct {
	Base       uint64     `cbor:"1,keyasint"` // packed version that the difference was computed from; 0: none
	Difference Difference `cbor:"2,keyasint"`
	Hash       [32]byte   `cbor:"3,keyasint"` // of the resulting document
	Author     string     `cbor:"4,keyasint"`
	Reason     string     `cbor:"5,keyasint"`
}

// Propose returns a proposal to replace the document current, of the version base that is in force, by the document next.
func Propose(base Version, current, next Document, author, reason string) Proposal {
	return Proposal{Base: base.Packed(), Difference: Diff(current, next), Hash: next.Hash(), Author: author, Reason: reason}
}

// Check returns ErrTooLarge or ErrMalformed unless the proposal is well-formed and within the size limits. Difference.Validate checks
// whether its fields may change.
func (p Proposal) Check() error {
	for _, text := range []string{p.Author, p.Reason} {
		if len(text) > MaxReasonBytes || !utf8.ValidString(text) {
			return fmt.Errorf("policy: %w: an author or reason of %d bytes, %d at most, in UTF-8", ErrTooLarge, len(text), MaxReasonBytes)
		}
	}
	return p.Difference.Check()
}

// EncodeChanges returns the canonical encoding of consecutive changes, which is the content of parts that don't carry the full document.
func EncodeChanges(changes []Change) []byte { return encode(changes) }

// DecodeChanges decodes the output of EncodeChanges. It returns ErrMalformed for any other bytes, and ErrTooLarge for more changes or bytes
// than a history holds.
func DecodeChanges(b []byte) (changes []Change, err error) {
	if len(b) > MaxHistoryBytes {
		return nil, fmt.Errorf("policy: changes: %w: %d bytes, %d at most", ErrTooLarge, len(b), MaxHistoryBytes)
	}
	if err := decode(b, &changes); err != nil {
		return nil, fmt.Errorf("policy: changes: %w", err)
	}
	if len(changes) > maxHistoryChanges {
		return nil, fmt.Errorf("policy: changes: %w: %d, %d at most", ErrTooLarge, len(changes), maxHistoryChanges)
	}
	for _, change := range changes {
		if err := cmp.Or(change.Version.Check(), change.Difference.Check()); err != nil {
			return nil, err
		}
	}
	return changes, nil
}
