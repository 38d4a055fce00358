package policy

import (
	"cmp"
	"fmt"
	"unicode/utf8"
)

// Change is a version and the difference that led to it from the one before.
type Change struct {
	Version    Version    `cbor:"1,keyasint"`
	Difference Difference `cbor:"2,keyasint"`
}

// Proposal asks for a change. It is accepted only while Base is the version in force (compare and set).
type Proposal struct {
	Base       uint64     `cbor:"1,keyasint"` // packed version that it was made from; 0: none
	Difference Difference `cbor:"2,keyasint"`
	Hash       [32]byte   `cbor:"3,keyasint"` // of the document that it leads to
	Author     string     `cbor:"4,keyasint"`
	Reason     string     `cbor:"5,keyasint"`
}

// Propose makes the proposal that leads from the version in force, with the document current, to the document next.
func Propose(base Version, current, next Document, author, reason string) Proposal {
	return Proposal{Base: base.Packed(), Difference: Diff(current, next), Hash: next.Hash(), Author: author, Reason: reason}
}

// Check tells whether a proposal is within the bounds: ErrTooLarge or ErrMalformed. Whether its fields may change is checked by
// Difference.Validate.
func (p Proposal) Check() error {
	for _, text := range []string{p.Author, p.Reason} {
		if len(text) > MaxReasonBytes || !utf8.ValidString(text) {
			return fmt.Errorf("policy: %w: an author or reason of %d bytes, %d at most, in UTF-8", ErrTooLarge, len(text), MaxReasonBytes)
		}
	}
	return p.Difference.Check()
}

// EncodeChanges gives the canonical bytes of consecutive changes, as parts that aren't of the full document carry them.
func EncodeChanges(changes []Change) []byte { return encode(changes) }

// DecodeChanges reads what EncodeChanges gave. Other bytes, or more than a history holds, are ErrMalformed or ErrTooLarge.
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
