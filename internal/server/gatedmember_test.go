//go:build debug

package server

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"wayloft/internal/failpoint"
	"wayloft/internal/fakes"
	"wayloft/internal/pg"
)

// gatedMember is a member that accepts each login, and answers each statement that says hang, only when the test allows it.
type gatedMember struct {
	addr            string
	mu              sync.Mutex
	logins, replies chan bool // one for each that may go on
	loginRequests   chan bool // connections that want to be let in
	singleUse       bool      // a connection ends with its first answer: where one alone is let in
	statements      []string
}

// newGatedMember starts a member that accepts so many logins at first. primary is its role, under its mutex.
func newGatedMember(t *testing.T, logins int, primary *bool) *gatedMember {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	g := &gatedMember{addr: l.Addr().String(), logins: make(chan bool, 100), replies: make(chan bool, 100), loginRequests: make(chan bool, 100), singleUse: logins == 1}
	for range logins {
		g.logins <- true
	}
	ended := make(chan bool)
	t.Cleanup(func() { closeSocket(l); close(ended) })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go g.serve(c, primary, ended)
		}
	}()
	return g
}

func (g *gatedMember) serve(c net.Conn, primary *bool, ended chan bool) {
	defer closeSocket(c)
	in, buf := pg.NewReader(false, 1<<20), make([]byte, 1<<12)
	for {
		n, err := c.Read(buf)
		if err != nil {
			return
		}
		in.Feed(buf[:n])
		for m, ok, _ := in.Next(); ok; m, ok, _ = in.Next() {
			out := pg.AppendGreeting(nil, 0)
			switch {
			case m.Kind == pg.Startup:
				g.loginRequests <- true
				select {
				case <-g.logins:
				case <-ended:
					return
				}
			case m.Text == "":
				out = pg.AppendReadyIdle(pg.AppendEmptyQuery(nil))
			case m.Text == "SHOW vitals":
				g.mu.Lock()
				x1 := 0
				if *primary {
					x1 = 1
				}
				g.mu.Unlock()
				out = pg.AppendReadyIdle(fakes.Rows(fmt.Sprintf("x0=%d,x1=%d", time.Now().Unix(), x1)))
			default:
				g.mu.Lock()
				g.statements = append(g.statements, m.Text)
				g.mu.Unlock()
				if strings.Contains(m.Text, "hang") {
					select {
					case <-g.replies:
					case <-ended:
						return
					}
				}
				if out = fakes.Row("v", "source", "1").Bytes; strings.Contains(m.Text, "fail") {
					out = fakes.Fail("XX000").Bytes
				}
			}
			if _, err := c.Write(out); err != nil || g.singleUse && m.Kind == pg.Query {
				return
			}
		}
	}
}

// received reports whether the member was sent a request.
func (g *gatedMember) received(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return strings.Contains(strings.Join(g.statements, "|"), "id="+id+",")
}

// startGatedRouter starts a router with a gated member. wait returns once the router has noticed that a client has gone.
func startGatedRouter(t *testing.T, logins int, primary *bool) (g *gatedMember, addr string, wait func()) {
	t.Helper()
	g = newGatedMember(t, logins, primary)
	addr, _, _ = startRouter(t, "127.0.0.1:1", 256, g.addr)
	return g, addr, notifyClosedClients(t)
}

// askUntilServed sends a read, each time with a new id, until it is served.
func askUntilServed(t *testing.T, c *fakes.Client, name string) {
	t.Helper()
	n := 0
	fakes.Until(t, name+" is served", func() bool {
		n++
		c.Ask(readStatement(fmt.Sprint(name, n), "x"))
		return c.Answer() == "v ok ready"
	})
}

// notifyClosedClients returns a function that waits until the router has noticed that one more client has gone.
func notifyClosedClients(t *testing.T) (wait func()) {
	t.Helper()
	gone := make(chan bool, 100)
	t.Cleanup(failpoint.Set("frontend.closed", func() { gone <- true }))
	return func() { <-gone }
}
