package backend

import (
	"fmt"
	"math"
	"net"
	"strings"
	"testing"
	"time"

	"wayloft/internal/decide/connpool"
	"wayloft/internal/discovery"
	"wayloft/internal/eventloop"
	"wayloft/internal/fakes"
	"wayloft/internal/pg"
	"wayloft/internal/request"
	"wayloft/router"
)

const longest = 160 << 10

// ear is a loop with somebody who hears how attempts and checks end.
type ear struct {
	*eventloop.Loop
	told chan string
}

func (e *ear) AttemptEnded(_ *request.Request, seq int, _ string, how router.Outcome, _ float64, role router.Role,
	gtid float64, rows []byte) {
	e.told <- fmt.Sprint(seq, " ", words[how], " ", role, " ", max(gtid, 0), " ", len(rows) > 0)
}

func (e *ear) StatementFailed(_ *request.Request, seq int, _ string, err *pg.Error) {
	e.told <- fmt.Sprint(seq, " rejected ", err.Code)
}

func (e *ear) TurnChanged(*request.Request, int, bool) {}

func (e *ear) ClientGone(t *request.Request) { t.ClientGone() }

func (e *ear) HealthChecked(_ string, how router.Outcome) { e.told <- "check " + words[how] }

func (e *ear) Reported(_ string, role router.Role, gtid float64) {
	e.told <- fmt.Sprint("report ", role, " ", gtid)
}

var words = map[router.Outcome]string{router.Succeeded: "committed", router.ServerError: "errored", router.Overloaded: "full",
	router.TimedOut: "timed out", router.ConnectFailed: "unconnected", router.Reset: "reset", router.Canceled: "revoked",
	router.NotSent: "moot", router.Misrouted: "miss"}

// start makes a side whose connections may take longer to come up than a busy machine lets them.
func start(t *testing.T, links int) (*ear, *Backend) { return startWithin(t, links, 5000) }

func startWithin(t *testing.T, links int, dial float64) (*ear, *Backend) {
	return startPools(t, links, dial, connpool.Bounds{})
}

// startPools makes one with a pool for sessions, too; statements wait for a connection for as long as they do.
func startPools(t *testing.T, links int, dial float64, sessions connpool.Bounds) (*ear, *Backend) {
	e := &ear{eventloop.NewLoop(512), make(chan string, 100)}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if err := e.Listen(l, 64<<20, func(*eventloop.Conn) {}); err != nil {
		t.Fatal(err)
	}
	statements := connpool.Statements(60000)
	statements.Wait = sessions.Wait
	side := New(e, Limits{DialTimeout: dial, HealthReports: true, MaxResponse: longest, ResponseBudget: 4 * longest,
		Logins: map[string]Login{PlatformPool: {"api", "ledger"}, "sessions": {"api", "ledger"}}}, connpool.New(connpool.Settings{All: links,
		Pools: map[string]connpool.Bounds{PlatformPool: statements, CancelPool: connpool.Cancels(1000), "sessions": sessions}}))
	ended := make(chan bool)
	go func() { e.Run(func() {}); close(ended) }()
	t.Cleanup(func() { e.Post(e.Stop); <-ended })
	return e, side
}

// do runs f on the loop and waits for it.
func (e *ear) do(f func()) {
	done := make(chan bool)
	e.Post(func() { f(); close(done) })
	<-done
}

func (e *ear) hear(t *testing.T) string {
	t.Helper()
	select {
	case s := <-e.told:
		return s
	case <-time.After(20 * time.Second):
		t.Fatal("nothing came back")
		return ""
	}
}

func txn(e *ear, id string, wait float64) *request.Request {
	s, err := pg.ParseStatement(fmt.Sprintf("/* id=%s,c=x,d=%.0f */ SELECT blob", id, wait))
	if err != nil {
		panic(err)
	}
	return request.New(s, e.Now(), func(request.Response) {})
}

func list(addr string, state router.State) *discovery.List {
	return &discovery.List{Entries: []discovery.Entry{{ID: "a", Addr: addr, State: state, Started: router.Never}}}
}

func bytes(parts ...[]byte) (b []byte) {
	for _, p := range parts {
		b = append(b, p...)
	}
	return b
}

