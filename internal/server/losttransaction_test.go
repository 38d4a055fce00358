package server

import (
	"fmt"
	"strings"
	"testing"

	"wayloft/internal/fakes"
	"wayloft/internal/fakes/pgserver"
	"wayloft/internal/lab"
	"wayloft/internal/pg"
)

// dieSQL is a statement at which the member closes the connection.
const dieSQL = "SELECT 'die'"

// parseMessage prepares a statement.
func parseMessage(name, sql string) string {
	return string(pg.AppendParse(nil, name, []byte(sql+"\x00\x00\x00")))
}

// bindAndExecute runs a prepared statement.
func bindAndExecute(name string) string {
	return string(pg.AppendExecute(pg.AppendBind(nil, "", name, []byte{0, 0, 0, 0, 0, 0}), ""))
}

// Guards against a success for statements that stand behind the end of a lost transaction and were sent nowhere.
func TestPool_StatementsBehindEndOfLostTransaction(t *testing.T) {
	addr, _ := startPooledRouter(t, 1, lab.Pool{PerMember: 2}, func(s *pgserver.Server) {
		s.InjectFault = func(_ int, m *pg.Message) *pgserver.Fault {
			if m.Text == dieSQL {
				return &pgserver.Fault{Close: true}
			}
			return nil
		}
	})
	const row = "order"
	insert := insertSQL(row, "%d") // the number of the test
	sync, flush := string(pg.AppendSync(nil)), flushMessage()
	for n, c := range []struct {
		name    string
		sends   []string // each awaits the response to the one before
		want    []string // types of the messages received
		last    []pg.Kind
		written bool
	}{
		{name: "a transaction in one message", written: true,
			sends: []string{queryMessage("ROLLBACK; BEGIN; " + insert + "; COMMIT")}, want: []string{"C C T D=%d C C Z"}},
		{name: "a statement behind COMMIT", written: true,
			sends: []string{queryMessage("COMMIT; " + insert)}, want: []string{"C T D=%d C Z"}},
		{name: "several ends in one message", written: true,
			sends: []string{queryMessage("ROLLBACK; " + insert + "; COMMIT; BEGIN; ROLLBACK")}, want: []string{"C T D=%d C C C C Z"}},
		{name: "AND CHAIN", sends: []string{queryMessage("ROLLBACK AND CHAIN"), queryMessage("ROLLBACK AND CHAIN; " + insert), queryMessage("ROLLBACK")},
			want: []string{"E Z", "E Z", "C Z"}},
		{name: "an error behind the end", sends: []string{queryMessage("ROLLBACK; " + unknownStatement)}, want: []string{"C E Z"}},
		{name: "a statement ahead of the end", sends: []string{queryMessage(insert + "; ROLLBACK"), queryMessage("ROLLBACK")}, want: []string{"E Z", "C Z"}},
		{name: "a pipeline", written: true,
			sends: []string{pipelineOf("ROLLBACK", insert)}, want: []string{"1 2 C 1 2 D=%d C Z"}},
		{name: "a transaction in a pipeline", written: true,
			sends: []string{pipelineOf("ROLLBACK", "BEGIN", insert, "COMMIT")}, want: []string{"1 2 C 1 2 C 1 2 D=%d C 1 2 C Z"}},
		{name: "a pipeline with a Flush behind the end", written: true, last: []pg.Kind{pg.CommandComplete, pg.ReadyForQuery},
			sends: []string{extendedQuery("ROLLBACK") + flush, pipelineOf(insert)}, want: []string{"1 2 C", "1 2 D=%d C Z"}},
		{name: "a pipeline with a Flush behind all", written: true, last: []pg.Kind{pg.DataRow, pg.ReadyForQuery},
			sends: []string{extendedQuery("ROLLBACK") + extendedQuery(insert) + flush, sync}, want: []string{"1 2 C 1 2 D=%d", "C Z"}},
		{name: "an error ahead of a Flush", last: []pg.Kind{pg.ErrorResponse, pg.ReadyForQuery, pg.ReadyForQuery},
			sends: []string{extendedQuery(insert) + flush, sync, queryMessage("ROLLBACK")}, want: []string{"E", "Z", "C Z"}},
		{name: "a COMMIT that was prepared before it runs",
			sends: []string{parseMessage("e", "COMMIT") + sync, bindAndExecute("e") + sync}, want: []string{"1 Z", "2 C Z"}},
		{name: "an unknown portal", sends: []string{string(pg.AppendExecute(nil, "")) + sync, queryMessage("ROLLBACK")}, want: []string{"E Z", "C Z"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			client := fakes.NewClient(t, addr, true)
			if got := askAll(client, "BEGIN", "SELECT 1", dieSQL); !strings.HasSuffix(got, "08006 ready") {
				t.Fatalf("losing the transaction: %q", got)
			}
			for i, send := range c.sends {
				last := pg.ReadyForQuery
				if c.last != nil {
					last = c.last[i]
				}
				client.Send(rewriteNumber(send, n))
				if got := client.ReadTypes(last); got != rewriteNumber(c.want[i], n) {
					t.Errorf("message %d: got %q, want %q", i, got, rewriteNumber(c.want[i], n))
				}
			}
			got := askAll(client, "SELECT blob FROM rows WHERE handle = '"+row+"'")
			if written := got == fmt.Sprintf("%02d ok ready", n); written != c.written {
				t.Errorf("written: %v: %q", written, got)
			}
			closeSocket(client)
		})
	}
}

// rewriteNumber replaces the placeholder of the test's number, which takes two digits, so that lengths stay as they are.
func rewriteNumber(message string, n int) string {
	return strings.ReplaceAll(message, "%d", fmt.Sprintf("%02d", n))
}
