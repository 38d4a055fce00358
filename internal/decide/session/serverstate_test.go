package session

import (
	"strings"
	"testing"

	"wayloft/internal/pg"
)

// Guards against state of a server session that reaches another client, or gets lost, without a word. What becomes of each kind of state: it
// follows its client, keeps the connection for it, is refused, or belongs to the transaction alone. A row is a sequence of messages that begins
// outside a transaction; what is said of it is said of the last one.
func TestSession_ServerState(t *testing.T) {
	const follows, keeps, refused, transaction = "follows", "keeps the connection", "refused", "of the transaction"
	for _, c := range []struct{ messages, want string }{
		{"SET work_mem = '64MB'", follows},
		{"SET session_replication_role = replica", follows},
		{"SET ROLE r", follows},
		{"SELECT lastval()", refused},
		{"SELECT currval('orders_id_seq')", refused},
		{"INSERT INTO o VALUES (1)|SELECT lastval()", refused},
		{"BEGIN|SELECT LASTVAL()", refused},
		{"BEGIN; SELECT lastval()", refused},
		{"BEGIN|INSERT INTO o VALUES (1)|SELECT lastval()", transaction},
		{"BEGIN; INSERT INTO o VALUES (1); SELECT currval('s'); COMMIT", transaction},
		{"INSERT INTO o VALUES (1); SELECT lastval()", transaction},
		{"SELECT pg_advisory_lock(1)|SELECT lastval()", keeps},
		{"SELECT interval '1 day'", transaction},
		{"SELECT 'lastval()'", transaction},
		{"SELECT lastval FROM o", transaction},
		{"SELECT nextval('s')", transaction},
		{"SELECT setseed(0.5)", keeps},
		{"SET seed TO 0.5", keeps},
		{"SET SEED 0.5", keeps},
		{"SELECT random()", transaction},
		{"SELECT pg_advisory_lock(1)", keeps},
		{"SELECT pg_try_advisory_lock_shared(1)", keeps},
		{"SELECT pg_advisory_xact_lock(1)", transaction},
		{"CREATE TEMP TABLE t (a int)", keeps},
		{"CREATE LOCAL TEMPORARY VIEW v AS SELECT 1", keeps},
		{"SELECT 1 INTO TEMP t", keeps},
		{"LISTEN orders", keeps},
		{"NOTIFY orders", transaction},
		{"DECLARE c CURSOR WITH HOLD FOR SELECT 1", keeps},
		{"DECLARE c CURSOR FOR SELECT 1", transaction},
		{"PREPARE p AS SELECT 1", keeps},
		{"BEGIN|INSERT INTO o VALUES (1)|PREPARE TRANSACTION 'x'", transaction},
		{"BEGIN|SELECT lo_open(16385, 131072)", transaction},
		{"LOAD 'auto_explain'", keeps},
		{"SELECT set_config('a.x', '1', false)", keeps},
	} {
		t.Run(c.messages, func(t *testing.T) {
			s := New(Policy{MaxSettingsBytes: 1000, MaxStatements: 9, AllowSticky: true}, NoSettings)
			refusal := ""
			for sql := range strings.SplitSeq(c.messages, "|") {
				refusal = runQuery(s, sql)
			}
			got := transaction
			switch {
			case refusal != "":
				got = refused
			case s.Sticky():
				got = keeps
			case s.Settings().ID() != NoSettings.ID():
				got = follows
			}
			if got != c.want {
				t.Errorf("%s, not %s", got, c.want)
			}
		})
	}
}

// runQuery sends a simple query to a session, whose member completes each of its statements. It returns the code of an error that the router
// makes instead.
func runQuery(s *Session, sql string) (code string) {
	reply, messages := s.Query(sql, pg.AppendQuery(nil, sql), s.TransactionStatus() != StatusIdle)
	status := s.TransactionStatus()
	if reply != nil {
		if strings.Contains(string(reply), "C"+pg.FeatureNotSupported+"\x00") {
			return pg.FeatureNotSupported
		}
		return ""
	}
	for _, message := range messages {
		if message.Error != nil {
			return message.Error.Code
		}
	}
	for _, text := range pg.SplitStatements(sql) {
		command := pg.ParseCommand(text)
		switch command.Kind {
		case pg.Begin:
			status = StatusInTransaction
		case pg.Commit, pg.Rollback:
			status = StatusIdle
		}
		s.ServerMessage(&pg.Message{Kind: pg.CommandComplete, Text: "SELECT 1"})
	}
	s.ServerMessage(&pg.Message{Kind: pg.ReadyForQuery, Status: status})
	return ""
}

// The extended protocol asks at Execute: a statement may be prepared in one transaction and run in another.
func TestSession_SequenceValueByExtendedQuery(t *testing.T) {
	s := New(Policy{MaxSettingsBytes: 1000, MaxStatements: 9}, NoSettings)
	send := func(m pg.Message) (code string) {
		for _, message := range s.Extended(m) {
			if message.Error != nil {
				code = message.Error.Code
			}
		}
		return code
	}
	parse := func(name, sql string) string {
		return send(pg.Message{Kind: pg.Parse, Name: name, Text: sql, Tail: []byte(sql + "\x00\x00\x00")})
	}
	execute := func(name string) string {
		send(pg.Message{Kind: pg.Bind, Name: name})
		return send(pg.Message{Kind: pg.Execute})
	}
	if got := parse("last", "SELECT lastval()") + parse("insert", "INSERT INTO o VALUES (1)"); got != "" {
		t.Errorf("Parse: %s", got)
	}
	if got := execute("last"); got != pg.FeatureNotSupported {
		t.Errorf("outside the transaction of its sequence: %q", got)
	}
	if got := execute("insert") + execute("last"); got != "" {
		t.Errorf("behind the statement that draws from it: %q", got)
	}
}
