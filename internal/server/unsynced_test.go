package server

import (
	"testing"

	"wayloft/internal/fakes"
	"wayloft/internal/lab"
	"wayloft/internal/pg"
)

// extendedQuery returns the messages that run a statement once, without a Sync or Flush.
func extendedQuery(sql string) string {
	out := pg.AppendParse(nil, "", []byte(sql+"\x00\x00\x00"))
	out = pg.AppendBind(out, "", "", []byte{0, 0, 0, 0, 0, 0})
	return string(pg.AppendExecute(out, ""))
}

func flushMessage() string { return string(pg.AppendEmptyMessage(nil, 'H')) }

// unsyncedUnit is what a client sends and reads before its request ends between a Flush and the Sync.
type unsyncedUnit struct {
	name  string
	first string // a simple query before it
	send  string
	reads []pg.Kind
	leave func(*testing.T, *fakes.Client)
}

// Guards against a connection that goes to the next client while a transaction of the last one is open, or while the member skips messages,
// because the request ended between a Flush and the Sync, where no ReadyForQuery tells of it.
func TestPool_RequestEndsBeforeSync(t *testing.T) {
	insert := extendedQuery(insertSQL("left", "1"))
	disconnect := func(_ *testing.T, c *fakes.Client) { closeSocket(c) }
	terminate := func(_ *testing.T, c *fakes.Client) { c.Send(string(pg.AppendEmptyMessage(nil, 'X'))) }
	awaitTimeout := func(t *testing.T, c *fakes.Client) {
		t.Helper()
		if e := c.ReadUntil(pg.ErrorResponse).Error; e.Code != "08006" && e.Code != "08007" {
			t.Errorf("timed out: %s", e.Code)
		}
	}
	for _, unit := range []unsyncedUnit{
		{"the client leaves a transaction", "", extendedQuery("BEGIN") + insert, []pg.Kind{pg.CommandComplete, pg.CommandComplete}, disconnect},
		{"the client terminates a transaction", "", extendedQuery("BEGIN") + insert, []pg.Kind{pg.CommandComplete, pg.CommandComplete}, terminate},
		{"the client leaves a deferred transaction", "BEGIN", insert, []pg.Kind{pg.CommandComplete}, disconnect},
		{"the client leaves after a statement alone", "", insert, []pg.Kind{pg.CommandComplete}, disconnect},
		{"the client leaves after an error", "", extendedQuery("SELEKT"), []pg.Kind{pg.ErrorResponse}, disconnect},
		{"the client leaves after a Parse", "", string(pg.AppendParse(nil, "p", []byte("SELECT 1\x00\x00\x00"))), []pg.Kind{pg.ParseComplete}, disconnect},
		{"the request times out", "SET wayloft.wait = '300'", extendedQuery("BEGIN") + insert, []pg.Kind{pg.CommandComplete, pg.CommandComplete}, awaitTimeout},
	} {
		t.Run(unit.name, func(t *testing.T) { playUnsyncedUnit(t, unit) })
	}
}

// playUnsyncedUnit plays a unit, and checks what the next client writes and reads.
func playUnsyncedUnit(t *testing.T, unit unsyncedUnit) {
	t.Helper()
	addr, cluster := startPooledRouter(t, 1, lab.Pool{PerMember: 1}, nil)
	client := fakes.NewClient(t, addr, true)
	if unit.first != "" {
		if got := askAll(client, unit.first); got != "ok ready" {
			t.Fatalf("%s: %q", unit.first, got)
		}
	}
	client.Send(unit.send + flushMessage())
	for _, kind := range unit.reads {
		client.ReadUntil(kind)
	}
	unit.leave(t, client)
	if got := askOnce(t, addr, insertSQL("order", "2")); got != "2 ok ready" {
		t.Errorf("the next client's order: %q", got)
	}
	if got := askOnce(t, addr, "SELECT blob FROM rows WHERE handle = 'order'"); got != "2 ok ready" {
		t.Errorf("the next client's order was served, and reads as %q", got)
	}
	if got := askOnce(t, addr, "SELECT blob FROM rows WHERE handle = 'left'"); got != "ok ready" {
		t.Errorf("the order of the client that left: %q", got)
	}
	fakes.WaitUntil(t, "no transaction is open", func() bool { return cluster.Servers[0].Counts().InTransaction == 0 })
}
