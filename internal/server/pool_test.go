package server

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgxpool"

	"wayloft/internal/fakes"
	"wayloft/internal/lab"
	"wayloft/internal/pg"
)

// The pgx driver in its default mode works through the router: queries, transactions, batches, COPY, cancel requests and settings.
func TestPool_PgxDriver(t *testing.T) {
	addr, cluster := startPooledRouter(t, 3, lab.Pool{PerMember: 4}, nil)
	ctx, stop := context.WithTimeout(context.Background(), time.Minute)
	defer stop()
	db, err := pgxpool.New(ctx, connectionURL(addr))
	if err != nil {
		t.Fatal(err)
	}
	defer db.Close()
	if err := db.Ping(ctx); err != nil {
		t.Fatal("ping:", err)
	}
	checkDriverQueries(ctx, t, db)
	checkDriverTransactions(ctx, t, db)
	if reads := cluster.Servers[1].Counts().Accepted + cluster.Servers[2].Counts().Accepted; reads == 0 {
		t.Error("no replica was used")
	}
	checkDriverBulk(ctx, t, db)
	checkDriverErrors(ctx, t, db)
	checkDriverSettings(ctx, t, db)
}

func checkDriverQueries(ctx context.Context, t *testing.T, db *pgxpool.Pool) {
	t.Helper()
	var got string
	for n := range 20 {
		handle, blob := fmt.Sprint("d", n), fmt.Sprint("blob ", n)
		if err := db.QueryRow(ctx, "INSERT INTO rows (handle, blob) VALUES ($1, $2) RETURNING blob", handle, blob).Scan(&got); err != nil || got != blob {
			t.Fatalf("insert: %q, %v", got, err)
		}
		if err := db.QueryRow(ctx, "SELECT blob FROM rows WHERE handle = $1", handle).Scan(&got); err != nil || got != blob {
			t.Fatalf("select: %q, %v", got, err)
		}
	}
	if _, err := db.Exec(ctx, "INSERT INTO rows (handle, blob) VALUES ('lit', 'o''k') RETURNING blob"); err != nil {
		t.Fatal("literals:", err)
	}
}

func checkDriverTransactions(ctx context.Context, t *testing.T, db *pgxpool.Pool) {
	t.Helper()
	var got string
	tx, err := db.BeginTx(ctx, pgx.TxOptions{})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := tx.Exec(ctx, "INSERT INTO rows (handle, blob) VALUES ($1, $2) RETURNING blob", "tx", "1"); err != nil {
		t.Fatal(err)
	}
	if err := tx.QueryRow(ctx, "SELECT blob FROM rows WHERE handle = $1", "tx").Scan(&got); err != nil || got != "1" {
		t.Fatalf("own write: %q, %v", got, err)
	}
	if err := tx.Rollback(ctx); err != nil {
		t.Fatal(err)
	}
	if err := db.QueryRow(ctx, "SELECT blob FROM rows WHERE handle = $1", "tx").Scan(&got); !errors.Is(err, pgx.ErrNoRows) {
		t.Fatalf("rolled back: %q, %v", got, err)
	}
	if err := pgx.BeginTxFunc(ctx, db, pgx.TxOptions{AccessMode: pgx.ReadOnly}, func(tx pgx.Tx) error {
		return tx.QueryRow(ctx, "SELECT blob FROM rows WHERE handle = $1", "h1").Scan(&got)
	}); err != nil || got != "v1" {
		t.Fatalf("read only: %q, %v", got, err)
	}
}

// checkDriverBulk sends a batch and copies rows with COPY FROM.
func checkDriverBulk(ctx context.Context, t *testing.T, db *pgxpool.Pool) {
	t.Helper()
	b := &pgx.Batch{}
	for n := range 50 {
		b.Queue("INSERT INTO rows (handle, blob) VALUES ($1, $2) RETURNING blob", fmt.Sprint("b", n), "x")
	}
	if err := db.SendBatch(ctx, b).Close(); err != nil {
		t.Fatal("batch:", err)
	}
	count, err := db.CopyFrom(ctx, pgx.Identifier{"rows"}, []string{"handle", "blob"}, pgx.CopyFromRows([][]any{{"c1", "one"}, {"c2", "two"}}))
	if err != nil || count != 2 {
		t.Fatalf("copy: %d, %v", count, err)
	}
	var got string
	if err := db.QueryRow(ctx, "SELECT blob FROM rows WHERE handle = $1", "c2").Scan(&got); err != nil || got != "two" {
		t.Fatalf("copied: %q, %v", got, err)
	}
}

