package server

import (
	"fmt"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"wayloft/internal/fakes"
	"wayloft/internal/pg"
)

// Client sessions in the platform's statement format: valid and invalid requests, pipelines, and everything that ends a session. Other
// sessions are served meanwhile.
func TestSessions_StatementForm(t *testing.T) {
	addr, _, _ := startRouter(t, "127.0.0.1:1", 256, newPrimary(t).Addr)
	steady := fakes.NewClient(t, addr, true)
	query := func(sql string) string { return string(pg.AppendQuery(nil, sql)) }
	startup := string(pg.AppendStartup(nil, "api", "ledger"))
	for n, c := range []struct{ name, send, want string }{
		{"empty", startup + query("") + query(" ; "), "ready, empty ready, empty ready"},
		{"pipelined", startup + query(readStatement("a1", "x")) + query(writeStatement("a2", "y")) + query(readStatement("a3", "z")),
			"ready, x ok ready, y ok ready, z ok ready"},
		{"no comment", startup + query("SELECT 1") + query(readStatement("b1", "x")), "ready, 08P01 ready, x ok ready"},
		{"unknown request class", startup + query("/* id=c1,c=what,d=5 */ SELECT 1"), "ready, 22023 ready"},
		{"id in use", startup + query(writeStatement("d1", "hang")) + query(strings.Replace(writeStatement("d1", "x"), "d=400", "d=3000", 1)),
			"ready, 08007 ready, 42710 ready"}, // the first may still run
		{"an error of a non-idempotent request", startup + query(writeStatement("e1", "error")), "ready, 08007 ready"},
		{"expired", startup + query("/* id=f1,c=look,d=0,cluster=2 */ SELECT x"), "ready, 53300 ready"},
		{"no such cluster", startup + query("/* id=f2,c=put,d=200,cluster=9 */ SELECT x"), "ready, 53300 ready"},
		{"an excessive deadline", startup + query("/* id=f3,c=put,d=1e12,cluster=2 */ INSERT hang") + query(readStatement("f4", "x")),
			"ready, 08007 ready, 53300 ready"}, // the second request's deadline passes while it is queued
		{"a position in the future", startup + query("/* id=f5,c=look,d=200,cluster=2,after=9e14 */ SELECT x"), "ready, 22023 ready"},
		{"an error reported by the member", startup + query(writeStatement("f6", "wrong")) + query(readStatement("f7", "x")), "ready, 42601 ready, x ok ready"},
		{"extended", startup + "P\x00\x00\x00\x05xB\x00\x00\x00\x04" + query(readStatement("g1", "x")) + "S\x00\x00\x00\x04" +
			query(readStatement("g2", "y")), "ready, 0A000 ready, y ok ready"},
		{"function call", startup + "F\x00\x00\x00\x04" + query(readStatement("h1", "x")), "ready, 0A000 ready, x ok ready"},
		{"terminate", startup + query(readStatement("i1", "x")) + "X\x00\x00\x00\x04", "ready, x ok ready, closed"},
		{"unknown message", startup + query(readStatement("j1", "x")) + "?\x00\x00\x00\x04", "ready, x ok ready, 08P01 closed"},
		{"too long", startup + "Q\x00\x0f\x00\x00", "ready, 54000 closed"},
		{"no startup", "\x00\x00\x00\x01", "08P01 closed"},
		{"cancel", "\x00\x00\x00\x10\x04\xd2\x16\x2e12345678", "closed"},
		{"a value that spans many packets", startup + query(readStatement("j2", strings.Repeat("v", 300<<10))),
			"ready, " + strings.Repeat("v", 300<<10) + " ok ready"},
		{"many pipelined", startup + strings.Repeat(query(""), 50) + query(writeStatement("k1", "hang")) + strings.Repeat(query(""), 300) + "S\x00\x00\x00\x04",
			"ready" + strings.Repeat(", empty ready", 50) + ", 08007 ready" + strings.Repeat(", empty ready", 256) +
				strings.Repeat(", 53300 ready", 44) + ", 54000 closed"},
		{"too many pipelined", startup + query(writeStatement("k2", "hang")) + strings.Repeat(query(""), 256+4097+1),
			"ready, 08007 ready" + strings.Repeat(", empty ready", 256) + strings.Repeat(", 53300 ready", 4097) + ", 54000 closed"},
		{"after Terminate", startup + "X\x00\x00\x00\x04" + query(readStatement("k3", "behind")), "ready, closed"},
	} {
		t.Run(c.name, func(t *testing.T) {
			client := fakes.NewClient(t, addr, false)
			half := len(c.send) / 2
			client.Send(c.send[:half])
			client.Send(c.send[half:])
			for i, want := range strings.Split(c.want, ", ") {
				if got := client.ReadResponse(); got != want {
					t.Fatalf("response %d: got %q, want %q", i, got, want)
				}
			}
			steady.SendQuery(readStatement(fmt.Sprint("s", n), "fine"))
			if got := steady.ReadResponse(); got != "fine ok ready" {
				t.Errorf("another session: %q", got)
			}
		})
	}
}

