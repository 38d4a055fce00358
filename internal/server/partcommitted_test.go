package server

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"

	"wayloft/internal/fakes"
	"wayloft/internal/fakes/pgserver"
	"wayloft/internal/lab"
	"wayloft/internal/pg"
)

// unknownStatement fails at a member with a syntax error.
const unknownStatement = "SELEKT"

// failingMember answers its first syntax error with another code, and counts how often each statement was run.
type failingMember struct {
	mu   sync.Mutex
	code string // the other code; empty once it was sent
	runs map[string]int
}

func (m *failingMember) configure(s *pgserver.Server) {
	s.OnStatement = func(e pgserver.Event) {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.runs[strings.Fields(e.SQL)[0]]++
	}
	s.AlterResponse = func(message *pg.Message, response, _ []byte) []byte {
		m.mu.Lock()
		defer m.mu.Unlock()
		if m.code == pg.ReadOnlySQLTransaction { // such an error is the member's own only if it does not report that it is the primary
			response = bytes.ReplaceAll(response, []byte("rank\x00source"), []byte("none\x00source"))
		}
		if m.code == "" || message.Text == "SHOW vitals" {
			return response
		}
		altered := bytes.Replace(response, []byte("42601"), []byte(m.code), 1)
		if !bytes.Equal(altered, response) && m.code != pg.ReadOnlySQLTransaction {
			m.code = ""
		}
		return altered
	}
}

func (m *failingMember) arm(code string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.code, m.runs = code, map[string]int{}
}

func (m *failingMember) runsOf(word string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.runs[word]
}

// pipelineOf returns the statements as extended query messages with one Sync.
func pipelineOf(statements ...string) string {
	var out strings.Builder
	for _, sql := range statements {
		out.WriteString(extendedQuery(sql))
	}
	return out.String() + string(pg.AppendSync(nil))
}

// Guards against a unit that is sent again although a part of it has been committed: its COMMIT has made final what stood before it, and the
// error of a later statement says nothing of that.
func TestPool_UnitPartCommittedRunsOnce(t *testing.T) {
	member := &failingMember{runs: map[string]int{}}
	addr, _ := startPooledRouter(t, 1, lab.Pool{PerMember: 1}, member.configure)
	insert := insertSQL("order", "1")
	for _, unit := range []struct {
		name       string
		statements []string
		class      string
		counted    string // first word of the statement that is counted
		want       int    // how often it runs
		wantPlan   int    // the same where the error is that of an invalid plan, after which nothing is sent again in a transaction block
		response   string // the client's, up to the code; not checked if empty
	}{
		{"committed", []string{"BEGIN", insert, "COMMIT", unknownStatement}, "write", "INSERT", 1, 1, "ok 1 ok ok "},
		{"committed without a BEGIN", []string{insert, "COMMIT", unknownStatement}, "write", "INSERT", 1, 1, "1 ok ok "},
		{"committed, of an idempotent class", []string{"BEGIN", insert, "COMMIT", unknownStatement}, "read", "INSERT", 2, 2, ""},
		{"not committed", []string{"BEGIN", insert, unknownStatement}, "write", "INSERT", 2, 1, ""},
		{"rolled back", []string{"BEGIN", insert, "ROLLBACK", unknownStatement}, "write", "INSERT", 2, 2, ""},
		{"without a transaction block", []string{insert, unknownStatement}, "write", "INSERT", 2, 2, ""},
		{"a procedure fails", []string{"CALL " + unknownStatement}, "write", "CALL", 1, 1, ""},
		{"a procedure fails in a transaction block", []string{"BEGIN", "CALL " + unknownStatement}, "write", "CALL", 2, 1, ""},
	} {
		for form, message := range map[string]string{
			"simple query": queryMessage(strings.Join(unit.statements, "; ")),
			"pipeline":     pipelineOf(unit.statements...),
		} {
			for _, code := range []string{pg.CannotConnectNow, pg.TooManyConnections, pg.SnapshotTooOld, pg.InvalidSQLStatementName, pg.FeatureNotSupported} {
				if form == "simple query" && code == pg.FeatureNotSupported { // is the statement's own error there
					continue
				}
				t.Run(fmt.Sprintf("%s, %s, %s", unit.name, form, code), func(t *testing.T) {
					c := fakes.NewClient(t, addr, true)
					askAll(c, "SET wayloft.txn_type = '"+unit.class+"'")
					askPrepared(c, "SELECT 1")
					member.arm(code)
					c.Send(message)
					if got, want := c.ReadResponse(), unit.response+code+" ready"; unit.response != "" && got != want {
						t.Errorf("got %q, want %q", got, want)
					}
					want := unit.want
					if code == pg.InvalidSQLStatementName || code == pg.FeatureNotSupported {
						want = unit.wantPlan
					}
					if got := member.runsOf(unit.counted); got != want {
						t.Errorf("%s ran %d times, want %d", unit.counted, got, want)
					}
					closeSocket(c)
				})
			}
		}
	}
}

