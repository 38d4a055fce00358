package server

import (
	"testing"

	"wayloft/internal/fakes"
	"wayloft/internal/fakes/pgserver"
	"wayloft/internal/lab"
	"wayloft/internal/pg"
)

// Guards against a read that is older than a commit of its session which the client was told of, although the request that made it has failed: its
// connection was lost behind the COMMIT, between a Flush and the Sync.
func TestPool_ReadsCommitOfLostRequest(t *testing.T) {
	addr, cluster := startPooledRouter(t, 2, lab.Pool{PerMember: 4}, func(s *pgserver.Server) { s.Lag = farBehind })
	client := fakes.NewClient(t, addr, true)
	var unit []byte
	for _, sql := range []string{"BEGIN", insertSQL("own", "told"), "COMMIT"} {
		unit = pg.AppendParse(unit, "", []byte(sql+"\x00\x00\x00"))
		unit = pg.AppendExecute(pg.AppendBind(unit, "", "", []byte("\x00\x00\x00\x00\x00\x00")), "")
	}
	client.Send(string(unit) + flushMessage())
	for range 3 {
		client.ReadTypes(pg.CommandComplete)
	}
	cluster.Servers[0].CloseConnections()
	client.Send(string(pg.AppendSync(nil)))
	if got := client.ReadResponse(); got != "08007 ready" {
		t.Fatalf("after the loss: %q", got)
	}
	if got := askAll(client, "BEGIN READ ONLY", selectOwn, "COMMIT"); got != "ok ready; told ok ready; ok ready" {
		t.Errorf("got %q", got)
	}
}
