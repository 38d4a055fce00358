package session

import (
	"maps"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"wayloft/internal/pg"
)

// serverModel is a simple model of a server's settings for one session. Each savepoint is a full copy of the settings.
type serverModel struct {
	settings   map[string]string
	local      map[string]string // set by SET LOCAL; overrides settings until the transaction ends
	savepoints []modelSavepoint  // the first one is the start of the transaction
	status     byte
}

type modelSavepoint struct {
	name            string
	settings, local map[string]string
}

func newServerModel() *serverModel {
	return &serverModel{settings: map[string]string{}, local: map[string]string{}, status: StatusIdle}
}

func (m *serverModel) save(name string) {
	m.savepoints = append(m.savepoints, modelSavepoint{name, maps.Clone(m.settings), maps.Clone(m.local)})
}

func (m *serverModel) restore(n int) {
	m.settings, m.local = maps.Clone(m.savepoints[n].settings), maps.Clone(m.savepoints[n].local)
}

// run executes one statement as a server would; it reports false for an error.
func (m *serverModel) run(sql string) (tag string, ok bool) {
	c := pg.ParseCommand(sql)
	if m.status == StatusFailed && c.Kind != pg.Commit && c.Kind != pg.Rollback && c.Kind != pg.RollbackTo {
		return "", false
	}
	switch c.Kind {
	case pg.OtherCommand:
		return "SELECT 1", strings.TrimSpace(sql) != "SELEKT"
	case pg.Begin, pg.Commit, pg.Rollback:
		return m.runTransaction(c), true
	case pg.Savepoint, pg.RollbackTo, pg.ReleaseSavepoint:
		return m.runSavepoint(c)
	case pg.Set:
		m.set(c)
		return "SET", true
	case pg.Reset:
		m.set(pg.Command{Settings: []pg.Setting{{Name: c.Name}}})
		return "RESET", true
	case pg.ResetAll:
		m.resetAll()
		return "RESET", true
	case pg.DiscardAll:
		if m.status != StatusIdle {
			return "", false
		}
		m.set(pg.Command{Settings: []pg.Setting{{Name: "session_authorization"}}})
		m.resetAll()
		return "DISCARD ALL", true
	}
	return "", false
}

func (m *serverModel) runTransaction(c pg.Command) (tag string) {
	if c.Kind == pg.Begin {
		if m.status == StatusIdle {
			m.status, m.savepoints = StatusInTransaction, nil
			m.save("")
		}
		return "BEGIN"
	}
	tag = "COMMIT"
	if m.status == StatusFailed || c.Kind == pg.Rollback {
		tag = "ROLLBACK"
		if m.status != StatusIdle {
			m.restore(0)
		}
	}
	m.status, m.savepoints, m.local = StatusIdle, nil, map[string]string{}
	return tag
}

func (m *serverModel) runSavepoint(c pg.Command) (tag string, ok bool) {
	if c.Kind == pg.Savepoint {
		if m.status == StatusIdle {
			return "", false
		}
		m.save(c.Name)
		return "SAVEPOINT", true
	}
	for n := len(m.savepoints) - 1; n > 0; n-- {
		if m.savepoints[n].name != c.Name {
			continue
		}
		if c.Kind == pg.ReleaseSavepoint {
			m.savepoints = m.savepoints[:n]
			return "RELEASE", true
		}
		m.restore(n)
		m.savepoints, m.status = m.savepoints[:n+1], StatusInTransaction
		return "ROLLBACK", true
	}
	return "", false
}

// resetAll resets all settings but those marked GUC_NO_RESET_ALL.
func (m *serverModel) resetAll() {
	for _, settings := range []map[string]string{m.settings, m.local} {
		maps.DeleteFunc(settings, func(name, _ string) bool { return name != "role" && name != "session_authorization" })
	}
}

// set sets settings. As in PostgreSQL, a session authorization also sets the role to none; its reset resets the role.
func (m *serverModel) set(c pg.Command) {
	for _, pair := range c.Settings {
		name, value := pair.Name, pair.Value
		if name == "session_authorization" {
			role := pg.Setting{Name: "role"}
			if value != "" {
				role.Value = "none"
			}
			m.set(pg.Command{Local: c.Local, Settings: []pg.Setting{role}})
		}
		switch {
		case strings.HasPrefix(name, "transaction_"): // ends with the transaction
		case c.Local && m.status == StatusIdle:
		case c.Local:
			m.local[name] = value
		case value == "":
			delete(m.settings, name)
			delete(m.local, name)
		default:
			m.settings[name] = value
			delete(m.local, name)
		}
	}
}

