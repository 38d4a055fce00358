package backend

import (
	"fmt"
	"math"
	"runtime"
	"slices"
	"strings"
	"testing"

	iradix "github.com/hashicorp/go-immutable-radix/v2"

	"wayloft/internal/decide/connpool"
	"wayloft/internal/decide/session"
	"wayloft/internal/fakes"
	"wayloft/internal/pg"
	"wayloft/internal/request"
	"wayloft/router"
)

// caller is a client with a session, who notes nothing.
type caller struct{ session *session.Session }

func (c *caller) Session() *session.Session { return c.session }
func (c *caller) DeliverMessages(ms []pg.Message) {
	for n := range ms {
		c.session.Heard(&ms[n])
	}
}
func (c *caller) ServerParameters(*iradix.Tree[string]) {}
func (c *caller) Reserve(request.BackendConn)           {}
func (c *caller) Terminate(*pg.Error)                   {}

// talk makes a request of a session, which begins with this statement; its session has something set, if that is wanted.
func talkOf(t *testing.T, e *ear, id string, wait float64, set bool) *request.Request {
	t.Helper()
	base := session.None
	if set {
		base, _ = session.Startup(pg.Startups{{"application_name", "x"}})
	}
	s := session.New(session.Policy{Settings: 1 << 12, Statements: 8}, base)
	sql := fmt.Sprintf("/* id=%s,c=x,d=%.0f */ SELECT blob", id, wait)
	_, ops := s.Query(sql, pg.AppendQuery(nil, sql), false)
	one := request.New(&pg.Statement{ID: id, TxnType: "x", Wait: wait}, e.Now(), func(request.Response) {})
	one.Stream = &request.Stream{Pool: "sessions", Client: &caller{s}}
	one.Stream.Send(ops)
	return one
}

// server is a member that answers what a test has it answer, and tells what it was asked.
type server struct {
	*fakes.Member
	told chan string
}

func newServer(t *testing.T, answer func(sql string) *fakes.Reply) *server {
	s := &server{told: make(chan string, 100)}
	s.Member = fakes.NewMember(t, nil, func(sql string) *fakes.Reply {
		s.told <- sql
		if r := answer(sql); r != nil {
			return r
		}
		if strings.Contains(sql, "SET") || strings.Contains(sql, "DISCARD") || strings.Contains(sql, "RESET") {
			return &fakes.Reply{Bytes: pg.AppendReady(pg.AppendComplete(nil, "SET"))}
		}
		return fakes.Row("v", "source", "1")
	})
	return s
}

// saw tells whether the member was asked a statement with this id.
func (s *server) saw(id string) bool {
	_, asked := s.Seen()
	return strings.Contains(strings.Join(asked, "|"), "id="+id+",")
}

// A client has closed its connection, and the loop has not heard of it: the router was held up, or the attempt is decided in
// the batch in which the close comes. No attempt is written, whichever it is, and the connection serves the next.
func TestClientClosedBeforeItsAttemptIsWritten(t *testing.T) {
	plain := func(t *testing.T, e *ear, id string) *request.Request { return txn(e, id, 60000) }
	pooled := func(set bool) func(*testing.T, *ear, string) *request.Request {
		return func(t *testing.T, e *ear, id string) *request.Request { return talkOf(t, e, id, 60000, set) }
	}
	for _, c := range []struct {
		name   string
		of     func(*testing.T, *ear, string) *request.Request
		seq    int
		behind bool // another attempt, for the only connection
		cold   bool // its connection is not up yet
	}{
		{"the first attempt", plain, 0, false, false},
		{"a retry", plain, 3, false, false},
		{"one that waits for a connection to come up", plain, 0, false, true},
		{"one that waits for another's connection", plain, 0, true, false},
		{"in a session", pooled(false), 0, false, false},
		{"in a session with settings", pooled(true), 0, false, false},
		{"a retry in a session", pooled(false), 2, false, false},
		{"in a session, for a connection to come up", pooled(true), 0, false, true},
		{"in a session, for another's connection", pooled(true), 0, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			answer := make(chan bool, 1)
			m := newServer(t, func(sql string) *fakes.Reply {
				if strings.Contains(sql, "id=holds,") {
					<-answer
				}
				return nil
			})
			e, side := startPools(t, 1, 20000, connpool.Bounds{PerMember: 1, Wait: 60000, Idle: 60000})
			side.limits.QueueStatements = true
			e.do(func() { side.List(list(m.Addr, router.Up)) })
			if !c.cold && !c.behind {
				e.do(func() { side.SendAttempt(c.of(t, e, "warms"), 0, "a", 0, math.Inf(1)) })
				if got := e.hear(t); !strings.HasPrefix(got, "0 committed") {
					t.Fatalf("got %q", got)
				}
			}
			if c.behind {
				e.do(func() { side.SendAttempt(c.of(t, e, "holds"), 0, "a", 0, math.Inf(1)) })
				fakes.Until(t, "the one before is out", func() bool { return m.saw("holds") })
			}
			e.do(func() {
				leaves := c.of(t, e, "leaves")
				leaves.ClientClosed = func() bool { return true }
				side.SendAttempt(leaves, c.seq, "a", 0, math.Inf(1))
			})
			answer <- true
			var ends []string
			for range map[bool]int{false: 1, true: 2}[c.behind] {
				ends = append(ends, e.hear(t))
			}
			if want := fmt.Sprint(c.seq, " moot 0 0 false"); !slices.Contains(ends, want) {
				t.Errorf("ended as %q, want %q", ends, want)
			}
			e.do(func() { side.SendAttempt(c.of(t, e, "after"), 0, "a", 0, math.Inf(1)) })
			if got := e.hear(t); !strings.HasPrefix(got, "0 committed") {
				t.Errorf("the next: %q", got)
			}
			if accepted, _ := m.Seen(); accepted != 1 {
				t.Errorf("%d connections, want the one", accepted)
			}
			if m.saw("leaves") {
				t.Error("written for a client that had closed")
			}
		})
	}
}