// Each way in which an attempt can end, and whether its connection is used again.
func TestOutcomes(t *testing.T) {
	ready := pg.AppendReady(nil)
	refusal := pg.AppendError(nil, &pg.Error{Code: pg.Refused, Text: "no"}, true)
	for _, c := range []struct {
		name   string
		greet  *fakes.Reply
		answer *fakes.Reply
		wait   float64 // time-out; 0: none
		want   string
		again  bool
	}{
		{"row", nil, fakes.Row("v", "source", "17"), 0, "0 committed 1 17 true", true},
		{"row of a replica", nil, fakes.Row("v", "copy", "0"), 0, "0 committed 2 0 true", true},
		{"no primary", nil, fakes.Fail("25006"), 0, "0 miss 0 0 false", true},
		{"too far behind", nil, fakes.Fail("72000"), 0, "0 miss 0 0 false", true},
		{"error", nil, fakes.Fail("XX000"), 0, "0 errored 0 0 false", true},
		{"an error not in the table", nil, fakes.Fail("58000"), 0, "0 errored 0 0 false", true},
		{"a fault of the statement", nil, fakes.Fail("42601"), 0, "0 rejected 42601", true},
		{"a position in the future", nil, fakes.Row("v", "source", "1e18"), 0, "0 committed 1 0 true", true},
		{"a position that is none", nil, fakes.Row("v", "copy", "NaN"), 0, "0 committed 2 0 true", true},
		{"noise in good shape", nil, &fakes.Reply{Bytes: []byte("x\x00\x00\x00\x40")}, 0, "0 errored 0 0 false", false},
		{"a value that keeps coming", nil, &fakes.Reply{Bytes: bytes(fakes.Rows("v")[:30],
			[]byte("D\xb2\xd0\x5e\x0a\x00\x01\xb2\xd0\x5e\x00"))}, 0, "0 errored 0 0 false", false},
		{"two rows", nil, &fakes.Reply{Bytes: bytes(fakes.Rows("v")[:len(fakes.Rows("v"))-14], fakes.Rows("v")[30:],
			ready)}, 0, "0 errored 0 0 false", false},
		{"no row", nil, &fakes.Reply{Bytes: bytes(fakes.Rows("v")[:30], []byte("C\x00\x00\x00\x05\x00"), ready)}, 0,
			"0 errored 0 0 false", false},
		{"turned away", nil, fakes.Fail("53300"), 0, "0 full 0 0 false", true},
		{"turned away and closed", nil, &fakes.Reply{Bytes: refusal, Close: true}, 0, "0 full 0 0 false", false},
		{"turned away before it was asked", &fakes.Reply{Bytes: refusal, Close: true}, nil, 0,
			"0 unconnected 0 0 false", false},
		{"closed before it was asked", &fakes.Reply{Close: true}, nil, 0, "0 unconnected 0 0 false", false},
		{"never let in", &fakes.Reply{}, nil, 0, "0 unconnected 0 0 false", false},
		{"given up before it was asked", &fakes.Reply{}, nil, 20, "0 moot 0 0 false", false},
		{"closed without an answer", nil, &fakes.Reply{Close: true}, 0, "0 reset 0 0 false", false},
		{"closed within the answer", nil, &fakes.Reply{Bytes: fakes.Rows("v")[:30], Close: true}, 0,
			"0 reset 0 0 false", false},
		{"closed before it is ready", nil, &fakes.Reply{Bytes: fakes.Rows("v"), Close: true}, 0,
			"0 committed 0 0 true", false},
		{"malformed", nil, &fakes.Reply{Bytes: []byte("?\x00\x00\x00\x04")}, 0, "0 errored 0 0 false", false},
		{"ready without an answer", nil, &fakes.Reply{Bytes: ready}, 0, "0 errored 0 0 false", false},
		{"too long", nil, &fakes.Reply{Bytes: fakes.Rows(strings.Repeat("x", longest))}, 0, "0 errored 0 0 false", false},
		{"too long in parts", nil, &fakes.Reply{Bytes: bytes(fakes.Rows(strings.Repeat("x", longest/2)),
			fakes.Rows(strings.Repeat("x", longest/2)), ready)}, 0, "0 errored 0 0 false", false},
		{"notices without end", nil, &fakes.Reply{Bytes: []byte(strings.Repeat("N\x00\x00\x00\x08abcd", longest/4))}, 0,
			"0 errored 0 0 false", false},
		{"more than the answer", nil, &fakes.Reply{Bytes: bytes(fakes.Rows("v"), ready, ready)}, 0,
			"0 committed 0 0 true", false},
		{"no answer", nil, nil, 100, "0 timed out 0 0 false", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			dial := 5000.0
			if c.name == "never let in" {
				dial = 200 // the one that waits for its end
			}
			e, side := startWithin(t, 10, dial)
			m := fakes.NewMember(t, c.greet, func(string) *fakes.Reply { return c.answer })
			e.do(func() {
				side.List(list(m.Addr, router.Up))
				side.SendAttempt(txn(e, "1", 5000), 0, "a", c.wait, math.Inf(1))
			})
			if got := e.hear(t); got != c.want {
				t.Errorf("got %q, want %q", got, c.want)
			}
			fakes.Until(t, fmt.Sprint("its connection is kept: ", c.again), func() (settled bool) {
				e.do(func() {
					idle := side.pool.Idle("a")
					settled = (idle > 0) == c.again && side.Connections() == idle && len(side.attempts) == 0
				})
				return settled
			})
		})
	}
}

