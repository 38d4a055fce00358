package backend

import (
	"fmt"
	"math"
	"runtime"
	"strings"
	"testing"
	"time"

	"wayloft/internal/discovery"
	"wayloft/internal/fakes"
	"wayloft/internal/pg"
	"wayloft/router"
)

// Checks every outcome of an attempt, and whether its connection is reused.
func TestSendAttempt_Outcomes(t *testing.T) {
	ready := pg.AppendReadyIdle(nil)
	refusal := pg.AppendError(nil, &pg.Error{Code: pg.TooManyConnections, Text: "no"}, true)
	for _, c := range []struct {
		name   string
		greet  *fakes.Reply
		answer *fakes.Reply
		wait   float64 // timeout in ms; 0 for none
		want   string
		reused bool
	}{
		{"row", nil, fakes.RowReply("v", "source", "17"), 0, "0 succeeded 1 17 true", true},
		{"row of a replica", nil, fakes.RowReply("v", "copy", "0"), 0, "0 succeeded 2 0 true", true},
		{"misrouted write", nil, fakes.ErrorReply("25006"), 0, "0 misrouted 0 0 false", true},
		{"replication lag", nil, fakes.ErrorReply("72000"), 0, "0 misrouted 0 0 false", true},
		{"error", nil, fakes.ErrorReply("XX000"), 0, "0 server error 0 0 false", true},
		{"error code not in the table", nil, fakes.ErrorReply("58000"), 0, "0 server error 0 0 false", true},
		{"statement error", nil, fakes.ErrorReply("42601"), 0, "0 statement error 42601", true},
		{"position in the future", nil, fakes.RowReply("v", "source", "1e18"), 0, "0 succeeded 1 0 true", true},
		{"invalid position", nil, fakes.RowReply("v", "copy", "NaN"), 0, "0 succeeded 2 0 true", true},
		{"well-formed garbage", nil, &fakes.Reply{Bytes: []byte("x\x00\x00\x00\x40")}, 0, "0 server error 0 0 false", false},
		{"endless value", nil, &fakes.Reply{Bytes: concat(fakes.Rows("v")[:30],
			[]byte("D\xb2\xd0\x5e\x0a\x00\x01\xb2\xd0\x5e\x00"))}, 0, "0 server error 0 0 false", false},
		{"two rows", nil, &fakes.Reply{Bytes: concat(fakes.Rows("v")[:len(fakes.Rows("v"))-14], fakes.Rows("v")[30:],
			ready)}, 0, "0 server error 0 0 false", false},
		{"no row", nil, &fakes.Reply{Bytes: concat(fakes.Rows("v")[:30], []byte("C\x00\x00\x00\x05\x00"), ready)}, 0,
			"0 server error 0 0 false", false},
		{"overloaded", nil, fakes.ErrorReply("53300"), 0, "0 overloaded 0 0 false", true},
		{"overloaded and closed", nil, &fakes.Reply{Bytes: refusal, Close: true}, 0, "0 overloaded 0 0 false", false},
		{"login refused", &fakes.Reply{Bytes: refusal, Close: true}, nil, 0,
			"0 connect failed 0 0 false", false},
		{"closed before the query", &fakes.Reply{Close: true}, nil, 0, "0 connect failed 0 0 false", false},
		{"login never answered", &fakes.Reply{}, nil, 0, "0 connect failed 0 0 false", false},
		{"timed out before the query", &fakes.Reply{}, nil, 20, "0 not sent 0 0 false", false},
		{"closed without response", nil, &fakes.Reply{Close: true}, 0, "0 reset 0 0 false", false},
		{"closed within the response", nil, &fakes.Reply{Bytes: fakes.Rows("v")[:30], Close: true}, 0,
			"0 reset 0 0 false", false},
		{"closed before readiness", nil, &fakes.Reply{Bytes: fakes.Rows("v"), Close: true}, 0,
			"0 succeeded 0 0 true", false},
		{"malformed", nil, &fakes.Reply{Bytes: []byte("?\x00\x00\x00\x04")}, 0, "0 server error 0 0 false", false},
		{"readiness without response", nil, &fakes.Reply{Bytes: ready}, 0, "0 server error 0 0 false", false},
		{"too long", nil, &fakes.Reply{Bytes: fakes.Rows(strings.Repeat("x", maxResponse))}, 0, "0 server error 0 0 false", false},
		{"too long in parts", nil, &fakes.Reply{Bytes: concat(fakes.Rows(strings.Repeat("x", maxResponse/2)),
			fakes.Rows(strings.Repeat("x", maxResponse/2)), ready)}, 0, "0 server error 0 0 false", false},
		{"endless notices", nil, &fakes.Reply{Bytes: []byte(strings.Repeat("N\x00\x00\x00\x08abcd", maxResponse/4))}, 0,
			"0 server error 0 0 false", false},
		{"more than the response", nil, &fakes.Reply{Bytes: concat(fakes.Rows("v"), ready, ready)}, 0,
			"0 succeeded 0 0 true", false},
		{"no response", nil, nil, 100, "0 timed out 0 0 false", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			dialTimeout := 5000.0
			if c.name == "login never answered" {
				dialTimeout = 200 // the attempt ends when the dial times out
			}
			driver, backend := startWithDialTimeout(t, 10, dialTimeout)
			m := fakes.NewMember(t, c.greet, func(string) *fakes.Reply { return c.answer })
			driver.runOnLoop(func() {
				backend.ApplyMemberList(listOf(m.Addr, router.Up))
				backend.SendAttempt(newRequest(driver, "1", 5000), 0, "a", c.wait, math.Inf(1))
			})
			if got := driver.nextEvent(t); got != c.want {
				t.Errorf("got %q, want %q", got, c.want)
			}
			fakes.WaitUntil(t, fmt.Sprint("the connection is kept: ", c.reused), func() (settled bool) {
				driver.runOnLoop(func() {
					idle := backend.pool.IdleCount("a")
					settled = (idle > 0) == c.reused && backend.Connections() == idle && len(backend.attempts) == 0
				})
				return settled
			})
		})
	}
}

