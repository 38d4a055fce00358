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

// sameNameProcesses are processes of the same name, each with its own client, that use one state machine. Each call of tick advances the
// time by 10 ms for all of them; the client of a stopped one isn't called.
type sameNameProcesses struct {
	t             *testing.T
	state         *leasestate.State
	index         uint64
	now           float64
	clients       []*Client
	stopped       map[*Client]bool // paused or killed
	disconnected  map[*Client]bool // requests are lost
	responsesLost map[*Client]bool // requests arrive, but their responses are lost
}

func newSameNameProcesses(t *testing.T) *sameNameProcesses {
	t.Helper()
	return &sameNameProcesses{t: t, state: leasestate.New("f"), stopped: map[*Client]bool{}, disconnected: map[*Client]bool{}, responsesLost: map[*Client]bool{}}
}

const sessionTimeout = 1000

func (p *sameNameProcesses) start(wallClockMs uint64) *Client {
	client := New(Settings{Name: "p", Role: "router", Incarnation: wallClockMs, SessionTimeout: sessionTimeout, SafetyMargin: 100, Seed: wallClockMs})
	client.Advance(p.now)
	p.clients = append(p.clients, client)
	return client
}

func (p *sameNameProcesses) apply(e leasestate.Entry) leasestate.Result {
	p.index++
	return p.state.Apply(p.index, e)
}

func (p *sameNameProcesses) tick() {
	p.now += 10
	p.apply(leasestate.Entry{Kind: leasestate.AdvanceTime, Elapsed: 10})
	for _, client := range p.clients {
		if !p.stopped[client] {
			p.advance(client)
		}
	}
}

func (p *sameNameProcesses) advance(client *Client) {
	client.Advance(p.now)
	for d, more := client.Next(); more; d, more = client.Next() {
		switch {
		case p.disconnected[client]:
			client.RequestFailed(d.Request)
		case p.responsesLost[client]:
			p.apply(d.Entry)
			client.RequestFailed(d.Request)
		default:
			client.ResponseReceived(d.Request, p.apply(d.Entry))
		}
	}
}

func (p *sameNameProcesses) run(ms float64) {
	for end := p.now + ms; p.now < end; {
		p.tick()
	}
}

// hasSession reports whether the open session of the name belongs to this process.
func (p *sameNameProcesses) hasSession(client *Client) bool {
	s, open := p.state.Session("p")
	return open && s.Incarnation == client.incarnation.current && client.HasSession()
}

func (p *sameNameProcesses) requireSessionOf(client *Client, phase string) {
	p.t.Helper()
	if !p.hasSession(client) {
		s, open := p.state.Session("p")
		p.t.Fatalf("%s: the session has incarnation %d (open: %v), not that of the expected process (%d, open: %v)",
			phase, s.Incarnation, open, client.incarnation.current, client.HasSession())
	}
}

// A process that starts after the wall clock was stepped back replaces its predecessor's session at once.
func TestIncarnation_StartAfterClockSteppedBack(t *testing.T) {
	p := newSameNameProcesses(t)
	first := p.start(today)
	p.run(100)
	p.requireSessionOf(first, "first start")
	p.stopped[first] = true // killed
	for start := range uint64(3) {
		next := p.start(today - (start+1)*hour)
		p.tick()
		p.requireSessionOf(next, "start after the clock was stepped back")
		p.stopped[next] = true
	}
}

// A process is paused for longer than its session timeout, and another one starts under its name with a wall clock that was stepped back.
// When the paused process resumes, it doesn't regain the name.
func TestIncarnation_StoppedProcessDoesNotRegainItsName(t *testing.T) {
	for _, stepBack := range []uint64{hour, 3000} {
		p := newSameNameProcesses(t)
		earlier := p.start(today)
		p.run(100)
		p.stopped[earlier] = true
		p.run(3 * sessionTimeout)
		later := p.start(today - stepBack)
		p.run(100)
		p.requireSessionOf(later, "later process")
		p.stopped[earlier] = false
		for range 2000 {
			p.tick()
			p.requireSessionOf(later, "the earlier process runs again")
		}
		if later.SessionsReopened != 0 {
			t.Error("the later process lost its session", later.SessionsReopened, "times")
		}
	}
}

