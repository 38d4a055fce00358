package session

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"wayloft/internal/fakes/recording"
	"wayloft/internal/pg"
)

var recordedQueries = []string{
	"SELECT 1", "BEGIN", "BEGIN READ ONLY", "START TRANSACTION READ WRITE", "COMMIT", "ROLLBACK", "SAVEPOINT a", "SAVEPOINT b",
	"ROLLBACK TO a", "RELEASE a", "RELEASE b", "SET work_mem = '1MB'", "SET work_mem = '2MB'", "SET LOCAL work_mem = '3MB'", "RESET work_mem",
	"RESET ALL", "DISCARD ALL", "DEALLOCATE ALL", "DEALLOCATE s1", "SHOW wayloft.txn_type", "SET wayloft.txn_type = 'basket'",
	"SET wayloft.tenant TO acme", "SET default_transaction_read_only = on", "SET TRANSACTION READ ONLY", "LISTEN x",
	"CREATE TEMP TABLE t (a int)", "SELECT 1; SELECT 2", "BEGIN; INSERT INTO rows VALUES (1); COMMIT", "", ";",
	"/* id=1,c=basket,t=acme,d=480 */ SELECT 1", "SET long = '" + strings.Repeat("x", 300) + "'", "PREPARE p AS SELECT 1",
	"INSERT INTO rows VALUES (1)", "SELECT set_config('a', 'b', false)", "DECLARE c CURSOR WITH HOLD FOR SELECT 1", "BEGIN ISOLATION LEVEL SERIALIZABLE",
}

var recordedTags = []string{"SELECT 1", "BEGIN", "COMMIT", "ROLLBACK", "SET", "RESET", "SAVEPOINT", "RELEASE", "DISCARD ALL", "INSERT 0 1"}

// recordedSession applies random inputs to a session and records its decisions.
type recordedSession struct {
	rand       *rand.Rand
	session    *Session
	unit       []Message // messages for the member in the incomplete unit
	transcript strings.Builder
}

// TestRecordedDecisions compares the decisions on random inputs with the recorded ones. The recording is a digest of the transcript, so
// the texts written to the transcript must not change.
func TestRecordedDecisions(t *testing.T) {
	policies := []Policy{
		{MaxSettingsBytes: 200, MaxStatements: 3},
		{ReadClass: "read", WriteClass: "write", AllowSticky: true, MaxSettingsBytes: 400, MaxStatements: 5},
		{ReadClass: "read", AllowSticky: true, AlwaysSticky: true, MaxSettingsBytes: 100, MaxStatements: 2},
		{WriteClass: "write", MaxSettingsBytes: 1 << 12, MaxStatements: 8},
	}
	var out strings.Builder
	for seed := range uint64(16) {
		r := &recordedSession{rand: rand.New(rand.NewPCG(seed, 1)), session: New(policies[seed%4], settingsOf("work_mem='4MB'"))}
		for step := range 1000 {
			fmt.Fprintf(&r.transcript, "%d %d ", seed, step)
			r.step()
			r.recordState()
		}
		out.WriteString(r.transcript.String())
	}
	recording.Compare(t, "recorded-decisions.digest", out.String())
}

func (r *recordedSession) step() {
	switch draw := r.rand.IntN(100); {
	case draw < 25:
		sql := r.query()
		answer, messages := r.session.Query(sql, pg.AppendQuery(nil, sql), r.rand.IntN(2) == 0)
		fmt.Fprintf(&r.transcript, "query %.40q answer %q ops %s", sql, answer, recordedMessages(messages))
	case draw < 50:
		r.extended()
	case draw < 80:
		r.serverMessage()
	case draw < 84:
		answer, ok := r.session.LocalReply(r.unit)
		fmt.Fprintf(&r.transcript, "here %q %v", answer, ok)
		r.unit = nil
	case draw < 87:
		reply := r.session.ReplyInLostTransaction(r.unit)
		fmt.Fprintf(&r.transcript, "dead %q", reply.Answer)
		if reply.Messages != nil || reply.Failed {
			fmt.Fprintf(&r.transcript, " ops %s failed %v", recordedMessages(reply.Messages), reply.Failed)
		}
		r.unit = nil
	case draw < 90:
		fmt.Fprintf(&r.transcript, "begin %s", recordedMessages(r.session.FlushDeferredBegin()))
	case draw < 93:
		serverSettings := settingsOf(fmt.Sprintf("work_mem='%dMB'", r.rand.IntN(5)))
		fmt.Fprintf(&r.transcript, "on %q", settingsStatements(serverSettings, r.session.Settings()))
		r.session.AttachConnection(serverSettings)
	case draw < 97:
		before := r.rand.IntN(2) == 0
		fmt.Fprintf(&r.transcript, "brought %v %q", before, settingsStatements(r.session.ServerSettings(), r.session.Settings()))
		r.session.SettingsApplied(before)
	default:
		sent := r.rand.IntN(2) == 0
		fmt.Fprintf(&r.transcript, "lost %v %v", sent, r.session.ConnectionLost(sent))
		r.unit = nil
	}
}

