package policy

import (
	"fmt"
)

// A packed version has the epoch in the upper bits and the number in the lower ones.
const (
	numberBits = 32
	maxNumber  = 1<<numberBits - 1
)

// noVersion is how no version is written.
const noVersion = "none"

// Version identifies one document that was in force. The epoch, of the coordinator's state, and the number order versions: within an epoch
// the number grows by one with each; a new epoch that an operator starts gives what is in force a new number; a coordinator that lost all
// its state starts a higher epoch with number 1.
type Version struct {
	Epoch  uint64   `cbor:"1,keyasint"`
	Number uint64   `cbor:"2,keyasint"` // 0: nothing has been proposed yet
	Hash   [32]byte `cbor:"3,keyasint"` // of the document
	Base   uint64   `cbor:"4,keyasint"` // packed version that it followed; 0: none
	Size   int      `cbor:"5,keyasint"` // bytes of the document, encoded
	Author string   `cbor:"6,keyasint"`
	Reason string   `cbor:"7,keyasint"`
}

// Check tells whether a coordinator could have given a version; else ErrMalformed.
func (v Version) Check() error {
	if v.Number > maxNumber || v.Epoch > maxNumber || v.Size < 0 || v.Size > MaxDocumentBytes || len(v.Author) > MaxReasonBytes ||
		len(v.Reason) > MaxReasonBytes {
		return fmt.Errorf("policy: version %.40s: %w", v, ErrMalformed)
	}
	return nil
}

// Packed gives a version as one number that grows with it: what heartbeats carry, and what is compared; 0: no version. Epochs are seconds
// and fit until the year 2159; a number that doesn't fit is never given.
func (v Version) Packed() uint64 {
	if v.Number == 0 {
		return 0
	}
	return v.Epoch<<numberBits | v.Number
}

// SplitPacked gives the epoch and the number of a packed version.
func SplitPacked(packed uint64) (epoch, number uint64) {
	return packed >> numberBits, packed & maxNumber
}

// String gives a version as operators write it: 94000000.7 is the 7th of that epoch; "none" before the first.
func (v Version) String() string { return FormatPacked(v.Packed()) }

// FormatPacked writes a packed version as Version.String does.
func FormatPacked(packed uint64) string {
	if packed == 0 {
		return noVersion
	}
	epoch, number := SplitPacked(packed)
	return fmt.Sprintf("%d.%d", epoch, number)
}

// ParsePacked reads what String wrote, and no other form.
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
