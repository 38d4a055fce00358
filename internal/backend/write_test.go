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
	"wayloft/internal/discovery"
	"wayloft/internal/fakes"
	"wayloft/internal/pg"
	"wayloft/internal/request"
	"wayloft/router"
)

// fakeSession is a client session that passes the member's messages to its state and discards everything else.
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

// newStreamRequest returns a request of a client session with one statement. If set is true, the session has a setting of its own.
func newStreamRequest(t *testing.T, driver *testDriver, id string, wait float64, set bool) *request.Request {
	t.Helper()
	base := session.NoSettings
	if set {
		base, _ = session.StartupSettings(pg.StartupParameters{{Name: "application_name", Value: "x"}})
	}
	clientSession := session.New(session.Policy{MaxSettingsBytes: 1 << 12, MaxStatements: 8}, base)
	sql := fmt.Sprintf("/* id=%s,c=x,d=%.0f */ SELECT blob", id, wait)
	_, ops := clientSession.Query(sql, pg.AppendQuery(nil, sql), false)
	req := request.New(&pg.Statement{ID: id, RequestClass: "x", TimeoutMs: wait}, driver.Now(), func(request.Response) {})
	req.Stream = &request.Stream{Pool: "sessions", Client: &fakeSession{clientSession}}
	req.Stream.Send(ops)
	return req
}

// fakeServer is a member whose responses a test can override, and that accepts settings.
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
		return fakes.RowReply("v", "source", "1")
	})}
}

// newFakeServerWithDelayedSettings returns a member that signals arrived when it receives the setting of newStreamRequest's session, and
// answers it only after a value is sent to mayAnswer.
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

// received reports whether the member received a statement with this id.
func (s *fakeServer) received(id string) bool {
	_, queries := s.Received()
	return strings.Contains(strings.Join(queries, "|"), "id="+id+",")
}

// A client has closed its connection, but the loop has not handled the close yet, because the router was busy or because the attempt is decided
// in the same batch. No attempt must be written for the client, and the connection must serve the next request.
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
		queued bool // the attempt waits while another one uses the only connection
		noConn bool // no connection is established yet
	}{
		{"the first attempt", plain, 0, false, false},
		{"a retry", plain, 3, false, false},
		{"one that waits for a connection to be established", plain, 0, false, true},
		{"one that waits for a connection in use", plain, 0, true, false},
		{"in a session", pooled(false), 0, false, false},
		{"in a session with settings", pooled(true), 0, false, false},
		{"a retry in a session", pooled(false), 2, false, false},
		{"in a session, waiting for a connection to be established", pooled(true), 0, false, true},
		{"in a session, waiting for a connection in use", pooled(true), 0, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			answer := make(chan bool, 1)
			m := newFakeServer(t, func(sql string) *fakes.Reply {
				if strings.Contains(sql, "id=blocking,") {
					<-answer
				}
				return nil
			})
			driver, backend := startPools(t, 1, 20000, connpool.Bounds{PerMember: 1, WaitTimeoutMs: 60000, IdleTimeoutMs: 60000})
			backend.options.QueueStatements = true
			driver.runOnLoop(func() { backend.ApplyMemberList(listOf(m.Addr, router.Up)) })
			if !c.noConn && !c.queued {
				driver.runOnLoop(func() { backend.SendAttempt(c.new(t, driver, "warmup"), 0, "a", 0, math.Inf(1)) })
				if got := driver.nextEvent(t); !strings.HasPrefix(got, "0 succeeded") {
					t.Fatalf("got %q", got)
				}
			}
			if c.queued {
				driver.runOnLoop(func() { backend.SendAttempt(c.new(t, driver, "blocking"), 0, "a", 0, math.Inf(1)) })
				fakes.WaitUntil(t, "the blocking query has arrived", func() bool { return m.received("blocking") })
			}
			driver.runOnLoop(func() {
				abandoned := c.new(t, driver, "abandoned")
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
				t.Errorf("next attempt: got %q", got)
			}
			if accepted, _ := m.Received(); accepted != 1 {
				t.Errorf("%d connections, want 1", accepted)
			}
			if m.received("abandoned") {
				t.Error("the statement was written for a client that had closed its connection")
			}
		})
	}
}

