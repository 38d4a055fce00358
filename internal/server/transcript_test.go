package server

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"wayloft/internal/fakes/recording"
	"wayloft/internal/lab"
	"wayloft/internal/pg"
)

// TestTranscript_Pooled compares what clients of a pool receive with the recording.
func TestTranscript_Pooled(t *testing.T) {
	addr, _ := startPooledRouter(t, 1, lab.Pool{PerMember: 2, ExtraKeys: "pins = true\nstatements = 4\nsettings = \"300B\"\n"}, nil)
	var out strings.Builder
	startup := pg.AppendStartup(nil, "api", "ledger", pg.Setting{Name: "application_name", Value: "guard"})
	client := func(name string) *transcriptClient { return newTranscriptClient(t, &out, addr, name, startup) }

	c := client("simple queries")
	for _, sql := range []string{"", ";", "SELECT 1", "SELECT 1; SELECT 1", "SELEKT", "SET a.x = '1'", "SHOW a.x", "RESET a.x", "SHOW a.x", "BEGIN",
		"SELECT blob FROM rows WHERE handle = 'h1'", "SAVEPOINT s", "SELEKT", "SELECT 1", "ROLLBACK TO s", "SELECT 1", "COMMIT", "BEGIN READ ONLY", "ROLLBACK",
		"START TRANSACTION", "SET TRANSACTION READ ONLY", "INSERT INTO rows (handle, blob) VALUES ('a', 'b')", "ROLLBACK", "SET wayloft.txn_type = 'none'", "SELECT 1",
		"SET wayloft.txn_type = 'read'", "SHOW wayloft.txn_type", "DISCARD ALL", "/* id=a1,c=read,d=2000 */ SELECT 1", "SELECT pg_advisory_lock(1)",
		"SELECT 1", "DISCARD ALL", "SET long.x = '" + strings.Repeat("x", 400) + "'", "DEALLOCATE ALL", "DEALLOCATE none"} {
		c.send(transcriptQueries(sql), 1)
	}
	c.send(pg.AppendEmptyMessage(nil, 'X'), 1)

	c = client("pipelined queries")
	c.send(transcriptQueries("SELECT 1", "BEGIN", "SELECT blob FROM rows WHERE handle = 'h2'", "COMMIT", "SELEKT", "SELECT 1"), 6)

	c = client("extended queries")
	c.send(pg.AppendSync(pg.AppendDescribe(transcriptParse(nil, "s1", transcriptSelect), 'S', "s1")), 1)
	c.send(pg.AppendSync(pg.AppendExecute(transcriptBind(nil, "", "s1", "h3"), "")), 1)
	c.send(pg.AppendSync(pg.AppendExecute(pg.AppendDescribe(transcriptBind(nil, "p", "s1", "h4"), 'P', "p"), "p")), 1)
	c.send(pg.AppendSync(transcriptParse(nil, "s1", "SELECT 1")), 1)
	c.send(pg.AppendSync(transcriptBind(nil, "", "none", "")), 1)
	c.send(pg.AppendSync(pg.AppendExecute(nil, "none")), 1)
	c.send(pg.AppendSync(pg.AppendClose(nil, 'S', "s1")), 1)
	c.send(pg.AppendSync(nil), 1)
	c.send(pg.AppendSync(transcriptParse(nil, "bad", "SELEKT")), 1)
	var units []byte
	for _, value := range []string{"h5", "h6"} {
		units = transcriptParse(units, "", transcriptSelect)
		units = pg.AppendSync(pg.AppendExecute(transcriptBind(units, "", "", value), ""))
	}
	c.send(units, 2)
	for n := range 5 {
		c.send(pg.AppendSync(transcriptParse(nil, fmt.Sprint("n", n), transcriptSelect)), 1)
	}
	begin := transcriptBind(transcriptParse(nil, "", "BEGIN"), "", "", "")
	c.send(pg.AppendSync(pg.AppendExecute(begin, "")), 1)
	c.send(pg.AppendSync(transcriptParse(nil, "", "SELEKT")), 1)
	c.send(transcriptQueries("SELECT 1"), 1)
	c.send(transcriptQueries("ROLLBACK"), 1)

	c = client("copy")
	c.send(transcriptQueries("COPY rows TO STDOUT (FORMAT csv)"), 1)
	c.send(transcriptQueries("COPY rows FROM STDIN"), 1) // up to CopyInResponse
	c.send(pg.AppendEmptyMessage(pg.AppendCopyData(nil, "x\t1\ny\t2\n"), 'c'), 1)
	c.send(transcriptQueries("COPY rows FROM STDIN"), 1)
	c.send([]byte("f\x00\x00\x00\x09stop\x00"), 1)
	c.send(transcriptQueries("SELECT blob FROM rows WHERE handle = 'x'"), 1)

	c = client("cancel")
	c.send(transcriptQueries("BEGIN", "SELECT 1"), 2)
	fmt.Fprintf(&out, "> cancelled\n")
	if _, err := c.conn.Write(transcriptQueries("SELECT pg_sleep(20)")); err != nil {
		t.Fatal(err)
	}
	cancelTranscript(t, addr, c)
	c.send(transcriptQueries("ROLLBACK"), 1)

	for _, one := range []struct {
		name  string
		bytes []byte
	}{
		{"broken framing", []byte("Q\x00\x00\x00\x01")},
		{"unknown message type", []byte("~\x00\x00\x00\x04")},
		{"function call", []byte("F\x00\x00\x00\x04")},
		{"too long", []byte("Q\x7f\xff\xff\xff")},
	} {
		client(one.name).send(one.bytes, 1)
	}
	newTranscriptClient(t, &out, addr, "no such database", pg.AppendStartup(nil, "api", "none"))
	newTranscriptClient(t, &out, addr, "setting in the startup message", pg.AppendStartup(nil, "api", "ledger", pg.Setting{Name: "options", Value: "-c a.x=7"})).send(
		transcriptQueries("SHOW a.x"), 1)
	newTranscriptClient(t, &out, addr, "TLS", append([]byte{}, "\x00\x00\x00\x08\x04\xd2\x16\x2f"...))
	recording.CompareText(t, "transcript-pooled.txt", out.String())
}