func TestNobodyListens(t *testing.T) {
	e, side := start(t, 10)
	m := fakes.NewMember(t, nil, nil)
	m.Stop()
	e.do(func() {
		side.List(list(m.Addr, router.Up))
		side.SendAttempt(txn(e, "1", 5000), 3, "a", 0, math.Inf(1))
		side.HealthCheck("a")
	})
	if a, b := e.hear(t), e.hear(t); a+b != "3 unconnected 0 0 falsecheck unconnected" &&
		b+a != "3 unconnected 0 0 falsecheck unconnected" {
		t.Errorf("got %q, %q", a, b)
	}
}

// A late answer must meet no other request: what is given up loses its connection before the next goes out.
func TestRevoked(t *testing.T) {
	e, side := start(t, 10)
	m := fakes.NewMember(t, nil, func(sql string) *fakes.Reply {
		if strings.Contains(sql, "id=1") {
			return nil
		}
		return fakes.Row("v", "source", "1")
	})
	e.do(func() {
		side.List(list(m.Addr, router.Up))
		side.SendAttempt(txn(e, "1", 5000), 0, "a", 0, math.Inf(1))
	})
	fakes.Until(t, "it is out", func() bool { _, asked := m.Seen(); return len(asked) > 0 })
	e.do(func() { side.CancelAttempt("1", 0) })
	if got := e.hear(t); got != "0 revoked 0 0 false" {
		t.Errorf("got %q", got)
	}
	e.do(func() { side.SendAttempt(txn(e, "2", 5000), 0, "a", 0, math.Inf(1)) })
	if got := e.hear(t); got != "0 committed 1 1 true" {
		t.Errorf("got %q", got)
	}
	if accepted, _ := m.Seen(); accepted != 2 {
		t.Errorf("%d connections, want 2", accepted)
	}
}

// A report is taken as a whole or not at all: one that can't be read tells only that the member is there.
func TestChecks(t *testing.T) {
	e, side := start(t, 10)
	report := ""
	m := fakes.NewMember(t, nil, func(sql string) *fakes.Reply {
		if sql != "SHOW vitals" {
			return nil
		}
		return &fakes.Reply{Bytes: pg.AppendReady(fakes.Rows(report))}
	})
	e.do(func() { side.List(list(m.Addr, router.Up)) })
	for _, c := range []struct{ report, want string }{
		{"x0=1767225600.123,x1=1", "report 1 1.767225600123e+12; check committed"},
		{"x0=1767225600,x1=0", "report 2 1.7672256e+12; check committed"},
		{"x0=1e18,x1=1", "check errored"},
		{"x0=NaN,x1=1", "check errored"},
		{"x0=1767225600,x1=what", "check errored"},
		{"x1=1", "check errored"},
		{"\xff\x00", "check errored"},
	} {
		e.do(func() { report = c.report; side.HealthCheck("a") })
		var got []string
		for range strings.Count(c.want, ";") + 1 {
			got = append(got, e.hear(t))
		}
		if all := strings.Join(got, "; "); all != c.want {
			t.Errorf("%q: got %q, want %q", c.report, all, c.want)
		}
	}
}