// A client closes its connection while the session's settings are being applied for its attempt. The statement must not be written.
func TestStream_ClientClosesDuringSettings(t *testing.T) {
	m, settingsArrived, answerSettings := newFakeServerWithDelayedSettings(t)
	driver, backend := startPools(t, 1, 20000, connpool.Bounds{PerMember: 1, WaitTimeoutMs: 60000, IdleTimeoutMs: 60000})
	closed := false // accessed only on the loop
	driver.runOnLoop(func() {
		backend.ApplyMemberList(listOf(m.Addr, router.Up))
		abandoned := newStreamRequest(t, driver, "abandoned", 60000, true)
		abandoned.ClientClosed = func() bool { return closed }
		backend.SendAttempt(abandoned, 0, "a", 0, math.Inf(1))
	})
	<-settingsArrived
	driver.runOnLoop(func() { closed = true })
	answerSettings <- true
	if got := driver.nextEvent(t); got != "0 not sent 0 0 false" {
		t.Errorf("got %q", got)
	}
	if m.received("abandoned") {
		t.Error("the statement was written for a client that had closed its connection")
	}
}

// An attempt's notAfter passes while the session's settings are being applied. The statement must not be written.
func TestStream_TooLateAfterSettings(t *testing.T) {
	m, settingsArrived, answerSettings := newFakeServerWithDelayedSettings(t)
	driver, backend := startPools(t, 1, 20000, connpool.Bounds{PerMember: 1, WaitTimeoutMs: 60000, IdleTimeoutMs: 60000})
	driver.runOnLoop(func() {
		backend.ApplyMemberList(listOf(m.Addr, router.Up))
		backend.SendAttempt(newStreamRequest(t, driver, "late", 60000, true), 0, "a", 0, math.Inf(1))
	})
	<-settingsArrived
	driver.runOnLoop(func() { backend.attempts["late"].notAfter = driver.Clock() - 1 }) // simulates that the time has passed
	answerSettings <- true
	if got := driver.nextEvent(t); got != "0 not sent 0 0 false" {
		t.Errorf("got %q", got)
	}
	if m.received("late") {
		t.Error("the statement was written after notAfter")
	}
}

// A member drains or is removed while it applies the session's settings for an attempt. The statement must not be written there.
func TestStream_MemberDrainsDuringSettings(t *testing.T) {
	for name, list := range map[string]func(addr string) *discovery.List{
		"draining": func(addr string) *discovery.List { return listOf(addr, router.Draining) },
		"removed":  func(string) *discovery.List { return &discovery.List{Complete: true} },
	} {
		t.Run(name, func(t *testing.T) {
			m, settingsArrived, answerSettings := newFakeServerWithDelayedSettings(t)
			driver, backend := startPools(t, 1, 20000, connpool.Bounds{PerMember: 1, WaitTimeoutMs: 60000, IdleTimeoutMs: 60000})
			driver.runOnLoop(func() {
				backend.ApplyMemberList(listOf(m.Addr, router.Up))
				backend.SendAttempt(newStreamRequest(t, driver, "drains", 60000, true), 0, "a", 0, math.Inf(1))
			})
			<-settingsArrived
			driver.runOnLoop(func() { backend.ApplyMemberList(list(m.Addr)) })
			answerSettings <- true
			if got := driver.nextEvent(t); got != "0 not sent 0 0 false" {
				t.Errorf("got %q", got)
			}
			if m.received("drains") {
				t.Error("the statement was written to a member that drains")
			}
		})
	}
}

