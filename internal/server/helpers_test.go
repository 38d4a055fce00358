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

// platformConfig is a configuration in the platform's JSON format. Tests replace parts of it.
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

// closeSocket closes a socket and ignores the error, since the peer may have closed it already.
func closeSocket(c io.Closer) { _ = c.Close() }

// writeFile writes a file and returns its name.
func writeFile(t *testing.T, file, text string) string {
	t.Helper()
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

// startRouter starts a router with a configuration in the platform's format. It returns its address, its signal channel and a channel
// with the result of Run.
func startRouter(t *testing.T, discovery string, sockets int, members ...string) (addr string, signals chan os.Signal, ended chan error) {
	t.Helper()
	return startRouterWith(t, nil, discovery, sockets, members...)
}

// startRouterWith is like startRouter, with replacements in the configuration: pairs of an old and a new text.
func startRouterWith(t *testing.T, replacements []string, discovery string, sockets int, members ...string) (addr string, signals chan os.Signal, ended chan error) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr = l.Addr().String()
	var entries []string
	for n, m := range members {
		entries = append(entries, fmt.Sprintf(`{"id":"m%d","host_port":"%s","locality":"z","cell":2,"phase":"in_service"}`, n, m))
	}
	text := strings.NewReplacer(append(replacements, "127.0.0.1:0", addr, "127.0.0.1:1", discovery, `"members":[]`,
		`"members":[`+strings.Join(entries, ",")+`]`, `"sockets":256`, fmt.Sprintf(`"sockets":%d`, sockets))...).Replace(platformConfig)
	t.Setenv("PROXY_CONFIG", writeFile(t, filepath.Join(t.TempDir(), "config.json"), text))
	config, err := Load(os.Getenv("PROXY_CONFIG"))
	if err != nil {
		t.Fatal(err)
	}
	signals, ended = make(chan os.Signal, 2), make(chan error, 1)
	runUntilCleanup(t, config, l, signals, ended)
	return addr, signals, ended
}

