package server

import (
	"testing"

	"wayloft/internal/fakes"
	"wayloft/internal/lab"
	"wayloft/internal/pg"
)

// Guards against clients that pause between a Flush and the Sync and make their member look silent: writes of others would be held.
func TestPool_ClientsPauseBehindFlush(t *testing.T) {
	addr, cluster := startPooledRouter(t, 1, lab.Pool{PerMember: 8}, nil)
	for range 4 {
		c := fakes.NewClient(t, addr, true)
		c.Send(extendedQuery("SELECT 1") + flushMessage())
		c.ReadUntil(pg.CommandComplete)
	}
	for n := range 20 {
		before := cluster.Servers[0].Counts()
		if got := askOnce(t, addr, insertSQL("order", "1")); got != "1 ok ready" {
			t.Fatalf("order %d: %q, member %+v", n, got, before)
		}
	}
}

// Guards against a client that holds its connection behind a Flush for longer than a pool allows an idle one in a transaction.
func TestPool_IdleBehindFlushTimeout(t *testing.T) {
	addr, cluster := startPooledRouter(t, 1, lab.Pool{PerMember: 1, IdleInTransaction: "300ms"}, nil)
	c := fakes.NewClient(t, addr, true)
	c.Send(extendedQuery(insertSQL("left", "1")) + flushMessage())
	c.ReadUntil(pg.CommandComplete)
	if e := c.ReadUntil(pg.ErrorResponse).Error; e.Code != pg.IdleInTransactionSessionTimeout {
		t.Errorf("got %s", e.Code)
	}
	if got := askOnce(t, addr, "SELECT blob FROM rows WHERE handle = 'left'"); got != "ok ready" {
		t.Errorf("the order that was not committed: %q", got)
	}
	fakes.WaitUntil(t, "no transaction is open", func() bool { return cluster.Servers[0].Counts().InTransaction == 0 })
}
