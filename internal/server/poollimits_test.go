package server

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"wayloft/internal/fakes"
	"wayloft/internal/fakes/pgserver"
	"wayloft/internal/lab"
	"wayloft/internal/pg"
)

// A client that is idle in a transaction for too long is disconnected, and the rest of the pool meanwhile serves 400 other clients.
func TestPool_IdleInTransactionTimeout(t *testing.T) {
	addr, cluster := startPooledRouter(t, 1, lab.Pool{PerMember: 4, ExtraKeys: "", IdleInTransaction: "300ms"}, nil)
	idle := fakes.NewClient(t, addr, true)
	if got := askAll(idle, "BEGIN", insertSQL("idle", "1")); got != "ok ready; 1 ok ready" {
		t.Fatalf("idle client: %q", got)
	}
	var wg sync.WaitGroup
	for n := range 400 {
		c := fakes.NewClient(t, addr, true)
		wg.Add(1)
		go func() {
			defer wg.Done()
			for range 3 {
				if got := askAll(c, insertSQL(fmt.Sprint("many", n), "1")); got != "1 ok ready" {
					t.Errorf("client %d: %q", n, got)
				}
			}
		}()
	}
	wg.Wait()
	if got := idle.ReadResponse(); got != "25P03 closed" {
		t.Errorf("idle client: %q", got)
	}
	if n := cluster.Servers[0].Counts(); n.Accepted > 4+1+1 { // one for health checks, one to replace the closed connection
		t.Errorf("%d connections", n.Accepted)
	}
	if got := askOnce(t, addr, "SELECT blob FROM rows WHERE handle = 'idle'"); got != "ok ready" {
		t.Errorf("row written by the idle client: %q", got)
	}
}

// A session that prepares too many statements gets an error, and each connection keeps a bounded number of them.
func TestPool_PreparedStatementLimit(t *testing.T) {
	addr, cluster := startPooledRouter(t, 1, lab.Pool{PerMember: 1, ExtraKeys: "statements = 300\n"}, nil)
	c := fakes.NewClient(t, addr, true)
	sync := string(pg.AppendSync(nil))
	bindExecute := string(pg.AppendExecute(pg.AppendBind(nil, "", "", []byte{0, 0, 0, 0, 0, 0}), ""))
	for n := range 600 { // unnamed: each replaces the previous one
		c.Send(string(pg.AppendParse(nil, "", []byte(fmt.Sprintf("SELECT note('%d')\x00\x00\x00", n)))) + bindExecute + sync)
		if got := c.ReadResponse(); got != fmt.Sprint(n, " ok ready") {
			t.Fatalf("%d: %q", n, got)
		}
	}
	var last string
	for n := range 300 {
		c.Send(string(pg.AppendParse(nil, fmt.Sprint("s", n), []byte(fmt.Sprintf("SELECT note('%d')\x00\x00\x00", n)))) + sync)
		last = c.ReadResponse()
	}
	if last != "54000 ready" {
		t.Errorf("one statement over the limit: %q", last)
	}
	fakes.WaitUntil(t, "the member keeps few prepared statements", func() bool { return cluster.Servers[0].Counts().Prepared <= 260 })
	c.Send(string(pg.AppendExecute(pg.AppendBind(nil, "", "s0", []byte{0, 0, 0, 0, 0, 0}), "")) + sync)
	if got := c.ReadResponse(); got != "0 ok ready" {
		t.Errorf("first named statement: %q", got)
	}
}

// If a member accepts fewer connections than the pool may open, the router does not keep trying to connect, and all clients are served.
func TestPool_MemberConnectionLimit(t *testing.T) {
	addr, cluster := startPooledRouter(t, 1, lab.Pool{PerMember: 100}, func(s *pgserver.Server) { s.MaxConnections = 20 })
	var wg sync.WaitGroup
	for n := range 400 {
		c := fakes.NewClient(t, addr, true)
		wg.Add(1)
		go func() {
			defer wg.Done()
			for range 5 {
				if got := askAll(c, insertSQL(fmt.Sprint("storm", n), "1")); got != "1 ok ready" {
					t.Errorf("client %d: %q", n, got)
				}
			}
		}()
	}
	wg.Wait()
	if n := cluster.Servers[0].Counts(); n.Accepted > 20+100 {
		t.Errorf("%d connection attempts", n.Accepted)
	} else {
		t.Logf("%d connection attempts, at most %d connections at once", n.Accepted, n.Peak)
	}
}

// A member is not suspected because a client is slow to send COPY data: other requests are served, and all rows arrive.
func TestPool_SlowCopyNotSuspected(t *testing.T) {
	addr, cluster := startPooledRouter(t, 1, lab.Pool{PerMember: 4}, nil)
	for n := range 200 { // to establish that the member is fast
		if got := askOnce(t, addr, insertSQL(fmt.Sprint("fast", n), "1")); got != "1 ok ready" {
			t.Fatalf("got %q", got)
		}
	}
	other := fakes.NewClient(t, addr, true)
	var slow []*fakes.Client
	for range 3 {
		c := fakes.NewClient(t, addr, true)
		c.SendQuery("COPY rows (handle, blob) FROM STDIN")
		slow = append(slow, c)
	}
	fakes.WaitUntil(t, "all three COPY statements run", func() bool { return cluster.Servers[0].Counts().Copying == 3 })
	waitByRouterClock(t, addr, "write", 300*time.Millisecond) // no response to all three, for far longer than the member usually takes
	if got := askAll(other, "/* id=between,c=write,d=400 */ "+insertSQL("between", "1")); got != "1 ok ready" {
		t.Errorf("request during the COPY: %q", got)
	}
	for n, c := range slow {
		c.Send(string(pg.AppendCopyData(nil, fmt.Sprintf("slow%d\tv\n", n))) + string(pg.AppendEmptyMessage(nil, 'c')))
		if got := c.ReadResponse(); got != "ok ready" {
			t.Errorf("%d: %q", n, got)
		}
	}
	if got := askOnce(t, addr, "SELECT blob FROM rows WHERE handle = 'slow2'"); got != "v ok ready" {
		t.Errorf("copied row: %q", got)
	}
}