// TestTranscript_Statements compares what clients that use the platform's statement format receive with the recording.
func TestTranscript_Statements(t *testing.T) {
	addr, _, _ := startRouter(t, "127.0.0.1:1", 256, newPrimary(t).Addr)
	var out strings.Builder
	startup := pg.AppendStartup(nil, "api", "ledger")
	client := func(name string) *transcriptClient { return newTranscriptClient(t, &out, addr, name, startup) }

	c := client("statements")
	for n, sql := range []string{"", ";", readStatement("a1", "x1"), writeStatement("a2", "x2"), readStatement("a3", "error"), readStatement("a4", "wrong"), "SELECT 1", "/* c=look */ SELECT 1",
		"/* id=a6,c=none,d=100 */ SELECT 1", "/* id=a7,c=look,d=100,cluster=2 */ SELECT x", "/* id=a7,c=look,d=100,cluster=2,r=1 */ SELECT x",
		"/* id=a8,c=look,d=x */ SELECT x", "/* id=a9,c=look,d=-1 */ SELECT x", "/* id=a9,c=look,d=100,after=x */ SELECT x", "/* id=a9"} {
		fmt.Fprintf(&out, "%d: ", n)
		c.send(transcriptQueries(sql), 1)
	}
	c.send(pg.AppendEmptyMessage(nil, 'X'), 1)

	c = client("pipelined")
	c.send(transcriptQueries(readStatement("b1", "x1"), writeStatement("b2", "x2"), "", readStatement("b3", "x3"), readStatement("b4", "wrong"), readStatement("b5", "x5")), 6)

	c = client("extended queries")
	c.send(pg.AppendSync(pg.AppendExecute(transcriptBind(transcriptParse(nil, "", "SELECT 1"), "", "", ""), "")), 1)
	c.send(transcriptQueries(readStatement("c1", "x")), 1)
	client("too many pipelined").send(append(transcriptQueries(readStatement("d0", "hang")), transcriptQueries(make([]string, 300)...)...), 302)
	for _, one := range []struct {
		name  string
		bytes []byte
	}{
		{"broken framing", []byte("Q\x00\x00\x00\x01")},
		{"unknown message type", []byte("~\x00\x00\x00\x04")},
		{"function call", []byte("F\x00\x00\x00\x04")},
		{"too long", []byte("Q\x7f\xff\xff\xff")},
		{"sync alone", pg.AppendSync(nil)},
		{"empty query", transcriptQueries("")},
	} {
		client(one.name).send(one.bytes, 1)
	}
	newTranscriptClient(t, &out, addr, "TLS", append([]byte{}, "\x00\x00\x00\x08\x04\xd2\x16\x2f"...))
	newTranscriptClient(t, &out, addr, "later minor version", []byte("\x00\x00\x00\x12\x00\x03\x00\x02user\x00api\x00\x00"))
	recording.CompareText(t, "transcript-statements.txt", out.String())
}

// TestTranscript_Drain compares what clients receive while the router drains with the recording.
func TestTranscript_Drain(t *testing.T) {
	addr, cluster, signals, ended := startDrainablePool(t, 1, lab.Pool{PerMember: 2}, nil)
	defer cluster.Close()
	var out strings.Builder
	startup := pg.AppendStartup(nil, "api", "ledger")
	idle := newTranscriptClient(t, &out, addr, "idle", startup)
	busy := newTranscriptClient(t, &out, addr, "in a transaction", startup)
	incomplete := newTranscriptClient(t, &out, addr, "in the middle of a message", startup)
	idle.send(transcriptQueries("SELECT 1"), 1)
	busy.send(transcriptQueries("BEGIN", "SELECT 1"), 2)
	incomplete.send([]byte("Q\x00\x00\x00\x10SEL"), 0)
	signals <- os.Interrupt
	idle.read(1)
	busy.send(transcriptQueries("COMMIT"), 1)
	busy.read(1)
	incomplete.read(1)
	if err := <-ended; err != nil {
		t.Error(err)
	}
	recording.CompareText(t, "transcript-drain.txt", out.String())
}
