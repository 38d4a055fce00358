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

// Sessions in the platform's form: valid and invalid requests, pipelines, and what ends a session. Other sessions are served
// meanwhile.
func TestSessions_StatementForm(t *testing.T) {
	addr, _, _ := startRouter(t, "127.0.0.1:1", 256, newPrimary(t).Addr)
	steady := fakes.NewClient(t, addr, true)
	query := func(sql string) string { return string(pg.AppendQuery(nil, sql)) }
	hello := string(pg.AppendStartup(nil, "api", "ledger"))
	for n, c := range []struct{ name, send, want string }{
		{"empty", hello + query("") + query(" ; "), "ready, empty ready, empty ready"},
		{"ahead", hello + query(readStatement("a1", "x")) + query(writeStatement("a2", "y")) + query(readStatement("a3", "z")),
			"ready, x ok ready, y ok ready, z ok ready"},
		{"no comment", hello + query("SELECT 1") + query(readStatement("b1", "x")), "ready, 08P01 ready, x ok ready"},
		{"unknown request class", hello + query("/* id=c1,c=what,d=5 */ SELECT 1"), "ready, 22023 ready"},
		{"id in use", hello + query(writeStatement("d1", "hang")) + query(strings.Replace(writeStatement("d1", "x"), "d=400", "d=3000", 1)),
			"ready, 08007 ready, x ok ready"},
		{"an error of a non-idempotent request", hello + query(writeStatement("e1", "error")), "ready, 08007 ready"},
		{"expired", hello + query("/* id=f1,c=look,d=0,cluster=2 */ SELECT x"), "ready, 53300 ready"},
		{"no such cluster", hello + query("/* id=f2,c=put,d=200,cluster=9 */ SELECT x"), "ready, 53300 ready"},
		{"a wait out of all proportion", hello + query("/* id=f3,c=put,d=1e12,cluster=2 */ INSERT hang") + query(readStatement("f4", "x")),
			"ready, 08007 ready, 53300 ready"}, // the deadline of the one behind passes while it is queued
		{"a position in the future", hello + query("/* id=f5,c=look,d=200,cluster=2,after=9e14 */ SELECT x"), "ready, 22023 ready"},
		{"at fault by a member's word", hello + query(writeStatement("f6", "wrong")) + query(readStatement("f7", "x")), "ready, 42601 ready, x ok ready"},
		{"extended", hello + "P\x00\x00\x00\x05xB\x00\x00\x00\x04" + query(readStatement("g1", "x")) + "S\x00\x00\x00\x04" +
			query(readStatement("g2", "y")), "ready, 0A000 ready, y ok ready"},
		{"function call", hello + "F\x00\x00\x00\x04" + query(readStatement("h1", "x")), "ready, 0A000 ready, x ok ready"},
		{"terminate", hello + query(readStatement("i1", "x")) + "X\x00\x00\x00\x04", "ready, x ok ready, closed"},
		{"unknown message", hello + query(readStatement("j1", "x")) + "?\x00\x00\x00\x04", "ready, x ok ready, 08P01 closed"},
		{"too long", hello + "Q\x00\x0f\x00\x00", "ready, 54000 closed"},
		{"no startup", "\x00\x00\x00\x01", "08P01 closed"},
		{"cancel", "\x00\x00\x00\x10\x04\xd2\x16\x2e12345678", "closed"},
		{"a value of many packets", hello + query(readStatement("j2", strings.Repeat("v", 300<<10))),
			"ready, " + strings.Repeat("v", 300<<10) + " ok ready"},
		{"much ahead", hello + strings.Repeat(query(""), 50) + query(writeStatement("k1", "hang")) + strings.Repeat(query(""), 300) + "S\x00\x00\x00\x04",
			"ready" + strings.Repeat(", empty ready", 50) + ", 08007 ready" + strings.Repeat(", empty ready", 256) +
				strings.Repeat(", 53300 ready", 44) + ", 54000 closed"},
		{"too much ahead", hello + query(writeStatement("k2", "hang")) + strings.Repeat(query(""), 256+4097+1),
			"ready, 08007 ready" + strings.Repeat(", empty ready", 256) + strings.Repeat(", 53300 ready", 4097) + ", 54000 closed"},
		{"behind its end", hello + "X\x00\x00\x00\x04" + query(readStatement("k3", "behind")), "ready, closed"},
	} {
		t.Run(c.name, func(t *testing.T) {
			one := fakes.NewClient(t, addr, false)
			half := len(c.send) / 2
			one.Send(c.send[:half])
			one.Send(c.send[half:])
			for i, want := range strings.Split(c.want, ", ") {
				if got := one.Answer(); got != want {
					t.Fatalf("answer %d: got %q, want %q", i, got, want)
				}
			}
			steady.Ask(readStatement(fmt.Sprint("s", n), "fine"))
			if got := steady.Answer(); got != "fine ok ready" {
				t.Errorf("another session: %q", got)
			}
		})
	}
}