func TestBackend_ConnectionRefused(t *testing.T) {
	driver, backend := start(t, 10)
	m := fakes.NewMember(t, nil, nil)
	m.Stop()
	driver.runOnLoop(func() {
		backend.ApplyMemberList(listOf(m.Addr, router.Up))
		backend.SendAttempt(newRequest(driver, "1", 5000), 3, "a", 0, math.Inf(1))
		backend.HealthCheck("a")
	})
	if a, b := driver.nextEvent(t), driver.nextEvent(t); a+b != "3 connect failed 0 0 falsecheck connect failed" &&
		b+a != "3 connect failed 0 0 falsecheck connect failed" {
		t.Errorf("got %q and %q, want a failed connect for both the attempt and the health check", a, b)
	}
}

// Guards against a late response reaching another request: the connection of a cancelled attempt must be closed before the next attempt is
// sent.
func TestCancelAttempt_ClosesConnection(t *testing.T) {
	driver, backend := start(t, 10)
	m := fakes.NewMember(t, nil, func(sql string) *fakes.Reply {
		if strings.Contains(sql, "id=1") {
			return nil
		}
		return fakes.RowReply("v", "source", "1")
	})
	driver.runOnLoop(func() {
		backend.ApplyMemberList(listOf(m.Addr, router.Up))
		backend.SendAttempt(newRequest(driver, "1", 5000), 0, "a", 0, math.Inf(1))
	})
	fakes.WaitUntil(t, "the query has arrived", func() bool { _, queries := m.Received(); return len(queries) > 0 })
	driver.runOnLoop(func() { backend.CancelAttempt("1", 0) })
	if got := driver.nextEvent(t); got != "0 canceled 0 0 false" {
		t.Errorf("got %q", got)
	}
	driver.runOnLoop(func() { backend.SendAttempt(newRequest(driver, "2", 5000), 0, "a", 0, math.Inf(1)) })
	if got := driver.nextEvent(t); got != "0 succeeded 1 1 true" {
		t.Errorf("got %q", got)
	}
	if accepted, _ := m.Received(); accepted != 2 {
		t.Errorf("%d connections, want 2", accepted)
	}
}

