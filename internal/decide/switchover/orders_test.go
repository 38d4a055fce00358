package switchover

import (
	"strings"
	"testing"

	"wayloft/internal/decide/lease"
	"wayloft/internal/decide/leasestate"
)

// The state for a lease survives losing and regaining it under the same fencing token, but not under a new one. The end of an order is
// unreported until the coordinator has recorded it.
func TestOrderState_OutlivesAGapUnderOneToken(t *testing.T) {
	var state OrderState
	token := lease.Token{Epoch: 1, Count: 4}
	settings := Settings{MaxHoldMs: 3000, DrainTimeoutMs: 1000, StepTimeoutMs: 300}
	state.BeginLease(token)
	order := leasestate.Order{Number: 2, Text: FormatOrder("m2")}
	executor, err := state.StartOrder(settings, order, []leasestate.Step{{Text: "yield m1 m2"}}, 0)
	if err != nil || executor == nil {
		t.Fatal(executor, err)
	}
	c := newCluster()
	c.executor, c.token = executor, 1
	c.executor.SetRouters(routers)
	c.run(t)
	state.Update(executor, 2)
	if ended, unreported := state.UnreportedEnd(); !unreported || ended.Number != 2 || !strings.HasPrefix(ended.Text, "done") {
		t.Errorf("%+v, %v", ended, unreported)
	}
	rank := state.rank
	state.BeginLease(token)
	if executor, _ := state.StartOrder(settings, order, nil, 0); executor != nil || state.rank != rank || rank == 0 {
		t.Error("the order was started again or the rank was reset under the same token:", state.rank, rank)
	}
	if executor, _ := state.StartOrder(settings, leasestate.Order{Number: 1, Text: FormatOrder("m3")}, nil, 0); executor != nil {
		t.Error("an earlier order was started")
	}
	state.EndReported(1)
	if _, unreported := state.UnreportedEnd(); !unreported {
		t.Error("the report of another order's end was accepted for this order")
	}
	if state.EndReported(2); state.endUnreported {
		t.Error("the end is still unreported after the report")
	}
	if _, err := state.StartOrder(settings, leasestate.Order{Number: 3, Text: "unknown"}, nil, 0); err == nil || !state.endUnreported {
		t.Error("an order of an unknown format must also end:", err)
	}
	state.rank = 1<<RankBits - 1
	if !state.NeedsNewToken() {
		t.Error("no new token is required although no ranks are left")
	}
	if state.BeginLease(lease.Token{Epoch: 1, Count: 5}); state != (OrderState{token: lease.Token{Epoch: 1, Count: 5}}) {
		t.Errorf("state under a new token: %+v", state)
	}
}
