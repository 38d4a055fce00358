package server

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"

	"github.com/jackc/pgx/v5"

	"wayloft/internal/fakes"
	"wayloft/internal/fakes/pgserver"
	"wayloft/internal/lab"
	"wayloft/internal/pg"
)

// A client that disconnects at any point leaves no open transaction behind, and its member connection can be used again.
func TestPool_ClientGoneLeavesNoTransaction(t *testing.T) {
	addr, cluster := startPooledRouter(t, 1, lab.Pool{PerMember: 1}, nil)
	for _, c := range []struct {
		name string
		ask  []string // each gets its response before the next is sent
		last string   // sent just before the client disconnects
	}{
		{"within a transaction", []string{"BEGIN", insertSQL("left", "1")}, ""},
		{"within COPY", nil, string(pg.AppendQuery(nil, "COPY rows (handle, blob) FROM STDIN"))},
		{"within COPY's data", nil, string(pg.AppendQuery(nil, "COPY rows (handle, blob) FROM STDIN")) + "d\x00\x00\x00\x0bleft\t1\n"},
		{"within a pipeline", nil, string(pg.AppendParse(nil, "", []byte("SELECT pg_sleep(5)\x00\x00\x00"))) +
			string(pg.AppendExecute(pg.AppendBind(nil, "", "", []byte{0, 0, 0, 0, 0, 0}), "")) + string(pg.AppendEmptyMessage(nil, 'H'))},
		{"within a statement", nil, string(pg.AppendQuery(nil, "SELECT pg_sleep(5)"))},
		{"within half a message", []string{"BEGIN", "SELECT 1"}, "Q\x00\x00\x00\x20half"},
		{"after BEGIN alone", []string{"BEGIN"}, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			client := fakes.NewClient(t, addr, true)
			for _, q := range c.ask {
				if got := askAll(client, q); !strings.HasSuffix(got, "ok ready") {
					t.Fatalf("%s: %q", q, got)
				}
			}
			client.Send(c.last)
			if c.last != "" && len(c.ask) == 0 {
				accepted := cluster.Servers[0].Counts().Accepted
				fakes.WaitUntil(t, "the last message has been sent", func() bool { return cluster.Servers[0].Counts().Open > 0 && accepted > 0 })
			}
			closeSocket(client)
			if got := askOnce(t, addr, "SELECT blob FROM rows WHERE handle = 'left'"); got != "ok ready" {
				t.Errorf("next client: %q", got)
			}
			fakes.WaitUntil(t, "no transaction is open", func() bool { return cluster.Servers[0].Counts().InTransaction == 0 })
		})
	}
}