// A report with any invalid part must be ignored entirely: it shows only that the member is up. The health check then ends as a server error.
func TestHealthCheck_Reports(t *testing.T) {
	driver, backend := start(t, 10)
	report := ""
	m := fakes.NewMember(t, nil, func(sql string) *fakes.Reply {
		if sql != "SHOW vitals" {
			return nil
		}
		return &fakes.Reply{Bytes: pg.AppendReadyIdle(fakes.Rows(report))}
	})
	driver.runOnLoop(func() { backend.ApplyMemberList(listOf(m.Addr, router.Up)) })
	for _, c := range []struct{ report, want string }{
		{"x0=1767225600.123,x1=1", "report 1 1.767225600123e+12; check succeeded"},
		{"x0=1767225600,x1=0", "report 2 1.7672256e+12; check succeeded"},
		{"x0=1e18,x1=1", "check server error"},
		{"x0=NaN,x1=1", "check server error"},
		{"x0=1767225600,x1=what", "check server error"},
		{"x1=1", "check server error"},
		{"\xff\x00", "check server error"},
	} {
		driver.runOnLoop(func() { report = c.report; backend.HealthCheck("a") })
		var got []string
		for range strings.Count(c.want, ";") + 1 {
			got = append(got, driver.nextEvent(t))
		}
		if all := strings.Join(got, "; "); all != c.want {
			t.Errorf("%q: got %q, want %q", c.report, all, c.want)
		}
	}
}

// Guards against taking a duplicate of a response for the response to the next query when a connection is reused immediately. An empty query
// is sent first, and its reply separates the two.
func TestSendAttempt_DuplicateResponseIsNotTakenForNext(t *testing.T) {
	driver, backend := start(t, 1)
	duplicate := false
	m := fakes.NewMember(t, nil, func(string) *fakes.Reply { return fakes.RowReply("v", "source", "1") })
	m.Empty = func() *fakes.Reply {
		barrierReply := pg.AppendReadyIdle(pg.AppendEmptyQuery(nil))
		if duplicate { // the previous response is sent again
			barrierReply = append(fakes.RowReply("old", "source", "1").Bytes, barrierReply...)
		}
		return &fakes.Reply{Bytes: barrierReply}
	}
	driver.runOnLoop(func() { backend.ApplyMemberList(listOf(m.Addr, router.Up)) })
	for n, want := range []string{"0 succeeded 1 1 true", "0 succeeded 1 1 true", "0 server error 0 0 false"} {
		driver.runOnLoop(func() { duplicate = n == 2 })
		driver.runOnLoop(func() { backend.SendAttempt(newRequest(driver, fmt.Sprint(n), 5000), 0, "a", 0, math.Inf(1)) })
		if got := driver.nextEvent(t); got != want {
			t.Errorf("%d: got %q, want %q", n, got, want)
		}
	}
	if accepted, queries := m.Received(); accepted != 1 || !strings.Contains(strings.Join(queries, "|"), "||") {
		t.Errorf("%d connections; queries %q", accepted, queries)
	}
}

// Incomplete responses that together exceed the budget are discarded. Their attempts end as server errors, since their statements may have run.
func TestSendAttempt_ResponsesOverBudget(t *testing.T) {
	driver, backend := start(t, 20)
	part := fakes.Rows(strings.Repeat("v", maxResponse-100))
	m := fakes.NewMember(t, nil, func(string) *fakes.Reply { return &fakes.Reply{Bytes: part[:len(part)-20]} })
	driver.runOnLoop(func() {
		backend.ApplyMemberList(listOf(m.Addr, router.Up))
		for n := range 6 {
			backend.SendAttempt(newRequest(driver, fmt.Sprint(n), 60000), 0, "a", 0, math.Inf(1))
		}
	})
	for range 2 {
		if got := driver.nextEvent(t); got != "0 server error 0 0 false" {
			t.Errorf("got %q", got)
		}
	}
	fakes.WaitUntil(t, "four incomplete responses are buffered", func() (four bool) {
		driver.runOnLoop(func() {
			four = backend.bufferedBytes > 3*maxResponse && backend.bufferedBytes <= 4*maxResponse && backend.OverBudget == 2 && backend.Connections() == 4
		})
		return four
	})
	for n := range 6 {
		driver.runOnLoop(func() { backend.CancelAttempt(fmt.Sprint(n), 0) })
	}
	fakes.WaitUntil(t, "no response is buffered and no connection is open", func() (none bool) {
		driver.runOnLoop(func() { none = backend.bufferedBytes == 0 && backend.Connections() == 0 })
		return none
	})
}