// runUntilCleanup runs a router, and at cleanup makes it drain and stop before the test's listener and members are closed. It waits for
// the end, since a router that is still draining would reach failpoints set by the next test. ended is closed after the result of Run.
func runUntilCleanup(t *testing.T, config *Config, listener net.Listener, signals chan os.Signal, ended chan error) {
	t.Helper()
	go func() {
		ended <- Run(config, listener, signals)
		close(ended)
	}()
	t.Cleanup(func() {
		select {
		case signals <- os.Interrupt:
		case err := <-ended: // the test has stopped the router
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

// startPooledRouter starts a router with a pool in front of a cluster of fake servers. Both are stopped at cleanup.
func startPooledRouter(t *testing.T, members int, p lab.Pool, configure func(*pgserver.Server)) (string, *lab.Cluster) {
	t.Helper()
	return startDefectivePooledRouter(t, members, p, session.SeededDefects{}, configure)
}

// startDefectivePooledRouter is like startPooledRouter, with seeded defects in the router's sessions for a test to detect.
func startDefectivePooledRouter(t *testing.T, members int, p lab.Pool, defects session.SeededDefects, configure func(*pgserver.Server)) (string, *lab.Cluster) {
	t.Helper()
	return startAdjustedPooledRouter(t, members, p, func(config *Config) {
		for n := range config.pools {
			config.pools[n].Policy.SeededDefects = defects
		}
	}, configure)
}

// startAdjustedPooledRouter is like startPooledRouter, with a configuration that adjust has changed.
func startAdjustedPooledRouter(t *testing.T, members int, p lab.Pool, adjust func(*Config), configure func(*pgserver.Server)) (string, *lab.Cluster) {
	t.Helper()
	addr, cluster, signals, ended := runPooledRouter(t, members, p, adjust, configure)
	t.Cleanup(func() {
		signals <- os.Interrupt
		if err := <-ended; err != nil {
			t.Error(err)
		}
		cluster.Close()
	})
	return addr, cluster
}

// startDrainablePool is like startPooledRouter, but the test itself stops the router and the cluster.
func startDrainablePool(t *testing.T, members int, p lab.Pool, configure func(*pgserver.Server)) (string, *lab.Cluster, chan os.Signal, chan error) {
	t.Helper()
	return runPooledRouter(t, members, p, func(*Config) {}, configure)
}

func runPooledRouter(t *testing.T, members int, p lab.Pool, adjust func(*Config), configure func(*pgserver.Server)) (string, *lab.Cluster, chan os.Signal, chan error) {
	t.Helper()
	c, err := lab.StartCluster(members, 0, configure)
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
	config, err := DecodeTOML([]byte(c.Configuration(l.Addr().String(), p)))
	if err != nil {
		t.Fatal(err)
	}
	adjust(config)
	signals, ended := make(chan os.Signal, 1), make(chan error, 1)
	go func() { ended <- Run(config, l, signals) }()
	return l.Addr().String(), c, signals, ended
}

// newPrimary starts a primary that answers a statement with the statement's last word.
func newPrimary(t *testing.T) *fakes.Member { return newMemberWithRole(t, 1) }

// newMemberWithRole starts a member that answers a statement with the statement's last word, and health checks with a role: 1 for the
// primary.
func newMemberWithRole(t *testing.T, x1 int) *fakes.Member {
	return fakes.NewMember(t, nil, func(sql string) *fakes.Reply {
		switch {
		case sql == "SHOW vitals":
			return &fakes.Reply{Bytes: pg.AppendReadyIdle(fakes.Rows(fmt.Sprintf("x0=%d,x1=%d", time.Now().Unix(), x1)))}
		case strings.Contains(sql, "hang"):
			return nil
		case strings.Contains(sql, "error"):
			return fakes.ErrorReply("XX000")
		case strings.Contains(sql, "wrong"):
			return fakes.ErrorReply("42601")
		}
		return fakes.RowReply(sql[strings.LastIndex(sql, " ")+1:], "source", "1")
	})
}

// readStatement returns an idempotent read in the platform's statement format.
func readStatement(id, expression string) string {
	return fmt.Sprintf("/* id=%s,c=look,t=n,d=2000,cluster=2 */ SELECT %s", id, expression)
}

// writeStatement returns a non-idempotent write in the platform's statement format.
func writeStatement(id, values string) string {
	return fmt.Sprintf("/* id=%s,c=put,t=n,d=400,cluster=2 */ INSERT %s", id, values)
}

// insertSQL returns a statement that inserts a row and returns its value.
func insertSQL(handle, blob string) string {
	return fmt.Sprintf("INSERT INTO rows (handle, blob) VALUES ('%s', '%s') RETURNING blob", handle, blob)
}

// queryMessage returns an encoded Query message.
func queryMessage(sql string) string { return string(pg.AppendQuery(nil, sql)) }

// readAnswers reads count responses, and returns them with the time from since to the last one.
func readAnswers(c *fakes.Client, count int, since time.Time) (string, time.Duration) {
	var answers []string
	for range count {
		answers = append(answers, c.ReadResponse())
	}
	return strings.Join(answers, "; "), time.Since(since)
}

// askAll sends simple queries one by one and joins the responses.
func askAll(c *fakes.Client, sql ...string) string {
	var answers []string
	for _, q := range sql {
		c.SendQuery(q)
		answers = append(answers, c.ReadResponse())
	}
	return strings.Join(answers, "; ")
}

// askOnce sends one query on a session of its own.
func askOnce(t *testing.T, addr, sql string) string {
	t.Helper()
	c := fakes.NewClient(t, addr, true)
	defer closeSocket(c)
	return askAll(c, sql)
}

// openSessions opens client sessions that send one request each and stay open.
func openSessions(t *testing.T, addr string, count int) (clients []*fakes.Client) {
	t.Helper()
	for n := range count {
		c := fakes.NewClient(t, addr, true)
		c.SendQuery(readStatement(fmt.Sprint(n), "x"))
		if got := c.ReadResponse(); got != "x ok ready" {
			t.Fatalf("client %d: %q", n, got)
		}
		clients = append(clients, c)
	}
	return clients
}

// connectionURL returns the connection URL of a router for database drivers.
func connectionURL(addr string) string { return "postgres://api@" + addr + "/ledger?sslmode=disable" }

// errorCode returns the SQLSTATE of an error, or its text if it has none.
func errorCode(err error) string {
	var e *pgconn.PgError
	if errors.As(err, &e) {
		return e.Code
	}
	return fmt.Sprint(err)
}

// statementsSeen returns the statements that a member has received.
func statementsSeen(m *fakes.Member) []string {
	_, statements := m.Received()
	return statements
}
