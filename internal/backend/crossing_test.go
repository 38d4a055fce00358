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

// holder is a member that lets a connection in and then reads nothing until it is told to.
type holder struct {
	addr string
	in   chan net.Conn
}

func newHolder(t *testing.T) *holder {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	h := &holder{l.Addr().String(), make(chan net.Conn, 1)}
	t.Cleanup(func() { l.Close() })
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		io.ReadFull(c, make([]byte, len(pg.AppendStartup(nil, "api", "ledger"))))
		c.Write(pg.AppendGreeting(nil, 0))
		h.in <- c
	}()
	return h
}

// The rest of a query is written just while its attempt is given up: whoever judges asks after the connection is
// closed, so that what has gone out to the end is never called unrun.
func TestTheLastByteGoesOutWhileItIsGivenUp(t *testing.T) {
	long := strings.Repeat("x", 16<<20)
	for _, c := range []struct {
		name, want string
		up         func(*Backend, *ear)
	}{
		{"revoked", "0 revoked 0 0 false", func(a *Backend, _ *ear) { a.CancelAttempt("1", 0) }},
		{"its client leaves", "0 revoked 0 0 false", func(a *Backend, _ *ear) { a.Abandon("1") }},
		{"timed out", "0 timed out 0 0 false", func(a *Backend, e *ear) { e.Defer(func() { a.endJob(a.attempts["1"], router.TimedOut) }) }},
	} {
		for _, drained := range []bool{true, false} {
			t.Run(fmt.Sprint(c.name, ", read meanwhile: ", drained), func(t *testing.T) {
				e, side := start(t, 10)
				h := newHolder(t)
				st, err := pg.ParseStatement("/* id=1,c=x,d=60000 */ SELECT " + long)
				if err != nil {
					t.Fatal(err)
				}
				e.do(func() {
					side.List(list(h.addr, router.Up))
					side.SendAttempt(request.New(st, e.Now(), func(request.Response) {}), 0, "a", 0, math.Inf(1))
				})
				peer := <-h.in
				defer peer.Close()
				fakes.Until(t, "a part of it is out", func() (out bool) {
					e.do(func() {
						for _, l := range side.conns {
							out = l.queryWritten && l.conn.Unsent() > 0
						}
					})
					return out
				})
				var l *memberConn
				e.do(func() {
					for _, one := range side.conns {
						l = one
					}
				})
				if drained {
					defer failpoint.Set("backend.unsent", sync.OnceFunc(func() {
						go io.Copy(io.Discard, peer)
						for !l.conn.Sent() {
							runtime.Gosched()
						}
					}))()
				}
				want := c.want
				if !drained {
					want = "0 moot 0 0 false"
				}
				e.do(func() { c.up(side, e) })
				if got := e.hear(t); got != want {
					t.Errorf("got %q, want %q", got, want)
				}
			})
		}
	}
}

// A client leaves while its attempt waits for a connection to come up, in the pool's queue, or behind a list: nothing
// is sent for it, and the connection serves the next.
func TestClientLeavesBeforeItsQueryIsWritten(t *testing.T) {
	e, side := start(t, 1)
	greet := make(chan bool)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	asked := make(chan string, 10)
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
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
					c.Write(pg.AppendGreeting(nil, 0))
					continue
				}
				asked <- m.Text
				c.Write(fakes.Row("v", "source", "1").Bytes)
			}
		}
	}()
	e.do(func() {
		side.limits.DialTimeout = 20000
		side.List(list(l.Addr().String(), router.Up))
		side.SendAttempt(txn(e, "1", 60000), 0, "a", 0, math.Inf(1))
	})
	e.do(func() { side.Abandon("1") })
	if got := e.hear(t); got != "0 moot 0 0 false" {
		t.Errorf("got %q", got)
	}
	e.do(func() { side.Abandon("1") }) // told twice
	close(greet)
	fakes.Until(t, "the connection is kept", func() (idle bool) {
		e.do(func() { idle = side.pool.Idle("a") == 1 })
		return idle
	})
	e.do(func() { side.SendAttempt(txn(e, "2", 60000), 0, "a", 0, math.Inf(1)) })
	if got := e.hear(t); got != "0 committed 1 1 true" {
		t.Errorf("got %q", got)
	}
	if got := <-asked; !strings.Contains(got, "id=2") {
		t.Errorf("asked %q first", got)
	}
}

