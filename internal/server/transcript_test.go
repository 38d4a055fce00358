package server

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"wayloft/internal/fakes/recording"
	"wayloft/internal/lab"
	"wayloft/internal/pg"
)

// transcriptClient is a client whose bytes are written down as they come: a line a message, with its type and body.
type transcriptClient struct {
	t    *testing.T
	conn net.Conn
	out  *strings.Builder
	key  []byte // the body of its BackendKeyData
}

// newTranscriptClient connects and writes down what the client hears up to its first ReadyForQuery.
func newTranscriptClient(t *testing.T, out *strings.Builder, addr, name string, startup []byte) *transcriptClient {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	fmt.Fprintf(out, "\nclient: %s\n", name)
	c := &transcriptClient{t: t, conn: conn, out: out}
	c.send(startup, 1)
	return c
}

// send writes bytes and writes down what comes up to the given count of ReadyForQuery, or the end.
func (c *transcriptClient) send(b []byte, ready int) {
	c.t.Helper()
	fmt.Fprintf(c.out, "> %.200q\n", b)
	if _, err := c.conn.Write(b); err != nil {
		c.t.Fatal(err)
	}
	c.hear(ready)
}

func (c *transcriptClient) hear(ready int) {
	c.t.Helper()
	for ready > 0 {
		kind, body, err := c.message()
		if err != nil {
			fmt.Fprintf(c.out, "< end\n")
			return
		}
		switch kind {
		case 'K':
			c.key, body = body, []byte("KEY")
		case 'Z', 'G':
			ready--
		}
		fmt.Fprintf(c.out, "< %c %.400q\n", kind, body)
	}
}

func (c *transcriptClient) message() (kind byte, body []byte, err error) {
	if err := c.conn.SetReadDeadline(time.Now().Add(20 * time.Second)); err != nil {
		return 0, nil, err
	}
	var head [5]byte
	if _, err := io.ReadFull(c.conn, head[:]); err != nil {
		if errors.Is(err, os.ErrDeadlineExceeded) {
			c.t.Fatal("nothing came")
		}
		return 0, nil, err
	}
	body = make([]byte, int(head[1])<<24+int(head[2])<<16+int(head[3])<<8+int(head[4])-4)
	_, err = io.ReadFull(c.conn, body)
	return head[0], body, err
}

func transcriptQueries(queries ...string) (out []byte) {
	for _, sql := range queries {
		out = pg.AppendQuery(out, sql)
	}
	return out
}

func transcriptParse(out []byte, name, sql string) []byte {
	return pg.AppendParse(out, name, []byte(sql+"\x00\x00\x00"))
}

func transcriptBind(out []byte, portal, name, value string) []byte {
	tail := []byte{0, 0, 0, 0, 0, 0}
	if value != "" {
		tail = append([]byte{0, 0, 0, 1, 0, 0, 0, byte(len(value))}, value...)
		tail = append(tail, 0, 0)
	}
	return pg.AppendBind(out, portal, name, tail)
}

const transcriptSelect = "SELECT blob FROM rows WHERE handle = $1"

// TestTranscript_Pooled has what a client of a pool hears be the recorded bytes.
func TestTranscript_Pooled(t *testing.T) {
	addr, _ := pooledRouter(t, 1, lab.Pool{PerMember: 2, ExtraKeys: "pins = true\nstatements = 4\nsettings = \"300B\"\n"}, nil)
	var out strings.Builder
	startup := pg.AppendStartup(nil, "api", "ledger", [2]string{"application_name", "guard"})
	client := func(name string) *transcriptClient { return newTranscriptClient(t, &out, addr, name, startup) }

	c := client("simple queries")
	for _, sql := range []string{"", ";", "SELECT 1", "SELECT 1; SELECT 1", "SELEKT", "SET a.x = '1'", "SHOW a.x", "RESET a.x", "SHOW a.x", "BEGIN",
		"SELECT blob FROM rows WHERE handle = 'h1'", "SAVEPOINT s", "SELEKT", "SELECT 1", "ROLLBACK TO s", "SELECT 1", "COMMIT", "BEGIN READ ONLY", "ROLLBACK",
		"START TRANSACTION", "SET TRANSACTION READ ONLY", "INSERT INTO rows (handle, blob) VALUES ('a', 'b')", "ROLLBACK", "SET wayloft.txn_type = 'none'", "SELECT 1",
		"SET wayloft.txn_type = 'read'", "SHOW wayloft.txn_type", "DISCARD ALL", "/* id=a1,c=read,d=2000 */ SELECT 1", "SELECT pg_advisory_lock(1)",
		"SELECT 1", "DISCARD ALL", "SET long.x = '" + strings.Repeat("x", 400) + "'", "DEALLOCATE ALL", "DEALLOCATE none"} {
		c.send(transcriptQueries(sql), 1)
	}
	c.send(pg.AppendBodyless(nil, 'X'), 1)

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
	c.send(pg.AppendBodyless(pg.AppendCopyData(nil, "x\t1\ny\t2\n"), 'c'), 1)
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
		{"message type that is none", []byte("~\x00\x00\x00\x04")},
		{"function call", []byte("F\x00\x00\x00\x04")},
		{"too long", []byte("Q\x7f\xff\xff\xff")},
	} {
		client(one.name).send(one.bytes, 1)
	}
	newTranscriptClient(t, &out, addr, "no such database", pg.AppendStartup(nil, "api", "none"))
	newTranscriptClient(t, &out, addr, "setting of the startup", pg.AppendStartup(nil, "api", "ledger", [2]string{"options", "-c a.x=7"})).send(
		transcriptQueries("SHOW a.x"), 1)
	newTranscriptClient(t, &out, addr, "TLS", append([]byte{}, "\x00\x00\x00\x08\x04\xd2\x16\x2f"...))
	recording.CompareText(t, "transcript-pooled.txt", out.String())
}

