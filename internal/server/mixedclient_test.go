package server

import (
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"time"

	"wayloft/internal/fakes"
	"wayloft/internal/pg"
)

// settingNames are the settings that clients set. The owner is set to the client's id in the startup message.
var settingNames = []string{"owner", "x", "y"}

// mixedClient is one client of the mixed run. It tracks what it has set, prepared and written.
type mixedClient struct {
	id            int
	client        *fakes.Client
	random        *rand.Rand
	settings      map[string]string // current values
	committed     map[string]string // values after a rollback
	inTransaction bool
	prepared      map[string]string // text of each prepared statement, by name
	lastWritten   string            // value of the client's own row; empty if unknown
	transactions  int
	codes         map[string]int // number of errors by SQLSTATE
	failure       string         // the first violation
}

// note returns the client's id and settings in the form in which its statements carry them to the member.
func (m *mixedClient) note() string {
	out := fmt.Sprintf("c%d", m.id)
	for _, name := range settingNames {
		out += " " + name + "=" + m.settings[name]
	}
	return out
}

func clone(in map[string]string) map[string]string {
	out := map[string]string{}
	for k, v := range in {
		out[k] = v
	}
	return out
}

// ask sends a simple query. ok is false after an error, such as a rejection or a lost transaction, or a disconnect.
func (m *mixedClient) ask(sql string) (answer string, ok bool) {
	m.client.SendQuery(sql)
	return m.readAnswer(sql)
}

// readAnswer reads the response to a query and counts the errors that the run expects.
func (m *mixedClient) readAnswer(sql string) (answer string, ok bool) {
	answer = m.client.ReadResponse()
	for _, code := range []string{"53300", "08006", "08007", "40001", "25P02", "57014", "XX000"} {
		if strings.Contains(answer, code) {
			m.codes[code]++
			m.settings, m.inTransaction = clone(m.committed), false
			if strings.HasSuffix(answer, "ready") {
				m.client.SendQuery("ROLLBACK")
				m.client.ReadResponse()
			}
			return answer, false
		}
	}
	if strings.Contains(answer, "closed") {
		m.failure = fmt.Sprintf("client %d was disconnected after %q: %q", m.id, sql, answer)
		return answer, false
	}
	return answer, true
}

// fail records a violation, unless one is already recorded.
func (m *mixedClient) fail(format string, args ...any) {
	if m.failure == "" {
		m.failure = fmt.Sprintf("client %d: ", m.id) + fmt.Sprintf(format, args...)
	}
}

// checkSettings sends a note by a simple query, or a named or unnamed prepared statement, and checks the response.
func (m *mixedClient) checkSettings() {
	note := m.note()
	var answer string
	var ok bool
	switch m.random.IntN(3) {
	case 0:
		answer, ok = m.ask("SELECT note('" + note + "')")
	case 1: // a prepared statement whose name all clients share and whose text depends on the client
		text := m.prepared["p"]
		if text == "" {
			text = fmt.Sprintf("SELECT /* %d */ note($1)", m.id%7)
			m.client.Send(string(pg.AppendSync(pg.AppendParse(nil, "p", []byte(text+"\x00\x00\x00")))))
			if _, ok = m.readAnswer("parse"); !ok {
				return
			}
			m.prepared["p"] = text
		}
		m.client.Send(string(pg.AppendSync(pg.AppendExecute(pg.AppendBind(nil, "", "p", bindTail(note)), ""))))
		answer, ok = m.readAnswer("execute")
	case 2:
		out := pg.AppendParse(nil, "", []byte("SELECT note($1)\x00\x00\x00"))
		m.client.Send(string(pg.AppendSync(pg.AppendExecute(pg.AppendBind(out, "", "", bindTail(note)), ""))))
		answer, ok = m.readAnswer("execute")
	}
	if ok && answer != note+" ok ready" {
		m.fail("sent note %q, got %q", note, answer)
	}
}

// bindTail returns the part of a Bind message that follows the names, with one parameter.
func bindTail(s string) []byte {
	out := []byte{0, 0, 0, 1, 0, 0, byte(len(s) >> 8), byte(len(s))}
	return append(append(out, s...), 0, 0)
}

func (m *mixedClient) changeSetting() {
	name, v := settingNames[1+m.random.IntN(2)], fmt.Sprint(m.random.IntN(3))
	if _, ok := m.ask(fmt.Sprintf("SET m.%s = '%s'", name, v)); ok {
		m.settings[name] = v
		if !m.inTransaction {
			m.committed = clone(m.settings)
		}
	}
}