// When a connection is lost, a request is retried on another one if none of it has run; a transaction that has begun fails.
func TestPool_ConnectionLost(t *testing.T) {
	var mu sync.Mutex
	var failKind pg.Kind
	failAt := func(kind pg.Kind) { mu.Lock(); failKind = kind; mu.Unlock() }
	addr, _ := startPooledRouter(t, 1, lab.Pool{PerMember: 2}, func(s *pgserver.Server) {
		s.InjectFault = func(_ int, m *pg.Message) *pgserver.Fault {
			mu.Lock()
			defer mu.Unlock()
			if m.Kind == failKind && !strings.HasPrefix(m.Text, "SHOW") {
				failKind = -1
				return &pgserver.Fault{Close: true}
			}
			return nil
		}
	})
	failAt(-1)
	c := fakes.NewClient(t, addr, true)
	parse := string(pg.AppendParse(nil, "s", []byte("SELECT 1\x00\x00\x00")))
	bindExecute := string(pg.AppendExecute(pg.AppendBind(nil, "", "s", []byte{0, 0, 0, 0, 0, 0}), ""))
	sync := string(pg.AppendSync(nil))
	c.Send(string(pg.AppendQuery(nil, "SET wayloft.txn_type = 'read'")) + parse + sync)
	if a, b := c.ReadResponse(), c.ReadResponse(); a != "ok ready" || b != "ready" {
		t.Fatalf("got %q, %q", a, b)
	}
	for _, kind := range []pg.Kind{pg.Bind, pg.Execute, pg.Sync} {
		failAt(kind)
		c.Send(bindExecute + sync)
		if got := c.ReadResponse(); got != "1 ok ready" {
			t.Errorf("connection lost at message %d: %q", kind, got)
		}
	}
	// A transaction that has begun fails, and nothing of it is retried.
	for _, x := range []struct{ ask, want string }{{"BEGIN", "ok ready"}, {insertSQL("dies", "1"), "1 ok ready"}} {
		if got := askAll(c, x.ask); got != x.want {
			t.Fatalf("%s: %q", x.ask, got)
		}
	}
	failAt(pg.Query)
	if got := askAll(c, "SELECT 1", "SELECT 1", "COMMIT", "SELECT blob FROM rows WHERE handle = 'dies'"); got !=
		"40001 ready; 25P02 ready; ok ready; ok ready" {
		t.Errorf("connection lost in a transaction: %q", got)
	}
	c.SendQuery("SET wayloft.txn_type = 'write'")
	c.ReadResponse()
	askAll(c, "BEGIN", insertSQL("dies", "2"))
	failAt(pg.Query)
	if got := askAll(c, "COMMIT", "ROLLBACK"); got != "08007 ready; ok ready" {
		t.Errorf("connection lost at the commit: %q", got)
	}
	askAll(c, "BEGIN", insertSQL("dies", "3"))
	failAt(pg.Query)
	if got := askAll(c, "SELECT 1", "ROLLBACK"); got != "08006 ready; ok ready" {
		t.Errorf("connection lost before the commit: %q", got)
	}
	askAll(c, "BEGIN", insertSQL("dies", "4"))
	failAt(pg.Sync)
	c.Send(bindExecute + sync)
	if got := c.ReadResponse(); got != "1 ok 08006 ready" {
		t.Errorf("connection lost in a pipeline within a transaction: %q", got)
	}
	if got := askAll(c, "ROLLBACK", "SELECT 1"); got != "ok ready; 1 ok ready" {
		t.Errorf("afterwards: %q", got)
	}
}

// A cancel request cancels only its own client's statement, never the next client's, however late it arrives.
func TestPool_CancelRequests(t *testing.T) {
	addr, cluster := startPooledRouter(t, 1, lab.Pool{PerMember: 1}, nil)
	ctx := context.Background()
	one, err := pgx.Connect(ctx, connectionURL(addr))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = one.Close(ctx) }()
	cancelRunning(ctx, t, one, cluster)
	cancelQueued(ctx, t, one, addr)
	cancelAmongOthers(ctx, t, one, addr)
	unknown := fakes.NewClient(t, addr, false)
	unknown.Send(string(pg.AppendCancelRequest(nil, pg.CancelKey{Process: 1, Secret: 2})))
	if got := unknown.ReadResponse(); got != "closed" {
		t.Errorf("unknown cancel key: %q", got)
	}
}

// execute runs a statement on a goroutine.
func execute(ctx context.Context, conn *pgx.Conn, sql string) <-chan error {
	result := make(chan error, 1)
	go func() {
		_, err := conn.Exec(ctx, sql)
		result <- err
	}()
	return result
}

// cancelRunning cancels a running statement.
func cancelRunning(ctx context.Context, t *testing.T, conn *pgx.Conn, cluster *lab.Cluster) {
	t.Helper()
	result := execute(ctx, conn, "SELECT pg_sleep(30)")
	fakes.WaitUntil(t, "the statement runs", func() bool { return cluster.Servers[0].Counts().Running > 0 })
	if err := conn.PgConn().CancelRequest(ctx); err != nil {
		t.Error(err)
	}
	if err := <-result; errorCode(err) != "57014" {
		t.Errorf("cancelled statement: %v", err)
	}
}

// cancelQueued cancels a statement that waits for the pool's only connection.
func cancelQueued(ctx context.Context, t *testing.T, conn *pgx.Conn, addr string) {
	t.Helper()
	holder := fakes.NewClient(t, addr, true)
	askAll(holder, "BEGIN", "SELECT 1")
	result := execute(ctx, conn, "SELECT 1")
	var ended error
	fakes.WaitUntil(t, "the queued statement ends", func() bool {
		_ = conn.PgConn().CancelRequest(ctx) // a cancel request that fails is repeated
		select {
		case ended = <-result:
			return true
		default:
			return false
		}
	})
	if errorCode(ended) != "57014" {
		t.Errorf("queued statement: %v", ended)
	}
	askAll(holder, "COMMIT")
}