// A client cancels its request while the session's settings are being applied on a member that has sent no cancel key. The statement must not
// be written.
func TestStream_CancelledDuringSettings(t *testing.T) {
	m, settingsArrived, answerSettings := newFakeServerWithDelayedSettings(t)
	driver, backend := startPools(t, 1, 20000, connpool.Bounds{PerMember: 1, WaitTimeoutMs: 60000, IdleTimeoutMs: 60000})
	var cancelled *request.Request
	driver.runOnLoop(func() {
		backend.ApplyMemberList(listOf(m.Addr, router.Up))
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
		t.Error("the statement was written after it was cancelled")
	}
}

// The deadline sent to a member must be at most the time that the client has left at the write, even if the attempt is decided in a batch that
// began long before, or waited on its connection or for a connection.
func TestSendAttempt_DeadlineAtWrite(t *testing.T) {
	const batchMs, remainingMs = 400.0, 20000.0
	plain := func(_ *testing.T, driver *testDriver, id string) *request.Request {
		return newRequest(driver, id, remainingMs)
	}
	pipelined := func(_ *testing.T, driver *testDriver, id string) *request.Request {
		return request.New(newRequest(driver, id, remainingMs).Statement, driver.Now()-300, func(request.Response) {}) // when its last byte arrived
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
		queued bool    // the attempt waits while another one uses the only connection
		wait   float64 // the attempt's own timeout in ms
	}{
		{"the first attempt", plain, 0, false, 0},
		{"a retry", plain, 2, false, 0},
		{"one with a timeout of its own", plain, 1, false, 2000},
		{"one that waits for a connection", plain, 0, true, 0},
		{"pipelined", pipelined, 0, false, 0},
		{"in a session", pooled(false), 0, false, 0},
		{"in a session with settings", pooled(true), 0, false, 0},
		{"a retry in a session", pooled(false), 2, false, 0},
		{"in a session, waiting for a connection in use", pooled(false), 0, true, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			answer := make(chan bool, 1)
			m := newFakeServer(t, func(sql string) *fakes.Reply {
				if strings.Contains(sql, "id=blocking,") {
					<-answer
				}
				return nil
			})
			driver, backend := startPools(t, 1, 20000, connpool.Bounds{PerMember: 1, WaitTimeoutMs: 60000, IdleTimeoutMs: 60000})
			backend.options.QueueStatements = true
			driver.runOnLoop(func() { backend.ApplyMemberList(listOf(m.Addr, router.Up)) })
			before := "warmup"
			if c.queued {
				before = "blocking"
			}
			driver.runOnLoop(func() { backend.SendAttempt(c.new(t, driver, before), 0, "a", 0, math.Inf(1)) })
			if !c.queued {
				driver.nextEvent(t)
			}
			fakes.WaitUntil(t, "the previous query has arrived", func() bool { return m.received(before) })
			var from, began float64
			delayBatch := func() { // keeps the loop busy for batchMs
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
			fakes.WaitUntil(t, "the query has arrived", func() bool { return m.received("late") })
			_, queries := m.Received()
			d := deadlineOf(t, queries[slices.IndexFunc(queries, func(s string) bool { return strings.Contains(s, "id=late,") })])
			if maxDeadline := began + remainingMs - (from + batchMs); d > maxDeadline {
				t.Errorf("the deadline sent is %.0f ms, want at most %.1f", d, maxDeadline)
			}
			if c.wait > 0 && d > c.wait {
				t.Errorf("the deadline sent is %.0f ms, want at most the timeout of %.0f", d, c.wait)
			}
		})
	}
}

// deadlineOf returns the deadline in ms from a statement's comment.
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

// A client's deadline passes while its attempt is delayed before the write. The attempt must not be written.
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
				backend.ApplyMemberList(listOf(m.Addr, router.Up))
				backend.SendAttempt(newRequest(driver, "warmup", 60000), 0, "a", 0, math.Inf(1))
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
				t.Error("the statement was written after its client's deadline")
			}
		})
	}
}

// Guards against the beginning of a message that a member sends on an idle connection, and that swallows the response to the next query.
func TestSendAttempt_NoiseOnIdleConnection(t *testing.T) {
	noise := []byte("D\x00\x00\x40\x00\x00\x01") // the first bytes of a message of 16 KiB
	for name, newAttempt := range map[string]func(*testDriver, string) *request.Request{
		"a statement": func(driver *testDriver, id string) *request.Request { return newRequest(driver, id, 60000) },
		"in a session": func(driver *testDriver, id string) *request.Request {
			return newStreamRequest(t, driver, id, 60000, false)
		},
	} {
		t.Run(name, func(t *testing.T) {
			m := newFakeServer(t, func(string) *fakes.Reply { return nil })
			driver, backend := startPools(t, 1, 20000, connpool.Bounds{PerMember: 1, WaitTimeoutMs: 60000, IdleTimeoutMs: 60000})
			driver.runOnLoop(func() { backend.ApplyMemberList(listOf(m.Addr, router.Up)) })
			for _, id := range []string{"1", "2"} {
				driver.runOnLoop(func() { backend.SendAttempt(newAttempt(driver, id), 0, "a", 0, math.Inf(1)) })
				if got := driver.nextEvent(t); !strings.HasPrefix(got, "0 succeeded") {
					t.Fatalf("request %s: %s", id, got)
				}
				driver.runOnLoop(func() {
					for _, c := range backend.conns {
						c.Data(noise)
					}
				})
			}
		})
	}
}
