package leasestate

import "testing"

func TestRecordStep_OfHolderOnlyAndLatestKept(t *testing.T) {
	state := newTestState("a", "b")
	state.apply(acquire("a"))
	note := Entry{Kind: RecordStep, Session: "a", Incarnation: 1, Lease: "d", Token: token(1, 1), Text: "hold"}
	requireEqual(t, "noted", state.apply(note).Held, true)
	state.apply(Entry{Kind: ReleaseLease, Session: "a", Incarnation: 1, Lease: "d", Token: token(1, 1)})
	state.apply(acquire("b"))
	note.Text = "late"
	requireEqual(t, "a former holder's", state.apply(note).Token, token(1, 2))
	for range 40 {
		state.apply(Entry{Kind: RecordStep, Session: "b", Incarnation: 1, Lease: "d", Token: token(1, 2), Text: "go"})
	}
	stored, _ := state.Lease("d")
	requireEqual(t, "kept", len(stored.Steps), maxSteps)
	for _, s := range stored.Steps {
		requireEqual(t, "step", s.Text, "go")
	}
}

// An operator's order is open until some holder of its lease ends it, whoever that is by then; the same words again are the same.
func TestOrder_OpenUntilSomeHolderCompletesIt(t *testing.T) {
	state := newTestState("a", "b")
	order := Entry{Kind: PlaceOrder, Lease: "d", Text: "to m2"}
	requireEqual(t, "number", state.apply(order).Number, uint64(1))
	requireEqual(t, "again", state.apply(order).Number, uint64(1))
	requireEqual(t, "another", state.apply(Entry{Kind: PlaceOrder, Lease: "d", Text: "to m3"}).Refusal, Refusal("order 1 is open: to m2"))
	state.apply(acquire("a"))
	state.apply(Entry{Kind: RecordStep, Session: "a", Incarnation: 1, Lease: "d", Token: token(1, 1), Text: "hold"})
	did := Entry{Kind: CompleteOrder, Session: "a", Incarnation: 1, Lease: "d", Token: token(1, 1), Number: 1, Text: "done"}
	state.apply(acquire("b"))
	state.apply(Entry{Kind: CloseSession, Session: "a", Incarnation: 1})
	requireEqual(t, "a former holder's", state.apply(did).Refusal, Refusal("no such session"))
	stored, _ := state.Lease("d")
	requireEqual(t, "steps that the next holder finds", len(stored.Steps), 1)
	did.Session, did.Token = "b", token(1, 2)
	requireEqual(t, "ended", state.apply(did).Number, uint64(1))
	stored, _ = state.Lease("d")
	requireEqual(t, "what is kept", stored.Ended, Order{1, "done"})
	requireEqual(t, "open", stored.Open.Number, uint64(0))
	requireEqual(t, "the next", state.apply(Entry{Kind: PlaceOrder, Lease: "d", Text: "to m3"}).Number, uint64(2))
}
