package server

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"

	"wayloft/internal/fakes"
	"wayloft/internal/fakes/pgserver"
	"wayloft/internal/lab"
	"wayloft/internal/pg"
)

// alone asks one question on a session of its own.
func alone(t *testing.T, addr, sql string) string {
	t.Helper()
	c := fakes.NewClient(t, addr, true)
	defer c.Close()
	return told(c, sql)
}

func insert(handle, blob string) string {
	return fmt.Sprintf("INSERT INTO rows (handle, blob) VALUES ('%s', '%s') RETURNING blob", handle, blob)
}

// A client that leaves in the middle of something leaves nothing open behind, and its connection's place is free.
func TestClientsLeave(t *testing.T) {
	addr, cluster := pooledRouter(t, 1, lab.Pool{PerMember: 1}, nil)
	for _, c := range []struct {
		name string
		ask  []string // each answered before the next
		last string   // not answered
	}{
		{"within a transaction", []string{"BEGIN", insert("left", "1")}, ""},
		{"within COPY", nil, string(pg.AppendQuery(nil, "COPY rows (handle, blob) FROM STDIN"))},
		{"within COPY's data", nil, string(pg.AppendQuery(nil, "COPY rows (handle, blob) FROM STDIN")) + "d\x00\x00\x00\x0bleft\t1\n"},
		{"within a pipeline", nil, string(pg.AppendParse(nil, "", []byte("SELECT pg_sleep(5)\x00\x00\x00"))) +
			string(pg.AppendExecute(pg.AppendBind(nil, "", "", []byte{0, 0, 0, 0, 0, 0}), "")) + string(pg.AppendBodyless(nil, 'H'))},
		{"within a statement", nil, string(pg.AppendQuery(nil, "SELECT pg_sleep(5)"))},
		{"within half a message", []string{"BEGIN", "SELECT 1"}, "Q\x00\x00\x00\x20half"},
		{"after BEGIN alone", []string{"BEGIN"}, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			one := fakes.NewClient(t, addr, true)
			for _, q := range c.ask {
				if got := told(one, q); !strings.HasSuffix(got, "ok ready") {
					t.Fatalf("%s: %q", q, got)
				}
			}
			one.Send(c.last)
			if c.last != "" && len(c.ask) == 0 {
				made := cluster.Servers[0].Counts().Accepted
				fakes.Until(t, "it has been sent", func() bool { return cluster.Servers[0].Counts().Open > 0 && made > 0 })
			}
			one.Close()
			if got := alone(t, addr, "SELECT blob FROM rows WHERE handle = 'left'"); got != "ok ready" {
				t.Errorf("the next client: %q", got)
			}
			fakes.Until(t, "no transaction is open", func() bool { return cluster.Servers[0].Counts().InTransaction == 0 })
		})
	}
}