// A request for TLS is refused, and the session begins without it.
func TestTLS_Refused(t *testing.T) {
	addr, _, _ := startRouter(t, "127.0.0.1:1", 256, newPrimary(t).Addr)
	c := fakes.NewClient(t, addr, false)
	c.Send("\x00\x00\x00\x08\x04\xd2\x16\x2f")
	b := make([]byte, 1)
	if _, err := c.Read(b); err != nil || b[0] != 'N' {
		t.Fatalf("got %q, %v", b, err)
	}
	c.Send(string(pg.AppendStartup(nil, "api", "ledger")))
	if got := c.Answer(); got != "ready" {
		t.Errorf("got %q", got)
	}
}

// A request that comes byte by byte is served.
func TestRequest_ByteByByte(t *testing.T) {
	addr, _, _ := startRouter(t, "127.0.0.1:1", 256, newPrimary(t).Addr)
	c := fakes.NewClient(t, addr, true)
	for _, b := range pg.AppendQuery(nil, readStatement("1", "whole")) {
		c.Send(string(b))
	}
	if got := c.Answer(); got != "whole ok ready" {
		t.Errorf("got %q", got)
	}
}

// With more sessions than the limit, the one that has been idle longest is closed, and never one with a request.
func TestSessionLimit_QuietestClosed(t *testing.T) {
	addr, _, _ := startRouter(t, "127.0.0.1:1", 128, newPrimary(t).Addr, newMemberWithRole(t, 0).Addr)
	busy := fakes.NewClient(t, addr, true)
	busy.Ask(writeStatement("busy", "hang"))
	all := openSessions(t, addr, 100)
	if got := busy.Answer(); got != "08007 ready" {
		t.Errorf("busy: %q", got)
	}
	if got := all[0].Answer(); got != "closed" {
		t.Errorf("the first: %q", got)
	}
}

