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

// A request whose client disconnects while it waits is never sent to a member, whatever the request was waiting for.
func TestClientGone_WaitingRequestNotSent(t *testing.T) {
	t.Run("for a connection to be established", func(t *testing.T) {
		primary := true
		g, addr, wait := startGatedRouter(t, 1, &primary) // the health check's connection, which ends after one response
		leaving := fakes.NewClient(t, addr, true)
		leaving.SendQuery(writeStatement("leaves", "x"))
		<-g.loginRequests // of the health check
		<-g.loginRequests // of the request
		closeSocket(leaving)
		wait()
		for range 20 {
			g.logins <- true
		}
		askUntilServed(t, fakes.NewClient(t, addr, true), "after")
		if g.received("leaves") {
			t.Error("the request was sent after its client had disconnected")
		}
	})
	t.Run("for a primary", func(t *testing.T) {
		primary := false
		g, addr, wait := startGatedRouter(t, 20, &primary)
		leaving := fakes.NewClient(t, addr, true)
		leaving.SendQuery(writeStatement("leaves", "x"))
		closeSocket(leaving)
		wait()
		g.mu.Lock()
		primary = true
		g.mu.Unlock()
		c, n := fakes.NewClient(t, addr, true), 0
		fakes.WaitUntil(t, "writes are served", func() bool {
			n++
			c.SendQuery(writeStatement(fmt.Sprint("after", n), "x"))
			return c.ReadResponse() == "v ok ready"
		})
		if g.received("leaves") {
			t.Error("the request was sent after its client had disconnected")
		}
	})
	t.Run("behind another request of its session", func(t *testing.T) {
		primary := true
		g, addr, wait := startGatedRouter(t, 20, &primary)
		leaving := fakes.NewClient(t, addr, true)
		leaving.SendQuery(readStatement("first", "hang"))
		leaving.SendQuery(readStatement("leaves", "x"))
		fakes.WaitUntil(t, "the first request has been sent", func() bool { return g.received("first") })
		closeSocket(leaving)
		wait()
		g.replies <- true
		askUntilServed(t, fakes.NewClient(t, addr, true), "after")
		if g.received("leaves") {
			t.Error("the request was sent after its client had disconnected")
		}
	})
	t.Run("for a retry", func(t *testing.T) {
		primary := true
		g, addr, wait := startGatedRouter(t, 20, &primary)
		leaving := fakes.NewClient(t, addr, true)
		leaving.SendQuery(readStatement("leaves", "hang and fail"))
		fakes.WaitUntil(t, "its first attempt has been sent", func() bool { return g.received("leaves") })
		closeSocket(leaving)
		wait()
		for range 20 {
			g.replies <- true
		}
		askUntilServed(t, fakes.NewClient(t, addr, true), "after")
		g.mu.Lock()
		defer g.mu.Unlock()
		if n := strings.Count(strings.Join(g.statements, "|"), "id=leaves,"); n != 1 {
			t.Errorf("%d attempts, want only the one already sent", n)
		}
	})
}

// A request queued for a pool's only connection does not run after its client has disconnected or cancelled it.
func TestPool_QueuedClientGoneOrCancelled(t *testing.T) {
	addr, _ := startPooledRouter(t, 1, lab.Pool{PerMember: 1}, nil)
	wait := notifyClosedClients(t)
	holder := fakes.NewClient(t, addr, true)
	if got := askAll(holder, "BEGIN", insertSQL("holder", "1")); got != "ok ready; 1 ok ready" {
		t.Fatalf("BEGIN and INSERT on the holding session: %q", got)
	}
	closing, cancelling := fakes.NewClient(t, addr, true), fakes.NewClient(t, addr, true)
	for n, c := range []*fakes.Client{closing, cancelling} {
		c.SendQuery(insertSQL(fmt.Sprint("waits", n), "1"))
	}
	closeSocket(closing)
	wait()
	canceller := fakes.NewClient(t, addr, false)
	canceller.Send(string(pg.AppendCancelRequest(nil, cancelling.Key)))
	if got := cancelling.ReadResponse(); got != "57014 ready" {
		t.Errorf("cancelled request: %q", got)
	}
	if got := askAll(holder, "COMMIT"); got != "ok ready" {
		t.Errorf("COMMIT on the holding session: %q", got)
	}
	for n := range 2 {
		if got := askOnce(t, addr, fmt.Sprintf("SELECT blob FROM rows WHERE handle = 'waits%d'", n)); got != "ok ready" {
			t.Errorf("row of a request that must not run: %q", got)
		}
	}
	if got := askAll(cancelling, insertSQL("after", "1")); got != "1 ok ready" {
		t.Errorf("the cancelling session, afterwards: %q", got)
	}
}