// A process that was paused before its first session was opened doesn't take the name from one that started during the pause, although no
// request of its own was refused yet.
func TestIncarnation_StoppedBeforeItsFirstSession(t *testing.T) {
	p := newSameNameProcesses(t)
	earlier := p.start(today)
	p.stopped[earlier] = true
	p.run(1.5 * sessionTimeout)
	later := p.start(today - hour)
	p.run(100)
	p.requireSessionOf(later, "later process")
	p.stopped[earlier] = false
	p.run(20 * sessionTimeout)
	p.requireSessionOf(later, "the earlier process runs again")
	if later.SessionsReopened != 0 {
		t.Error("the later process lost its session")
	}
}

// A process that was paused before it received the refusal of its first request doesn't take the name from one that started during the
// pause.
func TestIncarnation_StoppedBeforeItsFirstAnswer(t *testing.T) {
	p := newSameNameProcesses(t)
	killed := p.start(today + hour)
	p.run(100)
	p.stopped[killed] = true
	earlier := p.start(today)
	earlier.Advance(p.now)
	d, _ := earlier.Next()
	refusal := p.apply(d.Entry)
	p.stopped[earlier] = true
	p.run(1.5 * sessionTimeout)
	later := p.start(today - hour)
	p.run(100)
	p.requireSessionOf(later, "later process")
	p.stopped[earlier] = false
	earlier.Advance(p.now)
	earlier.ResponseReceived(d.Request, refusal)
	p.run(20 * sessionTimeout)
	p.requireSessionOf(later, "the earlier process runs again")
}

// A process that was refused because of a later one of the same name stays below it, even when both must reopen their sessions.
func TestIncarnation_EarlierProcessStaysBelowLaterOne(t *testing.T) {
	p := newSameNameProcesses(t)
	earlier := p.start(today)
	p.run(100)
	p.stopped[earlier] = true
	p.run(3 * sessionTimeout)
	later := p.start(today - hour)
	p.run(100)
	p.stopped[earlier] = false
	p.run(10 * sessionTimeout)
	p.requireSessionOf(later, "both run")
	p.disconnected[later] = true
	p.run(10 * sessionTimeout)
	p.requireSessionOf(earlier, "the later process is disconnected for long: its session has expired")
	p.disconnected[later] = false
	p.run(10 * sessionTimeout)
	p.requireSessionOf(later, "the later process is connected again")
}

// While the clock isn't stepped, the process that started last holds the name, whichever process loses its session.
func TestIncarnation_LastStartedProcessHoldsTheName(t *testing.T) {
	p := newSameNameProcesses(t)
	earlier := p.start(today)
	p.run(100)
	later := p.start(today + 5000)
	p.run(5 * sessionTimeout)
	p.requireSessionOf(later, "both run")
	p.disconnected[later], p.disconnected[earlier] = true, true
	p.run(5 * sessionTimeout)
	p.disconnected[earlier] = false
	p.run(5 * sessionTimeout)
	p.requireSessionOf(earlier, "the later process is disconnected")
	p.disconnected[later] = false
	p.run(5 * sessionTimeout)
	p.requireSessionOf(later, "the later process has reconnected")
}

// A request whose response was lost may have been granted. A process that is refused for a higher incarnation after that can't know whether
// that one is its predecessor's, so it doesn't take over.
func TestIncarnation_UnknownOutcomePreventsTakeover(t *testing.T) {
	p := newSameNameProcesses(t)
	earlier := p.start(today - hour)
	p.responsesLost[earlier] = true
	p.tick() // granted, but the response is lost
	p.requireAnySession()
	later := p.start(today)
	p.tick()
	p.requireSessionOf(later, "later process")
	p.responsesLost[earlier] = false
	p.run(20 * sessionTimeout)
	p.requireSessionOf(later, "the earlier process requests a session again")
	if later.SessionsReopened != 0 {
		t.Error("the later process lost its session")
	}
}

