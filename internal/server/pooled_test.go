package server

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgxpool"

	"wayloft/internal/decide/session"
	"wayloft/internal/fakes"
	"wayloft/internal/fakes/pgserver"
	"wayloft/internal/lab"
	"wayloft/internal/pg"
)

// pooledRouter serves before a fake cluster.
func pooledRouter(t *testing.T, members int, p lab.Pool, set func(*pgserver.Server)) (string, *lab.Cluster) {
	t.Helper()
	return defectivePooledRouter(t, members, p, session.SeededDefects{}, set)
}

// defectivePooledRouter starts a router with defects in its sessions, which a test is to find.
func defectivePooledRouter(t *testing.T, members int, p lab.Pool, defects session.SeededDefects, set func(*pgserver.Server)) (string, *lab.Cluster) {
	t.Helper()
	addr, cluster, signals, ended := startPooledRouter(t, members, p, defects, set)
	t.Cleanup(func() {
		signals <- os.Interrupt
		<-ended
		cluster.Close()
	})
	return addr, cluster
}

// drainablePool does so, and gives what has it drain and end.
func drainablePool(t *testing.T, members int, p lab.Pool, set func(*pgserver.Server)) (string, *lab.Cluster, chan os.Signal, chan error) {
	t.Helper()
	return startPooledRouter(t, members, p, session.SeededDefects{}, set)
}

