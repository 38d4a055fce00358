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

// After SIGTERM the router still serves new connections, sends a response to each accepted request, and then stops.
func TestDrain_ServesUntilIdle(t *testing.T) {
	addr, signals, ended := startRouter(t, "127.0.0.1:1", 256, newPrimary(t).Addr, newMemberWithRole(t, 0).Addr)
	idle := fakes.NewClient(t, addr, true)
	busy := fakes.NewClient(t, addr, true)
	busy.SendQuery(writeStatement("1", "hang"))
	signals <- syscall.SIGTERM
	late := fakes.NewClient(t, addr, true)
	late.SendQuery(readStatement("2", "served"))
	if got := late.ReadResponse(); got != "served ok ready" {
		t.Errorf("new session: %q", got)
	}
	idle.SendQuery(readStatement("3", "served"))
	if got := idle.ReadResponse(); got != "served ok ready" {
		t.Errorf("idle session: %q", got)
	}
	if got := busy.ReadResponse(); got != "08007 ready" {
		t.Errorf("busy session: %q", got)
	}
	for _, c := range []*fakes.Client{idle, busy, late} {
		if got := c.ReadResponse(); got != "closed" {
			t.Errorf("got %q, want the session closed", got)
		}
		closeSocket(c)
	}
	if err := <-ended; err != nil {
		t.Error(err)
	}
	if c, err := net.Dial("tcp", addr); err == nil {
		closeSocket(c)
		t.Error("the router still listens")
	}
}

// A message that arrives in two pieces with SIGTERM between them gets its response, wherever it is split. One whose second piece never
// arrives does not keep the process from stopping.
func TestDrain_MessageInPieces(t *testing.T) {
	addr, signals, ended := startRouter(t, "127.0.0.1:1", 512, newPrimary(t).Addr)
	startup := string(pg.AppendStartup(nil, "api", "ledger"))
	query := func(n int) string { return string(pg.AppendQuery(nil, readStatement(fmt.Sprint(n), "x"))) }
	length := len(query(10))
	splits := []int{1, 2, 3, 4, 5, 6, length / 2, length - 1} // around and within the length field, within the text, before the last byte
	var completed, incomplete []*fakes.Client
	for n := range 2 * len(splits) {
		client := fakes.NewClient(t, addr, false)
		client.Send(startup[:1+n])
		client.Send(startup[1+n:] + query(50+n))
		for _, want := range []string{"ready", "x ok ready"} {
			if got := client.ReadResponse(); got != want {
				t.Fatalf("startup message in two pieces: got %q, want %q", got, want)
			}
		}
		if n < len(splits) {
			completed = append(completed, client)
		} else {
			incomplete = append(incomplete, client)
		}
	}
	idle := fakes.NewClient(t, addr, true)
	for n, at := range splits {
		completed[n].Send(query(10 + n)[:at])
		incomplete[n].Send(query(30 + n)[:at])
	}
	signals <- syscall.SIGTERM
	if got := idle.ReadResponse(); got != "closed" { // from here on idle sessions are closed
		t.Errorf("idle session: %q", got)
	}
	for n, client := range completed {
		client.Send(query(10 + n)[splits[n]:])
	}
	for n, client := range completed {
		for _, want := range []string{"x ok ready", "closed"} {
			if got := client.ReadResponse(); got != want {
				t.Errorf("split at %d: got %q, want %q", splits[n], got, want)
			}
		}
		closeSocket(client)
	}
	for n, client := range incomplete {
		if got := client.ReadResponse(); !strings.HasSuffix(got, "closed") {
			t.Errorf("split at %d, never completed: %q", splits[n], got)
		}
		closeSocket(client)
	}
	if err := <-ended; err != nil {
		t.Error(err)
	}
}
