//go:build debug

package backend

import (
	"fmt"
	"io"
	"math"
	"net"
	"runtime"
	"strings"
	"sync"
	"testing"

	"wayloft/internal/failpoint"
	"wayloft/internal/fakes"
	"wayloft/internal/pg"
	"wayloft/internal/request"
	"wayloft/router"
)

// closeSocket closes one of the test's sockets and ignores the error, which does not affect the test.
func closeSocket(c io.Closer) { _ = c.Close() }

// readToEOF reads and discards everything on a connection until it ends, with or without an error.
func readToEOF(c io.Reader) { _, _ = io.Copy(io.Discard, c) }

// stalledMember is a member that accepts a login and then reads nothing more.
type stalledMember struct {
	addr  string
	conns chan net.Conn
}

func newStalledMember(t *testing.T) *stalledMember {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	m := &stalledMember{l.Addr().String(), make(chan net.Conn, 1)}
	t.Cleanup(func() { closeSocket(l) })
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		if _, err := io.ReadFull(c, make([]byte, len(pg.AppendStartup(nil, "api", "ledger")))); err != nil {
			t.Error(err)
		}
		if _, err := c.Write(pg.AppendStartupResponse(nil, 0)); err != nil {
			t.Error(err)
		}
		m.conns <- c
	}()
	return m
}

// Guards against a race in which the poller writes the rest of a query while its attempt is being ended. Whether the query was sent must be
// decided after the connection is closed, so that an attempt whose last byte was written is never reported as not sent.
func TestEndJob_LastByteIsWrittenMeanwhile(t *testing.T) {
	long := strings.Repeat("x", 16<<20)
	for _, c := range []struct {
		name, want string
		giveUp     func(*Backend, *testDriver)
	}{
		{"cancelled", "0 canceled 0 0 false", func(b *Backend, _ *testDriver) { b.CancelAttempt("1", 0) }},
		{"client gone", "0 canceled 0 0 false", func(b *Backend, _ *testDriver) { b.Abandon("1") }},
		{"timed out", "0 timed out 0 0 false", func(b *Backend, driver *testDriver) {
			driver.Defer(func() { b.endJob(b.attempts["1"], router.TimedOut) })
		}},
	} {
		for _, readMeanwhile := range []bool{true, false} {
			t.Run(fmt.Sprint(c.name, ", read meanwhile: ", readMeanwhile), func(t *testing.T) {
				driver, backend := start(t, 10)
				m := newStalledMember(t)
				statement, err := pg.ParseStatement("/* id=1,c=x,d=60000 */ SELECT " + long)
				if err != nil {
					t.Fatal(err)
				}
				driver.runOnLoop(func() {
					backend.ApplyMemberList(listOf(m.addr, router.Up))
					backend.SendAttempt(request.New(statement, driver.Now(), func(request.Response) {}), 0, "a", 0, math.Inf(1))
				})
				peer := <-m.conns
				defer closeSocket(peer)
				fakes.WaitUntil(t, "part of the query is written", func() (written bool) {
					driver.runOnLoop(func() {
						for _, c := range backend.conns {
							written = c.queryWritten && c.conn.Unsent() > 0
						}
					})
					return written
				})
				var conn *memberConn
				driver.runOnLoop(func() {
					for _, c := range backend.conns {
						conn = c
					}
				})
				if readMeanwhile {
					defer failpoint.SetHook("backend.unsent", sync.OnceFunc(func() {
						go readToEOF(peer)
						for !conn.conn.Sent() {
							runtime.Gosched()
						}
					}))()
				}
				want := c.want
				if !readMeanwhile {
					want = "0 not sent 0 0 false"
				}
				driver.runOnLoop(func() { c.giveUp(backend, driver) })
				if got := driver.nextEvent(t); got != want {
					t.Errorf("got %q, want %q", got, want)
				}
			})
		}
	}
}

// A client disconnects while its attempt waits for a connection to be established. The attempt must not be sent, and the connection must serve
// the next request.
func TestAbandon_BeforeQueryIsWritten(t *testing.T) {
	driver, backend := start(t, 1)
	greet := make(chan bool)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer closeSocket(l)
	queries := make(chan string, 10)
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer closeSocket(c)
		in := pg.NewReader(false, 1<<20)
		buf := make([]byte, 1<<12)
		for {
			n, err := c.Read(buf)
			if err != nil {
				return
			}
			in.Feed(buf[:n])
			for m, ok, _ := in.Next(); ok; m, ok, _ = in.Next() {
				if m.Kind == pg.Startup {
					<-greet
					if _, err := c.Write(pg.AppendStartupResponse(nil, 0)); err != nil {
						t.Error(err)
					}
					continue
				}
				queries <- m.Text
				if _, err := c.Write(fakes.RowReply("v", "source", "1").Bytes); err != nil {
					t.Error(err)
				}
			}
		}
	}()
	driver.runOnLoop(func() {
		backend.options.DialTimeoutMs = 20000
		backend.ApplyMemberList(listOf(l.Addr().String(), router.Up))
		backend.SendAttempt(newRequest(driver, "1", 60000), 0, "a", 0, math.Inf(1))
	})
	driver.runOnLoop(func() { backend.Abandon("1") })
	if got := driver.nextEvent(t); got != "0 not sent 0 0 false" {
		t.Errorf("got %q", got)
	}
	driver.runOnLoop(func() { backend.Abandon("1") }) // a second call has no effect
	close(greet)
	fakes.WaitUntil(t, "the connection is kept", func() (idle bool) {
		driver.runOnLoop(func() { idle = backend.pool.IdleCount("a") == 1 })
		return idle
	})
	driver.runOnLoop(func() { backend.SendAttempt(newRequest(driver, "2", 60000), 0, "a", 0, math.Inf(1)) })
	if got := driver.nextEvent(t); got != "0 succeeded 1 1 true" {
		t.Errorf("got %q", got)
	}
	if got := <-queries; !strings.Contains(got, "id=2") {
		t.Errorf("the first query is %q, want the one of request 2", got)
	}
}