// What comes behind an answer must not pass for the next one, though the connection has had no time to rest: an empty
// query goes first, and its answer stands between.
func TestNoCopyPassesForTheNextAnswer(t *testing.T) {
	e, side := start(t, 1)
	copied := false
	m := fakes.NewMember(t, nil, func(sql string) *fakes.Reply { return fakes.Row("v", "source", "1") })
	m.Empty = func() *fakes.Reply {
		fence := pg.AppendReady(pg.AppendEmpty(nil))
		if copied { // the answer before comes once more
			fence = append(fakes.Row("old", "source", "1").Bytes, fence...)
		}
		return &fakes.Reply{Bytes: fence}
	}
	e.do(func() { side.List(list(m.Addr, router.Up)) })
	for n, want := range []string{"0 committed 1 1 true", "0 committed 1 1 true", "0 errored 0 0 false"} {
		e.do(func() { copied = n == 2 })
		e.do(func() { side.SendAttempt(txn(e, fmt.Sprint(n), 5000), 0, "a", 0, math.Inf(1)) })
		if got := e.hear(t); got != want {
			t.Errorf("%d: got %q, want %q", n, got, want)
		}
	}
	if accepted, asked := m.Seen(); accepted != 1 || !strings.Contains(strings.Join(asked, "|"), "||") {
		t.Errorf("%d connections; asked %q", accepted, asked)
	}
}

// Answers that together would hold too much are given up; they may have run.
func TestAnswersOverTheBudget(t *testing.T) {
	e, side := start(t, 20)
	part := fakes.Rows(strings.Repeat("v", longest-100))
	m := fakes.NewMember(t, nil, func(string) *fakes.Reply { return &fakes.Reply{Bytes: part[:len(part)-20]} })
	e.do(func() {
		side.List(list(m.Addr, router.Up))
		for n := range 6 {
			side.SendAttempt(txn(e, fmt.Sprint(n), 60000), 0, "a", 0, math.Inf(1))
		}
	})
	for range 2 {
		if got := e.hear(t); got != "0 errored 0 0 false" {
			t.Errorf("got %q", got)
		}
	}
	fakes.Until(t, "four are held", func() (held bool) {
		e.do(func() {
			held = side.buffered > 3*longest && side.buffered <= 4*longest && side.OverBudget == 2 && side.Connections() == 4
		})
		return held
	})
	for n := range 6 {
		e.do(func() { side.CancelAttempt(fmt.Sprint(n), 0) })
	}
	fakes.Until(t, "nothing is held", func() (none bool) {
		e.do(func() { none = side.buffered == 0 && side.Connections() == 0 })
		return none
	})
}

// Members that come and go leave nothing behind, and what is out to one that is gone still ends as it does.
func TestLevelsOff(t *testing.T) {
	e, side := start(t, 10)
	m := fakes.NewMember(t, nil, func(string) *fakes.Reply { return fakes.Row("v", "source", "1") })
	for n := range 50 {
		id := fmt.Sprint("m", n)
		e.do(func() {
			side.List(&discovery.List{Entries: []discovery.Entry{{ID: id, Addr: m.Addr, Started: router.Never}}})
			side.SendAttempt(txn(e, id, 5000), 0, id, 0, math.Inf(1))
		})
		fakes.Until(t, "it is out", func() bool {
			_, asked := m.Seen()
			return len(asked) > n
		})
		e.do(func() {
			side.List(&discovery.List{Entries: []discovery.Entry{{ID: id, Addr: m.Addr, State: router.Removed}}})
		})
		if got := e.hear(t); got != "0 committed 1 1 true" {
			t.Errorf("got %q", got)
		}
		e.do(func() {
			if len(side.members)+len(side.attempts)+side.Connections() > 0 {
				t.Errorf("%d: kept: %d members, %d jobs, %d links", n, len(side.members), len(side.attempts), side.Connections())
			}
		})
	}
}

// At the limit idle connections are given back first; an attempt without any never ran, and says nothing of
// its member.
func TestLimit(t *testing.T) {
	e, side := start(t, 1)
	m := fakes.NewMember(t, nil, func(sql string) *fakes.Reply {
		if strings.Contains(sql, "id=2") {
			return nil
		}
		return fakes.Row("v", "source", "1")
	})
	other := fakes.NewMember(t, nil, func(string) *fakes.Reply { return nil })
	e.do(func() {
		l := list(m.Addr, router.Up)
		l.Entries = append(l.Entries, discovery.Entry{ID: "b", Addr: other.Addr})
		side.List(l)
		side.SendAttempt(txn(e, "1", 5000), 0, "a", 0, math.Inf(1))
	})
	if got := e.hear(t); got != "0 committed 1 1 true" {
		t.Errorf("got %q", got)
	}
	e.do(func() {
		side.SendAttempt(txn(e, "2", 5000), 0, "b", 0, math.Inf(1))
		side.SendAttempt(txn(e, "3", 5000), 0, "a", 0, math.Inf(1))
	})
	if got := e.hear(t); got != "0 moot 0 0 false" {
		t.Errorf("got %q", got)
	}
	e.do(func() {
		if side.Connections() != 1 || side.NoConnection != 1 {
			t.Errorf("%d connections, %d unsent; want 1 of each", side.Connections(), side.NoConnection)
		}
	})
}

