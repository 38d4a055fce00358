package fleet

import (
	"context"
	"net"
	"testing"

	"wayloft/internal/decide/healthshare"
	"wayloft/internal/decide/policy"
)

// listing is a router whose list is looked at.
type listing struct {
	groups map[int][]Member
	asked  chan bool
}

func (r *listing) Post(f func())                   { f() }
func (r *listing) Now() float64                    { return 0 }
func (r *listing) HealthCheck(string)              {}
func (r *listing) PeerReported(healthshare.Report) {}
func (r *listing) HoldWrites(int, float64)         {}
func (r *listing) Writes(int) (int, int)           { return 0, 0 }
func (r *listing) ApplyPolicy(policy.Version, policy.Document) error {
	return nil
}
func (r *listing) Groups() map[int][]Member {
	r.asked <- true
	return r.groups
}

// Guards against a fleet's part that goes over all groups again and again, where the list has not changed.
func TestTheListIsLookedAtWhereItChanges(t *testing.T) {
	r := &listing{asked: make(chan bool, 100)}
	l := New(Settings{Fleet: "f", Name: "r", Kind: "router", Coordinators: []string{"127.0.0.1:1"}, SessionTimeout: 2000, SafetyMargin: 200}, r)
	l.agent.Shutdown() // it asks nothing of a coordinator
	for range 20 {
		l.set.ClockOffset += 1000
		l.turn()
	}
	if n := len(l.hosted); n != 1 {
		t.Fatalf("in 20 s without a change the router was asked %d times which groups there are, not once", n)
	}
	// What it was asked first comes in last.
	l.lookAt = 0
	l.turn()
	first, second := <-l.hosted, <-l.hosted
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
func TestAChangeIsLookedAt(t *testing.T) {
	r := &listing{asked: make(chan bool)}
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
