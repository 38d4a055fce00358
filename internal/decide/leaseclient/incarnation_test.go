package leaseclient

import (
	"testing"

	"wayloft/internal/decide/leasestate"
	"wayloft/internal/decide/random"
)

const (
	hour  = 3600 * 1000
	today = 1_796_000_000_000 // Unix ms
)

// namesakes are processes of one name, each with a client of its own, before one state machine. Each call of tick lets 10 ms go by for
// all; a stopped one is fed nothing.
type namesakes struct {
	t        *testing.T
	state    *leasestate.State
	index    uint64
	now      float64
	clients  []*Client
	stopped  map[*Client]bool
	cut      map[*Client]bool // requests bring no answer and arrive nowhere
	silenced map[*Client]bool // requests arrive, and their answers are lost
}

func newNamesakes(t *testing.T) *namesakes {
	t.Helper()
	return &namesakes{t: t, state: leasestate.New("f"), stopped: map[*Client]bool{}, cut: map[*Client]bool{}, silenced: map[*Client]bool{}}
}

const sessionTimeout = 1000

func (n *namesakes) start(wall uint64) *Client {
	client := New(Settings{Name: "p", Role: "router", Incarnation: wall, SessionTimeout: sessionTimeout, SafetyMargin: 100, Seed: wall})
	client.Advance(n.now)
	n.clients = append(n.clients, client)
	return client
}

func (n *namesakes) apply(e leasestate.Entry) leasestate.Result {
	n.index++
	return n.state.Apply(n.index, e)
}

func (n *namesakes) tick() {
	n.now += 10
	n.apply(leasestate.Entry{Kind: leasestate.AdvanceTime, Elapsed: 10})
	for _, client := range n.clients {
		if !n.stopped[client] {
			n.carryOut(client)
		}
	}
}

func (n *namesakes) carryOut(client *Client) {
	client.Advance(n.now)
	for d, more := client.Next(); more; d, more = client.Next() {
		switch {
		case n.cut[client]:
			client.Failed(d.Request)
		case n.silenced[client]:
			n.apply(d.Entry)
			client.Failed(d.Request)
		default:
			client.Answered(d.Request, n.apply(d.Entry))
		}
	}
}

func (n *namesakes) run(ms float64) {
	for end := n.now + ms; n.now < end; {
		n.tick()
	}
}

// hasSession reports whether the name's session is this process's.
func (n *namesakes) hasSession(client *Client) bool {
	s, open := n.state.Session("p")
	return open && s.Incarnation == client.incarnation.current && client.HasSession()
}

func (n *namesakes) requireSessionOf(client *Client, what string) {
	n.t.Helper()
	if !n.hasSession(client) {
		s, open := n.state.Session("p")
		n.t.Fatalf("%s: the session is %d (open: %v), not the expected process's (%d, open: %v)",
			what, s.Incarnation, open, client.incarnation.current, client.HasSession())
	}
}

// A process that is started after the wall clock went back takes its predecessor's name at once.
func TestIncarnation_StartAfterClockWentBack(t *testing.T) {
	n := newNamesakes(t)
	first := n.start(today)
	n.run(100)
	n.requireSessionOf(first, "first start")
	n.stopped[first] = true // killed
	for start := range uint64(3) {
		next := n.start(today - (start+1)*hour)
		n.tick()
		n.requireSessionOf(next, "start after the clock went back")
		n.stopped[next] = true
	}
}

// A process that was stopped for longer than its session's timeout, while another was started under its name by an earlier wall clock,
// doesn't win the name back when it runs again.
func TestIncarnation_StoppedProcessDoesNotWinItsNameBack(t *testing.T) {
	for _, back := range []uint64{hour, 3000} {
		n := newNamesakes(t)
		former := n.start(today)
		n.run(100)
		n.stopped[former] = true
		n.run(3 * sessionTimeout)
		later := n.start(today - back)
		n.run(100)
		n.requireSessionOf(later, "later process")
		n.stopped[former] = false
		for range 2000 {
			n.tick()
			n.requireSessionOf(later, "the former process runs again")
		}
		if later.Reopened != 0 {
			t.Error("the later process lost its session", later.Reopened, "times")
		}
	}
}

// A process that was stopped before its first session was opened has met no other process, and still is the former one.
func TestIncarnation_StoppedBeforeItsFirstSession(t *testing.T) {
	n := newNamesakes(t)
	former := n.start(today)
	n.stopped[former] = true
	n.run(1.5 * sessionTimeout)
	later := n.start(today - hour)
	n.run(100)
	n.requireSessionOf(later, "later process")
	n.stopped[former] = false
	n.run(20 * sessionTimeout)
	n.requireSessionOf(later, "the former process runs again")
	if later.Reopened != 0 {
		t.Error("the later process lost its session")
	}
}