// A client leaves while its query may run: the attempt goes on to its end, whose word on the member is heard.
func TestClientLeavesWhileItsQueryRuns(t *testing.T) {
	e, side := start(t, 1)
	answer := make(chan bool)
	m := fakes.NewMember(t, nil, func(string) *fakes.Reply { <-answer; return fakes.Row("v", "source", "1") })
	e.do(func() {
		side.List(list(m.Addr, router.Up))
		side.SendAttempt(txn(e, "1", 60000), 0, "a", 0, math.Inf(1))
	})
	fakes.Until(t, "it is out", func() bool { _, asked := m.Seen(); return len(asked) > 0 })
	e.do(func() { side.Abandon("1") })
	close(answer)
	if got := e.hear(t); got != "0 committed 1 1 true" {
		t.Errorf("got %q", got)
	}
}

// What an attempt was decided on holds no more when its connection is there: it is not written, and the connection
// serves the next.
func TestTooLateToBeWritten(t *testing.T) {
	e, side := start(t, 1)
	m := fakes.NewMember(t, nil, func(string) *fakes.Reply { return fakes.Row("v", "source", "1") })
	e.do(func() {
		side.List(list(m.Addr, router.Up))
		side.SendAttempt(txn(e, "1", 60000), 0, "a", 0, e.Clock()) // the time that a connection takes is later
	})
	if got := e.hear(t); got != "0 moot 0 0 false" {
		t.Errorf("got %q", got)
	}
	e.do(func() { side.SendAttempt(txn(e, "2", 60000), 0, "a", 0, e.Clock()+60000) })
	if got := e.hear(t); got != "0 committed 1 1 true" {
		t.Errorf("got %q", got)
	}
	if accepted, asked := m.Seen(); accepted != 1 || strings.Contains(strings.Join(asked, ""), "id=1") {
		t.Errorf("%d connections, asked %q", accepted, asked)
	}
}

// A batch of events takes long, and an attempt is decided at its end: its member is told no more than what is left by
// then, and it is given up when its client's time is over, not that much later.
func TestWhatIsLeftAfterALongBatch(t *testing.T) {
	const lag, left, later = 1500.0, 2000.0, 750.0
	e, side := start(t, 4)
	told := make(chan string, 10)
	m := fakes.NewMember(t, nil, func(sql string) *fakes.Reply {
		told <- sql
		if strings.Contains(sql, "id=warm") {
			return fakes.Row("v", "source", "1")
		}
		return nil
	})
	e.do(func() {
		side.List(list(m.Addr, router.Up))
		side.SendAttempt(txn(e, "warm", 60000), 0, "a", 0, math.Inf(1))
	})
	if got := e.hear(t); got != "0 committed 1 1 true" {
		t.Fatalf("got %q", got)
	}
	<-told
	var began float64
	e.do(func() {
		began = e.Now()
		for e.Clock() < began+lag {
			runtime.Gosched()
		}
		side.SendAttempt(txn(e, "first", left), 0, "a", 0, math.Inf(1))
	})
	e.do(func() { side.SendAttempt(txn(e, "second", began+left+later-e.Now()), 1, "a", 0, math.Inf(1)) })
	for range 2 {
		var d float64
		sql := <-told
		if _, err := fmt.Sscanf(sql[strings.Index(sql, ",d="):], ",d=%f", &d); err != nil {
			t.Fatal(err)
		}
		if strings.Contains(sql, "id=first") && d > left-lag {
			t.Errorf("%.0f ms are told, %.0f at most are left", d, left-lag)
		}
	}
	for _, want := range []string{"0 timed out 0 0 false", "1 timed out 0 0 false"} {
		if got := e.hear(t); got != want {
			t.Errorf("got %q, want %q", got, want)
		}
	}
}
