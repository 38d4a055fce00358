package switchover

import (
	"strings"
	"testing"

	"wayloft/internal/decide/lease"
	"wayloft/internal/decide/leasestate"
)

// What a process remembers of a lease outlives a gap under the same fencing token, not another grant; an order's end is unreported until
// the coordinator has recorded it.
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
		t.Error("the same token again: the order is started anew, or ranks are", state.rank, rank)
	}
	if executor, _ := state.StartOrder(settings, leasestate.Order{Number: 1, Text: FormatOrder("m3")}, nil, 0); executor != nil {
		t.Error("an earlier order was started")
	}
	state.EndReported(1)
	if _, unreported := state.UnreportedEnd(); !unreported {
		t.Error("another order's end was reported")
	}
	if state.EndReported(2); state.endUnreported {
		t.Error("reported, and still unreported")
	}
	if _, err := state.StartOrder(settings, leasestate.Order{Number: 3, Text: "away"}, nil, 0); err == nil || !state.endUnreported {
		t.Error("an order of an unknown form must end, too:", err)
	}
	state.rank = 1<<RankBits - 1
	if !state.NeedsNewToken() {
		t.Error("no ranks are left")
	}
	if state.BeginLease(lease.Token{Epoch: 1, Count: 5}); state != (OrderState{token: lease.Token{Epoch: 1, Count: 5}}) {
		t.Errorf("another token: %+v", state)
	}
}