// A connection that dies between Parse and Execute is no mistake of the client's: nothing has run, and it goes elsewhere.
func TestConnectionDies(t *testing.T) {
	var mu sync.Mutex
	var at pg.Kind
	fail := func(kind pg.Kind) { mu.Lock(); at = kind; mu.Unlock() }
	addr, _ := pooledRouter(t, 1, lab.Pool{PerMember: 2}, func(s *pgserver.Server) {
		s.InjectFault = func(_ int, m *pg.Message) *pgserver.Fault {
			mu.Lock()
			defer mu.Unlock()
			if m.Kind == at && !strings.HasPrefix(m.Text, "SHOW") {
				at = -1
				return &pgserver.Fault{Close: true}
			}
			return nil
		}
	})
	fail(-1)
	c := fakes.NewClient(t, addr, true)
	parse := string(pg.AppendParse(nil, "s", []byte("SELECT 1\x00\x00\x00")))
	bind := string(pg.AppendExecute(pg.AppendBind(nil, "", "s", []byte{0, 0, 0, 0, 0, 0}), ""))
	sync := string(pg.AppendSync(nil))
	c.Send(string(pg.AppendQuery(nil, "SET wayloft.txn_type = 'read'")) + parse + sync)
	if a, b := c.Answer(), c.Answer(); a != "ok ready" || b != "ready" {
		t.Fatalf("got %q, %q", a, b)
	}
	for _, kind := range []pg.Kind{pg.Bind, pg.Execute, pg.Sync} {
		fail(kind)
		c.Send(bind + sync)
		if got := c.Answer(); got != "1 ok ready" {
			t.Errorf("lost at message %d: %q", kind, got)
		}
	}
	// In a transaction that has begun it is failed, and nothing of it is sent again.
	for _, x := range []struct{ ask, want string }{{"BEGIN", "ok ready"}, {insert("dies", "1"), "1 ok ready"}} {
		if got := told(c, x.ask); got != x.want {
			t.Fatalf("%s: %q", x.ask, got)
		}
	}
	fail(pg.Query)
	if got := told(c, "SELECT 1", "SELECT 1", "COMMIT", "SELECT blob FROM rows WHERE handle = 'dies'"); got !=
		"40001 ready; 25P02 ready; ok ready; ok ready" {
		t.Errorf("lost in a transaction: %q", got)
	}
	c.Ask("SET wayloft.txn_type = 'write'")
	c.Answer()
	told(c, "BEGIN", insert("dies", "2"))
	fail(pg.Query)
	if got := told(c, "COMMIT", "ROLLBACK"); got != "08007 ready; ok ready" {
		t.Errorf("lost at its commit: %q", got)
	}
	told(c, "BEGIN", insert("dies", "3"))
	fail(pg.Query)
	if got := told(c, "SELECT 1", "ROLLBACK"); got != "08006 ready; ok ready" {
		t.Errorf("lost before its commit: %q", got)
	}
	told(c, "BEGIN", insert("dies", "4"))
	fail(pg.Sync)
	c.Send(bind + sync)
	if got := c.Answer(); got != "1 ok 08006 ready" {
		t.Errorf("lost in a pipeline within: %q", got)
	}
	if got := told(c, "ROLLBACK", "SELECT 1"); got != "ok ready; 1 ok ready" {
		t.Errorf("after it: %q", got)
	}
}

// A cancel reaches the statement that runs for its client, and never the next client's, however late it comes.
func TestCancels(t *testing.T) {
	addr, cluster := pooledRouter(t, 1, lab.Pool{PerMember: 1}, nil)
	ctx := context.Background()
	one, err := pgx.Connect(ctx, url(addr))
	if err != nil {
		t.Fatal(err)
	}
	defer one.Close(ctx)
	running := make(chan error, 1)
	go func() {
		_, err := one.Exec(ctx, "SELECT pg_sleep(30)")
		running <- err
	}()
	fakes.Until(t, "it runs", func() bool { return cluster.Servers[0].Counts().Running > 0 })
	if err := one.PgConn().CancelRequest(ctx); err != nil {
		t.Error(err)
	}
	if err := <-running; code(err) != "57014" {
		t.Errorf("the cancelled: %v", err)
	}
	// One that waits for the only connection ends at once.
	holder := fakes.NewClient(t, addr, true)
	told(holder, "BEGIN", "SELECT 1")
	go func() {
		_, err := one.Exec(ctx, "SELECT 1")
		running <- err
	}()
	var ended error
	fakes.Until(t, "the one that waits ends", func() bool {
		one.PgConn().CancelRequest(ctx)
		select {
		case ended = <-running:
			return true
		default:
			return false
		}
	})
	if code(ended) != "57014" {
		t.Errorf("the one that waits: %v", ended)
	}
	told(holder, "COMMIT")
	// Cancels that come as their statements end, while others use the same place.
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
					if got := told(c, "SELECT pg_sleep(0.0005)"); got != " ok ready" {
						t.Errorf("another client: %q", got)
						return
					}
				}
			}
		}()
	}
	for range 60 {
		go func() {
			_, err := one.Exec(ctx, "SELECT pg_sleep(0.0005)")
			running <- err
		}()
		one.PgConn().CancelRequest(ctx)
		if err := <-running; err != nil && code(err) != "57014" {
			t.Errorf("its own: %v", err)
		}
	}
	close(stop)
	others.Wait()
	if key := (pg.CancelKey{Process: 1, Secret: 2}); true { // of nobody
		c := fakes.NewClient(t, addr, false)
		c.Send(string(pg.AppendCancelRequest(nil, key)))
		if got := c.Answer(); got != "closed" {
			t.Errorf("a wrong key: %q", got)
		}
	}
}

