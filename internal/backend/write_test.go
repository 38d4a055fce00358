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

// fakeSession is a client's session that ignores what it receives.
type fakeSession struct{ session *session.Session }

func (c *fakeSession) Session() *session.Session { return c.session }
func (c *fakeSession) DeliverMessages(messages []pg.Message) {
	for i := range messages {
		c.session.ServerMessage(&messages[i])
	}
}
func (c *fakeSession) ServerParameters(*iradix.Tree[string]) {}
func (c *fakeSession) Reserve(request.BackendConn)           {}
func (c *fakeSession) Terminate(*pg.Error)                   {}

// newStreamRequest returns a request of a session, with one statement. The session has a setting of its own if set is true.
func newStreamRequest(t *testing.T, driver *testDriver, id string, wait float64, set bool) *request.Request {
	t.Helper()
	base := session.NoSettings
	if set {
		base, _ = session.StartupSettings(pg.StartupParameters{{Name: "application_name", Value: "x"}})
	}
	clientSession := session.New(session.Policy{MaxSettingsBytes: 1 << 12, MaxStatements: 8}, base)
	sql := fmt.Sprintf("/* id=%s,c=x,d=%.0f */ SELECT blob", id, wait)
	_, ops := clientSession.Query(sql, pg.AppendQuery(nil, sql), false)
	req := request.New(&pg.Statement{ID: id, RequestClass: "x", WaitMs: wait}, driver.Now(), func(request.Response) {})
	req.Stream = &request.Stream{Pool: "sessions", Client: &fakeSession{clientSession}}
	req.Stream.Send(ops)
	return req
}

// fakeServer is a member that answers as a test wants it to, and accepts settings.
type fakeServer struct{ *fakes.Member }

func newFakeServer(t *testing.T, answer func(sql string) *fakes.Reply) *fakeServer {
	t.Helper()
	return &fakeServer{fakes.NewMember(t, nil, func(sql string) *fakes.Reply {
		if r := answer(sql); r != nil {
			return r
		}
		if strings.Contains(sql, "SET") || strings.Contains(sql, "DISCARD") || strings.Contains(sql, "RESET") {
			return &fakes.Reply{Bytes: pg.AppendReadyIdle(pg.AppendCommandComplete(nil, "SET"))}
		}
		return fakes.Row("v", "source", "1")
	})}
}

// newFakeServerWithDelayedSettings returns a member that reports the statement that makes the setting of newStreamRequest's session, and answers
// it only when it may.
func newFakeServerWithDelayedSettings(t *testing.T) (m *fakeServer, arrived <-chan bool, mayAnswer chan<- bool) {
	t.Helper()
	settingsArrived, answerSettings := make(chan bool), make(chan bool)
	m = newFakeServer(t, func(sql string) *fakes.Reply {
		if strings.Contains(sql, "application_name") {
			settingsArrived <- true
			<-answerSettings
		}
		return nil
	})
	return m, settingsArrived, answerSettings
}

// received reports whether the member was sent a statement with this id.
func (s *fakeServer) received(id string) bool {
	_, asked := s.Seen()
	return strings.Contains(strings.Join(asked, "|"), "id="+id+",")
}

// A client has closed its connection, and the loop has not handled that yet: the router was busy, or the attempt is decided in the batch
// in which the close comes. No attempt is written, whichever it is, and the connection serves the next request.
func TestSendAttempt_ClientClosedBeforeWrite(t *testing.T) {
	plain := func(_ *testing.T, driver *testDriver, id string) *request.Request {
		return newRequest(driver, id, 60000)
	}
	pooled := func(set bool) func(*testing.T, *testDriver, string) *request.Request {
		return func(t *testing.T, driver *testDriver, id string) *request.Request {
			return newStreamRequest(t, driver, id, 60000, set)
		}
	}
	for _, c := range []struct {
		name   string
		new    func(*testing.T, *testDriver, string) *request.Request
		seq    int
		queued bool // another attempt, for the only connection
		noConn bool // no connection is up yet
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
			m := newFakeServer(t, func(sql string) *fakes.Reply {
				if strings.Contains(sql, "id=holds,") {
					<-answer
				}
				return nil
			})
			driver, backend := startPools(t, 1, 20000, connpool.Bounds{PerMember: 1, WaitTimeoutMs: 60000, IdleTimeoutMs: 60000})
			backend.limits.QueueStatements = true
			driver.runOnLoop(func() { backend.List(listOf(m.Addr, router.Up)) })
			if !c.noConn && !c.queued {
				driver.runOnLoop(func() { backend.SendAttempt(c.new(t, driver, "warms"), 0, "a", 0, math.Inf(1)) })
				if got := driver.nextEvent(t); !strings.HasPrefix(got, "0 succeeded") {
					t.Fatalf("got %q", got)
				}
			}
			if c.queued {
				driver.runOnLoop(func() { backend.SendAttempt(c.new(t, driver, "holds"), 0, "a", 0, math.Inf(1)) })
				fakes.Until(t, "the one before has arrived", func() bool { return m.received("holds") })
			}
			driver.runOnLoop(func() {
				abandoned := c.new(t, driver, "leaves")
				abandoned.ClientClosed = func() bool { return true }
				backend.SendAttempt(abandoned, c.seq, "a", 0, math.Inf(1))
			})
			answer <- true
			var events []string
			for range map[bool]int{false: 1, true: 2}[c.queued] {
				events = append(events, driver.nextEvent(t))
			}
			if want := fmt.Sprint(c.seq, " not sent 0 0 false"); !slices.Contains(events, want) {
				t.Errorf("events %q, want %q", events, want)
			}
			driver.runOnLoop(func() { backend.SendAttempt(c.new(t, driver, "after"), 0, "a", 0, math.Inf(1)) })
			if got := driver.nextEvent(t); !strings.HasPrefix(got, "0 succeeded") {
				t.Errorf("the next: %q", got)
			}
			if accepted, _ := m.Seen(); accepted != 1 {
				t.Errorf("%d connections, want the one", accepted)
			}
			if m.received("leaves") {
				t.Error("written for a client that had closed")
			}
		})
	}
}