// An SSLRequest is refused, and the session starts without TLS.
func TestTLS_Refused(t *testing.T) {
	addr, _, _ := startRouter(t, "127.0.0.1:1", 256, newPrimary(t).Addr)
	c := fakes.NewClient(t, addr, false)
	c.Send("\x00\x00\x00\x08\x04\xd2\x16\x2f")
	b := make([]byte, 1)
	if _, err := c.Read(b); err != nil || b[0] != 'N' {
		t.Fatalf("got %q, %v", b, err)
	}
	c.Send(string(pg.AppendStartup(nil, "api", "ledger")))
	if got := c.ReadResponse(); got != "ready" {
		t.Errorf("got %q", got)
	}
}

// A request that arrives byte by byte is served.
func TestRequest_ByteByByte(t *testing.T) {
	addr, _, _ := startRouter(t, "127.0.0.1:1", 256, newPrimary(t).Addr)
	c := fakes.NewClient(t, addr, true)
	for _, b := range pg.AppendQuery(nil, readStatement("1", "whole")) {
		c.Send(string(b))
	}
	if got := c.ReadResponse(); got != "whole ok ready" {
		t.Errorf("got %q", got)
	}
}

// Above the session limit, the session that has been idle longest is closed, and never one with a request.
func TestSessionLimit_QuietestClosed(t *testing.T) {
	addr, _, _ := startRouter(t, "127.0.0.1:1", 128, newPrimary(t).Addr, newMemberWithRole(t, 0).Addr)
	busy := fakes.NewClient(t, addr, true)
	busy.SendQuery(writeStatement("busy", "hang"))
	idle := openSessions(t, addr, 100)
	if got := busy.ReadResponse(); got != "08007 ready" {
		t.Errorf("busy session: %q", got)
	}
	if got := idle[0].ReadResponse(); got != "closed" {
		t.Errorf("first session: %q", got)
	}
}

