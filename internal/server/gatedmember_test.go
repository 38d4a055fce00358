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

// gatedMember is a member that accepts a login, or answers a statement containing "hang", only when the test allows it.
type gatedMember struct {
	addr            string
	mu              sync.Mutex
	logins, replies chan bool // one value for each login or response that is allowed
	loginRequests   chan bool // one value for each login attempt
	singleUse       bool      // a connection closes after its first response: set where only one login is allowed at first
	statements      []string
}

// newGatedMember starts a member that accepts a number of logins at first. primary is its role, guarded by the member's mutex.
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
	reader, buf := pg.NewReader(false, 1<<20), make([]byte, 1<<12)
	for {
		n, err := c.Read(buf)
		if err != nil {
			return
		}
		reader.Feed(buf[:n])
		for m, ok, _ := reader.Next(); ok; m, ok, _ = reader.Next() {
			reply := pg.AppendStartupResponse(nil, 0)
			switch {
			case m.Kind == pg.Startup:
				g.loginRequests <- true
				select {
				case <-g.logins:
				case <-ended:
					return
				}
			case m.Text == "":
				reply = pg.AppendReadyIdle(pg.AppendEmptyQuery(nil))
			case m.Text == "SHOW vitals":
				g.mu.Lock()
				x1 := 0
				if *primary {
					x1 = 1
				}
				g.mu.Unlock()
				reply = pg.AppendReadyIdle(fakes.Rows(fmt.Sprintf("x0=%d,x1=%d", time.Now().Unix(), x1)))
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
				if reply = fakes.RowReply("v", "source", "1").Bytes; strings.Contains(m.Text, "fail") {
					reply = fakes.ErrorReply("XX000").Bytes
				}
			}
			if _, err := c.Write(reply); err != nil || g.singleUse && m.Kind == pg.Query {
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

// startGatedRouter starts a router with a gated member. wait returns once the router has noticed that a client disconnected.
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
	fakes.WaitUntil(t, name+" is served", func() bool {
		n++
		c.SendQuery(readStatement(fmt.Sprint(name, n), "x"))
		return c.ReadResponse() == "v ok ready"
	})
}

// notifyClosedClients returns a function that waits until the router has noticed that one more client disconnected.
func notifyClosedClients(t *testing.T) (wait func()) {
	t.Helper()
	gone := make(chan bool, 100)
	t.Cleanup(failpoint.SetHook("frontend.closed", func() { gone <- true }))
	return func() { <-gone }
}
