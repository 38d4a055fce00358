package lease

import (
	"cmp"
	"fmt"
)

// Token is the fencing token of a grant: it orders all grants of one lease. The zero Token is older than any grant.
type Token struct {
	Epoch uint64 `cbor:"1,keyasint" json:"epoch"` // of the coordinator's state: it grows when that state is created again
	Count uint64 `cbor:"2,keyasint" json:"count"` // of the grants within the epoch
}

// Compare returns -1 if t is older than other, 0 if it is the same, and 1 if it is newer.
func (t Token) Compare(other Token) int {
	return cmp.Or(cmp.Compare(t.Epoch, other.Epoch), cmp.Compare(t.Count, other.Count))
}

// CountBits are the bits of a token's number that hold its count; the epoch is above them.
const CountBits = 24

// MaxCount is the most grants of one lease in an epoch; the next grant begins another epoch.
const MaxCount = 1<<CountBits - 1

// Number returns the token as one number that grows with it, for guard rows and reports. It fits what others hold exactly (53 bits)
// for epochs under 2^29: those that are taken from the clock are until 2040.
func (t Token) Number() uint64 { return t.Epoch<<CountBits | t.Count }

// String returns "EPOCH.COUNT".
func (t Token) String() string { return fmt.Sprintf("%d.%d", t.Epoch, t.Count) }