// cancelAmongOthers cancels statements at about the time they end, while other clients use the same connection.
func cancelAmongOthers(ctx context.Context, t *testing.T, conn *pgx.Conn, addr string) {
	t.Helper()
	stop := make(chan bool)
	var others sync.WaitGroup
	for range 3 {
		c := fakes.NewClient(t, addr, true)
		others.Add(1)
		go func() {
			defer others.Done()
			for {
				select {
				case <-stop:
					return
				default:
					if got := askAll(c, "SELECT pg_sleep(0.0005)"); got != " ok ready" {
						t.Errorf("another client: %q", got)
						return
					}
				}
			}
		}()
	}
	for range 60 {
		result := execute(ctx, conn, "SELECT pg_sleep(0.0005)")
		if err := conn.PgConn().CancelRequest(ctx); err != nil {
			t.Errorf("cancel request: %v", err)
		}
		if err := <-result; err != nil && errorCode(err) != "57014" {
			t.Errorf("statement with a cancel request: %v", err)
		}
	}
	close(stop)
	others.Wait()
}

// Transactions that are open on a draining member can finish there, and no new one begins there.
func TestPool_MemberDrainsWithOpenTransactions(t *testing.T) {
	l := newListServer(t)
	l.publish(0)
	addr, cluster := startPooledRouter(t, 2, lab.Pool{PerMember: 50, TopLevelKeys: fmt.Sprintf("discovery = \"%s\"\n",
		strings.TrimPrefix(l.URL, "http://"))}, nil)
	l.publish(1, listEntry(0, cluster.Servers[0], "in_service"), listEntry(1, cluster.Servers[1], "in_service"))
	var open []*fakes.Client
	for n := range 40 {
		c := fakes.NewClient(t, addr, true)
		if got := askAll(c, "BEGIN", insertSQL(fmt.Sprint("open", n), "1")); got != "ok ready; 1 ok ready" {
			t.Fatalf("%d: %q", n, got)
		}
		open = append(open, c)
	}
	l.publish(2, listEntry(0, cluster.Servers[0], "terminating"), listEntry(1, cluster.Servers[1], "in_service"))
	cluster.Promote(cluster.Servers[1])
	fakes.WaitUntil(t, "the new primary takes writes", func() bool { return askOnce(t, addr, insertSQL("new", "1")) == "1 ok ready" })
	before := cluster.Servers[0].Counts()
	cluster.Promote(cluster.Servers[0]) // so that open transactions can finish there; the router is not told
	for n, c := range open {
		if got := askAll(c, insertSQL(fmt.Sprint("more", n), "1"), "COMMIT"); got != "1 ok ready; ok ready" {
			t.Fatalf("%d: %q", n, got)
		}
	}
	cluster.Promote(cluster.Servers[1])
	fakes.WaitUntil(t, "no connection to the draining member is left", func() bool { return cluster.Servers[0].Counts().Open == 0 })
	if n := cluster.Servers[0].Counts(); n.Accepted != before.Accepted {
		t.Errorf("%d connections were opened to a draining member", n.Accepted-before.Accepted)
	}
}

// Transactions that are open when the primary is replaced fail, and the next ones go to the new primary.
func TestPool_PrimaryReplaced(t *testing.T) {
	addr, cluster := startPooledRouter(t, 2, lab.Pool{PerMember: 20}, nil)
	var open []*fakes.Client
	for n := range 10 {
		c := fakes.NewClient(t, addr, true)
		if got := askAll(c, "BEGIN", insertSQL(fmt.Sprint("r", n), "1")); got != "ok ready; 1 ok ready" {
			t.Fatalf("%d: %q", n, got)
		}
		open = append(open, c)
	}
	cluster.Servers[0].Close()
	cluster.Promote(cluster.Servers[1])
	for n, c := range open {
		if got := askAll(c, "SELECT 1", "ROLLBACK"); got != "08006 ready; ok ready" {
			t.Errorf("%d: %q", n, got)
		}
		if got := askAll(c, insertSQL(fmt.Sprint("r", n), "2"), "SELECT blob FROM rows WHERE handle = 'r"+fmt.Sprint(n)+"'"); got !=
			"2 ok ready; 2 ok ready" {
			t.Errorf("%d: afterwards: %q", n, got)
		}
	}
}

