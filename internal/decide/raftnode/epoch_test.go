package raftnode

import (
	"testing"

	"wayloft/internal/decide/lease"
	"wayloft/internal/decide/leasestate"
)

// begin is a coordinator of one that begins by this epoch and with a session, s.
func begin(t *testing.T, epoch, above uint64) *alone {
	t.Helper()
	n, fresh, err := New(Settings{Fleet: "f", Name: "c1", Peers: []Peer{{Name: "c1"}}, Epoch: epoch, Above: above, Tick: 10, Keep: 100, Log: quiet()},
		Stored{})
	if err != nil {
		t.Fatal(err)
	}
	a := &alone{t: t, n: n, now: 1, done: map[uint64]leasestate.Result{}}
	a.store(*fresh)
	a.pass(500)
	a.do(leasestate.Entry{Kind: leasestate.OpenSession, Session: "s", Incarnation: 1, Timeout: 60000})
	return a
}

func (a *alone) take() leasestate.Result {
	return a.do(leasestate.Entry{Kind: leasestate.AcquireLease, Session: "s", Incarnation: 1, Lease: "d"})
}

// A coordinator that is begun anew after its wall clock went back comes into an epoch of the past. Receivers refuse what it grants and say
// so; it then grants nothing until an operator has begun an epoch above the one that they saw.
func TestEpoch_BegunAnewAfterClockWentBack(t *testing.T) {
	scope, receiver := lease.Scope{Lease: "d", Subject: "d"}, lease.NewReceiver()
	was := begin(t, 5000, 0).take().Token
	receiver.TokenLearned("d", was)
	anew := begin(t, 1400, 0)
	granted := anew.take()
	verdict, seen := receiver.Check(scope, "s", granted.Token)
	if !granted.Held || granted.Token.Epoch != 1400 || verdict != lease.Stale || seen != was {
		t.Fatalf("granted %+v, which the receiver judges %v, %v", granted, verdict, seen)
	}
	anew.do(leasestate.Entry{Kind: leasestate.ReportToken, Lease: "d", Token: seen})
	if a := anew.take(); a.Held {
		t.Fatalf("granted again in an epoch of the past: %+v", a)
	}
	d, _ := anew.n.State().Lease("d")
	anew.do(leasestate.Entry{Kind: leasestate.BeginEpoch, Epoch: d.ForeignToken.Epoch + 1}) // as coordinator recover does
	granted = anew.take()
	if verdict, _ := receiver.Check(scope, "s", granted.Token); !granted.Held || verdict != lease.Accepted {
		t.Errorf("granted %+v, which the receiver judges %v", granted, verdict)
	}
}

// Whoever begins it may say which epoch has been: then it is above from the start.
func TestEpoch_BegunAboveAnother(t *testing.T) {
	for _, c := range []struct{ clock, above, want uint64 }{{1400, 5000, 5001}, {5000, 1400, 5000}, {5000, 5000, 5001}, {5000, 0, 5000}} {
		if got := begin(t, c.clock, c.above).take().Token; got != (lease.Token{Epoch: c.want, Count: 1}) {
			t.Errorf("%+v: granted under %v", c, got)
		}
	}
}

// What lies between two entries is counted on the leader's own clock: processes whose clocks have nothing in common, as those of
// machines that were booted years apart, hand over without ending a session or giving it more than its length again.
func TestTimeIsCountedOnTheLeadersOwnClock(t *testing.T) {
	const length = 2000
	c := three(t)
	ahead := map[*Node]float64{c.nodes[0]: 0, c.nodes[1]: 1e9, c.nodes[2]: 1e11}
	at := func(now float64) {
		c.now = now
		for _, n := range c.nodes {
			n.Advance(now + ahead[n])
		}
		c.settle()
	}
	do := func(e leasestate.Entry) leasestate.Result {
		c.number++
		c.leader().Propose(c.number, e)
		for number, end := c.number, c.now+500; c.now < end; {
			if a, done := c.done[number]; done {
				return a
			}
			at(c.now + 10)
		}
		t.Fatalf("%+v is not answered", e)
		return leasestate.Result{}
	}
	for c.leader() == nil {
		at(c.now + 10)
	}
	do(leasestate.Entry{Kind: leasestate.OpenSession, Session: "s", Incarnation: 1, Timeout: length})
	led := map[*Node]bool{}
	for range 6 {
		old := c.leader()
		led[old] = true
		to := c.nodes[0]
		for _, n := range c.nodes {
			if !led[n] || led[to] && n != old {
				to = n
			}
		}
		began, counted := c.now, old.State().Now()
		old.raw.TransferLeader(to.id)
		for c.leader() != to {
			at(c.now + 10)
		}
		if a := do(leasestate.Entry{Kind: leasestate.KeepAlive, Session: "s", Incarnation: 1}); !a.Held {
			t.Fatalf("the session ended where another began to lead: %+v", a)
		}
		if passed, took := float64(to.State().Now()-counted), c.now-began; passed > took+100 {
			t.Fatalf("%v ms are counted for %v", passed, took)
		}
	}
	if len(led) != len(c.nodes) {
		t.Errorf("%d of %d led", len(led), len(c.nodes))
	}
	heard := c.now
	for _, open := c.leader().State().Session("s"); open; _, open = c.leader().State().Session("s") {
		at(c.now + 10)
	}
	if took := c.now - heard; took < length || took > length+500 {
		t.Errorf("a silent session ended after %v ms, not %d", took, length)
	}
}
