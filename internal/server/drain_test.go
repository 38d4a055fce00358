package server

import (
	"fmt"
	"net"
	"strings"
	"syscall"
	"testing"

	"wayloft/internal/fakes"
	"wayloft/internal/pg"
)

// After SIGTERM the router still serves new connections, answers each request that it took, and then ends.
func TestDrain_ServesUntilIdle(t *testing.T) {
	addr, term, ended := startRouter(t, "127.0.0.1:1", 256, newPrimary(t).Addr, newMemberWithRole(t, 0).Addr)
	idle := fakes.NewClient(t, addr, true)
	busy := fakes.NewClient(t, addr, true)
	busy.Ask(writeStatement("1", "hang"))
	term <- syscall.SIGTERM
	late := fakes.NewClient(t, addr, true)
	late.Ask(readStatement("2", "served"))
	if got := late.Answer(); got != "served ok ready" {
		t.Errorf("late: %q", got)
	}
	idle.Ask(readStatement("3", "served"))
	if got := idle.Answer(); got != "served ok ready" {
		t.Errorf("idle: %q", got)
	}
	if got := busy.Answer(); got != "08007 ready" {
		t.Errorf("busy: %q", got)
	}
	for _, c := range []*fakes.Client{idle, busy, late} {
		if got := c.Answer(); got != "closed" {
			t.Errorf("got %q, want the end", got)
		}
		closeSocket(c)
	}
	if err := <-ended; err != nil {
		t.Error(err)
	}
	if c, err := net.Dial("tcp", addr); err == nil {
		closeSocket(c)
		t.Error("it still listens")
	}
}

// A message in two pieces with SIGTERM between them is answered, wherever it is cut. One whose second piece never comes does not keep
// the process from ending.
func TestDrain_MessageInPieces(t *testing.T) {
	addr, term, ended := startRouter(t, "127.0.0.1:1", 512, newPrimary(t).Addr)
	hello := string(pg.AppendStartup(nil, "api", "ledger"))
	ask := func(n int) string { return string(pg.AppendQuery(nil, readStatement(fmt.Sprint(n), "x"))) }
	whole := len(ask(10))
	cuts := []int{1, 2, 3, 4, 5, 6, whole / 2, whole - 1} // within the length word, around it, in the text, before its last byte
	var all, never []*fakes.Client
	for n := range 2 * len(cuts) {
		one := fakes.NewClient(t, addr, false)
		one.Send(hello[:1+n])
		one.Send(hello[1+n:] + ask(50+n))
		for _, want := range []string{"ready", "x ok ready"} {
			if got := one.Answer(); got != want {
				t.Fatalf("startup in two pieces: got %q, want %q", got, want)
			}
		}
		if n < len(cuts) {
			all = append(all, one)
		} else {
			never = append(never, one)
		}
	}
	quiet := fakes.NewClient(t, addr, true)
	for n, at := range cuts {
		all[n].Send(ask(10 + n)[:at])
		never[n].Send(ask(30 + n)[:at])
	}
	term <- syscall.SIGTERM
	if got := quiet.Answer(); got != "closed" { // from here on what is quiet is ended
		t.Errorf("quiet: %q", got)
	}
	for n, one := range all {
		one.Send(ask(10 + n)[cuts[n]:])
	}
	for n, one := range all {
		for _, want := range []string{"x ok ready", "closed"} {
			if got := one.Answer(); got != want {
				t.Errorf("cut at %d: got %q, want %q", cuts[n], got, want)
			}
		}
		closeSocket(one)
	}
	for n, one := range never {
		if got := one.Answer(); !strings.HasSuffix(got, "closed") {
			t.Errorf("cut at %d, never whole: %q", cuts[n], got)
		}
		closeSocket(one)
	}
	if err := <-ended; err != nil {
		t.Error(err)
	}
}