// lists is a list server whose watch says what it is told to.
type lists struct {
	*httptest.Server
	mu   sync.Mutex
	now  string
	more chan bool
}

func newLists(t *testing.T) *lists {
	l := &lists{more: make(chan bool)}
	l.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		for {
			l.mu.Lock()
			text, more := l.now, l.more
			l.mu.Unlock()
			fmt.Fprintln(w, text)
			if r.URL.Query().Get("stream") == "" {
				return
			}
			w.(http.Flusher).Flush()
			select {
			case <-more:
			case <-time.After(time.Second):
			case <-r.Context().Done():
				return
			}
		}
	}))
	t.Cleanup(func() { l.CloseClientConnections(); l.Close() })
	return l
}

func (l *lists) say(revision int, members ...string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.now = fmt.Sprintf(`{"revision":%d,"complete":true,"members":[%s]}`, revision, strings.Join(members, ","))
	close(l.more)
	l.more = make(chan bool)
}

func entry(n int, s *pgserver.Server, phase string) string {
	return fmt.Sprintf(`{"id":"m%d","host_port":"%s","phase":"%s"}`, n, s.Addr, phase)
}

// A member that drains with forty transactions open: each may end there, and nothing new begins there.
func TestDrainWithTransactionsOpen(t *testing.T) {
	l := newLists(t)
	l.say(0)
	addr, cluster := pooledRouter(t, 2, lab.Pool{PerMember: 50, TopLevelKeys: fmt.Sprintf("discovery = \"%s\"\n",
		strings.TrimPrefix(l.URL, "http://"))}, nil)
	l.say(1, entry(0, cluster.Servers[0], "in_service"), entry(1, cluster.Servers[1], "in_service"))
	var open []*fakes.Client
	for n := range 40 {
		c := fakes.NewClient(t, addr, true)
		if got := told(c, "BEGIN", insert(fmt.Sprint("open", n), "1")); got != "ok ready; 1 ok ready" {
			t.Fatalf("%d: %q", n, got)
		}
		open = append(open, c)
	}
	l.say(2, entry(0, cluster.Servers[0], "terminating"), entry(1, cluster.Servers[1], "in_service"))
	cluster.Promote(cluster.Servers[1])
	fakes.Until(t, "the new primary takes writes", func() bool { return alone(t, addr, insert("new", "1")) == "1 ok ready" })
	before := cluster.Servers[0].Counts()
	cluster.Promote(cluster.Servers[0]) // so that what is open there may end; the router has no word of it
	for n, c := range open {
		if got := told(c, insert(fmt.Sprint("more", n), "1"), "COMMIT"); got != "1 ok ready; ok ready" {
			t.Fatalf("%d: %q", n, got)
		}
	}
	cluster.Promote(cluster.Servers[1])
	fakes.Until(t, "nothing is left there", func() bool { return cluster.Servers[0].Counts().Open == 0 })
	if n := cluster.Servers[0].Counts(); n.Accepted != before.Accepted {
		t.Errorf("%d connections were made to a member that drains", n.Accepted-before.Accepted)
	}
}

// A pool of four with four hundred clients, one of which holds a transaction open and idle: the limit ends it, and all
// others are served.
func TestIdleInTransaction(t *testing.T) {
	addr, cluster := pooledRouter(t, 1, lab.Pool{PerMember: 4, ExtraKeys: "", IdleInTransaction: "300ms"}, nil)
	idle := fakes.NewClient(t, addr, true)
	told(idle, "BEGIN", insert("idle", "1"))
	var wg sync.WaitGroup
	for n := range 400 {
		c := fakes.NewClient(t, addr, true)
		wg.Add(1)
		go func() {
			defer wg.Done()
			for range 3 {
				if got := told(c, insert(fmt.Sprint("many", n), "1")); got != "1 ok ready" {
					t.Errorf("client %d: %q", n, got)
				}
			}
		}()
	}
	wg.Wait()
	if got := idle.Answer(); got != "25P03 closed" {
		t.Errorf("the idle one: %q", got)
	}
	if n := cluster.Servers[0].Counts(); n.Accepted > 4+1+1 { // one for checks, one in place of the ended
		t.Errorf("%d connections", n.Accepted)
	}
	if got := alone(t, addr, "SELECT blob FROM rows WHERE handle = 'idle'"); got != "ok ready" {
		t.Errorf("its write: %q", got)
	}
}

