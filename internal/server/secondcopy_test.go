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

// copyingMember sends a second copy of its last response, once it is armed, ahead of the response to the next message: the copy crosses the
// message on its way.
type copyingMember struct {
	copy func(last []byte) []byte // what is sent; nil: the whole response

	mu       sync.Mutex
	armed    bool
	tag      string
	heldBack []byte // the response to DISCARD ALL, which is sent after the copy and only with the next response
}

// arm makes the member send a copy of the next response that contains a command tag, which may be empty.
func (m *copyingMember) arm(tag string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.armed, m.tag = true, tag
}

func (m *copyingMember) isArmed() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.armed
}

func (m *copyingMember) configure(s *pgserver.Server) {
	s.AlterResponse = func(message *pg.Message, response, last []byte) []byte {
		m.mu.Lock()
		defer m.mu.Unlock()
		out := slices.Concat(m.heldBack, response)
		m.heldBack = nil
		if !m.armed || len(last) == 0 || !bytes.Contains(last, []byte(m.tag)) || message.Text == "SHOW vitals" {
			return out
		}
		m.armed = false
		if m.copy != nil {
			last = m.copy(last)
		}
		if message.Text == "DISCARD ALL" {
			m.heldBack = response
			return last
		}
		return append(bytes.Clone(last), out...)
	}
}

// startCopyingRouter starts a router with a pool of one connection to a member that can send second copies. settleMs is how long more of a
// response is taken to be on its way.
func startCopyingRouter(t *testing.T, member *copyingMember, settleMs float64) string {
	t.Helper()
	addr, _ := startAdjustedPooledRouter(t, 1, lab.Pool{PerMember: 1}, func(config *Config) {
		for n := range config.pools {
			config.pools[n].Bounds.ReuseDelayMs = settleMs
		}
	}, member.configure)
	return addr
}

// longSettleMs is longer than any test, so that the order of events does not depend on the machine.
const longSettleMs = 1e9

// askPrepared runs a statement by extended query messages.
func askPrepared(c *fakes.Client, sql string) string {
	c.Send(extendedQuery(sql) + string(pg.AppendSync(nil)))
	return c.ReadResponse()
}

// Guards against a second copy of a response that is taken for the response to the next query on its connection, whoever sends that.
func TestPool_SecondCopyIsNotServed(t *testing.T) {
	const row1, row2 = "SELECT blob FROM rows WHERE handle = 'h1'", "SELECT blob FROM rows WHERE handle = 'h2'"
	// next asks for one row behind other queries, once a copy of the last response to them is on its way.
	next := func(tag string, before ...string) func(*testing.T, string, *copyingMember) string {
		return func(t *testing.T, addr string, m *copyingMember) string {
			t.Helper()
			c := fakes.NewClient(t, addr, true)
			askAll(c, before...)
			m.arm(tag)
			return askAll(c, row2)
		}
	}
	// withSettings asks for one row by a client whose settings the connection does not have.
	withSettings := func(tag string) func(*testing.T, string, *copyingMember) string {
		return func(t *testing.T, addr string, m *copyingMember) string {
			t.Helper()
			c := fakes.NewClient(t, addr, true)
			askAll(c, "SET a.x = '1'")
			askOnce(t, addr, row1)
			m.arm(tag)
			return askAll(c, row2)
		}
	}
	for name, ask := range map[string]func(*testing.T, string, *copyingMember) string{
		"the next query of a session":          next("", row1),
		"the next query of a transaction":      next("", "BEGIN", row1),
		"the next query of a read-only one":    next("", "BEGIN READ ONLY", row1),
		"a transaction's BEGIN":                next("", row1, "BEGIN"),
		"a transaction's first query":          next("BEGIN", "BEGIN"),
		"the next query of a sticky session":   next("", "CREATE TEMP TABLE t (a int)", row1),
		"the next query behind an error":       next("", "SELEKT"), // its copy would tell that the query did not run
		"the next query behind a SET":          next("", "SET a.x = '1'"),
		"the next transaction behind a COMMIT": next("", "BEGIN", row1, "COMMIT", "BEGIN"),
		"the next client": func(t *testing.T, addr string, m *copyingMember) string {
			askOnce(t, addr, row1)
			m.arm("")
			return askOnce(t, addr, row2)
		},
		"the settings of the next client":     withSettings(""),
		"the first query behind its settings": withSettings("SET"),
		"the next client of a connection that was kept": func(t *testing.T, addr string, m *copyingMember) string {
			c := fakes.NewClient(t, addr, true)
			askAll(c, "CREATE TEMP TABLE t (a int)", row1)
			m.arm("")
			c.Send(string(pg.AppendEmptyMessage(nil, 'X')))
			return askOnce(t, addr, row2)
		},
		"extended query messages": func(t *testing.T, addr string, m *copyingMember) string {
			c := fakes.NewClient(t, addr, true)
			askPrepared(c, row1)
			m.arm("")
			return askPrepared(c, row2)
		},
	} {
		t.Run(name, func(t *testing.T) {
			member := &copyingMember{}
			addr := startCopyingRouter(t, member, longSettleMs)
			checkOwnResponse(t, ask(t, addr, member), "v2 ok ready")
			checkOwnResponse(t, askOnce(t, addr, "SELECT blob FROM rows WHERE handle = 'h3'"), "v3 ok ready")
			if member.isArmed() {
				t.Error("the member has sent no copy")
			}
		})
	}
}

// checkOwnResponse checks that a client was served its own value or received an error.
func checkOwnResponse(t *testing.T, got, want string) {
	t.Helper()
	const sqlStateLength, syntaxError = 5, "42601"
	code, rest, _ := strings.Cut(got, " ")
	isError := len(code) == sqlStateLength && rest == "ready" && code != syntaxError || strings.HasSuffix(got, "closed")
	if got != want && !isError {
		t.Errorf("got %q, want %q or an error of its own", got, want)
	}
}

// Guards against a ReadyForQuery without a response that is taken for the end of the response to a query.
func TestPool_LoneReadyForQueryIsNoResponse(t *testing.T) {
	const noDelayMs = 0
	member := &copyingMember{copy: func([]byte) []byte { return pg.AppendReadyIdle(nil) }}
	addr := startCopyingRouter(t, member, noDelayMs)
	askOnce(t, addr, "SELECT 1")
	member.arm("")
	checkOwnResponse(t, askOnce(t, addr, "SELECT blob FROM rows WHERE handle = 'h2'"), "v2 ok ready")
}
