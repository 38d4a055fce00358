package leasestate

import "testing"

func TestRecordStep_OnlyByHolderAndLatestKept(t *testing.T) {
	state := newTestState("a", "b")
	state.apply(acquire("a"))
	record := Entry{Kind: RecordStep, Session: "a", Incarnation: 1, Lease: "d", Token: token(1, 1), Text: "hold"}
	requireEqual(t, "recorded by the holder", state.apply(record).Held, true)
	state.apply(Entry{Kind: ReleaseLease, Session: "a", Incarnation: 1, Lease: "d", Token: token(1, 1)})
	state.apply(acquire("b"))
	record.Text = "late"
	requireEqual(t, "token returned to a former holder", state.apply(record).Token, token(1, 2))
	for range 40 {
		state.apply(Entry{Kind: RecordStep, Session: "b", Incarnation: 1, Lease: "d", Token: token(1, 2), Text: "go"})
	}
	stored, _ := state.Lease("d")
	requireEqual(t, "number of steps kept", len(stored.Steps), maxSteps)
	for _, s := range stored.Steps {
		requireEqual(t, "step", s.Text, "go")
	}
}

// An operator's order stays open, with its recorded steps, across changes of the holder until one of them completes it. Placing the same
// text again while it is open is idempotent.
func TestOrder_OpenUntilSomeHolderCompletesIt(t *testing.T) {
	state := newTestState("a", "b")
	order := Entry{Kind: PlaceOrder, Lease: "d", Text: "to m2"}
	requireEqual(t, "number of the first order", state.apply(order).Number, uint64(1))
	requireEqual(t, "number of the same order again", state.apply(order).Number, uint64(1))
	requireEqual(t, "another order while one is open", state.apply(Entry{Kind: PlaceOrder, Lease: "d", Text: "to m3"}).Rejection, Rejection("order 1 is open: to m2"))
	state.apply(acquire("a"))
	state.apply(Entry{Kind: RecordStep, Session: "a", Incarnation: 1, Lease: "d", Token: token(1, 1), Text: "hold"})
	complete := Entry{Kind: CompleteOrder, Session: "a", Incarnation: 1, Lease: "d", Token: token(1, 1), Number: 1, Text: "done"}
	state.apply(acquire("b"))
	state.apply(Entry{Kind: CloseSession, Session: "a", Incarnation: 1})
	requireEqual(t, "completed by a former holder", state.apply(complete).Rejection, Rejection("no such session"))
	stored, _ := state.Lease("d")
	requireEqual(t, "steps left for the next holder", len(stored.Steps), 1)
	complete.Session, complete.Token = "b", token(1, 2)
	requireEqual(t, "completed by the new holder", state.apply(complete).Number, uint64(1))
	stored, _ = state.Lease("d")
	requireEqual(t, "completed order", stored.CompletedOrder, Order{1, "done"})
	requireEqual(t, "open order", stored.OpenOrder.Number, uint64(0))
	requireEqual(t, "number of the next order", state.apply(Entry{Kind: PlaceOrder, Lease: "d", Text: "to m3"}).Number, uint64(2))
}
