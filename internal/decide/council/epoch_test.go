package council

import (
	"testing"

	"wayloft/internal/decide/lease"
	"wayloft/internal/decide/register"
)

// begin is a council of one that begins by this epoch and with a session, s.
func begin(t *testing.T, epoch, above uint64) *alone {
	t.Helper()
	n, fresh, err := New(Settings{Fleet: "f", Name: "c1", Peers: []Peer{{Name: "c1"}}, Epoch: epoch, Above: above, Tick: 10, Keep: 100, Log: quiet()},
		Stored{})
	if err != nil {
		t.Fatal(err)
	}
	a := &alone{t: t, n: n, now: 1, done: map[uint64]register.Answer{}}
	a.store(*fresh)
	a.pass(500)
	a.do(register.Entry{Kind: register.Open, Session: "s", Incarnation: 1, Length: 60000})
	return a
}

func (a *alone) take() register.Answer {
	return a.do(register.Entry{Kind: register.Take, Session: "s", Incarnation: 1, Duty: "d"})
}

// A council that is begun anew after its wall clock went back comes into an epoch of the past. Receivers refuse what it grants and say
// so; it then grants nothing until an operator has begun an epoch above the one that they saw.
func TestEpoch_BegunAnewAfterClockWentBack(t *testing.T) {
	scope, receiver := lease.Scope{Duty: "d", About: "d"}, lease.NewReceiver()
	was := begin(t, 5000, 0).take().Fence
	receiver.Learned("d", was)
	anew := begin(t, 1400, 0)
	granted := anew.take()
	verdict, seen := receiver.Take(scope, "s", granted.Fence)
	if !granted.Held || granted.Fence.Epoch != 1400 || verdict != lease.Old || seen != was {
		t.Fatalf("granted %+v, which the receiver judges %v, %v", granted, verdict, seen)
	}
	anew.do(register.Entry{Kind: register.Told, Duty: "d", Fence: seen})
	if a := anew.take(); a.Held {
		t.Fatalf("granted again in an epoch of the past: %+v", a)
	}
	d, _ := anew.n.Register().Duty("d")
	anew.do(register.Entry{Kind: register.Ascend, Epoch: d.Barred.Epoch + 1}) // as council recover does
	granted = anew.take()
	if verdict, _ := receiver.Take(scope, "s", granted.Fence); !granted.Held || verdict != lease.Taken {
		t.Errorf("granted %+v, which the receiver judges %v", granted, verdict)
	}
}

// Whoever begins it may say which epoch has been: then it is above from the start.
func TestEpoch_BegunAboveAnother(t *testing.T) {
	for _, c := range []struct{ clock, above, want uint64 }{{1400, 5000, 5001}, {5000, 1400, 5000}, {5000, 5000, 5001}, {5000, 0, 5000}} {
		if got := begin(t, c.clock, c.above).take().Fence; got != (lease.Fence{Epoch: c.want, Count: 1}) {
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
			n.At(now + ahead[n])
		}
		c.settle()
	}
	do := func(e register.Entry) register.Answer {
		c.number++
		c.leader().Do(c.number, e)
		for number, end := c.number, c.now+500; c.now < end; {
			if a, done := c.done[number]; done {
				return a
			}
			at(c.now + 10)
		}
		t.Fatalf("%+v is not answered", e)
		return register.Answer{}
	}
	for c.leader() == nil {
		at(c.now + 10)
	}
	do(register.Entry{Kind: register.Open, Session: "s", Incarnation: 1, Length: length})
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
		began, counted := c.now, old.Register().Now()
		old.raw.TransferLeader(to.id)
		for c.leader() != to {
			at(c.now + 10)
		}
		if a := do(register.Entry{Kind: register.Beat, Session: "s", Incarnation: 1}); !a.Held {
			t.Fatalf("the session ended where another began to lead: %+v", a)
		}
		if passed, took := float64(to.Register().Now()-counted), c.now-began; passed > took+100 {
			t.Fatalf("%v ms are counted for %v", passed, took)
		}
	}
	if len(led) != len(c.nodes) {
		t.Errorf("%d of %d led", len(led), len(c.nodes))
	}
	heard := c.now
	for _, open := c.leader().Register().Session("s"); open; _, open = c.leader().Register().Session("s") {
		at(c.now + 10)
	}
	if took := c.now - heard; took < length || took > length+500 {
		t.Errorf("a silent session ended after %v ms, not %d", took, length)
	}
}