// A primary that is replaced while transactions are open: they fail honestly, and the next ones go to the new primary.
func TestPrimaryReplaced(t *testing.T) {
	addr, cluster := pooledRouter(t, 2, lab.Pool{PerMember: 20}, nil)
	var open []*fakes.Client
	for n := range 10 {
		c := fakes.NewClient(t, addr, true)
		if got := told(c, "BEGIN", insert(fmt.Sprint("r", n), "1")); got != "ok ready; 1 ok ready" {
			t.Fatalf("%d: %q", n, got)
		}
		open = append(open, c)
	}
	cluster.Servers[0].Close()
	cluster.Promote(cluster.Servers[1])
	for n, c := range open {
		if got := told(c, "SELECT 1", "ROLLBACK"); got != "08006 ready; ok ready" {
			t.Errorf("%d: %q", n, got)
		}
		if got := told(c, insert(fmt.Sprint("r", n), "2"), "SELECT blob FROM rows WHERE handle = 'r"+fmt.Sprint(n)+"'"); got !=
			"2 ok ready; 2 ok ready" {
			t.Errorf("%d: after it: %q", n, got)
		}
	}
}

// Ever new texts: a session that prepares too much hears so, and what connections keep stays bounded.
func TestFloodOfParse(t *testing.T) {
	addr, cluster := pooledRouter(t, 1, lab.Pool{PerMember: 1, ExtraKeys: "statements = 300\n"}, nil)
	c := fakes.NewClient(t, addr, true)
	sync := string(pg.AppendSync(nil))
	bind := string(pg.AppendExecute(pg.AppendBind(nil, "", "", []byte{0, 0, 0, 0, 0, 0}), ""))
	for n := range 600 { // without a name, each takes the place of the one before
		c.Send(string(pg.AppendParse(nil, "", []byte(fmt.Sprintf("SELECT note('%d')\x00\x00\x00", n)))) + bind + sync)
		if got := c.Answer(); got != fmt.Sprint(n, " ok ready") {
			t.Fatalf("%d: %q", n, got)
		}
	}
	var last string
	for n := range 300 {
		c.Send(string(pg.AppendParse(nil, fmt.Sprint("s", n), []byte(fmt.Sprintf("SELECT note('%d')\x00\x00\x00", n)))) + sync)
		last = c.Answer()
	}
	if last != "54000 ready" {
		t.Errorf("one too many: %q", last)
	}
	fakes.Until(t, "the member keeps few", func() bool { return cluster.Servers[0].Counts().Prepared <= 260 })
	c.Send(string(pg.AppendExecute(pg.AppendBind(nil, "", "s0", []byte{0, 0, 0, 0, 0, 0}), "")) + sync)
	if got := c.Answer(); got != "0 ok ready" {
		t.Errorf("an early one: %q", got)
	}
}

// A member that holds twenty connections, and four hundred clients at once: no more than it takes are tried again and
// again, and all are served.
func TestLoginStorm(t *testing.T) {
	addr, cluster := pooledRouter(t, 1, lab.Pool{PerMember: 100}, func(s *pgserver.Server) { s.MaxConnections = 20 })
	var wg sync.WaitGroup
	for n := range 400 {
		c := fakes.NewClient(t, addr, true)
		wg.Add(1)
		go func() {
			defer wg.Done()
			for range 5 {
				if got := told(c, insert(fmt.Sprint("storm", n), "1")); got != "1 ok ready" {
					t.Errorf("client %d: %q", n, got)
				}
			}
		}()
	}
	wg.Wait()
	if n := cluster.Servers[0].Counts(); n.Accepted > 20+100 {
		t.Errorf("%d connections were tried", n.Accepted)
	} else {
		t.Logf("%d connections were tried, %d at once", n.Accepted, n.Peak)
	}
}

