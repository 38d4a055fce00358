package fleet

import (
	"context"
	"testing"

	"wayloft/internal/decide/healthshare"
	"wayloft/internal/decide/lease"
	"wayloft/internal/decide/policy"
	"wayloft/internal/decide/switchover"
	"wayloft/internal/fleetpb"
)

// fakeRouter is a router that signals when its groups are read.
type fakeRouter struct {
	groups map[int][]Member
	asked  chan bool
}

func (r *fakeRouter) Post(f func())                   { f() }
func (r *fakeRouter) Now() float64                    { return 0 }
func (r *fakeRouter) HealthCheck(string)              {}
func (r *fakeRouter) PeerReported(healthshare.Report) {}
func (r *fakeRouter) HoldWrites(int, float64)         {}
func (r *fakeRouter) Writes(int) (int, int)           { return 0, 0 }
func (r *fakeRouter) ApplyPolicy(policy.Version, policy.Document) error {
	return nil
}
func (r *fakeRouter) Groups() map[int][]Member {
	r.asked <- true
	return r.groups
}

// The groups are requested from the router once per change of its endpoint list, and an older list never replaces a newer one.
func TestNode_GroupsAreReadOnlyAfterAChange(t *testing.T) {
	router := &fakeRouter{asked: make(chan bool, 100)}
	node := New(testSettings("f", "127.0.0.1:1"), router)
	node.leases.Shutdown() // so that it sends no requests to a coordinator
	for range 20 {
		node.settings.ClockOffsetMs += 1000
		node.advance()
	}
	if n := len(node.routerCalls); n != 1 {
		t.Fatalf("groups requested %d times in 20 s without a change, want once", n)
	}
	// The response to the first request arrives last.
	node.groupsDueAt = 0
	node.advance()
	first, second := <-node.routerCalls, <-node.routerCalls
	router.groups = map[int][]Member{2: nil}
	second()
	(<-node.mailbox)()
	router.groups = map[int][]Member{1: nil}
	first()
	(<-node.mailbox)()
	if _, there := node.groups[2]; !there || len(node.groups) != 1 {
		t.Errorf("got groups %v: an older list has replaced a newer one", node.groups)
	}
}

// Write holds are only accessed on the router's event loop. A list of groups is applied on the node's event loop while the router's event
// loop applies an order; the race detector finds shared access.
func TestNode_WriteHoldsBelongToTheRoutersLoop(t *testing.T) {
	router := &fakeRouter{asked: make(chan bool, 100), groups: map[int][]Member{1: nil}}
	settings := testSettings("f", "127.0.0.1:1")
	settings.MaxHoldMs = 1000
	node := New(settings, router)
	node.leases.Shutdown() // so that it sends no requests to a coordinator
	hold := &fleetpb.Hold{Group: 1, Number: 1, MostMs: 500}
	token := lease.Token{Epoch: 1, Count: 1}
	header := orderHeader{scope: lease.Scope{Lease: switchover.LeaseName(1)}, token: token}
	listed := make(chan struct{})
	go func() {
		defer close(listed)
		node.applyGroups(router.groups)
	}()
	node.applyHold(hold, header, 0, &fleetpb.Verdict{})
	<-listed
	if until := node.writeHolds.Hold(1, token, 1, 500, 0); until == 0 {
		t.Error("the write hold of a listed group was discarded")
	}
	router.groups = map[int][]Member{2: nil}
	node.requestGroups(0)
	(<-node.routerCalls)()
	if until := node.writeHolds.Hold(1, token, 1, 500, 2000); until != 2500 {
		t.Errorf("held until %v, want 2500: the write hold of a removed group was kept", until)
	}
}

// Each change of the endpoint list leads to a request for the groups.
func TestNode_GroupsAreReadAfterEachChange(t *testing.T) {
	router := &fakeRouter{asked: make(chan bool)}
	node := New(testSettings("f", "127.0.0.1:1"), router)
	ctx, cancel := context.WithCancel(context.Background())
	go node.Run(ctx, listen(t))
	<-router.asked
	for range 3 {
		node.GroupsChanged()
		<-router.asked
	}
	cancel()
	<-node.Done()
}