// runTransaction runs one randomly chosen kind of transaction.
func (m *mixedClient) runTransaction() {
	m.transactions++
	switch m.random.IntN(11) {
	case 10:
		m.cancelSleep()
	case 0:
		m.changeSetting()
		m.checkSettings()
	case 1:
		m.changeSettingInTransaction()
	case 2:
		m.changeLocalSetting()
	case 3, 4, 5:
		m.writeRow()
	case 6:
		m.readOwnWrite()
	case 7:
		m.checkSettings()
	case 8:
		m.sendErrorInPipeline()
	case 9:
		m.discardAll()
		m.checkSettings()
	}
}

// cancelSleep sends a cancel request that may arrive too early, in time, or as the statement ends.
func (m *mixedClient) cancelSleep() {
	m.client.SendQuery("SELECT pg_sleep(0.004)")
	if m.random.IntN(2) == 0 {
		time.Sleep(time.Duration(m.random.IntN(30)) * time.Millisecond)
	}
	if c, err := net.Dial("tcp", m.client.RemoteAddr().String()); err == nil {
		_, _ = c.Write(pg.AppendCancelRequest(nil, m.client.Key))
		closeSocket(c)
	}
	if answer, ok := m.readAnswer("a sleep"); ok && answer != " ok ready" {
		m.fail("response to a sleep: %q", answer)
	}
}

// changeSettingInTransaction sets a setting in a transaction that commits or rolls back.
func (m *mixedClient) changeSettingInTransaction() {
	if _, ok := m.ask("BEGIN"); !ok {
		return
	}
	m.inTransaction = true
	m.changeSetting()
	if m.inTransaction {
		m.checkSettings()
	}
	if !m.inTransaction {
		return
	}
	m.inTransaction = false
	if m.random.IntN(2) == 0 {
		if _, ok := m.ask("COMMIT"); ok {
			m.committed = clone(m.settings)
		}
	} else if _, ok := m.ask("ROLLBACK"); ok {
		m.settings = clone(m.committed)
	}
}

// changeLocalSetting changes a setting for one transaction only.
func (m *mixedClient) changeLocalSetting() {
	if _, ok := m.ask("BEGIN"); !ok {
		return
	}
	if _, ok := m.ask("SET LOCAL m.x = 'local'"); !ok {
		return
	}
	m.settings["x"] = "local"
	m.checkSettings()
	if m.settings["x"] == "local" {
		m.ask("COMMIT")
	}
	m.settings = clone(m.committed)
	m.checkSettings()
}

// writeRow writes the client's own row and reads it back, on any connection and member.
func (m *mixedClient) writeRow() {
	v := fmt.Sprintf("%d-%d", m.id, m.transactions)
	sql := fmt.Sprintf("INSERT INTO rows (handle, blob) VALUES ('own%d', '%s') RETURNING blob", m.id, v)
	if answer, ok := m.ask(sql); !ok {
		if !strings.Contains(answer, "53300") {
			m.lastWritten = "" // the outcome of the write is unknown
		}
		return
	}
	m.lastWritten = v
	m.readOwnWrite()
}

func (m *mixedClient) sendErrorInPipeline() {
	out := pg.AppendParse(nil, "", []byte("SELEKT\x00\x00\x00"))
	out = pg.AppendExecute(pg.AppendBind(out, "", "", []byte{0, 0, 0, 0, 0, 0}), "")
	m.client.Send(string(pg.AppendSync(out)))
	if answer, ok := m.readAnswer("a syntax error"); ok && answer != "42601 ready" {
		m.fail("response to a syntax error: %q", answer)
	}
}

// discardAll resets the session to its startup settings, one time in four.
func (m *mixedClient) discardAll() {
	if m.random.IntN(4) != 0 {
		return
	}
	if _, ok := m.ask("DISCARD ALL"); ok {
		m.settings = map[string]string{"owner": fmt.Sprint(m.id)}
		m.committed = clone(m.settings)
		m.prepared = map[string]string{}
	}
}

// readOwnWrite checks that a read of the client's own row is not older than its last write.
func (m *mixedClient) readOwnWrite() {
	if m.lastWritten == "" {
		return
	}
	sql := fmt.Sprintf("BEGIN READ ONLY; SELECT blob FROM rows WHERE handle = 'own%d'; COMMIT", m.id)
	if answer, ok := m.ask(sql); ok && answer != "ok "+m.lastWritten+" ok ok ready" {
		m.fail("last write %q, but a later read returned %q", m.lastWritten, answer)
	}
}