// requireAnySession fails unless some session is open.
func (p *sameNameProcesses) requireAnySession() {
	p.t.Helper()
	if _, open := p.state.Session("p"); !open {
		p.t.Fatal("no session")
	}
}

// A process regains its name from a coordinator that has restored an older state in which the process's own first session is open.
func TestIncarnation_OwnOlderSession(t *testing.T) {
	p := newSameNameProcesses(t)
	client := p.start(today)
	p.run(100)
	snapshot := p.state.Snapshot()
	p.disconnected[client] = true
	p.run(3 * sessionTimeout)
	p.disconnected[client] = false
	p.run(3 * sessionTimeout)
	p.requireSessionOf(client, "session reopened")
	below := client.incarnation.current
	restored, err := leasestate.Restore("f", snapshot)
	if err != nil {
		t.Fatal(err)
	}
	p.state = restored
	p.run(5 * sessionTimeout)
	p.requireSessionOf(client, "after the restore")
	if client.incarnation.current-below > 10 {
		t.Errorf("it mistook its own session for another process's: incarnation %d after %d", client.incarnation.current, below)
	}
}

// A coordinator of an earlier build doesn't report the incarnation that it refuses a process for. The process then waits for the end of that
// session.
func TestIncarnation_RefusedWithoutNumber(t *testing.T) {
	i, rng := newIncarnation(today), random.Source{Seed: 1}
	if i.refused(0, 10, &rng) || i.current != today/reopenedDivisor {
		t.Errorf("%+v", i)
	}
}

// Of two processes that start at about the same time the later one may request its session first. It keeps the name.
func TestIncarnation_TwoStartsTogether(t *testing.T) {
	p := newSameNameProcesses(t)
	earlier := p.start(today)
	p.stopped[earlier] = true
	p.run(500)
	later := p.start(today + 500)
	p.tick()
	p.requireSessionOf(later, "later process")
	p.stopped[earlier] = false
	p.run(20 * sessionTimeout)
	p.requireSessionOf(later, "the earlier process requests a session, too")
	if later.SessionsReopened != 0 {
		t.Error("the later process lost its session")
	}
}

// A process takes a number above its predecessor's only once: the process that holds the name at a second refusal came after its first
// request.
func TestIncarnation_TakesOverOnce(t *testing.T) {
	i, rng := newIncarnation(today), random.Source{Seed: 1}
	if !i.refused(today+hour, 10, &rng) || i.current <= today+hour || i.current > today+hour+1+takeoverSpread {
		t.Errorf("%+v", i)
	}
	if i.refused(today+2*hour, 10, &rng) || i.current >= minInitialNumber {
		t.Errorf("%+v", i)
	}
}

// Each session of a process has a number of its own, and a clock that was never set gives numbers in order, too.
func TestIncarnation_Numbers(t *testing.T) {
	for _, wallClockMs := range []uint64{0, 1, 1000, today, minInitialNumber - 1} {
		i, seen := newIncarnation(wallClockMs), map[uint64]bool{}
		first := i.current
		for range 100 {
			if seen[i.current] || first < minInitialNumber {
				t.Fatalf("%d: %+v", wallClockMs, i)
			}
			seen[i.current] = true
			i.opened()
			if i.reopen(); i.current >= minInitialNumber {
				t.Fatalf("%d: %+v", wallClockMs, i)
			}
		}
	}
	before, after := newIncarnation(1000), newIncarnation(2000)
	if before.current >= after.current || reopenedNumber(before.current) >= reopenedNumber(after.current) {
		t.Error("out of order")
	}
}
