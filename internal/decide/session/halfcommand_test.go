package session

import (
	"testing"

	"wayloft/internal/pg"
)

// wholeCommands are statements that the router itself reads, of which a client may send any beginning.
var wholeCommands = []string{
	"SET SESSION CHARACTERISTICS AS TRANSACTION ISOLATION LEVEL REPEATABLE READ, READ ONLY, NOT DEFERRABLE",
	"SET SESSION AUTHORIZATION 'bob'", "SET LOCAL a.b = 'c'", "SET wayloft.txn_type TO 'read'", "SET TIME ZONE INTERVAL '1' HOUR",
	"SET NAMES 'LATIN1'", "SET ROLE none", "SET TRANSACTION SNAPSHOT 'x'", "SET CONSTRAINTS ALL DEFERRED",
	"RESET SESSION AUTHORIZATION", "RESET wayloft.txn_type", "RESET ALL", "SHOW wayloft.txn_type", "SHOW TRANSACTION ISOLATION LEVEL",
	"START TRANSACTION ISOLATION LEVEL READ COMMITTED, READ WRITE", "BEGIN WORK NOT DEFERRABLE", "COMMIT AND CHAIN", "COMMIT PREPARED 'x'",
	"ROLLBACK WORK TO SAVEPOINT \"a\"", "RELEASE SAVEPOINT a", "SAVEPOINT a", "DISCARD ALL", "DEALLOCATE PREPARE \"s\"", "DEALLOCATE ALL",
	"DECLARE c CURSOR WITH HOLD FOR SELECT 1", "CREATE TEMPORARY TABLE a (b int)", "PREPARE a AS SELECT $1", "SELECT E'\\'' || $a$b$a$ || U&'x'",
	"/* id=9b1f03aa,c=basket,t=acme,d=480 */ SELECT /* a /* b */ */ 1", "COPY rows (handle) FROM STDIN",
}

// Guards against a command that a client sends in part, or with words that are unknown, and that ends the router's process by a panic.
func TestSession_HalfCommandDoesNotPanic(t *testing.T) {
	for _, whole := range wholeCommands {
		for length := range len(whole) + 1 {
			for _, sql := range []string{whole[:length], whole[:length] + " unknown", whole[:length] + ";" + whole} {
				playCommand(t, sql)
			}
		}
	}
}

// playCommand plays a statement as a simple and as an extended query, in and outside of a transaction.
func playCommand(t *testing.T, sql string) {
	t.Helper()
	defer func() {
		if reason := recover(); reason != nil {
			t.Errorf("%q: panic: %v", sql, reason)
		}
	}()
	for _, before := range []string{"SELECT 1", "BEGIN", "SET TRANSACTION READ ONLY"} {
		for _, hasConn := range []bool{false, true} {
			s := New(Policy{AllowSticky: true, MaxSettingsBytes: 200, MaxStatements: 3}, NoSettings)
			s.Query(before, pg.AppendQuery(nil, before), hasConn)
			s.Query(sql, pg.AppendQuery(nil, sql), hasConn)
			completeCommand(s, sql)
			for _, encoded := range [][]byte{pg.AppendParse(nil, "s", []byte(sql+"\x00\x00\x00")), pg.AppendBind(nil, "", "s", []byte{0, 0, 0, 0, 0, 0}),
				pg.AppendExecute(nil, ""), pg.AppendSync(nil)} {
				s.Extended(clientMessage(encoded))
			}
			completeCommand(s, sql)
			s.SettingsStatements()
		}
	}
}

// completeCommand plays the replies of a member that has accepted a statement.
func completeCommand(s *Session, sql string) {
	s.ServerMessage(&pg.Message{Kind: pg.ParseComplete})
	for range pg.SplitStatements(sql) {
		s.ServerMessage(&pg.Message{Kind: pg.CommandComplete, Text: "SET"})
	}
	s.RequestAttributes()
	s.ServerMessage(&pg.Message{Kind: pg.ReadyForQuery, Status: StatusIdle})
}