// checkDriverErrors cancels a query by its context, and sends one with a syntax error.
func checkDriverErrors(ctx context.Context, t *testing.T, db *pgxpool.Pool) {
	t.Helper()
	short, end := context.WithTimeout(ctx, 50*time.Millisecond)
	if _, err := db.Exec(short, "SELECT pg_sleep(20)"); err == nil {
		t.Error("the end of the context did not cancel the query")
	}
	end()
	if _, err := db.Exec(ctx, "SELEKT"); errorCode(err) != "42601" {
		t.Errorf("syntax error: %v", err)
	}
}

// checkDriverSettings checks that a setting stays on the driver's connection that set it.
func checkDriverSettings(ctx context.Context, t *testing.T, db *pgxpool.Pool) {
	t.Helper()
	conn, err := db.Acquire(ctx)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Release()
	if _, err := conn.Exec(ctx, "SET application_name = 'shop'"); err != nil {
		t.Fatal(err)
	}
	var got string
	if err := conn.QueryRow(ctx, "SHOW application_name").Scan(&got); err != nil || got != "shop" {
		t.Fatalf("setting: %q, %v", got, err)
	}
	var other string
	if err := db.QueryRow(ctx, "SHOW application_name").Scan(&other); err != nil || other != "" {
		t.Errorf("setting on another connection: %q, %v", other, err)
	}
}

// A pool's client sends simple queries: settings, transactions and errors.
func TestPool_SimpleQueries(t *testing.T) {
	addr, cluster := startPooledRouter(t, 1, lab.Pool{PerMember: 1, ExtraKeys: "pins = false\n"}, nil)
	for n, c := range []struct{ queries, want string }{
		{"", "empty ready"},
		{"SET a.x = '1'|SHOW a.x", "ok ready; 1 ok ready"},
		{"SHOW a.x", " ok ready"}, // set by the previous session on the same member connection
		{"BEGIN|SET a.x = '1'|ROLLBACK|SHOW a.x", "ok ready; ok ready; ok ready;  ok ready"},
		{"BEGIN|SET a.x = '1'|COMMIT|SHOW a.x", "ok ready; ok ready; ok ready; 1 ok ready"},
		{"BEGIN|SET LOCAL a.x = '1'|SHOW a.x|COMMIT|SHOW a.x", "ok ready; ok ready; 1 ok ready; ok ready;  ok ready"},
		{"SET a.x = '1'|BEGIN|SAVEPOINT s|SET a.x = '2'|ROLLBACK TO s|SHOW a.x|COMMIT|SHOW a.x",
			"ok ready; ok ready; ok ready; ok ready; ok ready; 1 ok ready; ok ready; 1 ok ready"},
		{"SET a.x = '1'; SET a.y = '2'; SELEKT|SHOW a.x", "ok ok 42601 ready;  ok ready"},
		{"SET a.x = '1'|RESET a.x|SHOW a.x", "ok ready; ok ready;  ok ready"},
		{"SET a.x = '1'|RESET ALL|SHOW a.x", "ok ready; ok ready;  ok ready"},
		{"SET a.x = '1'|DISCARD ALL|SHOW a.x", "ok ready; ok ready;  ok ready"},
		{"SET no_such = 1|SELECT 1", "42704 ready; 1 ok ready"},
		{"SET SESSION CHARACTERISTICS AS TRANSACTION|SELECT 1", "42601 ready; 1 ok ready"}, // half a command
		{"BEGIN|SELEKT|SELECT 1|COMMIT|SELECT 1", "ok ready; 42601 ready; 25P02 ready; ok ready; 1 ok ready"},
		{"BEGIN|COMMIT", "ok ready; ok ready"},
		{"BEGIN|SET TRANSACTION READ ONLY|INSERT INTO rows (handle, blob) VALUES ('a', 'b')|ROLLBACK", "ok ready; ok ready; 25006 ready; ok ready"},
		{"LISTEN a", "0A000 ready"},
		{"SELECT pg_advisory_lock(1)|SELECT 1", "0A000 ready; 1 ok ready"},
		{"BEGIN|SELECT 1|LISTEN a|SELECT 1|ROLLBACK|SELECT 1", "ok ready; 1 ok ready; 0A000 ready; 25P02 ready; ok ready; 1 ok ready"},
		{"SET wayloft.txn_type = 'none'|SELECT 1|SET wayloft.txn_type = 'read'|SELECT 1|SHOW wayloft.txn_type",
			"ok ready; 22023 ready; ok ready; 1 ok ready; read ok ready"},
		{"/* id=a1,c=read,d=2000 */ SELECT 1", "1 ok ready"},
		{"SELECT 1; SELECT 1", "1 ok 1 ok ready"},
		{"PREPARE p AS SELECT 1", "0A000 ready"},
		{"COPY rows TO STDOUT", "ok ready"},
	} {
		client := fakes.NewClient(t, addr, true)
		var texts []string
		if texts = strings.Split(c.queries, "|"); c.queries == "" {
			texts = []string{""}
		}
		if got := askAll(client, texts...); got != c.want {
			t.Errorf("%d: %s: got %q, want %q", n, c.queries, got, c.want)
		}
		client.Send(string(pg.AppendEmptyMessage(nil, 'X')))
		closeSocket(client)
	}
	if n := cluster.Servers[0].Counts(); n.Peak > 2 { // one more is for health checks
		t.Errorf("%d connections", n.Peak)
	}
}

