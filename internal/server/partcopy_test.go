package server

import (
	"bytes"
	"slices"
	"strings"
	"sync"
	"testing"

	"wayloft/internal/fakes"
	"wayloft/internal/fakes/pgserver"
	"wayloft/internal/lab"
	"wayloft/internal/pg"
)

// partCopyingMember sends a second copy of its response to each part of a unit that ends with a Flush.
type partCopyingMember struct {
	mu          sync.Mutex
	bytesAtOnce int                 // how much of a copy goes right behind the response; the rest goes ahead of the next response, as if it crossed the next part
	alter       func([]byte) []byte // changes the copies; nil: none
	part        []byte              // the response to the current part
	heldBack    []byte
	copies      int
}

func (m *partCopyingMember) set(bytesAtOnce int, alter func([]byte) []byte) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.bytesAtOnce, m.alter = bytesAtOnce, alter
	m.part, m.heldBack, m.copies = nil, nil, 0
}

func (m *partCopyingMember) copiesSent() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.copies
}

func (m *partCopyingMember) configure(s *pgserver.Server) {
	s.AlterResponse = func(message *pg.Message, response, _ []byte) []byte {
		m.mu.Lock()
		defer m.mu.Unlock()
		if message.Kind == pg.Query && (message.Text == "SHOW vitals" || message.Text == "") { // a health check on another connection, or a barrier
			return response
		}
		out := slices.Concat(m.heldBack, response)
		m.heldBack = nil
		switch message.Kind {
		case pg.Query, pg.Sync:
			m.part = nil
		case pg.Flush:
			if len(m.part) == 0 {
				break
			}
			second := m.part
			if m.alter != nil {
				second = m.alter(second)
			}
			atOnce := min(m.bytesAtOnce, len(second))
			out, m.heldBack = append(out, second[:atOnce]...), second[atOnce:]
			m.part = nil
			m.copies++
		default:
			m.part = append(m.part, response...)
		}
		return out
	}
}

// exchange is what a client sends, and the types of the messages that it must receive, up to the last kind.
type exchange struct {
	send string
	want string
	last pg.Kind
}

func readRowSQL(n string) string { return "SELECT blob FROM rows WHERE handle = 'h" + n + "'" }

// flushedRead reads one row, described, up to a Flush.
func flushedRead(n string) exchange {
	out := pg.AppendParse(nil, "", []byte(readRowSQL(n)+"\x00\x00\x00"))
	out = pg.AppendBind(out, "", "", []byte{0, 0, 0, 0, 0, 0})
	out = pg.AppendDescribe(out, 'P', "")
	return exchange{string(pg.AppendExecute(out, "")) + flushMessage(), "1 2 T D=v" + n + " C", pg.CommandComplete}
}

// flushedExecution runs a prepared statement that reads a row, up to a Flush.
func flushedExecution(name, n string) exchange {
	out := pg.AppendExecute(pg.AppendBind(nil, "", name, []byte{0, 0, 0, 0, 0, 0}), "")
	return exchange{string(out) + flushMessage(), "2 D=v" + n + " C", pg.CommandComplete}
}

// flushedPreparation prepares and describes a statement that reads a row, up to a Flush.
func flushedPreparation(name, n string) exchange {
	out := pg.AppendParse(nil, name, []byte(readRowSQL(n)+"\x00\x00\x00"))
	return exchange{string(pg.AppendDescribe(out, 'S', name)) + flushMessage(), "1 t T", pg.RowDescription}
}

// flushedBind binds the unnamed portal to a prepared statement, up to a Flush.
func flushedBind(name string) exchange {
	return exchange{string(pg.AppendBind(nil, "", name, []byte{0, 0, 0, 0, 0, 0})) + flushMessage(), "2", pg.BindComplete}
}

// flushedBindOf prepares a statement that reads a row, and binds the unnamed portal to it, up to a Flush.
func flushedBindOf(name, n string) exchange {
	return exchange{parseMessage(name, readRowSQL(n)) + flushedBind(name).send, "1 2", pg.BindComplete}
}

// flushedDescription describes a prepared statement that reads a row, up to a Flush.
func flushedDescription(name string) exchange {
	return exchange{string(pg.AppendDescribe(nil, 'S', name)) + flushMessage(), "t T", pg.RowDescription}
}

// portalClose closes the unnamed portal, whose reply is the same as that to one of the router's own messages.
func portalClose() exchange {
	return exchange{string(pg.AppendClose(nil, 'P', "")) + flushMessage(), "3", pg.CloseComplete}
}

// closeAndRead closes the unnamed portal, and reads a row.
func closeAndRead(n string) exchange {
	read := flushedRead(n)
	return exchange{string(pg.AppendClose(nil, 'P', "")) + read.send, "3 " + read.want, read.last}
}

func simpleExchange(sql, want string) exchange {
	return exchange{queryMessage(sql), want, pg.ReadyForQuery}
}

var (
	syncExchange  = exchange{string(pg.AppendSync(nil)), "Z", pg.ReadyForQuery}
	failedRead    = exchange{extendedQuery("SELEKT") + flushMessage(), "1 2 E", pg.ErrorResponse}
	flushedRun    = exchange{string(pg.AppendExecute(nil, "")) + flushMessage(), "D=v1 C", pg.CommandComplete}
	copyToStdout  = exchange{extendedQuery("COPY rows TO STDOUT") + flushMessage(), "1 2 H d d d c C", pg.CommandComplete}
	beginExchange = simpleExchange("BEGIN", "C Z")
)