// cancelTranscript cancels what a client runs, again until it has reached the member, and writes down what the client hears.
func cancelTranscript(t *testing.T, addr string, c *transcriptClient) {
	t.Helper()
	done := make(chan bool)
	go func() {
		defer close(done)
		c.hear(1)
	}()
	for {
		cancel, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := cancel.Write(append([]byte("\x00\x00\x00\x10\x04\xd2\x16\x2e"), c.key...)); err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, cancel)
		cancel.Close()
		select {
		case <-done:
			return
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// TestTranscript_Statements has what a client of the statement form hears be the recorded bytes.
func TestTranscript_Statements(t *testing.T) {
	addr, _, _ := start(t, "127.0.0.1:1", 256, member(t).Addr)
	var out strings.Builder
	startup := pg.AppendStartup(nil, "api", "ledger")
	client := func(name string) *transcriptClient { return newTranscriptClient(t, &out, addr, name, startup) }

	c := client("statements")
	for n, sql := range []string{"", ";", look("a1", "x1"), put("a2", "x2"), look("a3", "error"), look("a4", "wrong"), "SELECT 1", "/* c=look */ SELECT 1",
		"/* id=a6,c=none,d=100 */ SELECT 1", "/* id=a7,c=look,d=100,cluster=2 */ SELECT x", "/* id=a7,c=look,d=100,cluster=2,r=1 */ SELECT x",
		"/* id=a8,c=look,d=x */ SELECT x", "/* id=a9,c=look,d=-1 */ SELECT x", "/* id=a9,c=look,d=100,after=x */ SELECT x", "/* id=a9"} {
		fmt.Fprintf(&out, "%d: ", n)
		c.send(transcriptQueries(sql), 1)
	}
	c.send(pg.AppendBodyless(nil, 'X'), 1)

	c = client("pipelined")
	c.send(transcriptQueries(look("b1", "x1"), put("b2", "x2"), "", look("b3", "x3"), look("b4", "wrong"), look("b5", "x5")), 6)

	c = client("extended queries")
	c.send(pg.AppendSync(pg.AppendExecute(transcriptBind(transcriptParse(nil, "", "SELECT 1"), "", "", ""), "")), 1)
	c.send(transcriptQueries(look("c1", "x")), 1)
	client("too much ahead").send(append(transcriptQueries(look("d0", "hang")), transcriptQueries(make([]string, 300)...)...), 302)
	for _, one := range []struct {
		name  string
		bytes []byte
	}{
		{"broken framing", []byte("Q\x00\x00\x00\x01")},
		{"message type that is none", []byte("~\x00\x00\x00\x04")},
		{"function call", []byte("F\x00\x00\x00\x04")},
		{"too long", []byte("Q\x7f\xff\xff\xff")},
		{"sync alone", pg.AppendSync(nil)},
		{"a later minor version is spoken to by its startup", transcriptQueries("")},
	} {
		client(one.name).send(one.bytes, 1)
	}
	newTranscriptClient(t, &out, addr, "TLS", append([]byte{}, "\x00\x00\x00\x08\x04\xd2\x16\x2f"...))
	newTranscriptClient(t, &out, addr, "later minor version", []byte("\x00\x00\x00\x12\x00\x03\x00\x02user\x00api\x00\x00"))
	recording.CompareText(t, "transcript-statements.txt", out.String())
}

// TestTranscript_Drain has what clients hear while the router drains be the recorded bytes.
func TestTranscript_Drain(t *testing.T) {
	addr, cluster, signals, ended := drainablePool(t, 1, lab.Pool{PerMember: 2}, nil)
	defer cluster.Close()
	var out strings.Builder
	startup := pg.AppendStartup(nil, "api", "ledger")
	idle := newTranscriptClient(t, &out, addr, "idle", startup)
	busy := newTranscriptClient(t, &out, addr, "in a transaction", startup)
	part := newTranscriptClient(t, &out, addr, "in the middle of a message", startup)
	idle.send(transcriptQueries("SELECT 1"), 1)
	busy.send(transcriptQueries("BEGIN", "SELECT 1"), 2)
	part.send([]byte("Q\x00\x00\x00\x10SEL"), 0)
	signals <- os.Interrupt
	idle.hear(1)
	busy.send(transcriptQueries("COMMIT"), 1)
	busy.hear(1)
	part.hear(1)
	if err := <-ended; err != nil {
		t.Error(err)
	}
	recording.CompareText(t, "transcript-drain.txt", out.String())
}