// The same where it was stopped before it received the refusal of its first request.
func TestIncarnation_StoppedBeforeItsFirstAnswer(t *testing.T) {
	n := newNamesakes(t)
	killed := n.start(today + hour)
	n.run(100)
	n.stopped[killed] = true
	former := n.start(today)
	former.Advance(n.now)
	d, _ := former.Next()
	refusal := n.apply(d.Entry)
	n.stopped[former] = true
	n.run(1.5 * sessionTimeout)
	later := n.start(today - hour)
	n.run(100)
	n.requireSessionOf(later, "later process")
	n.stopped[former] = false
	former.Advance(n.now)
	former.Answered(d.Request, refusal)
	n.run(20 * sessionTimeout)
	n.requireSessionOf(later, "the former process runs again")
}

// A process that once met a later one of its name stays below it, also where both must open a session again.
func TestIncarnation_FormerProcessStaysBelowLaterOne(t *testing.T) {
	n := newNamesakes(t)
	former := n.start(today)
	n.run(100)
	n.stopped[former] = true
	n.run(3 * sessionTimeout)
	later := n.start(today - hour)
	n.run(100)
	n.stopped[former] = false
	n.run(10 * sessionTimeout)
	n.requireSessionOf(later, "before")
	n.cut[later] = true
	n.run(10 * sessionTimeout)
	n.requireSessionOf(former, "the later process is cut off for long: the name is free")
	n.cut[later] = false
	n.run(10 * sessionTimeout)
	n.requireSessionOf(later, "the later process is back")
}

// With a clock that goes on, the process that was started last has the name, whoever loses sessions.
func TestIncarnation_LastStartedHasTheName(t *testing.T) {
	n := newNamesakes(t)
	former := n.start(today)
	n.run(100)
	later := n.start(today + 5000)
	n.run(5 * sessionTimeout)
	n.requireSessionOf(later, "both run")
	n.cut[later], n.cut[former] = true, true
	n.run(5 * sessionTimeout)
	n.cut[former] = false
	n.run(5 * sessionTimeout)
	n.requireSessionOf(former, "the later one is cut off")
	n.cut[later] = false
	n.run(5 * sessionTimeout)
	n.requireSessionOf(later, "it is back")
}

// A request whose answer was lost may have been granted: who meets a higher incarnation after it can't know whether that one was there
// before, and waits.
func TestIncarnation_UnknownOutcomeClaimsNothing(t *testing.T) {
	n := newNamesakes(t)
	former := n.start(today - hour)
	n.silenced[former] = true
	n.tick() // granted, and it doesn't know
	n.requireSomeSession()
	later := n.start(today)
	n.tick()
	n.requireSessionOf(later, "later process")
	n.silenced[former] = false
	n.run(20 * sessionTimeout)
	n.requireSessionOf(later, "the former process asks again")
	if later.Reopened != 0 {
		t.Error("the later process lost its session")
	}
}

// requireSomeSession fails unless some session is open.
func (n *namesakes) requireSomeSession() {
	n.t.Helper()
	if _, open := n.state.Session("p"); !open {
		n.t.Fatal("no session")
	}
}

// A process that comes to a coordinator which restored an older state, with its own first session in it, gets its name back.
func TestIncarnation_OwnOlderSession(t *testing.T) {
	n := newNamesakes(t)
	client := n.start(today)
	n.run(100)
	older := n.state.Snapshot()
	n.cut[client] = true
	n.run(3 * sessionTimeout)
	n.cut[client] = false
	n.run(3 * sessionTimeout)
	n.requireSessionOf(client, "opened again")
	below := client.incarnation.current
	restored, err := leasestate.Restore("f", older)
	if err != nil {
		t.Fatal(err)
	}
	n.state = restored
	n.run(5 * sessionTimeout)
	n.requireSessionOf(client, "after the restore")
	if client.incarnation.current-below > 10 {
		t.Errorf("it took its own session for another's: %d after %d", client.incarnation.current, below)
	}
}

// A process to which a coordinator of an earlier build doesn't name the incarnation that has its name waits for that session's end.
func TestIncarnation_RefusedWithoutNumber(t *testing.T) {
	i, draw := newIncarnation(today), random.Source{Seed: 1}
	if i.refused(0, 10, &draw) || i.current != today/reopenedDivisor {
		t.Errorf("%+v", i)
	}
}

// Of two that are started together, the later one may ask first: it keeps the name.
func TestIncarnation_TwoStartsTogether(t *testing.T) {
	n := newNamesakes(t)
	former := n.start(today)
	n.stopped[former] = true
	n.run(500)
	later := n.start(today + 500)
	n.tick()
	n.requireSessionOf(later, "later process")
	n.stopped[former] = false
	n.run(20 * sessionTimeout)
	n.requireSessionOf(later, "the former process asks, too")
	if later.Reopened != 0 {
		t.Error("the later process lost its session")
	}
}

// A number is taken above a predecessor's once: who has the name at the second refusal came after the first request.
func TestIncarnation_ClaimsOnce(t *testing.T) {
	i, draw := newIncarnation(today), random.Source{Seed: 1}
	if !i.refused(today+hour, 10, &draw) || i.current <= today+hour || i.current > today+hour+1+claimSpread {
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
	before, after := newIncarnation(1000), newIncarnation(2000)
	if before.current >= after.current || reopened(before.current) >= reopened(after.current) {
		t.Error("out of order")
	}
}
