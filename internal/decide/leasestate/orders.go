package leasestate

import (
	"fmt"

	"wayloft/internal/decide/lease"
)

// maxSteps is how many of a lease's steps are kept: the latest.
const maxSteps = 16

// Order is what an operator asks of a lease's holder. Orders of one lease are numbered from 1; number 0 is none.
type Order struct {
	Number uint64 `cbor:"1,keyasint" json:"number"`
	Text   string `cbor:"2,keyasint" json:"text"` // what is asked; of an ended one its outcome
}

// Step is what a holder recorded before it did it, for itself and for the next holder.
type Step struct {
	Token lease.Token `cbor:"1,keyasint"` // under which the lease was held
	Text  string      `cbor:"2,keyasint"`
}

// placeOrder opens an operator's order; the same text again, while it is open, is the same order.
func (s *State) placeOrder(entry Entry) Result {
	ordered, refusal := s.findOrCreateLease(entry.Lease)
	switch {
	case ordered == nil:
		return Result{Refusal: refusal}
	case entry.Text == "":
		return Result{Refusal: refusedEmptyOrder}
	case ordered.Open.Number == 0:
		ordered.Open, ordered.Steps = Order{ordered.Ended.Number + 1, entry.Text}, nil
		s.emit(Event{Lease: entry.Lease, Token: ordered.Token, Session: ordered.Holder})
	case ordered.Open.Text != entry.Text:
		open := ordered.Open
		return Result{Refusal: Refusal(fmt.Sprintf("order %d is open: %s", open.Number, open.Text)), Number: open.Number}
	}
	return Result{Held: true, Token: ordered.Token, Number: ordered.Open.Number}
}

// recordStep keeps a step of the holder's.
func (s *State) recordStep(held *Lease, entry Entry) {
	held.Steps = appendBounded(held.Steps, Step{held.Token, entry.Text}, maxSteps)
	s.emit(Event{Lease: entry.Lease, Token: held.Token, Session: held.Holder})
}

// completeOrder ends the open order with its outcome, if it is the one that the holder names.
func (s *State) completeOrder(held *Lease, entry Entry) {
	if entry.Number == 0 || entry.Number != held.Open.Number {
		return
	}
	held.Ended, held.Open, held.Steps = Order{entry.Number, entry.Text}, Order{}, nil
	s.emit(Event{Lease: entry.Lease, Token: held.Token, Session: held.Holder})
}