// What can't follow its client pins it; it leaves no trace for the next, and its connection's end is its session's.
func TestPins(t *testing.T) {
	addr, cluster := pooledRouter(t, 1, lab.Pool{PerMember: 1}, nil)
	c := fakes.NewClient(t, addr, true)
	if got := told(c, "PREPARE mine AS SELECT note('mine')", "EXECUTE mine", "SET m.x = '1'"); got != "ok ready; mine ok ready; ok ready" {
		t.Fatalf("got %q", got)
	}
	other := fakes.NewClient(t, addr, true)
	other.Ask("SHOW m.x") // it waits
	if got := told(c, "EXECUTE mine", "DISCARD ALL", "EXECUTE mine"); got != "mine ok ready; ok ready; 26000 ready" {
		t.Errorf("got %q", got)
	}
	if got := other.Answer(); got != " ok ready" {
		t.Errorf("the next: %q", got)
	}
	told(c, "PREPARE mine AS SELECT 1")
	c.Send(string(pg.AppendBodyless(nil, 'X')))
	c.Close()
	if got := told(other, "EXECUTE mine", "SELECT 1"); got != "26000 ready; 1 ok ready" {
		t.Errorf("after it left: %q", got)
	}
	told(other, "LISTEN a")
	made := cluster.Servers[0].Counts().Accepted
	if made > 3 {
		t.Errorf("%d connections", made)
	}
	cluster.Servers[0].CloseConnections()
	if got := other.Answer(); got != "57P01 closed" {
		t.Errorf("its connection has ended: %q", got)
	}
}

// By session: one connection for as long as the client stays, and nothing of it for the next.
func TestBySession(t *testing.T) {
	addr, cluster := pooledRouter(t, 1, lab.Pool{Mode: "session", PerMember: 2}, nil)
	one, two := fakes.NewClient(t, addr, true), fakes.NewClient(t, addr, true)
	a, b := told(one, "SELECT pg_backend_pid()"), told(two, "SELECT pg_backend_pid()")
	for range 5 {
		if x, y := told(one, "SELECT pg_backend_pid()"), told(two, "SELECT pg_backend_pid()"); a == b || x != a || y != b {
			t.Errorf("%q, %q; then %q, %q", a, b, x, y)
		}
	}
	told(one, "SET m.x = '1'", "PREPARE p AS SELECT 1")
	three := fakes.NewClient(t, addr, true)
	three.Ask("SHOW m.x")
	one.Close()
	if got := three.Answer(); got != " ok ready" {
		t.Errorf("the next: %q", got)
	}
	if got := told(three, "EXECUTE p", "SELECT pg_backend_pid()"); got != "26000 ready; "+a {
		t.Errorf("the next: %q", got)
	}
	if n := cluster.Servers[0].Counts(); n.Peak > 3 {
		t.Errorf("%d connections", n.Peak)
	}
}

// What breaks the protocol ends its session alone, with its code.
func TestPooledBadInput(t *testing.T) {
	addr, _ := pooledRouter(t, 1, lab.Pool{PerMember: 1}, nil)
	steady := fakes.NewClient(t, addr, true)
	hello := string(pg.AppendStartup(nil, "api", "ledger"))
	for _, c := range []struct{ name, send, want string }{
		{"another database", string(pg.AppendStartup(nil, "api", "none")), "3D000 closed"},
		{"replication", string(pg.AppendStartup(nil, "api", "ledger", [2]string{"replication", "database"})), "0A000 closed"},
		{"options", string(pg.AppendStartup(nil, "api", "ledger", [2]string{"options", "-x 1"})), "22023 closed"},
		{"an unknown message", hello + "?\x00\x00\x00\x04", "ready, 08P01 closed"},
		{"half a Parse", hello + "P\x00\x00\x00\x05x", "ready, 08P01 closed"},
		{"a Bind whose lengths lie", hello + "B\x00\x00\x00\x0e\x00\x00\x00\x00\x00\x01\x7f\xff\xff\xff", "ready, 08P01 closed"},
		{"a length too large", hello + "P\x7f\xff\xff\xff", "ready, 54000 closed"},
		{"a function call", hello + "F\x00\x00\x00\x04" + string(pg.AppendQuery(nil, "SELECT 1")), "ready, 0A000 ready, 1 ok ready"},
		{"COPY data out of place", hello + "d\x00\x00\x00\x05x" + string(pg.AppendQuery(nil, "SELECT 1")), "ready, 1 ok ready"},
		{"terminate", hello + "X\x00\x00\x00\x04", "ready, closed"},
	} {
		t.Run(c.name, func(t *testing.T) {
			one := fakes.NewClient(t, addr, false)
			one.Send(c.send)
			for _, want := range strings.Split(c.want, ", ") {
				if got := one.Answer(); got != want {
					t.Fatalf("got %q, want %q", got, want)
				}
			}
			if got := told(steady, "SELECT 1"); got != "1 ok ready" {
				t.Errorf("another session: %q", got)
			}
		})
	}
}

