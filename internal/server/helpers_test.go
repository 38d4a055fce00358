package server

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"wayloft/internal/decide/session"
	"wayloft/internal/fakes"
	"wayloft/internal/fakes/pgserver"
	"wayloft/internal/lab"
	"wayloft/internal/pg"
)

// platformConfig is a configuration in the platform's form, whose parts tests replace.
const platformConfig = `{"name":"n1","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"8c1f30d27a5be964",
"limits":{"cores":1.0,"memory_mb":16,"sockets":256},
"known":{"revision":41,"complete":true,"members":[]},
"settings":{"balancers":1,"discovery":"push",
"contract":{"coldFrom":0.2,"warmUp":1000000,"fallMultiple":2.5,"overloadFor":2000000},
"permissions":{"attemptsCap":6,"cancel":true,"probes":true,"retryAfter":true,"maxRetryAfter":1000000,
"dialTimeout":250000,"idleClose":30000000},
"report":{"columns":["x0","x1"],"how":"pull"},
"familyInfo":{"serverChecks":"refuse","tokenMode":"carried","countedFrom":0,"readLevel":["any","write"],"classBound":[0,0]},
"profiles":[{"name":"look","target":500000,"deadline":3000000,"worth":1,"idempotency":"retryable"},
{"name":"put","target":500000,"deadline":3000000,"worth":1,"idempotency":"fragile"}]}}`

// closeSocket closes a socket whose peer may have closed it already.
func closeSocket(c io.Closer) { _ = c.Close() }

// writeFile writes a file and returns its name.
func writeFile(t *testing.T, file, text string) string {
	t.Helper()
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

// startRouter starts a router in the platform's form. It returns its address, the channel of its signals and the result of Run.
func startRouter(t *testing.T, discovery string, sockets int, members ...string) (addr string, term chan os.Signal, ended chan error) {
	t.Helper()
	return startRouterWith(t, nil, discovery, sockets, members...)
}

// startRouterWith does what startRouter does with other settings: pairs of an old and a new text.
func startRouterWith(t *testing.T, swap []string, discovery string, sockets int, members ...string) (addr string, term chan os.Signal, ended chan error) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr = l.Addr().String()
	var rows []string
	for n, m := range members {
		rows = append(rows, fmt.Sprintf(`{"id":"m%d","host_port":"%s","locality":"z","cell":2,"phase":"in_service"}`, n, m))
	}
	text := strings.NewReplacer(append(swap, "127.0.0.1:0", addr, "127.0.0.1:1", discovery, `"members":[]`,
		`"members":[`+strings.Join(rows, ",")+`]`, `"sockets":256`, fmt.Sprintf(`"sockets":%d`, sockets))...).Replace(platformConfig)
	t.Setenv("PROXY_CONFIG", writeFile(t, filepath.Join(t.TempDir(), "config.json"), text))
	conf, err := Load(os.Getenv("PROXY_CONFIG"))
	if err != nil {
		t.Fatal(err)
	}
	term, ended = make(chan os.Signal, 2), make(chan error, 1)
	runUntilCleanup(t, conf, l, term, ended)
	return addr, term, ended
}