// Clients that send nothing, or an incomplete message, are disconnected with an error. Even many of them do not keep others from being
// served.
func TestSilentClients_TimedOut(t *testing.T) {
	addr, _, _ := startRouter(t, "127.0.0.1:1", 128, newPrimary(t).Addr)
	startup := string(pg.AppendStartup(nil, "api", "ledger"))
	query := string(pg.AppendQuery(nil, readStatement("half", "x")))
	cases := []struct{ send, want string }{
		{"", "57P05 closed"},
		{startup[:9], "57P05 closed"},
		{startup, "ready, 57P05 closed"},
		{startup + query[:3], "ready, 57P05 closed"},
		{startup + query[:len(query)-1], "ready, 57P05 closed"},
		{startup + query + query[:9], "ready, x ok ready, 57P05 closed"},
		{startup + "S\x00\x00\x00\x04", "ready, ready, 57P05 closed"},
	}
	var clients []*fakes.Client
	for _, c := range cases {
		clients = append(clients, fakes.NewClient(t, addr, false))
		clients[len(clients)-1].Send(c.send)
	}
	for n, c := range cases {
		for _, want := range strings.Split(c.want, ", ") {
			if got := clients[n].ReadResponse(); got != want {
				t.Errorf("case %d: got %q, want %q", n, got, want)
			}
		}
	}
	steady := fakes.NewClient(t, addr, true)
	var silent []*fakes.Client
	for n := range 200 {
		silent = append(silent, fakes.NewClient(t, addr, false))
		if n%20 == 0 {
			_, _ = steady.Write(pg.AppendQuery(nil, readStatement(fmt.Sprint("s", n), "fine")))
			if got := steady.ReadResponse(); got == "closed" { // closed while it was idle: reconnect
				steady = fakes.NewClient(t, addr, true)
			} else if got != "fine ok ready" {
				t.Fatalf("with %d silent clients: %q", n, got)
			}
			if n%40 == 0 {
				late := fakes.NewClient(t, addr, true)
				late.SendQuery(readStatement(fmt.Sprint("l", n), "late"))
				if got := late.ReadResponse(); got != "late ok ready" {
					t.Fatalf("new client with %d silent clients: %q", n, got)
				}
			}
		}
	}
	for n, c := range silent {
		if got := c.ReadResponse(); !strings.HasSuffix(got, "closed") {
			t.Errorf("silent client %d: %q", n, got)
		}
	}
}

// Of many idle sessions the oldest are closed before any limit is reached, and the newest stay open.
func TestIdleSessions_OldestClosed(t *testing.T) {
	addr, _, _ := startRouter(t, "127.0.0.1:1", 128, newPrimary(t).Addr)
	sessions := openSessions(t, addr, 30)
	if got := sessions[0].ReadResponse(); got != "closed" {
		t.Errorf("first session: %q", got)
	}
	sessions[29].SendQuery(readStatement("again", "y"))
	if got := sessions[29].ReadResponse(); got != "y ok ready" {
		t.Errorf("last session: %q", got)
	}
}

// A client that repeats an invalid request, and one that floods the router after its error, do not delay others.
func TestFlood_OthersServed(t *testing.T) {
	addr, _, _ := startRouter(t, "127.0.0.1:1", 256, newPrimary(t).Addr)
	steady := fakes.NewClient(t, addr, true)
	repeating, flooding := fakes.NewClient(t, addr, true), fakes.NewClient(t, addr, true)
	errorCount := make(chan int)
	go func() {
		n := 0
		for _, _ = repeating.Write(pg.AppendQuery(nil, "SELECT 1")); repeating.ReadResponse() == "08P01 ready"; n++ {
			_, _ = repeating.Write(pg.AppendQuery(nil, "SELECT 1"))
		}
		errorCount <- n
	}()
	go func() {
		_, _ = flooding.Write([]byte("Q\x04\x00\x00\x00"))
		for buf := make([]byte, 1<<16); ; {
			if _, err := flooding.Write(buf); err != nil {
				return
			}
		}
	}()
	if got := flooding.ReadResponse(); got != "54000 closed" && got != "closed" {
		t.Errorf("flooding client: %q", got)
	}
	for n := range 100 {
		steady.SendQuery(readStatement(fmt.Sprint(n), "fine"))
		if got := steady.ReadResponse(); got != "fine ok ready" {
			t.Fatalf("got %q", got)
		}
	}
	closeSocket(repeating)
	if n := <-errorCount; n > 100 {
		t.Errorf("the invalid request got %d error responses", n)
	}
}