// query draws a random statement.
func (r *recordedSession) query() string { return recordedQueries[r.rand.IntN(len(recordedQueries))] }

// extended passes a random extended query message to the session.
func (r *recordedSession) extended() {
	name, portal := []string{"", "s1", "s2", "s3"}[r.rand.IntN(4)], []string{"", "p1"}[r.rand.IntN(2)]
	sql := r.query()
	var encoded []byte
	switch r.rand.IntN(10) {
	case 0, 1:
		encoded = pg.AppendParse(nil, name, []byte(sql+"\x00\x00\x00"))
	case 2, 3:
		encoded = pg.AppendBind(nil, portal, name, []byte{0, 0, 0, 0, 0, 0})
	case 4:
		encoded = pg.AppendDescribe(nil, "SP"[r.rand.IntN(2)], name)
	case 5, 6:
		encoded = pg.AppendExecute(nil, portal)
	case 7:
		encoded = pg.AppendClose(nil, "SP"[r.rand.IntN(2)], name)
	case 8:
		encoded = pg.AppendEmptyMessage(nil, 'H')
	case 9:
		encoded = pg.AppendSync(nil)
	}
	messages := r.session.Extended(clientMessage(encoded))
	r.unit = append(r.unit, messages...)
	fmt.Fprintf(&r.transcript, "extended %q ops %s fail <nil>", encoded[:min(len(encoded), 40)], recordedMessages(messages))
}

// serverMessage passes a random message from the member to the session.
func (r *recordedSession) serverMessage() {
	kinds := []pg.Kind{pg.ParseComplete, pg.CloseComplete, pg.CommandComplete, pg.CommandComplete, pg.CommandComplete, pg.EmptyQuery,
		pg.PortalSuspended, pg.ErrorResponse, pg.ReadyForQuery, pg.ReadyForQuery, pg.ReadyForQuery}
	m := &pg.Message{Kind: kinds[r.rand.IntN(len(kinds))]}
	switch m.Kind {
	case pg.CommandComplete:
		m.Text = recordedTags[r.rand.IntN(len(recordedTags))]
	case pg.ErrorResponse:
		m.Error = &pg.Error{Code: "42601", Text: "syntax error"}
	case pg.ReadyForQuery:
		m.Status = "IITTE"[r.rand.IntN(5)]
	}
	r.session.ServerMessage(m)
	fmt.Fprintf(&r.transcript, "heard %d %q %d", m.Kind, m.Text, m.Status)
}

// recordState records all observable state of the session.
func (r *recordedSession) recordState() {
	attributes := r.session.RequestAttributes()
	id := ""
	if attributes.Label != nil {
		id = attributes.Label.ID
	}
	fmt.Fprintf(&r.transcript, " | %c pinned %q kept %v outside %v label %q %q %q %v own %q settings %s there %s\n",
		r.session.TransactionStatus(), r.session.stickyReason, r.session.Sticky(), noneInProgress(r.session),
		id, attributes.RequestClass, attributes.Tenant, attributes.Unclassified, r.session.RouterSetting("tenant"),
		describeSettings(r.session.Settings()), describeSettings(r.session.ServerSettings()))
}

// noneInProgress reports whether the session has neither an open transaction nor a unit in progress.
func noneInProgress(s *Session) bool {
	return s.status == StatusIdle && len(s.expected) == 0 && s.firstCommand == nil
}

// recordedActions maps actions to their names in the recording.
var recordedActions = map[Action]string{
	Forward:             "forward",
	Prepare:             "prepare",
	Bind:                "bind",
	DescribeStatement:   "about",
	AnswerLocally:       "local",
	Reject:              "reject",
	ForwardDiscardReply: "hidden",
}

func recordedMessages(messages []Message) string {
	var out []string
	for _, message := range messages {
		statement := ""
		if message.Statement != nil {
			statement = message.Statement.Tail.Value()
		}
		out = append(out, fmt.Sprintf("%s %d %q %.60q %.80q %v", recordedActions[message.Action], message.Kind, message.Portal, statement, message.Raw,
			message.Error))
	}
	return "[" + strings.Join(out, "; ") + "]"
}
