package policy

import (
	"fmt"
)

// A packed version contains the epoch in the upper bits and the number in the lower ones.
const (
	numberBits = 32
	maxNumber  = 1<<numberBits - 1
)

// noVersion is the text form of the absence of a version.
const noVersion = "none"

// Version identifies one document that has been in force. Versions are ordered by the epoch, which is that of the coordinator's state, and
// then by the number. Each version increments the number. When an operator begins a new epoch, the document in force gets a new version in
// it; a coordinator that has lost all its state begins a higher epoch with number 1.
type Version struct {
	Epoch  uint64   `cbor:"1,keyasint"`
	Number uint64   `cbor:"2,keyasint"` // 0: nothing has been proposed yet
	Hash   [32]byte `cbor:"3,keyasint"` // of the document
	Base   uint64   `cbor:"4,keyasint"` // packed version that preceded it; 0: none
	Size   int      `cbor:"5,keyasint"` // encoded size of the document in bytes
	Author string   `cbor:"6,keyasint"`
	Reason string   `cbor:"7,keyasint"`
}

// Check returns ErrMalformed if a field of the version is out of range.
func (v Version) Check() error {
	if v.Number > maxNumber || v.Epoch > maxNumber || v.Size < 0 || v.Size > MaxDocumentBytes || len(v.Author) > MaxReasonBytes ||
		len(v.Reason) > MaxReasonBytes {
		return fmt.Errorf("policy: version %.40s: %w", v, ErrMalformed)
	}
	return nil
}

// Packed returns the version as a single integer of the same order, which heartbeats contain and comparisons use; 0: no version. Epochs
// count seconds and fit until the year 2159; a version with an epoch or number out of range is never created.
func (v Version) Packed() uint64 {
	if v.Number == 0 {
		return 0
	}
	return v.Epoch<<numberBits | v.Number
}

// SplitPacked returns the epoch and the number of a packed version.
func SplitPacked(packed uint64) (epoch, number uint64) {
	return packed >> numberBits, packed & maxNumber
}

// String returns the text form that operators use, such as 94000000.7 for number 7 in epoch 94000000, or "none" for no version.
func (v Version) String() string { return FormatPacked(v.Packed()) }

// FormatPacked formats a packed version like Version.String.
func FormatPacked(packed uint64) string {
	if packed == 0 {
		return noVersion
	}
	epoch, number := SplitPacked(packed)
	return fmt.Sprintf("%d.%d", epoch, number)
}

// ParsePacked parses the output of Version.String, and accepts no other form.
func ParsePacked(text string) (uint64, error) {
	if text == noVersion {
		return 0, nil
	}
	var v Version
	n, err := fmt.Sscanf(text, "%d.%d", &v.Epoch, &v.Number)
	if n != 2 || err != nil || v.Epoch > maxNumber || v.Number > maxNumber || v.Number == 0 || v.String() != text {
		return 0, fmt.Errorf("a version is written like 94000000.7, or none, not %.40q", text)
	}
	return v.Packed(), nil
}
