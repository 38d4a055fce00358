package policy

import (
	"cmp"
	"fmt"
	"unicode/utf8"
)

// Version names one document that was in force. Epoch, of the coordinator's state, and Number order them: within an epoch Number grows
// by one with each; an operator's new epoch gives what is in force then a new number; a coordinator that lost all it knew
// begins a higher epoch with number 1.
type Version struct {
	Epoch  uint64   `cbor:"1,keyasint"`
	Number uint64   `cbor:"2,keyasint"` // 0: none has been proposed yet
	Hash   [32]byte `cbor:"3,keyasint"`
	Base   uint64   `cbor:"4,keyasint"` // mark of the version that it followed; 0: none
	Size   int      `cbor:"5,keyasint"` // of the canonical bytes
	Author string   `cbor:"6,keyasint"`
	Reason string   `cbor:"7,keyasint"`
}

// Check tells whether a version is one that a register could have made.
func (v Version) Check() error {
	if v.Number > maxNumber || v.Epoch > maxNumber || v.Size < 0 || v.Size > MaxDocumentBytes || len(v.Author) > MaxReasonBytes || len(v.Reason) > MaxReasonBytes {
		return fmt.Errorf("policy: version %.40s: %w", v, ErrMalformed)
	}
	return nil
}

// Packed is a version as one number that grows with it: what a session's word carries, and what is compared. 0: no version.
// Epochs are seconds and fit until the year 2159; a number that doesn't fit is never given.
func (v Version) Packed() uint64 {
	if v.Number == 0 {
		return 0
	}
	return v.Epoch<<numberBits | v.Number
}

// SplitPacked gives the epoch and the number of a mark.
func SplitPacked(mark uint64) (epoch, number uint64) { return mark >> numberBits, mark & maxNumber }

const (
	numberBits = 32
	maxNumber  = 1<<numberBits - 1
)

// String gives a version as operators write it: 94000000.7 is the 7th of that epoch; "none" before the first.
func (v Version) String() string { return FormatPacked(v.Packed()) }

// FormatPacked writes a mark as Version.String does.
func FormatPacked(mark uint64) string {
	if mark == 0 {
		return "none"
	}
	epoch, number := SplitPacked(mark)
	return fmt.Sprintf("%d.%d", epoch, number)
}

// ParsePacked reads what String wrote.
func ParsePacked(text string) (uint64, error) {
	if text == "none" {
		return 0, nil
	}
	var v Version
	if n, err := fmt.Sscanf(text, "%d.%d", &v.Epoch, &v.Number); n != 2 || err != nil || v.Epoch > maxNumber || v.Number > maxNumber ||
		v.Number == 0 || v.String() != text {
		return 0, fmt.Errorf("a version is written like 94000000.7, or none, not %.40q", text)
	}
	return v.Packed(), nil
}

// Change is a version and what led to it from the one before.
type Change struct {
	Version    Version    `cbor:"1,keyasint"`
	Difference Difference `cbor:"2,keyasint"`
}

// Proposal asks for a change. It is taken only while Base is the version in force (compare and set).
type Proposal struct {
	Base       uint64     `cbor:"1,keyasint"` // mark of the version that it was made from; 0: none
	Difference Difference `cbor:"2,keyasint"`
	Hash       [32]byte   `cbor:"3,keyasint"` // of the document that it leads to
	Author     string     `cbor:"4,keyasint"`
	Reason     string     `cbor:"5,keyasint"`
}

// Propose makes the proposal that leads from the version in force, and its document, to another document.
func Propose(base Version, old, new Document, author, reason string) Proposal {
	return Proposal{Base: base.Packed(), Difference: Diff(old, new), Hash: new.Hash(), Author: author, Reason: reason}
}

// Check tells whether a proposal is within the bounds; whether its fields may change is Difference.Judge's.
func (p Proposal) Check() error {
	for _, text := range []string{p.Author, p.Reason} {
		if len(text) > MaxReasonBytes || !utf8.ValidString(text) {
			return fmt.Errorf("policy: %w: an author or reason of %d bytes, %d at most, in UTF-8", ErrTooLarge, len(text), MaxReasonBytes)
		}
	}
	return p.Difference.Check()
}

// Part is a piece of what a router fetches: the differences after a version it has, or the whole document.
type Part struct {
	Version Version // that all parts together lead to
	Full    bool    // the document's canonical bytes; else Changes' of all versions after the one that was named
	Offset  int     // of Bytes, in Total
	Total   int     // packed
	Bytes   []byte  // packed: Settings.Unpack makes the bytes of them
}

// EncodeChanges gives the bytes of consecutive changes, as a Part that isn't Whole carries them.
func EncodeChanges(all []Change) []byte { return encode(all) }

// DecodeChanges reads them; they are bounded as a history is.
func DecodeChanges(b []byte) (all []Change, err error) {
	if len(b) > MaxHistoryBytes {
		return nil, fmt.Errorf("policy: changes: %w: %d bytes, %d at most", ErrTooLarge, len(b), MaxHistoryBytes)
	}
	if err := decode(b, &all); err != nil {
		return nil, fmt.Errorf("policy: changes: %w", err)
	}
	if len(all) > maxHistoryChanges {
		return nil, fmt.Errorf("policy: changes: %w: %d, %d at most", ErrTooLarge, len(all), maxHistoryChanges)
	}
	for _, c := range all {
		if err := cmp.Or(c.Version.Check(), c.Difference.Check()); err != nil {
			return nil, err
		}
	}
	return all, nil
}