// At the connection limit, idle connections are closed first. An attempt that gets no connection ends as not sent, which says nothing about
// its member.
func TestSendAttempt_ConnectionLimit(t *testing.T) {
	driver, backend := start(t, 1)
	m := fakes.NewMember(t, nil, func(sql string) *fakes.Reply {
		if strings.Contains(sql, "id=2") {
			return nil
		}
		return fakes.RowReply("v", "source", "1")
	})
	other := fakes.NewMember(t, nil, func(string) *fakes.Reply { return nil })
	driver.runOnLoop(func() {
		l := listOf(m.Addr, router.Up)
		l.Entries = append(l.Entries, discovery.Entry{ID: "b", Addr: other.Addr})
		backend.ApplyMemberList(l)
		backend.SendAttempt(newRequest(driver, "1", 5000), 0, "a", 0, math.Inf(1))
	})
	if got := driver.nextEvent(t); got != "0 succeeded 1 1 true" {
		t.Errorf("got %q", got)
	}
	driver.runOnLoop(func() {
		backend.SendAttempt(newRequest(driver, "2", 5000), 0, "b", 0, math.Inf(1))
		backend.SendAttempt(newRequest(driver, "3", 5000), 0, "a", 0, math.Inf(1))
	})
	if got := driver.nextEvent(t); got != "0 not sent 0 0 false" {
		t.Errorf("got %q", got)
	}
	driver.runOnLoop(func() {
		if backend.Connections() != 1 || backend.NoConnection != 1 {
			t.Errorf("%d connections, %d attempts without a connection; want 1 of each", backend.Connections(), backend.NoConnection)
		}
	})
}

// awaitPeerClosed blocks the loop until the member has closed the connection.
func awaitPeerClosed(t *testing.T, c *memberConn) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !c.conn.PeerClosed(); runtime.Gosched() {
		if time.Now().After(deadline) {
			t.Error("the member has not closed the connection")
			return
		}
	}
}

// A connection that the member has closed must not be used, even if the loop has not handled the close yet: a query on it would fail with a
// reset.
func TestSendAttempt_ClosedConnectionIsNotUsed(t *testing.T) {
	driver, backend := start(t, 10)
	m := fakes.NewMember(t, nil, func(string) *fakes.Reply {
		r := fakes.RowReply("v", "source", "1")
		r.Close = true
		return r
	})
	driver.runOnLoop(func() { backend.ApplyMemberList(listOf(m.Addr, router.Up)) })
	for n := range 20 {
		driver.runOnLoop(func() {
			for _, c := range backend.conns { // the close arrives while the loop is busy
				awaitPeerClosed(t, c)
			}
			backend.SendAttempt(newRequest(driver, fmt.Sprint(n), 5000), 0, "a", 0, math.Inf(1))
		})
		if got := driver.nextEvent(t); got != "0 succeeded 1 1 true" {
			t.Fatalf("attempt %d: %q", n, got)
		}
	}
}

// Guards against a timer that wakes an idle router, and against one that fires too late for the pool's next sweep.
func TestBackend_TimerFollowsPool(t *testing.T) {
	driver, backend := start(t, 10)
	driver.runOnLoop(func() { backend.ApplyMemberList(listOf("127.0.0.1:1", router.Up)) })
	for idle := false; !idle; { // wait for the sweep after the list
		driver.runOnLoop(func() { idle = math.IsInf(backend.timerAt, 1) })
	}
	driver.runOnLoop(func() {
		backend.poolInput()
		if at := backend.pool.NextSweep(); backend.timerAt != at {
			t.Errorf("after an input, the pool's next sweep is at %v, but the timer is set for %v", at, backend.timerAt)
		}
	})
}
