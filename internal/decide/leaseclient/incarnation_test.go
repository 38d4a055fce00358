package leaseclient

import (
	"fmt"
	"testing"

	"wayloft/internal/decide/leasestate"
	"wayloft/internal/decide/random"
)

const (
	hour  = 3600 * 1000
	today = 1_796_000_000_000 // Unix ms
)

// namesakes are processes of one name, each with an agent of its own, before one state machine. Each call of tick lets 10 ms go by for
// all; a stopped one is fed nothing.
type namesakes struct {
	t        *testing.T
	r        *leasestate.State
	index    uint64
	now      float64
	agents   []*Client
	stopped  map[*Client]bool
	cut      map[*Client]bool // requests bring no answer and arrive nowhere
	silenced map[*Client]bool // requests arrive, and their answers are lost
}

func newNamesakes(t *testing.T) *namesakes {
	return &namesakes{t: t, r: leasestate.New("f"), stopped: map[*Client]bool{}, cut: map[*Client]bool{}, silenced: map[*Client]bool{}}
}

const sessionTimeout = 1000

func (n *namesakes) begin(wall uint64) *Client {
	a := New(Settings{Name: "p", Role: "router", Incarnation: wall, SessionTimeout: sessionTimeout, SafetyMargin: 100, Seed: wall})
	a.Advance(n.now)
	n.agents = append(n.agents, a)
	return a
}

func (n *namesakes) apply(e leasestate.Entry) leasestate.Result {
	n.index++
	return n.r.Apply(n.index, e)
}

func (n *namesakes) tick() {
	n.now += 10
	n.apply(leasestate.Entry{Kind: leasestate.AdvanceTime, Elapsed: 10})
	for _, a := range n.agents {
		if !n.stopped[a] {
			n.turn(a)
		}
	}
}

func (n *namesakes) turn(a *Client) {
	a.Advance(n.now)
	for d, more := a.Next(); more; d, more = a.Next() {
		switch {
		case n.cut[a]:
			a.Failed(d.Request)
		case n.silenced[a]:
			n.apply(d.Entry)
			a.Failed(d.Request)
		default:
			a.Answered(d.Request, n.apply(d.Entry))
		}
	}
}

func (n *namesakes) pass(ms float64) {
	for end := n.now + ms; n.now < end; {
		n.tick()
	}
}

// has tells whether the name's session is this process's.
func (n *namesakes) has(a *Client) bool {
	s, open := n.r.Session("p")
	return open && s.Incarnation == a.self.current && a.HasSession()
}

func (n *namesakes) want(a *Client, what string) {
	n.t.Helper()
	if !n.has(a) {
		s, open := n.r.Session("p")
		n.t.Fatalf("%s: the session is %d (open: %v), not the expected process's (%d, open: %v)", what, s.Incarnation, open, a.self.current, a.HasSession())
	}
}

// A process that is started after the wall clock went back takes its predecessor's name at once.
func TestIncarnation_StartAfterClockWentBack(t *testing.T) {
	n := newNamesakes(t)
	first := n.begin(today)
	n.pass(100)
	n.want(first, "first start")
	n.stopped[first] = true // killed
	for start := range uint64(3) {
		next := n.begin(today - (start+1)*hour)
		n.tick()
		n.want(next, "start after the clock went back")
		n.stopped[next] = true
	}
}

// A process that was stopped for longer than its session's length, while another was started under its name by an earlier wall clock,
// doesn't win the name back when it runs again.
func TestIncarnation_StoppedProcessDoesNotWinItsNameBack(t *testing.T) {
	for _, back := range []uint64{hour, 3000} {
		n := newNamesakes(t)
		former := n.begin(today)
		n.pass(100)
		n.stopped[former] = true
		n.pass(3 * sessionTimeout)
		later := n.begin(today - back)
		n.pass(100)
		n.want(later, "later process")
		n.stopped[former] = false
		for range 2000 {
			n.tick()
			n.want(later, "the former process runs again")
		}
		if later.Reopened != 0 {
			t.Error("the later process lost its session", later.Reopened, "times")
		}
	}
}

// What was stopped before its first session was opened has met nobody, and still is the former one.
func TestIncarnation_StoppedBeforeItsFirstSession(t *testing.T) {
	n := newNamesakes(t)
	former := n.begin(today)
	n.stopped[former] = true
	n.pass(1.5 * sessionTimeout)
	later := n.begin(today - hour)
	n.pass(100)
	n.want(later, "later process")
	n.stopped[former] = false
	n.pass(20 * sessionTimeout)
	n.want(later, "the former process runs again")
	if later.Reopened != 0 {
		t.Error("the later process lost its session")
	}
}

// The same where the refusal of its first request is what it was stopped before.
func TestIncarnation_StoppedBeforeItsFirstAnswer(t *testing.T) {
	n := newNamesakes(t)
	killed := n.begin(today + hour)
	n.pass(100)
	n.stopped[killed] = true
	former := n.begin(today)
	former.Advance(n.now)
	d, _ := former.Next()
	refusal := n.apply(d.Entry)
	n.stopped[former] = true
	n.pass(1.5 * sessionTimeout)
	later := n.begin(today - hour)
	n.pass(100)
	n.want(later, "later process")
	n.stopped[former] = false
	former.Advance(n.now)
	former.Answered(d.Request, refusal)
	n.pass(20 * sessionTimeout)
	n.want(later, "the former process runs again")
}

