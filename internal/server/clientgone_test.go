//go:build debug

package server

import (
	"fmt"
	"strings"
	"testing"

	"wayloft/internal/fakes"
	"wayloft/internal/lab"
	"wayloft/internal/pg"
)

// A request whose client leaves while it waits is not sent when what it waited for comes, wherever it waited.
func TestClientGone_WaitingRequestNotSent(t *testing.T) {
	t.Run("for a connection to come up", func(t *testing.T) {
		primary := true
		g, addr, wait := startGatedRouter(t, 1, &primary) // the check's, which doesn't last
		leaves := fakes.NewClient(t, addr, true)
		leaves.Ask(writeStatement("leaves", "x"))
		<-g.loginRequests // the check's
		<-g.loginRequests // its own
		closeSocket(leaves)
		wait()
		for range 20 {
			g.logins <- true
		}
		askUntilServed(t, fakes.NewClient(t, addr, true), "after")
		if g.received("leaves") {
			t.Error("sent after its client had gone")
		}
	})
	t.Run("for a primary", func(t *testing.T) {
		primary := false
		g, addr, wait := startGatedRouter(t, 20, &primary)
		leaves := fakes.NewClient(t, addr, true)
		leaves.Ask(writeStatement("leaves", "x"))
		closeSocket(leaves)
		wait()
		g.mu.Lock()
		primary = true
		g.mu.Unlock()
		c, n := fakes.NewClient(t, addr, true), 0
		fakes.Until(t, "writes go through", func() bool {
			n++
			c.Ask(writeStatement(fmt.Sprint("after", n), "x"))
			return c.Answer() == "v ok ready"
		})
		if g.received("leaves") {
			t.Error("sent after its client had gone")
		}
	})
	t.Run("behind another of its session", func(t *testing.T) {
		primary := true
		g, addr, wait := startGatedRouter(t, 20, &primary)
		leaves := fakes.NewClient(t, addr, true)
		leaves.Ask(readStatement("first", "hang"))
		leaves.Ask(readStatement("leaves", "x"))
		fakes.Until(t, "the first is out", func() bool { return g.received("first") })
		closeSocket(leaves)
		wait()
		g.replies <- true
		askUntilServed(t, fakes.NewClient(t, addr, true), "after")
		if g.received("leaves") {
			t.Error("sent after its client had gone")
		}
	})
	t.Run("for a retry", func(t *testing.T) {
		primary := true
		g, addr, wait := startGatedRouter(t, 20, &primary)
		leaves := fakes.NewClient(t, addr, true)
		leaves.Ask(readStatement("leaves", "hang and fail"))
		fakes.Until(t, "its first attempt is out", func() bool { return g.received("leaves") })
		closeSocket(leaves)
		wait()
		for range 20 {
			g.replies <- true
		}
		askUntilServed(t, fakes.NewClient(t, addr, true), "after")
		g.mu.Lock()
		defer g.mu.Unlock()
		if n := strings.Count(strings.Join(g.statements, "|"), "id=leaves,"); n != 1 {
			t.Errorf("%d attempts, want the one that was out", n)
		}
	})
}

// A request that waits for a pool's only connection does not run once its client has closed, or has cancelled it.
func TestPool_QueuedClientGoneOrCancelled(t *testing.T) {
	addr, _ := startPooledRouter(t, 1, lab.Pool{PerMember: 1}, nil)
	wait := notifyClosedClients(t)
	holder := fakes.NewClient(t, addr, true)
	if got := askAll(holder, "BEGIN", insertSQL("holder", "1")); got != "ok ready; 1 ok ready" {
		t.Fatalf("the holder: %q", got)
	}
	closes, cancels := fakes.NewClient(t, addr, true), fakes.NewClient(t, addr, true)
	for n, c := range []*fakes.Client{closes, cancels} {
		c.Ask(insertSQL(fmt.Sprint("waits", n), "1"))
	}
	closeSocket(closes)
	wait()
	key := fakes.NewClient(t, addr, false)
	key.Send(string(pg.AppendCancelRequest(nil, cancels.Key)))
	if got := cancels.Answer(); got != "57014 ready" {
		t.Errorf("the one that cancels: %q", got)
	}
	if got := askAll(holder, "COMMIT"); got != "ok ready" {
		t.Errorf("the holder: %q", got)
	}
	for n := range 2 {
		if got := askOnce(t, addr, fmt.Sprintf("SELECT blob FROM rows WHERE handle = 'waits%d'", n)); got != "ok ready" {
			t.Errorf("what waited for a client that had gone: %q", got)
		}
	}
	if got := askAll(cancels, insertSQL("after", "1")); got != "1 ok ready" {
		t.Errorf("the one that cancelled, afterwards: %q", got)
	}
}