// A client closes its connection while the session's settings are being made for its attempt: the statement is not written.
func TestStream_ClientClosesDuringSettings(t *testing.T) {
	m, settingsArrived, answerSettings := newFakeServerWithDelayedSettings(t)
	driver, backend := startPools(t, 1, 20000, connpool.Bounds{PerMember: 1, WaitTimeoutMs: 60000, IdleTimeoutMs: 60000})
	closed := false // the loop's
	driver.runOnLoop(func() {
		backend.List(listOf(m.Addr, router.Up))
		abandoned := newStreamRequest(t, driver, "leaves", 60000, true)
		abandoned.ClientClosed = func() bool { return closed }
		backend.SendAttempt(abandoned, 0, "a", 0, math.Inf(1))
	})
	<-settingsArrived
	driver.runOnLoop(func() { closed = true })
	answerSettings <- true
	if got := driver.nextEvent(t); got != "0 not sent 0 0 false" {
		t.Errorf("got %q", got)
	}
	if m.received("leaves") {
		t.Error("written for a client that had closed")
	}
}

// The time after which an attempt must not be written passes while the session's settings are being made: the statement is not written.
func TestStream_TooLateAfterSettings(t *testing.T) {
	m, settingsArrived, answerSettings := newFakeServerWithDelayedSettings(t)
	driver, backend := startPools(t, 1, 20000, connpool.Bounds{PerMember: 1, WaitTimeoutMs: 60000, IdleTimeoutMs: 60000})
	driver.runOnLoop(func() {
		backend.List(listOf(m.Addr, router.Up))
		backend.SendAttempt(newStreamRequest(t, driver, "late", 60000, true), 0, "a", 0, math.Inf(1))
	})
	<-settingsArrived
	driver.runOnLoop(func() { backend.attempts["late"].notAfter = driver.Clock() - 1 }) // it has passed since
	answerSettings <- true
	if got := driver.nextEvent(t); got != "0 not sent 0 0 false" {
		t.Errorf("got %q", got)
	}
	if m.received("late") {
		t.Error("written too late")
	}
}

// A client cancels while the session's settings are being made, at a member that has sent no cancel key: the statement is not written.
func TestStream_CancelledDuringSettings(t *testing.T) {
	m, settingsArrived, answerSettings := newFakeServerWithDelayedSettings(t)
	driver, backend := startPools(t, 1, 20000, connpool.Bounds{PerMember: 1, WaitTimeoutMs: 60000, IdleTimeoutMs: 60000})
	var cancelled *request.Request
	driver.runOnLoop(func() {
		backend.List(listOf(m.Addr, router.Up))
		cancelled = newStreamRequest(t, driver, "cancels", 60000, true)
		backend.SendAttempt(cancelled, 0, "a", 0, math.Inf(1))
	})
	<-settingsArrived
	driver.runOnLoop(func() { cancelled.Stream.Backend().Cancel() })
	answerSettings <- true
	if got := driver.nextEvent(t); got != "0 statement error 57014" {
		t.Errorf("got %q", got)
	}
	if m.received("cancels") {
		t.Error("written after it was cancelled")
	}
}