func startPooledRouter(t *testing.T, members int, p lab.Pool, defects session.SeededDefects, set func(*pgserver.Server)) (string, *lab.Cluster, chan os.Signal, chan error) {
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

func url(addr string) string { return "postgres://api@" + addr + "/ledger?sslmode=disable" }

func code(err error) string {
	var e *pgconn.PgError
	if errors.As(err, &e) {
		return e.Code
	}
	return fmt.Sprint(err)
}

// A current Go driver in its default mode uses the router as its database: pool, transactions, batches, COPY, cancels.
func TestDriver(t *testing.T) {
	addr, cluster := pooledRouter(t, 3, lab.Pool{PerMember: 4}, nil)
	ctx, stop := context.WithTimeout(context.Background(), time.Minute)
	defer stop()
	db, err := pgxpool.New(ctx, url(addr))
	if err != nil {
		t.Fatal(err)
	}
	defer db.Close()
	if err := db.Ping(ctx); err != nil {
		t.Fatal("ping:", err)
	}
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
	if reads := cluster.Servers[1].Counts().Accepted + cluster.Servers[2].Counts().Accepted; reads == 0 {
		t.Error("no replica was asked")
	}
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
	if err := db.QueryRow(ctx, "SELECT blob FROM rows WHERE handle = $1", "c2").Scan(&got); err != nil || got != "two" {
		t.Fatalf("copied: %q, %v", got, err)
	}
	short, end := context.WithTimeout(ctx, 50*time.Millisecond)
	if _, err := db.Exec(short, "SELECT pg_sleep(20)"); err == nil {
		t.Error("a context's end did not end its query")
	}
	end()
	if _, err := db.Exec(ctx, "SELEKT"); code(err) != "42601" {
		t.Errorf("a mistake: %v", err)
	}
	conn, err := db.Acquire(ctx)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Release()
	if _, err := conn.Exec(ctx, "SET application_name = 'shop'"); err != nil {
		t.Fatal(err)
	}
	if err := conn.QueryRow(ctx, "SHOW application_name").Scan(&got); err != nil || got != "shop" {
		t.Fatalf("setting: %q, %v", got, err)
	}
	var other string
	if err := db.QueryRow(ctx, "SHOW application_name").Scan(&other); err != nil || other != "" {
		t.Errorf("another's setting: %q, %v", other, err)
	}
}

// told asks simple queries and puts the answers together.
func told(c *fakes.Client, sql ...string) string {
	var out []string
	for _, q := range sql {
		c.Ask(q)
		out = append(out, c.Answer())
	}
	return strings.Join(out, "; ")
}

// What a session says and what it hears, statement by statement.
func TestPooledSessions(t *testing.T) {
	addr, cluster := pooledRouter(t, 1, lab.Pool{PerMember: 1, ExtraKeys: "pins = false\n"}, nil)
	for n, c := range []struct{ ask, want string }{
		{"", "empty ready"},
		{"SET a.x = '1'|SHOW a.x", "ok ready; 1 ok ready"},
		{"SHOW a.x", " ok ready"}, // of the one before, on the same connection
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
		one := fakes.NewClient(t, addr, true)
		var asks []string
		if asks = strings.Split(c.ask, "|"); c.ask == "" {
			asks = []string{""}
		}
		if got := told(one, asks...); got != c.want {
			t.Errorf("%d: %s: got %q, want %q", n, c.ask, got, c.want)
		}
		one.Send(string(pg.AppendBodyless(nil, 'X')))
		one.Close()
	}
	if n := cluster.Servers[0].Counts(); n.Peak > 2 { // and one for checks
		t.Errorf("%d connections", n.Peak)
	}
}

// The extended protocol, message by message, in one pipeline each.
func TestPipelines(t *testing.T) {
	addr, cluster := pooledRouter(t, 1, lab.Pool{PerMember: 1}, nil)
	parse := func(name, sql string) string { return string(pg.AppendParse(nil, name, []byte(sql+"\x00\x00\x00"))) }
	bind := func(name string) string {
		return string(pg.AppendExecute(pg.AppendBind(nil, "", name, []byte{0, 0, 0, 0, 0, 0}), ""))
	}
	about := func(name string) string { return string(pg.AppendDescribe(nil, 'S', name)) }
	closes := func(name string) string { return string(pg.AppendClose(nil, 'S', name)) }
	sync, flush := string(pg.AppendSync(nil)), string(pg.AppendBodyless(nil, 'H'))
	one, two := fakes.NewClient(t, addr, true), fakes.NewClient(t, addr, true)
	for n, c := range []struct {
		who        *fakes.Client
		send, want string
	}{
		{one, parse("s", "SELECT 1") + sync, "ready"},
		{two, parse("s", "SELECT note('two')") + sync, "ready"}, // one name, another text
		{one, bind("s") + sync, "1 ok ready"},
		{two, bind("s") + sync, "two ok ready"},
		{one, parse("s", "SELECT 1") + bind("s") + sync, "42P05 ready"},
		{one, bind("t") + sync, "26000 ready"},
		{one, bind("s") + bind("nope") + bind("s") + sync, "1 ok 26000 ready"},
		{one, parse("u", "SELECT 1") + bind("nope") + sync + bind("u") + sync, "26000 ready"}, // it was prepared all the same
		{one, "", "1 ok ready"},
		{one, closes("u") + sync + bind("u") + sync, "ready"},
		{one, "", "26000 ready"},
		{one, parse("", "SELECT 1") + flush + bind("") + sync, "1 ok ready"},
		{one, parse("", "SELEKT") + bind("") + flush, ""},
		{one, sync, "42601 ready"},
		{one, about("s") + bind("s") + flush + sync, "1 ok ready"},
		{one, sync, "ready"},
		{one, closes("s") + sync, "ready"},
		{one, bind("s") + sync, "26000 ready"},
		{one, parse("b", "BEGIN") + bind("b") + parse("c", "SELECT 1") + bind("c") + sync + bind("c") + sync, "ok 1 ok ready"},
		{one, parse("r", "ROLLBACK") + bind("r") + sync, "1 ok ready"},
		{one, "", "ok ready"},
	} {
		one := c.who
		if one.Send(c.send); c.want == "" {
			continue
		}
		if got := one.Answer(); got != c.want {
			t.Fatalf("%d: got %q, want %q", n, got, c.want)
		}
	}
	if n := cluster.Servers[0].Counts(); n.Parses > 12 {
		t.Errorf("%d statements were prepared", n.Parses)
	}
}