// A pool's client sends pipelines in the extended query protocol: statement names, errors and Flush.
func TestPool_ExtendedPipelines(t *testing.T) {
	addr, cluster := startPooledRouter(t, 1, lab.Pool{PerMember: 1}, nil)
	parse := func(name, sql string) string { return string(pg.AppendParse(nil, name, []byte(sql+"\x00\x00\x00"))) }
	bindExecute := func(name string) string {
		return string(pg.AppendExecute(pg.AppendBind(nil, "", name, []byte{0, 0, 0, 0, 0, 0}), ""))
	}
	describe := func(name string) string { return string(pg.AppendDescribe(nil, 'S', name)) }
	closeStatement := func(name string) string { return string(pg.AppendClose(nil, 'S', name)) }
	sync, flush := string(pg.AppendSync(nil)), string(pg.AppendEmptyMessage(nil, 'H'))
	one, two := fakes.NewClient(t, addr, true), fakes.NewClient(t, addr, true)
	for n, c := range []struct {
		client     *fakes.Client
		send, want string
	}{
		{one, parse("s", "SELECT 1") + sync, "ready"},
		{two, parse("s", "SELECT note('two')") + sync, "ready"}, // the same name with another text
		{one, bindExecute("s") + sync, "1 ok ready"},
		{two, bindExecute("s") + sync, "two ok ready"},
		{one, parse("s", "SELECT 1") + bindExecute("s") + sync, "42P05 ready"},
		{one, bindExecute("t") + sync, "26000 ready"},
		{one, bindExecute("s") + bindExecute("nope") + bindExecute("s") + sync, "1 ok 26000 ready"},
		{one, parse("u", "SELECT 1") + bindExecute("nope") + sync + bindExecute("u") + sync, "26000 ready"}, // it was prepared despite the error
		{one, "", "1 ok ready"},
		{one, closeStatement("u") + sync + bindExecute("u") + sync, "ready"},
		{one, "", "26000 ready"},
		{one, parse("", "SELECT 1") + flush + bindExecute("") + sync, "1 ok ready"},
		{one, parse("", "SELEKT") + bindExecute("") + flush, ""},
		{one, sync, "42601 ready"},
		{one, describe("s") + bindExecute("s") + flush + sync, "1 ok ready"},
		{one, sync, "ready"},
		{one, closeStatement("s") + sync, "ready"},
		{one, bindExecute("s") + sync, "26000 ready"},
		{one, parse("b", "BEGIN") + bindExecute("b") + parse("c", "SELECT 1") + bindExecute("c") + sync + bindExecute("c") + sync, "ok 1 ok ready"},
		{one, parse("r", "ROLLBACK") + bindExecute("r") + sync, "1 ok ready"},
		{one, "", "ok ready"},
	} {
		one := c.client
		if one.Send(c.send); c.want == "" {
			continue
		}
		if got := one.ReadResponse(); got != c.want {
			t.Fatalf("%d: got %q, want %q", n, got, c.want)
		}
	}
	if n := cluster.Servers[0].Counts(); n.Parses > 12 {
		t.Errorf("%d statements were prepared", n.Parses)
	}
}