// A process that once met a later one of its name stays below it, also where both must open a session again.
func TestIncarnation_FormerProcessYieldsForGood(t *testing.T) {
	n := newNamesakes(t)
	former := n.begin(today)
	n.pass(100)
	n.stopped[former] = true
	n.pass(3 * sessionTimeout)
	later := n.begin(today - hour)
	n.pass(100)
	n.stopped[former] = false
	n.pass(10 * sessionTimeout)
	n.want(later, "before")
	n.cut[later] = true
	n.pass(10 * sessionTimeout)
	n.want(former, "the later process is cut off for long: the name is free")
	n.cut[later] = false
	n.pass(10 * sessionTimeout)
	n.want(later, "the later process is back")
}

// With a clock that goes on, the process that was started last has the name, whoever loses sessions.
func TestIncarnation_LastStartedHasTheName(t *testing.T) {
	n := newNamesakes(t)
	former := n.begin(today)
	n.pass(100)
	later := n.begin(today + 5000)
	n.pass(5 * sessionTimeout)
	n.want(later, "both run")
	n.cut[later], n.cut[former] = true, true
	n.pass(5 * sessionTimeout)
	n.cut[former] = false
	n.pass(5 * sessionTimeout)
	n.want(former, "the later one is cut off")
	n.cut[later] = false
	n.pass(5 * sessionTimeout)
	n.want(later, "it is back")
}

// A request whose answer was lost may have been granted: who meets a higher incarnation after it can't tell whether that one was there
// before, and waits.
func TestIncarnation_UnknownOutcomeClaimsNothing(t *testing.T) {
	n := newNamesakes(t)
	former := n.begin(today - hour)
	n.silenced[former] = true
	n.tick() // granted, and it doesn't know
	n.someSession()
	later := n.begin(today)
	n.tick()
	n.want(later, "later process")
	n.silenced[former] = false
	n.pass(20 * sessionTimeout)
	n.want(later, "the former process asks again")
	if later.Reopened != 0 {
		t.Error("the later process lost its session")
	}
}

// someSession fails unless some session is open.
func (n *namesakes) someSession() {
	n.t.Helper()
	if _, open := n.r.Session("p"); !open {
		n.t.Fatal("no session")
	}
}

// A process that comes to a coordinator which restored an older state, with its own first session in it, gets its name back.
func TestIncarnation_OwnOlderSession(t *testing.T) {
	n := newNamesakes(t)
	a := n.begin(today)
	n.pass(100)
	older := n.r.Snapshot()
	n.cut[a] = true
	n.pass(3 * sessionTimeout)
	n.cut[a] = false
	n.pass(3 * sessionTimeout)
	n.want(a, "opened again")
	below := a.self.current
	restored, err := leasestate.Restore("f", older)
	if err != nil {
		t.Fatal(err)
	}
	n.r = restored
	n.pass(5 * sessionTimeout)
	n.want(a, "after the restore")
	if a.self.current-below > 10 {
		t.Errorf("it took its own session for another's: %d after %d", a.self.current, below)
	}
}

// Who is told nothing of the incarnation that has the name, by a coordinator of an earlier build, waits for its end.
func TestIncarnation_RefusedWithoutNumber(t *testing.T) {
	i, draw := newIncarnation(today), random.Source{Seed: 1}
	if i.refused(0, 10, &draw) || i.current != today/reopenedPart {
		t.Errorf("%+v", i)
	}
}

// Of two that are started together, the later one may ask first: it keeps the name.
func TestIncarnation_TwoStartsTogether(t *testing.T) {
	n := newNamesakes(t)
	former := n.begin(today)
	n.stopped[former] = true
	n.pass(500)
	later := n.begin(today + 500)
	n.tick()
	n.want(later, "later process")
	n.stopped[former] = false
	n.pass(20 * sessionTimeout)
	n.want(later, "the former process asks, too")
	if later.Reopened != 0 {
		t.Error("the later process lost its session")
	}
}

// A number is taken above a predecessor's once: who has the name at the second refusal came after the first request.
func TestIncarnation_ClaimsOnce(t *testing.T) {
	i, draw := newIncarnation(today), random.Source{Seed: 1}
	if !i.refused(today+hour, 10, &draw) || i.current <= today+hour || i.current > today+hour+1+apart {
		t.Errorf("%+v", i)
	}
	if i.refused(today+2*hour, 10, &draw) || i.current >= reopenedBelow {
		t.Errorf("%+v", i)
	}
}

// No two sessions of one process have one number, and a clock that was never set gives numbers in order, too.
func TestIncarnation_Numbers(t *testing.T) {
	for _, wall := range []uint64{0, 1, 1000, today, reopenedBelow - 1} {
		i, seen := newIncarnation(wall), map[uint64]bool{}
		first := i.current
		for range 100 {
			if seen[i.current] || first < reopenedBelow {
				t.Fatalf("%d: %+v", wall, i)
			}
			seen[i.current] = true
			i.opened()
			if i.reopen(); i.current >= reopenedBelow {
				t.Fatalf("%d: %+v", wall, i)
			}
		}
	}
	if before, after := newIncarnation(1000), newIncarnation(2000); before.current >= after.current || reopened(before.current) >= reopened(after.current) {
		t.Error("out of order")
	}
}

// A process's clock is its own: where one machine was booted years before another, its sessions and leases are as long.
func TestClocksOfTwoMachinesHaveNothingInCommon(t *testing.T) {
	var log []string
	for _, booted := range []float64{0, 1e11} {
		s := sit(t, "d")
		s.a.Advance(booted)
		s.now = booted
		starts, stops := s.to(booted+5000, true)
		_, may := s.a.Valid("d")
		_, ended := s.to(booted+7000, false)
		log = append(log, fmt.Sprint(starts, stops, may, ended, s.log))
	}
	if log[0] != log[1] {
		t.Errorf("%s\n%s", log[0], log[1])
	}
}
