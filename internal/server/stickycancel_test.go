package server

import (
	"testing"

	"wayloft/internal/fakes"
	"wayloft/internal/lab"
	"wayloft/internal/pg"
)

// Guards against a session that goes on elsewhere without the state of its connection, which was closed because of a cancel request.
func TestPool_CancelEndsSessionWithKeptConnection(t *testing.T) {
	addr, cluster := startPooledRouter(t, 1, lab.Pool{PerMember: 2}, nil)
	c := fakes.NewClient(t, addr, true)
	if got := askAll(c, "CREATE TEMP TABLE t (a int)", "SELECT 1"); got != "ok ready; 1 ok ready" {
		t.Fatalf("before: %q", got)
	}
	c.SendQuery("SELECT pg_sleep(30)")
	fakes.WaitUntil(t, "the statement runs", func() bool { return cluster.Servers[0].Counts().Running > 0 })
	canceller := fakes.NewClient(t, addr, false)
	canceller.Send(string(pg.AppendCancelRequest(nil, c.Key)))
	if got := c.ReadResponse(); got != "57014 ready" {
		t.Fatalf("cancelled statement: %q", got)
	}
	if got := c.ReadResponse(); got != "57P01 closed" {
		t.Errorf("behind the cancelled statement: %q", got)
	}
}
