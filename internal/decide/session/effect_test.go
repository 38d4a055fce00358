package session

import (
	"strings"
	"testing"

	"wayloft/internal/pg"
)

// Guards against taking a unit for one transaction: what may be permanent while its response is still incomplete, by the kinds of its commands.
func TestSession_UnitEffect(t *testing.T) {
	for _, c := range []struct {
		unit                     string // statements
		open                     bool   // a transaction is open ahead of the unit
		beforeEnd, atEnd         bool   // what may be permanent if the connection is lost
		committedBeforeLastFails bool   // all but the last have completed, and the last has failed
	}{
		{unit: "INSERT; INSERT", atEnd: true},
		{unit: "BEGIN; INSERT"},
		{unit: "BEGIN; INSERT; COMMIT", beforeEnd: true, atEnd: true},
		{unit: "BEGIN; INSERT; COMMIT; INSERT", beforeEnd: true, atEnd: true, committedBeforeLastFails: true},
		{unit: "INSERT; END; INSERT", beforeEnd: true, atEnd: true, committedBeforeLastFails: true},
		{unit: "BEGIN; INSERT; ROLLBACK; INSERT", atEnd: true},
		{unit: "BEGIN; INSERT; ROLLBACK; BEGIN; INSERT"},
		{unit: "INSERT", open: true},
		{unit: "ROLLBACK", open: true},
		{unit: "ROLLBACK; INSERT", open: true, atEnd: true},
		{unit: "ABORT; BEGIN; INSERT", open: true},
		{unit: "COMMIT; INSERT", open: true, beforeEnd: true, atEnd: true, committedBeforeLastFails: true},
		{unit: "SAVEPOINT a; ROLLBACK TO a; INSERT", open: true},
		{unit: "CALL p()", beforeEnd: true, atEnd: true, committedBeforeLastFails: true},
		{unit: "DO 'x'; INSERT", beforeEnd: true, atEnd: true, committedBeforeLastFails: true},
		{unit: "CALL p()", open: true},
		{unit: "BEGIN; CALL p(); INSERT"},
		{unit: "ROLLBACK PREPARED 'a'; INSERT", beforeEnd: true, atEnd: true, committedBeforeLastFails: true},
	} {
		statements := strings.Split(c.unit, "; ")
		for form, simple := range map[string]bool{"simple query": true, "pipeline": false} {
			s := New(Policy{MaxStatements: 10}, NoSettings)
			if c.open {
				s.status = StatusInTransaction
			}
			sendUnit(s, statements, simple)
			if got, want := s.CommitsBeforeEnd(), c.beforeEnd && !simple; got != want {
				t.Errorf("%s, open %v, %s: commits before its end: %v", c.unit, c.open, form, got)
			}
			if got := s.PartCommitted(failedAtLast(statements)); got != c.committedBeforeLastFails {
				t.Errorf("%s, open %v, %s: a part is committed: %v", c.unit, c.open, form, got)
			}
			if got := s.ConnectionLost(true); got != c.atEnd {
				t.Errorf("%s, open %v, %s: may have committed: %v", c.unit, c.open, form, got)
			}
		}
	}
}

// sendUnit passes statements to the session, as one simple query or as extended queries.
func sendUnit(s *Session, statements []string, simple bool) {
	if simple {
		sql := strings.Join(statements, "; ")
		s.Query(sql, pg.AppendQuery(nil, sql), true)
		return
	}
	for _, sql := range statements {
		s.Extended(clientMessage(pg.AppendParse(nil, "", []byte(sql+"\x00\x00\x00"))))
		s.Extended(clientMessage(pg.AppendBind(nil, "", "", []byte{0, 0, 0, 0, 0, 0})))
		s.Extended(clientMessage(pg.AppendExecute(nil, "")))
		s.expected = onlyCompletions(s.expected)
	}
}

// onlyCompletions leaves out the replies to Parse, which differ between the two forms.
func onlyCompletions(expected []expectedReply) (completions []expectedReply) {
	for _, reply := range expected {
		if reply.kind == pg.CommandComplete {
			completions = append(completions, reply)
		}
	}
	return completions
}

// failedAtLast is the response to statements of which the last one fails.
func failedAtLast(statements []string) (response []pg.Message) {
	for range statements[1:] {
		response = append(response, pg.Message{Kind: pg.CommandComplete})
	}
	return append(response, pg.Message{Kind: pg.ErrorResponse})
}

// Guards against a COMMIT of a failed transaction, which rolls back, being taken for one that makes something permanent.
func TestSession_PartCommitted_FailedTransaction(t *testing.T) {
	s := New(Policy{}, NoSettings)
	s.status = StatusFailed
	sendUnit(s, []string{"COMMIT", "INSERT"}, true)
	if s.PartCommitted([]pg.Message{{Kind: pg.CommandComplete, Text: "ROLLBACK"}, {Kind: pg.ErrorResponse}}) {
		t.Error("a COMMIT that has rolled back counts as one")
	}
}
