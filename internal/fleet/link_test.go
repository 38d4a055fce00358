package fleet

import (
	"context"
	"net"
	"testing"

	"wayloft/internal/decide/healthshare"
	"wayloft/internal/decide/policy"
)

// fakeRouter is a router whose list is looked at.
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

// Guards against a fleet's part that goes over all groups again and again, where the list has not changed.
func TestNode_GroupsAreReadOnlyAfterAChange(t *testing.T) {
	r := &fakeRouter{asked: make(chan bool, 100)}
	l := New(Settings{Fleet: "f", Name: "r", Kind: "router", Coordinators: []string{"127.0.0.1:1"}, SessionTimeout: 2000, SafetyMargin: 200}, r)
	l.leases.Leave() // it asks nothing of a coordinator
	for range 20 {
		l.settings.ClockOffset += 1000
		l.advance()
	}
	if n := len(l.routerCalls); n != 1 {
		t.Fatalf("in 20 s without a change the router was asked %d times which groups there are, not once", n)
	}
	// What it was asked first comes in last.
	l.nextGroups = 0
	l.advance()
	first, second := <-l.routerCalls, <-l.routerCalls
	r.groups = map[int][]Member{2: nil}
	second()
	(<-l.inbox)()
	r.groups = map[int][]Member{1: nil}
	first()
	(<-l.inbox)()
	if _, there := l.groups[2]; !there || len(l.groups) != 1 {
		t.Errorf("%v are its groups: an earlier list has taken the place of a later one", l.groups)
	}
}

// Guards against a change that is not heard of.
func TestNode_GroupsAreReadAfterEachChange(t *testing.T) {
	r := &fakeRouter{asked: make(chan bool)}
	l := New(Settings{Fleet: "f", Name: "r", Kind: "router", Coordinators: []string{"127.0.0.1:1"}, SessionTimeout: 2000, SafetyMargin: 200}, r)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	go l.Run(ctx, listener)
	<-r.asked
	for range 3 {
		l.Changed()
		<-r.asked
	}
	cancel()
	<-l.Ended()
}