// Clients that send nothing, or an incomplete message, are disconnected with an error, and many of them do not keep others from being
// served.
func TestSilentClients_TimedOut(t *testing.T) {
	addr, _, _ := startRouter(t, "127.0.0.1:1", 128, newPrimary(t).Addr)
	hello := string(pg.AppendStartup(nil, "api", "ledger"))
	ask := string(pg.AppendQuery(nil, readStatement("half", "x")))
	cases := []struct{ send, want string }{
		{"", "57P05 closed"},
		{hello[:9], "57P05 closed"},
		{hello, "ready, 57P05 closed"},
		{hello + ask[:3], "ready, 57P05 closed"},
		{hello + ask[:len(ask)-1], "ready, 57P05 closed"},
		{hello + ask + ask[:9], "ready, x ok ready, 57P05 closed"},
		{hello + "S\x00\x00\x00\x04", "ready, ready, 57P05 closed"},
	}
	var all []*fakes.Client
	for _, c := range cases {
		all = append(all, fakes.NewClient(t, addr, false))
		all[len(all)-1].Send(c.send)
	}
	for n, c := range cases {
		for _, want := range strings.Split(c.want, ", ") {
			if got := all[n].Answer(); got != want {
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
			if got := steady.Answer(); got == "closed" { // while it was idle: then a client comes again
				steady = fakes.NewClient(t, addr, true)
			} else if got != "fine ok ready" {
				t.Fatalf("among %d: %q", n, got)
			}
			if n%40 == 0 {
				late := fakes.NewClient(t, addr, true)
				late.Ask(readStatement(fmt.Sprint("l", n), "late"))
				if got := late.Answer(); got != "late ok ready" {
					t.Fatalf("a newcomer among %d: %q", n, got)
				}
			}
		}
	}
	for n, c := range silent {
		if got := c.Answer(); !strings.HasSuffix(got, "closed") {
			t.Errorf("silent client %d: %q", n, got)
		}
	}
}

// Of many idle sessions the oldest are closed before any limit is reached, and the latest stay.
func TestIdleSessions_OldestClosed(t *testing.T) {
	addr, _, _ := startRouter(t, "127.0.0.1:1", 128, newPrimary(t).Addr)
	all := openSessions(t, addr, 30)
	if got := all[0].Answer(); got != "closed" {
		t.Errorf("the first: %q", got)
	}
	all[29].Ask(readStatement("again", "y"))
	if got := all[29].Answer(); got != "y ok ready" {
		t.Errorf("the last: %q", got)
	}
}

// A client that repeats an invalid request, and one that floods the router after its error, do not delay others.
func TestFlood_OthersServed(t *testing.T) {
	addr, _, _ := startRouter(t, "127.0.0.1:1", 256, newPrimary(t).Addr)
	steady := fakes.NewClient(t, addr, true)
	again, flood := fakes.NewClient(t, addr, true), fakes.NewClient(t, addr, true)
	errorCount := make(chan int)
	go func() {
		n := 0
		for _, _ = again.Write(pg.AppendQuery(nil, "SELECT 1")); again.Answer() == "08P01 ready"; n++ {
			_, _ = again.Write(pg.AppendQuery(nil, "SELECT 1"))
		}
		errorCount <- n
	}()
	go func() {
		_, _ = flood.Write([]byte("Q\x04\x00\x00\x00"))
		for buf := make([]byte, 1<<16); ; {
			if _, err := flood.Write(buf); err != nil {
				return
			}
		}
	}()
	if got := flood.Answer(); got != "54000 closed" && got != "closed" {
		t.Errorf("the flood: %q", got)
	}
	for n := range 100 {
		steady.Ask(readStatement(fmt.Sprint(n), "fine"))
		if got := steady.Answer(); got != "fine ok ready" {
			t.Fatalf("got %q", got)
		}
	}
	closeSocket(again)
	if n := <-errorCount; n > 100 {
		t.Errorf("the same mistake was answered %d times", n)
	}
}

// The id of a request whose client has left may be used again once its attempt has ended.
func TestClientGone_RequestIDFreed(t *testing.T) {
	answer := make(chan bool)
	slow := fakes.NewMember(t, nil, func(sql string) *fakes.Reply {
		switch {
		case sql == "SHOW vitals":
			return &fakes.Reply{Bytes: pg.AppendReadyIdle(fakes.Rows(fmt.Sprintf("x0=%d,x1=1", time.Now().Unix())))}
		case strings.Contains(sql, "slow"):
			<-answer
		}
		return fakes.Row("v", "source", "1")
	})
	addr, _, _ := startRouter(t, "127.0.0.1:1", 256, slow.Addr)
	leaves := fakes.NewClient(t, addr, true)
	leaves.Ask(readStatement("1", "slow"))
	fakes.Until(t, "it is out", func() bool {
		_, asked := slow.Seen()
		return len(asked) > 0 && strings.Contains(asked[len(asked)-1], "slow")
	})
	closeSocket(leaves)
	close(answer)
	stays := fakes.NewClient(t, addr, true)
	fakes.Until(t, "the id is free", func() bool {
		stays.Ask(readStatement("1", "x"))
		return stays.Answer() == "v ok ready"
	})
}

// Requests over the memory budget are rejected, and incomplete ones end their session. Later ones are served.
func TestRequestBudget_Exceeded(t *testing.T) {
	addr, _, _ := startRouter(t, "127.0.0.1:1", 256, newPrimary(t).Addr)
	long := strings.Repeat("x", 150<<10)
	var parts []*fakes.Client
	part := func() {
		c := fakes.NewClient(t, addr, true)
		whole := string(pg.AppendQuery(nil, readStatement("part", long)))
		c.Send(whole[:len(whole)-1])
		parts = append(parts, c)
	}
	for range 25 { // more than a sixth of the memory, less than a third
		part()
	}
	n := 0
	ask := func() string { // each on a session of its own, which may be ended for its part of a statement
		n++
		c := fakes.NewClient(t, addr, true)
		defer closeSocket(c)
		_, _ = c.Write(pg.AppendQuery(nil, readStatement(fmt.Sprint("one", n), long)))
		return c.Answer()
	}
	fakes.Until(t, "one more is rejected", func() bool { return ask() == "53300 ready" })
	for range 25 {
		part()
	}
	if got := parts[len(parts)-1].Answer(); got != "53300 closed" {
		t.Errorf("the last part: %q", got)
	}
	for _, c := range parts {
		closeSocket(c)
	}
	fakes.Until(t, "the next is served", func() bool { return ask() == long+" ok ready" })
}

// Connections that are reset or closed at any point after their accept leave nothing open, and others are served.
func TestConnection_EndsAfterAccept(t *testing.T) {
	addr, term, ended := startRouter(t, "127.0.0.1:1", 256, newPrimary(t).Addr)
	hello := string(pg.AppendStartup(nil, "api", "ledger"))
	for n, c := range []struct {
		send  string
		reset bool
	}{{"", true}, {"", false}, {hello[:3], true}, {hello[:9], true}, {hello, true}, {hello, false},
		{hello + string(pg.AppendQuery(nil, readStatement("r", "x"))), true}, {hello + string(pg.AppendQuery(nil, readStatement("e", "x"))), false},
		{hello + string(pg.AppendQuery(nil, writeStatement("h", "hang"))), false}} {
		one, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = one.Write([]byte(c.send))
		if c.reset {
			if err := one.(*net.TCPConn).SetLinger(0); err != nil {
				t.Fatal(err)
			}
		}
		closeSocket(one)
		after := fakes.NewClient(t, addr, true)
		after.Ask(readStatement(fmt.Sprint("after", n), "x"))
		if got := after.Answer(); got != "x ok ready" {
			t.Errorf("another session: %q", got)
		}
		closeSocket(after)
	}
	term <- syscall.SIGTERM
	if err := <-ended; err != nil {
		t.Error(err)
	}
}