// runUntilCleanup runs a router, and has it drain and end before the test's listener and members are closed. It waits for the end, since
// a router that still drains would reach failpoints that the next test has set. ended is closed behind the result of Run.
func runUntilCleanup(t *testing.T, conf *Config, listener net.Listener, term chan os.Signal, ended chan error) {
	t.Helper()
	go func() {
		ended <- Run(conf, listener, term)
		close(ended)
	}()
	t.Cleanup(func() {
		select {
		case term <- os.Interrupt:
		case err := <-ended: // the test has ended it
			if err != nil {
				t.Error(err)
			}
			return
		}
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
}

// startPooledRouter starts a router with a pool before a cluster of fake servers, until the test is over.
func startPooledRouter(t *testing.T, members int, p lab.Pool, set func(*pgserver.Server)) (string, *lab.Cluster) {
	t.Helper()
	return startDefectivePooledRouter(t, members, p, session.SeededDefects{}, set)
}

// startDefectivePooledRouter does so with defects in the router's sessions, which a test is to find.
func startDefectivePooledRouter(t *testing.T, members int, p lab.Pool, defects session.SeededDefects, set func(*pgserver.Server)) (string, *lab.Cluster) {
	t.Helper()
	addr, cluster, signals, ended := runPooledRouter(t, members, p, defects, set)
	t.Cleanup(func() {
		signals <- os.Interrupt
		if err := <-ended; err != nil {
			t.Error(err)
		}
		cluster.Close()
	})
	return addr, cluster
}

// startDrainablePool does what startPooledRouter does, and leaves it to the test to end the router and the cluster.
func startDrainablePool(t *testing.T, members int, p lab.Pool, set func(*pgserver.Server)) (string, *lab.Cluster, chan os.Signal, chan error) {
	t.Helper()
	return runPooledRouter(t, members, p, session.SeededDefects{}, set)
}

func runPooledRouter(t *testing.T, members int, p lab.Pool, defects session.SeededDefects, set func(*pgserver.Server)) (string, *lab.Cluster, chan os.Signal, chan error) {
	t.Helper()
	c, err := lab.StartCluster(members, 0, set)
	if err != nil {
		t.Fatal(err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if p.Mode == "" {
		p.Mode = "transaction"
	}
	conf, err := DecodeTOML([]byte(c.Configuration(l.Addr().String(), p)))
	if err != nil {
		t.Fatal(err)
	}
	for n := range conf.pools {
		conf.pools[n].Policy.SeededDefects = defects
	}
	signals, ended := make(chan os.Signal, 1), make(chan error, 1)
	go func() { ended <- Run(conf, l, signals) }()
	return l.Addr().String(), c, signals, ended
}

// newPrimary starts a primary that answers a statement with its last word.
func newPrimary(t *testing.T) *fakes.Member { return newMemberWithRole(t, 1) }

// newMemberWithRole starts a member that answers a statement with its last word, and health checks with a role: 1 for the primary.
func newMemberWithRole(t *testing.T, x1 int) *fakes.Member {
	return fakes.NewMember(t, nil, func(sql string) *fakes.Reply {
		switch {
		case sql == "SHOW vitals":
			return &fakes.Reply{Bytes: pg.AppendReadyIdle(fakes.Rows(fmt.Sprintf("x0=%d,x1=%d", time.Now().Unix(), x1)))}
		case strings.Contains(sql, "hang"):
			return nil
		case strings.Contains(sql, "error"):
			return fakes.Fail("XX000")
		case strings.Contains(sql, "wrong"):
			return fakes.Fail("42601")
		}
		return fakes.Row(sql[strings.LastIndex(sql, " ")+1:], "source", "1")
	})
}

// readStatement is an idempotent read in the platform's form.
func readStatement(id, what string) string {
	return fmt.Sprintf("/* id=%s,c=look,t=n,d=2000,cluster=2 */ SELECT %s", id, what)
}

// writeStatement is a non-idempotent write in the platform's form.
func writeStatement(id, what string) string {
	return fmt.Sprintf("/* id=%s,c=put,t=n,d=400,cluster=2 */ INSERT %s", id, what)
}

// insertSQL writes a row and returns its value.
func insertSQL(handle, blob string) string {
	return fmt.Sprintf("INSERT INTO rows (handle, blob) VALUES ('%s', '%s') RETURNING blob", handle, blob)
}

// queryMessage is a simple query as it is sent.
func queryMessage(sql string) string { return string(pg.AppendQuery(nil, sql)) }

// readAnswers reads so many answers, and returns how long after since the last of them came.
func readAnswers(c *fakes.Client, count int, since time.Time) (string, time.Duration) {
	var all []string
	for range count {
		all = append(all, c.Answer())
	}
	return strings.Join(all, "; "), time.Since(since)
}

// askAll sends simple queries one by one and joins the answers.
func askAll(c *fakes.Client, sql ...string) string {
	var out []string
	for _, q := range sql {
		c.Ask(q)
		out = append(out, c.Answer())
	}
	return strings.Join(out, "; ")
}

// askOnce sends one query on a session of its own.
func askOnce(t *testing.T, addr, sql string) string {
	t.Helper()
	c := fakes.NewClient(t, addr, true)
	defer closeSocket(c)
	return askAll(c, sql)
}

// openSessions opens sessions that have one request each and stay.
func openSessions(t *testing.T, addr string, count int) (all []*fakes.Client) {
	t.Helper()
	for n := range count {
		c := fakes.NewClient(t, addr, true)
		c.Ask(readStatement(fmt.Sprint(n), "x"))
		if got := c.Answer(); got != "x ok ready" {
			t.Fatalf("client %d: %q", n, got)
		}
		all = append(all, c)
	}
	return all
}

// connectionURL is the address of a router as drivers have it.
func connectionURL(addr string) string { return "postgres://api@" + addr + "/ledger?sslmode=disable" }

// errorCode is the SQLSTATE of an error, or its text.
func errorCode(err error) string {
	var e *pgconn.PgError
	if errors.As(err, &e) {
		return e.Code
	}
	return fmt.Sprint(err)
}

// statementsSeen returns the statements that a member was sent.
func statementsSeen(m *fakes.Member) []string {
	_, asked := m.Seen()
	return asked
}