// A client disconnects while its query may be running. The attempt must continue, since its outcome is information about the member.
func TestAbandon_WhileQueryRuns(t *testing.T) {
	driver, backend := start(t, 1)
	answer := make(chan bool)
	m := fakes.NewMember(t, nil, func(string) *fakes.Reply { <-answer; return fakes.RowReply("v", "source", "1") })
	driver.runOnLoop(func() {
		backend.ApplyMemberList(listOf(m.Addr, router.Up))
		backend.SendAttempt(newRequest(driver, "1", 60000), 0, "a", 0, math.Inf(1))
	})
	fakes.WaitUntil(t, "the query has arrived", func() bool { _, queries := m.Received(); return len(queries) > 0 })
	driver.runOnLoop(func() { backend.Abandon("1") })
	close(answer)
	if got := driver.nextEvent(t); got != "0 succeeded 1 1 true" {
		t.Errorf("got %q", got)
	}
}

// An attempt's notAfter passes before its connection is established. The attempt must not be written, and the connection must serve the next
// request.
func TestSendAttempt_TooLate(t *testing.T) {
	driver, backend := start(t, 1)
	m := fakes.NewMember(t, nil, func(string) *fakes.Reply { return fakes.RowReply("v", "source", "1") })
	driver.runOnLoop(func() {
		backend.ApplyMemberList(listOf(m.Addr, router.Up))
		backend.SendAttempt(newRequest(driver, "1", 60000), 0, "a", 0, driver.Clock()) // connecting takes longer than that
	})
	if got := driver.nextEvent(t); got != "0 not sent 0 0 false" {
		t.Errorf("got %q", got)
	}
	driver.runOnLoop(func() { backend.SendAttempt(newRequest(driver, "2", 60000), 0, "a", 0, driver.Clock()+60000) })
	if got := driver.nextEvent(t); got != "0 succeeded 1 1 true" {
		t.Errorf("got %q", got)
	}
	if accepted, queries := m.Received(); accepted != 1 || strings.Contains(strings.Join(queries, ""), "id=1") {
		t.Errorf("%d connections, queries %q; want 1 connection and no query of request 1", accepted, queries)
	}
}

// An attempt is decided at the end of a long batch of events. The deadline sent to the member must be at most the time that the client has
// left by then, and the attempt must time out at the client's deadline, not later by the duration of the batch.
func TestSendAttempt_DeadlineAfterLongBatch(t *testing.T) {
	const batchMs, remainingMs, laterMs = 1500.0, 2000.0, 750.0
	driver, backend := start(t, 4)
	received := make(chan string, 10)
	m := fakes.NewMember(t, nil, func(sql string) *fakes.Reply {
		received <- sql
		if strings.Contains(sql, "id=warmup") {
			return fakes.RowReply("v", "source", "1")
		}
		return nil
	})
	driver.runOnLoop(func() {
		backend.ApplyMemberList(listOf(m.Addr, router.Up))
		backend.SendAttempt(newRequest(driver, "warmup", 60000), 0, "a", 0, math.Inf(1))
	})
	if got := driver.nextEvent(t); got != "0 succeeded 1 1 true" {
		t.Fatalf("got %q", got)
	}
	<-received
	var began float64
	driver.runOnLoop(func() {
		began = driver.Now()
		for driver.Clock() < began+batchMs {
			runtime.Gosched()
		}
		backend.SendAttempt(newRequest(driver, "first", remainingMs), 0, "a", 0, math.Inf(1))
	})
	driver.runOnLoop(func() {
		backend.SendAttempt(newRequest(driver, "second", began+remainingMs+laterMs-driver.Now()), 1, "a", 0, math.Inf(1))
	})
	for range 2 {
		sql := <-received
		d := deadlineOf(t, sql)
		if strings.Contains(sql, "id=first") && d > remainingMs-batchMs {
			t.Errorf("the deadline sent is %.0f ms, want at most %.0f", d, remainingMs-batchMs)
		}
	}
	for _, want := range []string{"0 timed out 0 0 false", "1 timed out 0 0 false"} {
		if got := driver.nextEvent(t); got != want {
			t.Errorf("got %q, want %q", got, want)
		}
	}
}