// A client closes after its attempt has begun on a connection, while that takes the session's settings: the statement is not
// written.
func TestClientClosesWhileItsSettingsAreMade(t *testing.T) {
	set, goOn := make(chan bool), make(chan bool)
	m := newServer(t, func(sql string) *fakes.Reply {
		if strings.Contains(sql, "application_name") {
			set <- true
			<-goOn
		}
		return nil
	})
	e, side := startPools(t, 1, 20000, connpool.Bounds{PerMember: 1, Wait: 60000, Idle: 60000})
	closed := false // the loop's
	e.do(func() {
		side.List(list(m.Addr, router.Up))
		leaves := talkOf(t, e, "leaves", 60000, true)
		leaves.ClientClosed = func() bool { return closed }
		side.SendAttempt(leaves, 0, "a", 0, math.Inf(1))
	})
	<-set
	e.do(func() { closed = true })
	goOn <- true
	if got := e.hear(t); got != "0 moot 0 0 false" {
		t.Errorf("got %q", got)
	}
	if m.saw("leaves") {
		t.Error("written for a client that had closed")
	}
}

// The time until which an attempt may be written passes while its connection takes the session's settings: the statement is
// not written.
func TestTooLateOnceItsSettingsAreMade(t *testing.T) {
	set, goOn := make(chan bool), make(chan bool)
	m := newServer(t, func(sql string) *fakes.Reply {
		if strings.Contains(sql, "application_name") {
			set <- true
			<-goOn
		}
		return nil
	})
	e, side := startPools(t, 1, 20000, connpool.Bounds{PerMember: 1, Wait: 60000, Idle: 60000})
	e.do(func() {
		side.List(list(m.Addr, router.Up))
		side.SendAttempt(talkOf(t, e, "late", 60000, true), 0, "a", 0, math.Inf(1))
	})
	<-set
	e.do(func() { side.attempts["late"].notAfter = e.Clock() - 1 }) // it has passed since
	goOn <- true
	if got := e.hear(t); got != "0 moot 0 0 false" {
		t.Errorf("got %q", got)
	}
	if m.saw("late") {
		t.Error("written too late")
	}
}

// A client cancels while its connection takes the settings, at a member that has named no key to cancel by: its statement is
// not written.
func TestCancelledWhileItsSettingsAreMade(t *testing.T) {
	set, goOn := make(chan bool), make(chan bool)
	m := newServer(t, func(sql string) *fakes.Reply {
		if strings.Contains(sql, "application_name") {
			set <- true
			<-goOn
		}
		return nil
	})
	e, side := startPools(t, 1, 20000, connpool.Bounds{PerMember: 1, Wait: 60000, Idle: 60000})
	var one *request.Request
	e.do(func() {
		side.List(list(m.Addr, router.Up))
		one = talkOf(t, e, "cancels", 60000, true)
		side.SendAttempt(one, 0, "a", 0, math.Inf(1))
	})
	<-set
	e.do(func() { one.Stream.Backend().Cancel() })
	goOn <- true
	if got := e.hear(t); got != "0 rejected 57014" {
		t.Errorf("got %q", got)
	}
	if m.saw("cancels") {
		t.Error("written after it was cancelled")
	}
}