// A prepared statement whose plan has become invalid is prepared again if nothing has run, and the client receives no error.
func TestPool_InvalidPlanPreparedAgain(t *testing.T) {
	var mu sync.Mutex
	var codes []string
	addr, _ := startPooledRouter(t, 1, lab.Pool{PerMember: 1}, func(s *pgserver.Server) {
		s.InjectFault = func(_ int, m *pg.Message) *pgserver.Fault {
			mu.Lock()
			defer mu.Unlock()
			if m.Kind != pg.Bind || len(codes) == 0 {
				return nil
			}
			f := &pgserver.Fault{Error: codes[0]}
			if codes = codes[1:]; f.Error == "ok" {
				return nil
			}
			return f
		}
	})
	c := fakes.NewClient(t, addr, true)
	sync := string(pg.AppendSync(nil))
	c.Send(string(pg.AppendParse(nil, "s", []byte("SELECT 1\x00\x00\x00"))) + sync)
	c.ReadResponse()
	bindExecute := string(pg.AppendExecute(pg.AppendBind(nil, "", "s", []byte{0, 0, 0, 0, 0, 0}), ""))
	for _, x := range []struct{ codes, want string }{
		{"0A000", "1 ok ready"}, {"26000", "1 ok ready"}, {"", "1 ok ready"},
		{"0A000 0A000", "0A000 ready"}, // only one retry: a second failure is the statement's own error
		{"", "1 ok ready"},
	} {
		mu.Lock()
		codes = strings.Fields(x.codes)
		mu.Unlock()
		c.Send(bindExecute + sync)
		if got := c.ReadResponse(); got != x.want {
			t.Errorf("%s: got %q, want %q", x.codes, got, x.want)
		}
	}
	askAll(c, "BEGIN", "SELECT 1") // something has run: the client must receive the error
	mu.Lock()
	codes = []string{"0A000"}
	mu.Unlock()
	c.Send(bindExecute + sync)
	if got := c.ReadResponse(); got != "0A000 ready" {
		t.Errorf("in a transaction: %q", got)
	}
	askAll(c, "ROLLBACK")
	mu.Lock()
	codes = []string{"ok", "0A000"}
	mu.Unlock()
	begin := string(pg.AppendParse(nil, "b", []byte("BEGIN\x00\x00\x00"))) +
		string(pg.AppendExecute(pg.AppendBind(nil, "", "b", []byte{0, 0, 0, 0, 0, 0}), ""))
	c.Send(begin + bindExecute + sync)
	if got := c.ReadResponse(); got != "ok 0A000 ready" {
		t.Errorf("in a transaction that the same pipeline began: %q", got)
	}
	if got := askAll(c, "ROLLBACK", "SELECT 1"); got != "ok ready; 1 ok ready" {
		t.Errorf("afterwards: %q", got)
	}
}

// Guards against a ReadyForQuery that is kept from a client which has received the error of an invalid plan already, behind a Flush.
func TestPool_InvalidPlanBehindFlush(t *testing.T) {
	var mu sync.Mutex
	code := ""
	addr, _ := startPooledRouter(t, 1, lab.Pool{PerMember: 1}, func(s *pgserver.Server) {
		s.InjectFault = func(_ int, m *pg.Message) *pgserver.Fault {
			mu.Lock()
			defer mu.Unlock()
			if m.Kind != pg.Bind || code == "" {
				return nil
			}
			fault := &pgserver.Fault{Error: code}
			code = ""
			return fault
		}
	})
	c := fakes.NewClient(t, addr, true)
	sync := string(pg.AppendSync(nil))
	c.Send(parseMessage("s", "SELECT 1") + sync)
	c.ReadResponse()
	for _, invalid := range []string{pg.InvalidSQLStatementName, pg.FeatureNotSupported} {
		mu.Lock()
		code = invalid
		mu.Unlock()
		c.Send(bindAndExecute("s") + flushMessage())
		if got := c.ReadTypes(pg.ErrorResponse); got != "E" {
			t.Errorf("%s: got %q", invalid, got)
		}
		c.Send(sync)
		if got := c.ReadTypes(pg.ReadyForQuery); got != "Z" {
			t.Errorf("%s, the Sync: got %q", invalid, got)
		}
		c.Send(bindAndExecute("s") + sync)
		if got := c.ReadResponse(); got != "1 ok ready" {
			t.Errorf("%s, afterwards: got %q", invalid, got)
		}
	}
}