// query executes a simple query, including the rollback of its implicit transaction, and passes the reply messages to receive.
func (m *serverModel) query(sql string, receive func(pg.Message)) {
	var implicit map[string]string // the settings at the start of an implicit transaction
	for _, text := range pg.SplitStatements(sql) {
		if m.status == StatusIdle && implicit == nil {
			implicit = maps.Clone(m.settings)
		}
		tag, ok := m.run(text)
		if !ok {
			receive(pg.Message{Kind: pg.ErrorResponse})
			m.fail(implicit)
			break
		}
		if tag == "ROLLBACK" && implicit != nil { // ROLLBACK rolls back the implicit transaction
			m.settings = implicit
		}
		receive(pg.Message{Kind: pg.CommandComplete, Text: tag})
		if m.status != StatusIdle || tag == "COMMIT" || tag == "ROLLBACK" {
			implicit = nil
		}
	}
	receive(pg.Message{Kind: pg.ReadyForQuery, Status: m.status})
}

// fail handles an error. Outside an explicit transaction it rolls back the implicit one, which began with the given settings.
func (m *serverModel) fail(implicit map[string]string) {
	switch m.status {
	case StatusInTransaction:
		m.status = StatusFailed
	case StatusIdle:
		m.settings = implicit
	}
}

// describe formats the settings like describeSettings.
func (m *serverModel) describe() string {
	var words []string
	for _, name := range slices.Sorted(maps.Keys(m.settings)) {
		words = append(words, name+"="+m.settings[name])
	}
	return strings.Join(words, " ")
}

// testingT is the common subset of *testing.T and *rapid.T that a modelPool uses.
type testingT interface {
	Fatalf(format string, args ...any)
}

func newModelPool(t testingT, choose func() int) *modelPool {
	return &modelPool{
		t:           t,
		choose:      choose,
		reference:   newServerModel(),
		connections: []*serverModel{newServerModel(), newServerModel(), newServerModel()},
		tracked:     []Settings{NoSettings, NoSettings, NoSettings},
		session:     New(Policy{MaxSettingsBytes: 1000, MaxStatements: 9}, NoSettings),
		attached:    notAttached,
	}
}

// modelPool runs a session over a pool of connections, as the router does, next to a reference server that has only this client.
type modelPool struct {
	t           testingT
	choose      func() int // returns the index of the connection that the session gets next
	reference   *serverModel
	connections []*serverModel
	tracked     []Settings // settings of each connection as tracked by the router
	session     *Session
	attached    int // index of the session's connection, or notAttached
}

const notAttached = -1

// query sends a client query and passes messages between the session and its connection.
func (p *modelPool) query(sql string) {
	_, messages := p.session.Query(sql, pg.AppendQuery(nil, sql), p.attached >= 0)
	if messages != nil && p.attached == notAttached {
		p.attach(p.choose())
	}
	for _, message := range messages {
		p.connections[p.attached].query(queryText(message), func(m pg.Message) {
			if message.Action != ForwardDiscardReply {
				p.session.ServerMessage(&m)
			}
		})
	}
}

// attach gives the session a connection and applies the session's settings to it.
func (p *modelPool) attach(n int) {
	p.attached = n
	p.session.AttachConnection(p.tracked[n])
	for _, text := range p.session.SettingsStatements() {
		p.connections[n].query(text, func(m pg.Message) {
			if m.Kind == pg.ErrorResponse {
				p.t.Fatalf("the server rejected %s", text)
			}
		})
	}
	p.session.SettingsApplied(true)
}

// release detaches the connection from the session if no transaction is open.
func (p *modelPool) release(sql string) {
	if p.attached == notAttached || p.session.TransactionStatus() != StatusIdle {
		return
	}
	p.tracked[p.attached] = p.session.ServerSettings()
	connection := p.connections[p.attached]
	got, want := describeSettings(p.tracked[p.attached]), connection.describe()
	if got != want || connection.status != StatusIdle {
		p.t.Fatalf("after %q: connection has settings [%s], session expects [%s]", sql, want, got)
	}
	p.attached = notAttached
}

