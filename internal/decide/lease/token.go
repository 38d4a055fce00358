package lease

import (
	"cmp"
	"fmt"
)

// Token is the fencing token of a grant. Tokens order all grants of one lease; the zero Token is older than any grant.
type Token struct {
	Epoch uint64 `cbor:"1,keyasint" json:"epoch"` // of the coordinator's state: it increases when that state is created again
	Count uint64 `cbor:"2,keyasint" json:"count"` // number of the grant within the epoch
}

// Compare returns -1 if t is older than other, 0 if it is the same, and 1 if it is newer.
func (t Token) Compare(other Token) int {
	return cmp.Or(cmp.Compare(t.Epoch, other.Epoch), cmp.Compare(t.Count, other.Count))
}

// CountBits is the number of low bits of Number that hold the count; the epoch is in the bits above them.
const CountBits = 24

// MaxCount is the highest number of grants of one lease in an epoch; the token of the next grant is in the next epoch.
const MaxCount = 1<<CountBits - 1

// Number returns the token as one number in the same order, for guard rows and reports. For epochs below 2^29 it fits into 53 bits, so
// that a float64 represents it exactly; epochs derived from the clock stay below that until 2040.
func (t Token) Number() uint64 { return t.Epoch<<CountBits | t.Count }

// String returns "EPOCH.COUNT".
func (t Token) String() string { return fmt.Sprintf("%d.%d", t.Epoch, t.Count) }