// Guards against a unit of committed orders that runs again at the next primary because the member stopped being one on the way.
func TestPool_UnitPartCommittedBeforePrimaryChange(t *testing.T) {
	member := &failingMember{runs: map[string]int{}}
	addr, _ := startPooledRouter(t, 1, lab.Pool{PerMember: 1}, member.configure)
	c := fakes.NewClient(t, addr, true)
	askAll(c, "SELECT 1")
	member.arm(pg.ReadOnlySQLTransaction)
	c.Send(pipelineOf("BEGIN", insertSQL("order", "1"), "COMMIT", unknownStatement))
	if got := c.ReadResponse(); got != "ok 1 ok ok 25006 ready" {
		t.Errorf("got %q", got)
	}
	if got := member.runsOf("INSERT"); got != 1 {
		t.Errorf("the order ran %d times", got)
	}
	member.arm("")
	if got := askAll(c, "SELECT 1"); got != "1 ok ready" {
		t.Errorf("afterwards: %q", got)
	}
}

// Guards against "nothing took effect" for what stands behind the end of a transaction, and was committed by itself at the unit's end.
func TestPool_ConnectionLostBehindTransactionEnd(t *testing.T) {
	var mu sync.Mutex
	lost := ""
	addr, _ := startPooledRouter(t, 1, lab.Pool{PerMember: 1}, func(s *pgserver.Server) {
		s.InjectFault = func(_ int, m *pg.Message) *pgserver.Fault {
			mu.Lock()
			defer mu.Unlock()
			if lost != "" && strings.Contains(m.Text, lost) {
				return &pgserver.Fault{Close: true}
			}
			return nil
		}
	})
	for unit, want := range map[string]string{
		"ROLLBACK; " + insertSQL("lost", "1"):        "08007 ready",
		"COMMIT; " + insertSQL("lost", "1"):          "08007 ready",
		"ROLLBACK; BEGIN; " + insertSQL("lost", "1"): "08006 ready",
		insertSQL("lost", "1"):                       "08006 ready",
	} {
		t.Run(unit, func(t *testing.T) {
			c := fakes.NewClient(t, addr, true)
			askAll(c, "BEGIN", "SELECT 1")
			mu.Lock()
			lost = "lost"
			mu.Unlock()
			got := askAll(c, unit)
			mu.Lock()
			lost = ""
			mu.Unlock()
			if got != want {
				t.Errorf("got %q, want %q", got, want)
			}
			closeSocket(c)
		})
	}
}

// Guards against a long pipeline that counts as not run because its end is unsent: the member may have committed the beginning.
func TestPool_PipelinePartlySent(t *testing.T) {
	const orders, orderBytes = 40, 500_000 // more than the sockets between router and member hold
	statements := make([]string, 0, 3*orders)
	for n := range orders {
		statements = append(statements, "BEGIN", insertSQL(fmt.Sprint("order", n), strings.Repeat("x", orderBytes)), "COMMIT")
	}
	for name, waitMs := range map[string]string{"the connection is lost": "20000", "the request times out": "1500"} {
		t.Run(name, func(t *testing.T) {
			var mu sync.Mutex
			executions, inserts := 0, 0
			ended := make(chan bool)
			addr, _ := startPooledRouter(t, 1, lab.Pool{PerMember: 1}, func(s *pgserver.Server) {
				s.OnStatement = func(e pgserver.Event) {
					mu.Lock()
					defer mu.Unlock()
					if strings.Contains(e.SQL, "'order0'") {
						inserts++
					}
				}
				s.InjectFault = func(_ int, m *pg.Message) *pgserver.Fault {
					mu.Lock()
					execution := m.Kind == pg.Execute
					if execution {
						executions++
					}
					stop := execution && executions == 4 // behind the first COMMIT
					mu.Unlock()
					if !stop {
						return nil
					}
					if waitMs == "1500" {
						<-ended
					}
					return &pgserver.Fault{Close: true}
				}
			})
			c := fakes.NewClient(t, addr, true)
			askAll(c, "SET wayloft.wait = '"+waitMs+"'")
			c.Send(pipelineOf(statements...))
			if got := c.ReadResponse(); got != "08007 ready" {
				t.Errorf("got %q", got)
			}
			close(ended)
			mu.Lock()
			defer mu.Unlock()
			if inserts != 1 {
				t.Errorf("the first order ran %d times", inserts)
			}
		})
	}
}