// Session state that can't move to another connection pins the session to its connection, and is cleared for the next client. The end of
// the connection ends the session.
func TestPool_StickyConnections(t *testing.T) {
	addr, cluster := startPooledRouter(t, 1, lab.Pool{PerMember: 1}, nil)
	c := fakes.NewClient(t, addr, true)
	if got := askAll(c, "PREPARE mine AS SELECT note('mine')", "EXECUTE mine", "SET m.x = '1'"); got != "ok ready; mine ok ready; ok ready" {
		t.Fatalf("got %q", got)
	}
	other := fakes.NewClient(t, addr, true)
	other.SendQuery("SHOW m.x") // waits for the only connection
	if got := askAll(c, "EXECUTE mine", "DISCARD ALL", "EXECUTE mine"); got != "mine ok ready; ok ready; 26000 ready" {
		t.Errorf("got %q", got)
	}
	if got := other.ReadResponse(); got != " ok ready" {
		t.Errorf("next client: %q", got)
	}
	askAll(c, "PREPARE mine AS SELECT 1")
	c.Send(string(pg.AppendEmptyMessage(nil, 'X')))
	closeSocket(c)
	if got := askAll(other, "EXECUTE mine", "SELECT 1"); got != "26000 ready; 1 ok ready" {
		t.Errorf("after the pinned client disconnected: %q", got)
	}
	askAll(other, "LISTEN a")
	accepted := cluster.Servers[0].Counts().Accepted
	if accepted > 3 {
		t.Errorf("%d connections", accepted)
	}
	cluster.Servers[0].CloseConnections()
	if got := other.ReadResponse(); got != "57P01 closed" {
		t.Errorf("after its member connection ended: %q", got)
	}
}

// In session mode a client keeps one connection, and leaves no state for the next client.
func TestPool_SessionMode(t *testing.T) {
	addr, cluster := startPooledRouter(t, 1, lab.Pool{Mode: "session", PerMember: 2}, nil)
	one, two := fakes.NewClient(t, addr, true), fakes.NewClient(t, addr, true)
	a, b := askAll(one, "SELECT pg_backend_pid()"), askAll(two, "SELECT pg_backend_pid()")
	for range 5 {
		if x, y := askAll(one, "SELECT pg_backend_pid()"), askAll(two, "SELECT pg_backend_pid()"); a == b || x != a || y != b {
			t.Errorf("%q, %q; then %q, %q", a, b, x, y)
		}
	}
	askAll(one, "SET m.x = '1'", "PREPARE p AS SELECT 1")
	three := fakes.NewClient(t, addr, true)
	three.SendQuery("SHOW m.x")
	closeSocket(one)
	if got := three.ReadResponse(); got != " ok ready" {
		t.Errorf("next client: %q", got)
	}
	if got := askAll(three, "EXECUTE p", "SELECT pg_backend_pid()"); got != "26000 ready; "+a {
		t.Errorf("next client: %q", got)
	}
	if n := cluster.Servers[0].Counts(); n.Peak > 3 {
		t.Errorf("%d connections", n.Peak)
	}
}

// A protocol error ends only its own session, with the right SQLSTATE.
func TestPool_ProtocolErrors(t *testing.T) {
	addr, _ := startPooledRouter(t, 1, lab.Pool{PerMember: 1}, nil)
	steady := fakes.NewClient(t, addr, true)
	startup := string(pg.AppendStartup(nil, "api", "ledger"))
	for _, c := range []struct{ name, send, want string }{
		{"another database", string(pg.AppendStartup(nil, "api", "none")), "3D000 closed"},
		{"replication", string(pg.AppendStartup(nil, "api", "ledger", pg.Setting{Name: "replication", Value: "database"})), "0A000 closed"},
		{"options", string(pg.AppendStartup(nil, "api", "ledger", pg.Setting{Name: "options", Value: "-x 1"})), "22023 closed"},
		{"an unknown message", startup + "?\x00\x00\x00\x04", "ready, 08P01 closed"},
		{"an incomplete Parse", startup + "P\x00\x00\x00\x05x", "ready, 08P01 closed"},
		{"a Bind with wrong lengths", startup + "B\x00\x00\x00\x0e\x00\x00\x00\x00\x00\x01\x7f\xff\xff\xff", "ready, 08P01 closed"},
		{"a length too large", startup + "P\x7f\xff\xff\xff", "ready, 54000 closed"},
		{"a function call", startup + "F\x00\x00\x00\x04" + string(pg.AppendQuery(nil, "SELECT 1")), "ready, 0A000 ready, 1 ok ready"},
		{"COPY data out of place", startup + "d\x00\x00\x00\x05x" + string(pg.AppendQuery(nil, "SELECT 1")), "ready, 1 ok ready"},
		{"terminate", startup + "X\x00\x00\x00\x04", "ready, closed"},
	} {
		t.Run(c.name, func(t *testing.T) {
			client := fakes.NewClient(t, addr, false)
			client.Send(c.send)
			for _, want := range strings.Split(c.want, ", ") {
				if got := client.ReadResponse(); got != want {
					t.Fatalf("got %q, want %q", got, want)
				}
			}
			if got := askAll(steady, "SELECT 1"); got != "1 ok ready" {
				t.Errorf("another session: %q", got)
			}
		})
	}
}
