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
		return "SELECT 1", sql != "SELEKT"
	case pg.Begin, pg.Commit, pg.Rollback:
		return m.runTransaction(c), true
	case pg.Savepoint, pg.RollbackTo, pg.ReleaseSavepoint:
		return m.runSavepoint(c)
	case pg.Set:
		m.set(c)
		return "SET", true
	case pg.Reset:
		delete(m.settings, c.Name)
		delete(m.local, c.Name)
		return "RESET", true
	case pg.ResetAll:
		clear(m.settings)
		clear(m.local)
		return "RESET", true
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

func (m *serverModel) set(c pg.Command) {
	for _, pair := range c.Settings {
		name, value := pair.Name, pair.Value
		switch {
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

// modelPool runs a session over a pool of connections, as the router does, next to a reference server that has only this client.
type modelPool struct {
	t           *rapid.T
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
		p.attach(rapid.IntRange(0, len(p.connections)-1).Draw(p.t, "connection"))
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
	statements := []string{"SET a.x = '1'", "SET a.x = '2'", "SET a.y = '1'", "SET LOCAL a.x = '3'", "SET a.x TO DEFAULT", "RESET a.x",
		"RESET ALL", "BEGIN", "COMMIT", "ROLLBACK", "SAVEPOINT s", "SAVEPOINT s", "ROLLBACK TO s", "RELEASE s", "SELECT 1", "SELEKT",
		"SET a.x = '4'; SELECT 1", "SET a.y = '5'; SELEKT", "BEGIN; SET a.x = '6'; COMMIT", "SELECT 1; SET a.y = '7'; ROLLBACK"}
	rapid.Check(t, func(t *rapid.T) {
		p := &modelPool{
			t:           t,
			reference:   newServerModel(),
			connections: []*serverModel{newServerModel(), newServerModel(), newServerModel()},
			tracked:     []Settings{NoSettings, NoSettings, NoSettings},
			session:     New(Policy{MaxSettingsBytes: 1000, MaxStatements: 9}, NoSettings),
			attached:    notAttached,
		}
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
