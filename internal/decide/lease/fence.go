// Package lease decides who may act for the fleet and whose acts are taken. It owns the holder's account of its own time
// (Holder) and the receiver's memory of fencing tokens (Receiver); it must never read a clock, grant anything (that is replicated state's)
// or open a socket. Times are ms on a clock that also runs while the machine sleeps; its zero means nothing.
//
// The idea is that of Burrows, "The Chubby lock service for loosely-coupled distributed systems" (OSDI 2006): a lease is
// counted from before it was asked for, and a sequencer goes with each act, so that it is refused where it arrives.
package lease

import (
	"cmp"
	"fmt"
)

// Token orders the grants of one lease. Epoch counts the beginnings of the coordinator's state, Count the grants within one.
// The zero Token is older than any grant.
type Token struct {
	Epoch uint64 `cbor:"1,keyasint" json:"epoch"`
	Count uint64 `cbor:"2,keyasint" json:"count"`
}

// Compare tells whether f is older (-1), the same (0) or newer (1) than g.
func (f Token) Compare(g Token) int {
	return cmp.Or(cmp.Compare(f.Epoch, g.Epoch), cmp.Compare(f.Count, g.Count))
}

// CountBits are those of a fencing token's number that count grants; the epoch is above them.
const CountBits = 24

// MaxCount is the most grants of one lease in an epoch; the next grant begins another.
const MaxCount = 1<<CountBits - 1

// Number is the fencing token as one number that grows with it, for guard rows and reports. It fits what others hold exactly (53 bits)
// for epochs under 2^29: those that begin by the clock do so until 2040.
func (f Token) Number() uint64 { return f.Epoch<<CountBits | f.Count }

func (f Token) String() string { return fmt.Sprintf("%d.%d", f.Epoch, f.Count) }