// Guards against a second copy of the response to a part of a unit that is taken for the response to the next part, which has the same form.
func TestPool_SecondCopyBehindFlush(t *testing.T) {
	member, addr := startPartCopyingRouter(t)
	for name, exchanges := range map[string][]exchange{
		"reads":                      {flushedRead("1"), flushedRead("2"), flushedRead("3"), syncExchange},
		"reads in a transaction":     {beginExchange, flushedRead("1"), flushedRead("2"), syncExchange, flushedRead("3"), syncExchange, simpleExchange("COMMIT", "C Z")},
		"a prepared statement":       {flushedPreparation("a", "1"), flushedExecution("a", "1"), flushedExecution("a", "1"), syncExchange},
		"two prepared statements":    {flushedPreparation("a", "1"), flushedPreparation("b", "2"), flushedExecution("a", "1"), flushedExecution("b", "2"), syncExchange},
		"messages that close":        {portalClose(), portalClose(), portalClose(), flushedRead("1"), closeAndRead("2"), closeAndRead("3"), portalClose(), syncExchange},
		"an error":                   {flushedRead("1"), failedRead, syncExchange, flushedRead("2"), flushedRead("3"), syncExchange},
		"an error in a transaction":  {beginExchange, flushedRead("1"), failedRead, syncExchange, simpleExchange("ROLLBACK", "C Z")},
		"a portal that is run apart": {flushedPreparation("a", "1"), flushedBind("a"), flushedRun, flushedBind("a"), flushedRun, syncExchange},
		"COPY in a portal that is run apart": {
			{parseMessage("c", "COPY rows TO STDOUT") + flushMessage(), "1", pg.ParseComplete},
			flushedBind("c"), {flushedRun.send, "H d d d c C", pg.CommandComplete}, flushedBind("c"), syncExchange,
		},
		"descriptions":               {flushedBindOf("a", "1"), flushedDescription("a"), flushedBind("a"), flushedDescription("a"), flushedRun, syncExchange},
		"COPY TO STDOUT":             {copyToStdout, flushedRead("1"), copyToStdout, copyToStdout, syncExchange},
		"a part without a response":  {flushedRead("1"), {send: flushMessage()}, flushedRead("2"), syncExchange},
		"a simple query ends a unit": {flushedRead("1"), simpleExchange(readRowSQL("2"), "T D=v2 C Z"), flushedRead("3"), syncExchange},
		"parts sent ahead": {
			{flushedRead("1").send + flushedRead("2").send + flushedRead("3").send + syncExchange.send,
				"1 2 T D=v1 C 1 2 T D=v2 C 1 2 T D=v3 C Z", pg.ReadyForQuery},
		},
	} {
		for when, bytesAtOnce := range copyTimes {
			t.Run(name+", "+when, func(t *testing.T) {
				member.set(bytesAtOnce, nil)
				c := fakes.NewClient(t, addr, true)
				for n, e := range exchanges {
					c.Send(e.send)
					if e.want == "" {
						continue
					}
					if got := c.ReadTypes(e.last); got != e.want {
						t.Fatalf("exchange %d: got %q, want %q", n, got, e.want)
					}
				}
				closeSocket(c)
				if got := askOnce(t, addr, readRowSQL("3")); got != "v3 ok ready" {
					t.Errorf("the next client: got %q", got)
				}
				if member.copiesSent() == 0 {
					t.Error("the member has sent no copy")
				}
			})
		}
	}
}

// copyTimes maps when a copy arrives to how many bytes of it are sent at once.
var copyTimes = map[string]int{"crossing the next part": 0, "in pieces": 12, "at once": 1 << 16}

// startPartCopyingRouter starts a router with a pool of one connection to a member with three rows.
func startPartCopyingRouter(t *testing.T) (*partCopyingMember, string) {
	t.Helper()
	member := &partCopyingMember{}
	addr, _ := startPooledRouter(t, 1, lab.Pool{PerMember: 1}, member.configure)
	for _, n := range []string{"1", "2", "3"} {
		if got := askOnce(t, addr, insertSQL("h"+n, "v"+n)); !strings.HasSuffix(got, "ok ready") {
			t.Fatalf("writing a row: %q", got)
		}
	}
	return member, addr
}

// Guards against messages behind a part that resemble a second copy of its response and are none: nobody may be served by them.
func TestPool_NoiseBehindFlush(t *testing.T) {
	member, addr := startPartCopyingRouter(t)
	for name, alter := range map[string]func([]byte) []byte{
		"half a copy":                      func(b []byte) []byte { return b[:10] }, // two whole messages
		"a copy with another row":          func(b []byte) []byte { return bytes.ReplaceAll(b, []byte("v1"), []byte("v9")) },
		"a copy without its first message": func(b []byte) []byte { return b[5:] },
		"a ReadyForQuery":                  func([]byte) []byte { return pg.AppendReadyIdle(nil) },
		"a copy with a ReadyForQuery":      func(b []byte) []byte { return pg.AppendReadyIdle(bytes.Clone(b)) },
	} {
		for when, bytesAtOnce := range copyTimes {
			t.Run(name+", "+when, func(t *testing.T) {
				member.set(bytesAtOnce, alter)
				c := fakes.NewClient(t, addr, true)
				c.Send(flushedRead("1").send)
				if got := c.ReadTypes(pg.CommandComplete); got != flushedRead("1").want {
					t.Fatalf("the first part: %q", got)
				}
				c.Send(flushedRead("2").send + syncExchange.send)
				checkOwnResponse(t, c.ReadResponse(), "v2 ok ready")
				closeSocket(c)
				member.set(bytesAtOnce, nil) // nothing of it reaches the next connection
				if got := askOnce(t, addr, readRowSQL("3")); got != "v3 ok ready" {
					t.Errorf("the next client: got %q", got)
				}
			})
		}
	}
}