// Whatever an attempt is, the time that its member is told is what its client has left at the write: it is decided in a batch
// that began long before, or waited on its connection, or for a connection.
func TestTimeLeftAtTheWrite(t *testing.T) {
	const lag, left = 400.0, 20000.0
	plain := func(t *testing.T, e *ear, id string) *request.Request { return txn(e, id, left) }
	pipelined := func(t *testing.T, e *ear, id string) *request.Request {
		return request.New(txn(e, id, left).Statement, e.Now()-300, func(request.Response) {}) // its last byte came then
	}
	pooled := func(set bool) func(*testing.T, *ear, string) *request.Request {
		return func(t *testing.T, e *ear, id string) *request.Request { return talkOf(t, e, id, left, set) }
	}
	for _, c := range []struct {
		name   string
		of     func(*testing.T, *ear, string) *request.Request
		seq    int
		behind bool    // it waits for another's connection meanwhile
		wait   float64 // its own time-out, where it is one of two that may go out
	}{
		{"the first attempt", plain, 0, false, 0},
		{"a retry", plain, 2, false, 0},
		{"one with a time-out of its own", plain, 1, false, 2000},
		{"one that waits for a connection", plain, 0, true, 0},
		{"one that was sent ahead", pipelined, 0, false, 0},
		{"in a session", pooled(false), 0, false, 0},
		{"in a session with settings", pooled(true), 0, false, 0},
		{"a retry in a session", pooled(false), 2, false, 0},
		{"in a session, behind another", pooled(false), 0, true, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			answer := make(chan bool, 1)
			m := newServer(t, func(sql string) *fakes.Reply {
				if strings.Contains(sql, "id=holds,") {
					<-answer
				}
				return nil
			})
			e, side := startPools(t, 1, 20000, connpool.Bounds{PerMember: 1, Wait: 60000, Idle: 60000})
			side.limits.QueueStatements = true
			e.do(func() { side.List(list(m.Addr, router.Up)) })
			before := "warms"
			if c.behind {
				before = "holds"
			}
			e.do(func() { side.SendAttempt(c.of(t, e, before), 0, "a", 0, math.Inf(1)) })
			if !c.behind {
				e.hear(t)
			}
			fakes.Until(t, "the one before is out", func() bool { return m.saw(before) })
			var from, began float64
			heldUp := func() { // the batch goes on for so long
				for from = e.Clock(); e.Clock() < from+lag; {
					runtime.Gosched()
				}
			}
			e.do(func() {
				began = e.Clock()
				late := c.of(t, e, "late")
				began = late.Arrived
				if !c.behind {
					heldUp()
				}
				side.SendAttempt(late, c.seq, "a", c.wait, math.Inf(1))
				if c.behind {
					heldUp()
				}
			})
			answer <- true
			fakes.Until(t, "it is out", func() bool { return m.saw("late") })
			_, asked := m.Seen()
			sql := asked[slices.IndexFunc(asked, func(s string) bool { return strings.Contains(s, "id=late,") })]
			var d float64
			if _, err := fmt.Sscanf(sql[strings.Index(sql, ",d="):], ",d=%f", &d); err != nil {
				t.Fatal(err)
			}
			if most := began + left - (from + lag); d > most {
				t.Errorf("%.0f ms are told, %.1f at most are left", d, most)
			}
			if c.wait > 0 && d > c.wait {
				t.Errorf("%.0f ms are told, the time-out is %.0f", d, c.wait)
			}
		})
	}
}

// A client's time ends while its attempt is held up before the write: it is not written.
func TestNotWrittenAfterItsTime(t *testing.T) {
	for name, of := range map[string]func(*ear, string, float64) *request.Request{
		"plain":        txn,
		"in a session": func(e *ear, id string, wait float64) *request.Request { return talkOf(t, e, id, wait, false) },
	} {
		t.Run(name, func(t *testing.T) {
			m := newServer(t, func(string) *fakes.Reply { return nil })
			e, side := startPools(t, 1, 20000, connpool.Bounds{PerMember: 1, Wait: 60000, Idle: 60000})
			e.do(func() {
				side.List(list(m.Addr, router.Up))
				side.SendAttempt(of(e, "warms", 60000), 0, "a", 0, math.Inf(1))
			})
			if got := e.hear(t); !strings.HasPrefix(got, "0 committed") {
				t.Fatalf("got %q", got)
			}
			e.do(func() {
				late := of(e, "late", 1000)
				for e.Clock() <= late.Deadline {
					runtime.Gosched()
				}
				side.SendAttempt(late, 0, "a", 0, math.Inf(1))
			})
			if got := e.hear(t); got != "0 moot 0 0 false" {
				t.Errorf("got %q", got)
			}
			if m.saw("late") {
				t.Error("written after its client's time")
			}
		})
	}
}