// What is not yet written when the list says that its member drains is not sent any more; what is out goes on. A
// changed address, or a new start, drops the idle connections.
func TestListChanges(t *testing.T) {
	e, side := startWithin(t, 10, 200)
	mute := fakes.NewMember(t, &fakes.Reply{}, nil)
	m := fakes.NewMember(t, nil, func(string) *fakes.Reply { return fakes.Row("v", "source", "1") })
	e.do(func() {
		side.List(list(mute.Addr, router.Up))
		side.SendAttempt(txn(e, "1", 5000), 0, "a", 0, math.Inf(1))
		side.List(list(mute.Addr, router.Draining))
	})
	if got := e.hear(t); got != "0 moot 0 0 false" {
		t.Errorf("unsent: got %q", got)
	}
	for n, l := range []*discovery.List{list(m.Addr, router.Up), list(mute.Addr, router.Up), list(m.Addr, router.Up),
		{Entries: []discovery.Entry{{ID: "a", Addr: m.Addr, Started: 5}}}, {Whole: true}} {
		e.do(func() { side.List(l) })
		e.do(func() {
			if idle := side.pool.Idle("a"); idle != 0 {
				t.Errorf("list %d: %d idle connections left", n, idle)
			}
		})
		if len(l.Entries) == 0 || l.Entries[0].Addr != m.Addr {
			continue
		}
		e.do(func() { side.SendAttempt(txn(e, fmt.Sprint("t", n), 5000), 0, "a", 0, math.Inf(1)) })
		if got := e.hear(t); got != "0 committed 1 1 true" {
			t.Errorf("list %d: got %q", n, got)
		}
	}
}

// A connection whose end has come, though nobody has heard of it yet, is not used: its query would meet a reset.
func TestEndedConnectionIsNotUsed(t *testing.T) {
	e, side := start(t, 10)
	m := fakes.NewMember(t, nil, func(string) *fakes.Reply {
		r := fakes.Row("v", "source", "1")
		r.Close = true
		return r
	})
	e.do(func() { side.List(list(m.Addr, router.Up)) })
	for n := range 20 {
		e.do(func() {
			time.Sleep(5 * time.Millisecond) // the end comes while the loop is busy
			side.SendAttempt(txn(e, fmt.Sprint(n), 5000), 0, "a", 0, math.Inf(1))
		})
		if got := e.hear(t); got != "0 committed 1 1 true" {
			t.Fatalf("submission %d: %q", n, got)
		}
	}
}

// What was out when a member moved ends as it does, but its connection is not kept for the new address.
func TestMovedWhileOut(t *testing.T) {
	e, side := start(t, 10)
	answer := make(chan bool)
	old := fakes.NewMember(t, nil, func(string) *fakes.Reply { <-answer; return fakes.Row("v", "source", "1") })
	moved := fakes.NewMember(t, nil, func(string) *fakes.Reply { return fakes.Row("v", "source", "2") })
	e.do(func() {
		side.List(list(old.Addr, router.Up))
		side.SendAttempt(txn(e, "1", 5000), 0, "a", 0, math.Inf(1))
	})
	fakes.Until(t, "it is out", func() bool { _, asked := old.Seen(); return len(asked) > 0 })
	e.do(func() { side.List(list(moved.Addr, router.Up)) })
	close(answer)
	if got := e.hear(t); got != "0 committed 1 1 true" {
		t.Errorf("got %q", got)
	}
	e.do(func() { side.SendAttempt(txn(e, "2", 5000), 0, "a", 0, math.Inf(1)) })
	if got := e.hear(t); got != "0 committed 1 2 true" {
		t.Errorf("after the move: %q", got)
	}
}

// Guards against a timer that wakes a router of which nothing is asked, and against one that is late for what the pool has
// to do by itself.
func TestNoTimerRingsWhereNothingIsDue(t *testing.T) {
	e, side := start(t, 10)
	e.do(func() { side.List(list("127.0.0.1:1", router.Up)) })
	for rests := false; !rests; { // the sweep after the list
		e.do(func() { rests = math.IsInf(side.timerAt, 1) })
	}
	e.do(func() {
		side.poolInput()
		if at := side.pool.Sweep(); side.timerAt != at {
			t.Errorf("the pool has heard something, its next sweep is at %v and the timer at %v", at, side.timerAt)
		}
	})
}
