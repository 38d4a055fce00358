package leasestate

import (
	"fmt"

	"wayloft/internal/decide/lease"
)

// maxSteps is the number of latest steps that are kept for each lease.
const maxSteps = 16

// Order is an operator's instruction to the holder of a lease. The orders of a lease are numbered from 1; number 0 means no order.
type Order struct {
	Number uint64 `cbor:"1,keyasint" json:"number"`
	Text   string `cbor:"2,keyasint" json:"text"` // instruction; for a completed order, its outcome
}

// Step is a step that a holder recorded before executing it, so that the next holder can continue from it.
type Step struct {
	Token lease.Token `cbor:"1,keyasint"` // under which the holder had the lease
	Text  string      `cbor:"2,keyasint"`
}

// placeOrder opens an operator's order. It is idempotent: while an order is open, one with the same text is the same order.
func (s *State) placeOrder(entry Entry) Result {
	ordered, rejection := s.findOrCreateLease(entry.Lease)
	switch {
	case ordered == nil:
		return Result{Rejection: rejection}
	case entry.Text == "":
		return Result{Rejection: rejectedEmptyOrder}
	case ordered.OpenOrder.Number == 0:
		ordered.OpenOrder, ordered.Steps = Order{ordered.CompletedOrder.Number + 1, entry.Text}, nil
		s.emit(Event{Lease: entry.Lease, Token: ordered.Token, Session: ordered.Holder})
	case ordered.OpenOrder.Text != entry.Text:
		open := ordered.OpenOrder
		return Result{Rejection: Rejection(fmt.Sprintf("order %d is open: %s", open.Number, open.Text)), Number: open.Number}
	}
	return Result{Held: true, Token: ordered.Token, Number: ordered.OpenOrder.Number}
}

func (s *State) recordStep(held *Lease, entry Entry) {
	held.Steps = appendBounded(held.Steps, Step{held.Token, entry.Text}, maxSteps)
	s.emit(Event{Lease: entry.Lease, Token: held.Token, Session: held.Holder})
}

// completeOrder closes the open order with its outcome, if its number is the one in the entry.
func (s *State) completeOrder(held *Lease, entry Entry) {
	if entry.Number == 0 || entry.Number != held.OpenOrder.Number {
		return
	}
	held.CompletedOrder, held.OpenOrder, held.Steps = Order{entry.Number, entry.Text}, Order{}, nil
	s.emit(Event{Lease: entry.Lease, Token: held.Token, Session: held.Holder})
}