// A plan that has become invalid is prepared again where nothing has run, and its client hears nothing of it.
func TestPlansAnew(t *testing.T) {
	var mu sync.Mutex
	var codes []string
	addr, _ := pooledRouter(t, 1, lab.Pool{PerMember: 1}, func(s *pgserver.Server) {
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
	c.Answer()
	bind := string(pg.AppendExecute(pg.AppendBind(nil, "", "s", []byte{0, 0, 0, 0, 0, 0}), ""))
	for _, x := range []struct{ codes, want string }{
		{"0A000", "1 ok ready"}, {"26000", "1 ok ready"}, {"", "1 ok ready"},
		{"0A000 0A000", "0A000 ready"}, // once: then it is the statement's own fault
		{"", "1 ok ready"},
	} {
		mu.Lock()
		codes = strings.Fields(x.codes)
		mu.Unlock()
		c.Send(bind + sync)
		if got := c.Answer(); got != x.want {
			t.Errorf("%s: got %q, want %q", x.codes, got, x.want)
		}
	}
	told(c, "BEGIN", "SELECT 1") // something has run: its client must hear of it
	mu.Lock()
	codes = []string{"0A000"}
	mu.Unlock()
	c.Send(bind + sync)
	if got := c.Answer(); got != "0A000 ready" {
		t.Errorf("in a transaction: %q", got)
	}
	told(c, "ROLLBACK")
	mu.Lock()
	codes = []string{"ok", "0A000"}
	mu.Unlock()
	begin := string(pg.AppendParse(nil, "b", []byte("BEGIN\x00\x00\x00"))) +
		string(pg.AppendExecute(pg.AppendBind(nil, "", "b", []byte{0, 0, 0, 0, 0, 0}), ""))
	c.Send(begin + bind + sync)
	if got := c.Answer(); got != "ok 0A000 ready" {
		t.Errorf("in a transaction that the same pipeline began: %q", got)
	}
	if got := told(c, "ROLLBACK", "SELECT 1"); got != "ok ready; 1 ok ready" {
		t.Errorf("after it: %q", got)
	}
}

// A client that is slow to copy in is no silence of its member: others go on, and its rows come whole.
func TestSlowCopy(t *testing.T) {
	addr, cluster := pooledRouter(t, 1, lab.Pool{PerMember: 4}, nil)
	for n := range 200 { // the member is known to be fast
		if got := alone(t, addr, insert(fmt.Sprint("fast", n), "1")); got != "1 ok ready" {
			t.Fatalf("got %q", got)
		}
	}
	other := fakes.NewClient(t, addr, true)
	var slow []*fakes.Client
	for range 3 {
		c := fakes.NewClient(t, addr, true)
		c.Ask("COPY rows (handle, blob) FROM STDIN")
		slow = append(slow, c)
	}
	fakes.Until(t, "they copy", func() bool { return cluster.Servers[0].Counts().Copying == 3 })
	time.Sleep(300 * time.Millisecond) // a silence of all three, far beyond what the member is known for
	if got := told(other, "/* id=between,c=write,d=400 */ "+insert("between", "1")); got != "1 ok ready" {
		t.Errorf("between: %q", got)
	}
	for n, c := range slow {
		c.Send(string(pg.AppendCopyData(nil, fmt.Sprintf("slow%d\tv\n", n))) + string(pg.AppendBodyless(nil, 'c')))
		if got := c.Answer(); got != "ok ready" {
			t.Errorf("%d: %q", n, got)
		}
	}
	if got := alone(t, addr, "SELECT blob FROM rows WHERE handle = 'slow2'"); got != "v ok ready" {
		t.Errorf("what was copied: %q", got)
	}
}

// The configuration that we hand out is one.
func TestConfigurationForPools(t *testing.T) {
	c, err := Load("../../deploy/wayloft.toml")
	if err != nil {
		t.Fatal(err)
	}
	if len(c.pools) != 1 || len(c.Members.Entries) != 2 || c.maxSessions != 2000 || c.maxConnectionsPerMember != 60 {
		t.Errorf("got %+v", c)
	}
}