// The id of a request whose client has disconnected may be used again once its attempt has ended.
func TestClientGone_RequestIDFreed(t *testing.T) {
	release := make(chan bool)
	slow := fakes.NewMember(t, nil, func(sql string) *fakes.Reply {
		switch {
		case sql == "SHOW vitals":
			return &fakes.Reply{Bytes: pg.AppendReadyIdle(fakes.Rows(fmt.Sprintf("x0=%d,x1=1", time.Now().Unix())))}
		case strings.Contains(sql, "slow"):
			<-release
		}
		return fakes.RowReply("v", "source", "1")
	})
	addr, _, _ := startRouter(t, "127.0.0.1:1", 256, slow.Addr)
	leaving := fakes.NewClient(t, addr, true)
	leaving.SendQuery(readStatement("1", "slow"))
	fakes.WaitUntil(t, "the request has been sent", func() bool {
		_, statements := slow.Received()
		return len(statements) > 0 && strings.Contains(statements[len(statements)-1], "slow")
	})
	closeSocket(leaving)
	close(release)
	other := fakes.NewClient(t, addr, true)
	fakes.WaitUntil(t, "the id is free", func() bool {
		other.SendQuery(readStatement("1", "x"))
		return other.ReadResponse() == "v ok ready"
	})
}

// Requests over the memory budget are rejected, whether they arrive at once or in parts. Small and later requests are served.
func TestRequestBudget_Exceeded(t *testing.T) {
	addr, _, _ := startRouter(t, "127.0.0.1:1", 256, newPrimary(t).Addr)
	long := strings.Repeat("x", 150<<10)
	var incomplete []*fakes.Client
	sendIncomplete := func() {
		c := fakes.NewClient(t, addr, true)
		query := string(pg.AppendQuery(nil, readStatement("part", long)))
		c.Send(query[:len(query)-1])
		incomplete = append(incomplete, c)
	}
	for range 25 { // more than a sixth of the memory, less than a third
		sendIncomplete()
	}
	n := 0
	ask := func() string { // each on its own session, since a session may be ended while its statement is incomplete
		n++
		c := fakes.NewClient(t, addr, true)
		defer closeSocket(c)
		_, _ = c.Write(pg.AppendQuery(nil, readStatement(fmt.Sprint("one", n), long)))
		return c.ReadResponse()
	}
	fakes.WaitUntil(t, "another request is rejected", func() bool { return ask() == "53300 ready" })
	for range 25 {
		sendIncomplete()
	}
	last := incomplete[len(incomplete)-1] // it is not ended for others' sake: what there is no memory for is dropped, and its request rejected
	last.Send("\x00")
	if got := last.ReadResponse(); got != "53300 ready" {
		t.Errorf("last incomplete request, once it is complete: %q", got)
	}
	last.SendQuery(readStatement("small", "x"))
	if got := last.ReadResponse(); got != "x ok ready" {
		t.Errorf("a small request on the same session: %q", got)
	}
	for _, c := range incomplete {
		closeSocket(c)
	}
	fakes.WaitUntil(t, "the next request is served", func() bool { return ask() == long+" ok ready" })
}

// Connections that are reset or closed at any point after they are accepted leave nothing open, and others are served.
func TestConnection_EndsAfterAccept(t *testing.T) {
	addr, signals, ended := startRouter(t, "127.0.0.1:1", 256, newPrimary(t).Addr)
	startup := string(pg.AppendStartup(nil, "api", "ledger"))
	for n, c := range []struct {
		send  string
		reset bool
	}{{"", true}, {"", false}, {startup[:3], true}, {startup[:9], true}, {startup, true}, {startup, false},
		{startup + string(pg.AppendQuery(nil, readStatement("r", "x"))), true}, {startup + string(pg.AppendQuery(nil, readStatement("e", "x"))), false},
		{startup + string(pg.AppendQuery(nil, writeStatement("h", "hang"))), false}} {
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = conn.Write([]byte(c.send))
		if c.reset {
			if err := conn.(*net.TCPConn).SetLinger(0); err != nil {
				t.Fatal(err)
			}
		}
		closeSocket(conn)
		after := fakes.NewClient(t, addr, true)
		after.SendQuery(readStatement(fmt.Sprint("after", n), "x"))
		if got := after.ReadResponse(); got != "x ok ready" {
			t.Errorf("another session: %q", got)
		}
		closeSocket(after)
	}
	signals <- syscall.SIGTERM
	if err := <-ended; err != nil {
		t.Error(err)
	}
}
