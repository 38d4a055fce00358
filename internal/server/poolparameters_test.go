package server

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"wayloft/internal/lab"
)

// Guards against a client that is told the settings of another one: it would quote its strings, or read times, by what it was told. Of each
// parameter that members report, a client must always have been told the value that its own statements run with.
func TestPool_ReportedParametersAreTheClients(t *testing.T) {
	for _, c := range []struct{ name, options, statements, want string }{
		{"nothing set", "", "", "on UTC"},
		{"set at the start", "&timezone=Asia/Kolkata", "", "on Asia/Kolkata"},
		{"set later", "", "SET timezone TO 'Asia/Tokyo'", "on Asia/Tokyo"},
		{"reset by a member", "", "SET timezone TO 'Asia/Tokyo'|SELECT 1; RESET timezone", "on UTC"},
		{"reset by the router", "", "SET timezone TO 'Asia/Tokyo'|RESET timezone", "on UTC"},
		{"reset to that of the start", "&timezone=Asia/Kolkata", "SET timezone TO 'Asia/Tokyo'|RESET ALL", "on Asia/Kolkata"},
		{"DISCARD ALL", "", "SET standard_conforming_strings TO off|DISCARD ALL", "on UTC"},
		{"rolled back", "", "BEGIN|SET timezone TO 'Asia/Tokyo'|ROLLBACK", "on UTC"},
		{"for a transaction", "", "BEGIN|SET LOCAL timezone TO 'Asia/Tokyo'|COMMIT", "on UTC"},
	} {
		t.Run(c.name, func(t *testing.T) {
			addr, _ := startPooledRouter(t, 1, lab.Pool{PerMember: 1}, nil)
			first := connectDriver(t, connectionURL(addr)+"&timezone=America/Lima")
			execAll(t, first, "SET standard_conforming_strings TO off")
			client := connectDriver(t, connectionURL(addr)+c.options)
			if c.options == "" && reportedTo(client) != "on UTC" {
				t.Errorf("greeted with %q", reportedTo(client))
			}
			execAll(t, client, strings.Split(c.statements, "|")...)
			if got := reportedTo(client); got != c.want {
				t.Errorf("was told %q, want %q", got, c.want)
			}
			execAll(t, first, "SELECT 1") // on the same connection
			if got := reportedTo(first); got != "off America/Lima" {
				t.Errorf("the other client was told %q", got)
			}
			execAll(t, client, "SELECT 1")
			if got := reportedTo(client); got != c.want {
				t.Errorf("with a member, it was told %q, want %q", got, c.want)
			}
		})
	}
}

func connectDriver(t *testing.T, url string) *pgconn.PgConn {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	t.Cleanup(cancel)
	conn, err := pgconn.Connect(ctx, url)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close(ctx) })
	return conn
}

func execAll(t *testing.T, conn *pgconn.PgConn, statements ...string) {
	t.Helper()
	for _, sql := range statements {
		if _, err := conn.Exec(context.Background(), sql).ReadAll(); err != nil {
			t.Fatalf("%q: %v", sql, err)
		}
	}
}

// reportedTo returns what a client was last told of its strings and its time zone.
func reportedTo(conn *pgconn.PgConn) string {
	return conn.ParameterStatus("standard_conforming_strings") + " " + conn.ParameterStatus("TimeZone")
}