// TestSession_SettingsFollowClient runs random SET, RESET, transaction and savepoint statements over random connections. After each
// transaction, the connection must have the settings that the session expects, and the session must have the settings that a single
// server would have.
func TestSession_SettingsFollowClient(t *testing.T) {
	statements := []string{"SET ROLE r", "SET LOCAL ROLE q", "SET ROLE NONE", "RESET ROLE", "SET SESSION AUTHORIZATION u",
		"SET LOCAL SESSION AUTHORIZATION v",
		"RESET SESSION AUTHORIZATION", "SET SESSION AUTHORIZATION DEFAULT", "DISCARD ALL", "SET transaction_read_only = on",
		"SELECT 1; RESET ALL", "SET ROLE r; SELEKT", "BEGIN; SET ROLE s; RESET ALL; COMMIT", "BEGIN; SET ROLE s; RESET ALL; ROLLBACK",
		"SET a.x = '1'", "SET a.x = '2'", "SET a.y = '1'", "SET LOCAL a.x = '3'", "SET a.x TO DEFAULT", "RESET a.x",
		"RESET ALL", "BEGIN", "COMMIT", "ROLLBACK", "SAVEPOINT s", "SAVEPOINT s", "ROLLBACK TO s", "RELEASE s", "SELECT 1", "SELEKT",
		"SET a.x = '4'; SELECT 1", "SET a.y = '5'; SELEKT", "BEGIN; SET a.x = '6'; COMMIT", "SELECT 1; SET a.y = '7'; ROLLBACK"}
	rapid.Check(t, func(t *rapid.T) {
		var p *modelPool
		p = newModelPool(t, func() int { return rapid.IntRange(0, len(p.connections)-1).Draw(t, "connection") })
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			sql := rapid.SampledFrom(statements).Draw(t, "sql")
			p.reference.query(sql, func(pg.Message) {})
			if p.reference.status == StatusFailed && p.session.TransactionStatus() == StatusIdle {
				t.Fatal("the reference server has a failed transaction, the session has none")
			}
			p.query(sql)
			p.release(sql)
			status := p.session.TransactionStatus()
			if status != p.reference.status {
				t.Fatalf("after %q: status %c, on the reference server %c", sql, status, p.reference.status)
			}
			if got, want := describeSettings(p.session.Settings()), p.reference.describe(); status == StatusIdle && got != want {
				t.Fatalf("after %q: session has settings [%s], the reference server [%s]", sql, got, want)
			}
		}
	})
}

// Guards against a role that one client has set and the next one gets: RESET ALL leaves role and session_authorization as they are. Each row is a
// sequence of statements, each run on the next connection, and the settings of the session after it. A reference server with this client
// alone must have the same, and the connections those that the session expects of them.
func TestSession_RoleByCommand(t *testing.T) {
	for _, c := range []struct{ statements, want string }{
		{"SET ROLE r", "role=r"},
		{"SET ROLE r|RESET ALL", "role=r"},
		{"SET ROLE r; RESET ALL", "role=r"},
		{"SET ROLE r|SELECT 1; RESET ALL|SELECT 1", "role=r"},
		{"SET ROLE r|SET a.x = '1'|SELECT 1; RESET ALL", "role=r"},
		{"SET ROLE r|RESET ROLE", ""},
		{"SET ROLE r|SET ROLE DEFAULT", ""},
		{"SET ROLE r|SET ROLE NONE", "role=NONE"},
		{"SET ROLE r|DISCARD ALL", ""},
		{"SET ROLE r|SELECT 1|DISCARD ALL|SELECT 1", ""},
		{"SET SESSION AUTHORIZATION u", "role=none session_authorization=u"},
		{"SET ROLE r|SET SESSION AUTHORIZATION u", "role=none session_authorization=u"},
		{"SET SESSION AUTHORIZATION u|SET ROLE r|RESET ALL", "role=r session_authorization=u"},
		{"SET SESSION AUTHORIZATION u|SET ROLE r|RESET SESSION AUTHORIZATION", ""},
		{"SET SESSION AUTHORIZATION u|SET ROLE r|SET SESSION AUTHORIZATION DEFAULT|SELECT 1", ""},
		{"SET SESSION AUTHORIZATION u|SET ROLE r|DISCARD ALL", ""},
		{"SET SESSION AUTHORIZATION u|RESET ROLE|SELECT 1", "session_authorization=u"},
		{"BEGIN|SET ROLE r|RESET ALL|COMMIT", "role=r"},
		{"BEGIN|SET ROLE r|RESET ALL|ROLLBACK", ""},
		{"SET ROLE r|BEGIN|RESET ROLE|ROLLBACK", "role=r"},
		{"SET ROLE r|BEGIN|SET LOCAL ROLE q|RESET ALL|COMMIT", "role=r"},
		{"BEGIN|SET LOCAL ROLE q|COMMIT", ""},
		{"SET ROLE r|BEGIN|SET LOCAL SESSION AUTHORIZATION u|COMMIT|SELECT 1", "role=r"},
		{"BEGIN|SAVEPOINT s|SET ROLE r|ROLLBACK TO s|RESET ALL|COMMIT", ""},
		{"SET ROLE r; SELEKT", ""},
		{"SET transaction_read_only = on|SELECT 1", ""},
	} {
		t.Run(c.statements, func(t *testing.T) {
			next := 0
			var p *modelPool
			p = newModelPool(t, func() int { next++; return next % len(p.connections) })
			for sql := range strings.SplitSeq(c.statements, "|") {
				p.reference.query(sql, func(pg.Message) {})
				p.query(sql)
				p.release(sql)
			}
			if got := describeSettings(p.session.Settings()); got != c.want || p.reference.describe() != c.want {
				t.Errorf("session has settings [%s], the reference server [%s], want [%s]", got, p.reference.describe(), c.want)
			}
		})
	}
}