// The deadline that a member receives is at most what the client has left at the write, also for an attempt that is decided in a batch
// that began long before, or that waited on its connection, or for a connection.
func TestSendAttempt_DeadlineAtWrite(t *testing.T) {
	const batchMs, remainingMs = 400.0, 20000.0
	plain := func(_ *testing.T, driver *testDriver, id string) *request.Request {
		return newRequest(driver, id, remainingMs)
	}
	pipelined := func(_ *testing.T, driver *testDriver, id string) *request.Request {
		return request.New(newRequest(driver, id, remainingMs).Statement, driver.Now()-300, func(request.Response) {}) // its last byte came then
	}
	pooled := func(set bool) func(*testing.T, *testDriver, string) *request.Request {
		return func(t *testing.T, driver *testDriver, id string) *request.Request {
			return newStreamRequest(t, driver, id, remainingMs, set)
		}
	}
	for _, c := range []struct {
		name   string
		new    func(*testing.T, *testDriver, string) *request.Request
		seq    int
		queued bool    // it waits for another's connection meanwhile
		wait   float64 // the attempt's own time-out
	}{
		{"the first attempt", plain, 0, false, 0},
		{"a retry", plain, 2, false, 0},
		{"one with a time-out of its own", plain, 1, false, 2000},
		{"one that waits for a connection", plain, 0, true, 0},
		{"pipelined", pipelined, 0, false, 0},
		{"in a session", pooled(false), 0, false, 0},
		{"in a session with settings", pooled(true), 0, false, 0},
		{"a retry in a session", pooled(false), 2, false, 0},
		{"in a session, for another's connection", pooled(false), 0, true, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			answer := make(chan bool, 1)
			m := newFakeServer(t, func(sql string) *fakes.Reply {
				if strings.Contains(sql, "id=holds,") {
					<-answer
				}
				return nil
			})
			driver, backend := startPools(t, 1, 20000, connpool.Bounds{PerMember: 1, WaitTimeoutMs: 60000, IdleTimeoutMs: 60000})
			backend.limits.QueueStatements = true
			driver.runOnLoop(func() { backend.List(listOf(m.Addr, router.Up)) })
			before := "warms"
			if c.queued {
				before = "holds"
			}
			driver.runOnLoop(func() { backend.SendAttempt(c.new(t, driver, before), 0, "a", 0, math.Inf(1)) })
			if !c.queued {
				driver.nextEvent(t)
			}
			fakes.Until(t, "the one before has arrived", func() bool { return m.received(before) })
			var from, began float64
			delayBatch := func() { // the batch goes on for lag ms
				for from = driver.Clock(); driver.Clock() < from+batchMs; {
					runtime.Gosched()
				}
			}
			driver.runOnLoop(func() {
				began = driver.Clock()
				late := c.new(t, driver, "late")
				began = late.Arrived
				if !c.queued {
					delayBatch()
				}
				backend.SendAttempt(late, c.seq, "a", c.wait, math.Inf(1))
				if c.queued {
					delayBatch()
				}
			})
			answer <- true
			fakes.Until(t, "the query has arrived", func() bool { return m.received("late") })
			_, asked := m.Seen()
			d := deadlineOf(t, asked[slices.IndexFunc(asked, func(s string) bool { return strings.Contains(s, "id=late,") })])
			if maxDeadline := began + remainingMs - (from + batchMs); d > maxDeadline {
				t.Errorf("the deadline sent is %.0f ms, %.1f at most are left", d, maxDeadline)
			}
			if c.wait > 0 && d > c.wait {
				t.Errorf("the deadline sent is %.0f ms, the time-out is %.0f", d, c.wait)
			}
		})
	}
}

// deadlineOf returns the deadline in ms in a statement's comment.
func deadlineOf(t *testing.T, sql string) (deadline float64) {
	t.Helper()
	_, rest, found := strings.Cut(sql, ",d=")
	if !found {
		t.Fatalf("no deadline in %q", sql)
	}
	if _, err := fmt.Sscanf(rest, "%f", &deadline); err != nil {
		t.Fatal(err)
	}
	return deadline
}

// A client's time ends while its attempt is delayed before the write: it is not written.
func TestSendAttempt_NotWrittenAfterDeadline(t *testing.T) {
	for name, newRequest := range map[string]func(*testDriver, string, float64) *request.Request{
		"plain": newRequest,
		"in a session": func(driver *testDriver, id string, wait float64) *request.Request {
			return newStreamRequest(t, driver, id, wait, false)
		},
	} {
		t.Run(name, func(t *testing.T) {
			m := newFakeServer(t, func(string) *fakes.Reply { return nil })
			driver, backend := startPools(t, 1, 20000, connpool.Bounds{PerMember: 1, WaitTimeoutMs: 60000, IdleTimeoutMs: 60000})
			driver.runOnLoop(func() {
				backend.List(listOf(m.Addr, router.Up))
				backend.SendAttempt(newRequest(driver, "warms", 60000), 0, "a", 0, math.Inf(1))
			})
			if got := driver.nextEvent(t); !strings.HasPrefix(got, "0 succeeded") {
				t.Fatalf("got %q", got)
			}
			driver.runOnLoop(func() {
				late := newRequest(driver, "late", 1000)
				for driver.Clock() <= late.Deadline {
					runtime.Gosched()
				}
				backend.SendAttempt(late, 0, "a", 0, math.Inf(1))
			})
			if got := driver.nextEvent(t); got != "0 not sent 0 0 false" {
				t.Errorf("got %q", got)
			}
			if m.received("late") {
				t.Error("written after its client's time")
			}
		})
	}
}
