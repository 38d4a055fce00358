package main

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"time"
)

// database is one set of rows, kept by a primary. A row counts once its transaction has committed.
type database struct {
	rec  *record
	mu   sync.Mutex
	rows map[string]string // committed, by handle
}

func newDatabase(rec *record) *database { return &database{rec: rec, rows: map[string]string{}} }

func (d *database) get(handle string) (value string, found bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	value, found = d.rows[handle]
	return value, found
}

func (d *database) commit(rows [][2]string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, row := range rows {
		d.rows[row[0]] = row[1]
	}
}

// Transaction statuses, as in ReadyForQuery.
const (
	statusIdle   byte = 'I'
	statusBlock  byte = 'T'
	statusFailed byte = 'E'
)

// dbSession is the session of one connection to the database. It has the transactions of PostgreSQL's protocol: a simple query outside
// a block commits at its end; extended messages outside a block commit at Sync; a connection that ends rolls back what is open.
type dbSession struct {
	db      *database
	name    string // of the connection, in the record
	role    string // as in the parameter rank
	status  byte
	pending [][2]string // rows of the open transaction
	failed  bool        // an error has come since the last ReadyForQuery

	prepared map[string]string
	portals  map[string]string
	out      []byte
}

func newDBSession(db *database, name, role string) *dbSession {
	return &dbSession{db: db, name: name, role: role, status: statusIdle, prepared: map[string]string{}, portals: map[string]string{}}
}

var (
	commentPattern = regexp.MustCompile(`^\s*/\*.*?\*/\s*`)
	insertPattern  = regexp.MustCompile(`(?i)^INSERT INTO rows \(handle, blob\) VALUES \('([^']*)', '([^']*)'\) RETURNING blob$`)
	selectPattern  = regexp.MustCompile(`(?i)^SELECT blob FROM rows WHERE handle = '([^']*)'$`)
)

// handle handles one message; out then holds what is to be sent. It returns false where the connection is to end.
func (s *dbSession) handle(m message) bool {
	if s.failed && m.kind != 'S' && m.kind != 'X' {
		return true // after an error in extended messages all is skipped up to Sync
	}
	switch m.kind {
	case 'Q':
		sql, _ := cutCString(m.body)
		s.run(sql, true)
		s.endUnit()
	case 'P':
		name, rest := cutCString(m.body)
		s.prepared[name], _ = cutCString(rest)
		s.out = appendMessage(s.out, '1', nil)
	case 'B':
		s.bind(m.body)
	case 'D':
		s.out = appendMessage(s.out, 'n', nil)
	case 'E':
		portal, _ := cutCString(m.body)
		s.run(s.portals[portal], false)
	case 'C':
		s.out = appendMessage(s.out, '3', nil)
	case 'S':
		s.endUnit()
	case 'X':
		return false
	}
	return true
}

func (s *dbSession) bind(body []byte) {
	portal, rest := cutCString(body)
	name, _ := cutCString(rest)
	sql, found := s.prepared[name]
	if !found {
		s.fail("26000", "prepared statement does not exist")
		return
	}
	s.portals[portal] = sql
	s.out = appendMessage(s.out, '2', nil)
}

// run runs one statement.
func (s *dbSession) run(sql string, simple bool) {
	sql = strings.TrimSpace(commentPattern.ReplaceAllString(sql, ""))
	word := strings.ToUpper(strings.SplitN(sql+" ", " ", 2)[0])
	if s.status == statusFailed && word != "COMMIT" && word != "ROLLBACK" {
		s.fail("25P02", "current transaction is aborted")
		return
	}
	switch word {
	case "":
		s.out = appendMessage(s.out, 'I', nil)
	case "BEGIN":
		s.status = statusBlock // what an implicit transaction has run so far belongs to the block
		s.out = appendComplete(s.out, "BEGIN")
	case "COMMIT", "ROLLBACK":
		s.endBlock(word == "COMMIT" && s.status != statusFailed)
	case "INSERT":
		s.insert(sql, simple)
	case "SELECT":
		s.read(sql, simple)
	case "SHOW":
		s.row(simple, "vitals", "x0="+strconv.FormatFloat(unixMs()/1000, 'f', 6, 64)+",x1="+map[string]string{"source": "1"}[s.role]+
			map[string]string{"copy": "0"}[s.role], "SHOW")
	case "SET", "RESET":
		if strings.HasSuffix(sql, " AS TRANSACTION") {
			s.fail("42601", "syntax error at end of input")
			return
		}
		s.out = appendComplete(s.out, word)
	case "DISCARD":
		clear(s.prepared)
		s.out = appendComplete(s.out, "DISCARD ALL")
	default:
		s.fail("42601", "not understood: "+sql)
	}
}

func (s *dbSession) insert(sql string, simple bool) {
	parts := insertPattern.FindStringSubmatch(sql)
	switch {
	case parts == nil:
		s.fail("42601", "not understood: "+sql)
	case s.role != "source":
		s.fail("25006", "cannot execute INSERT in a read-only transaction")
	default:
		s.pending = append(s.pending, [2]string{parts[1], parts[2]})
		s.db.rec.line("%s runs INSERT of %s", s.name, parts[1])
		s.row(simple, "blob", parts[2], "INSERT 0 1")
	}
}

func (s *dbSession) read(sql string, simple bool) {
	if sql == "SELECT 1" {
		s.row(simple, "?column?", "1", "SELECT 1")
		return
	}
	parts := selectPattern.FindStringSubmatch(sql)
	if parts == nil {
		s.fail("42601", "not understood: "+sql)
		return
	}
	value, _ := s.db.get(parts[1])
	for _, row := range s.pending {
		if row[0] == parts[1] {
			value = row[1]
		}
	}
	s.row(simple, "blob", value, "SELECT 1")
}

func (s *dbSession) row(simple bool, column, value, tag string) {
	if simple {
		s.out = appendRowDescription(s.out, column)
	}
	s.out = appendComplete(appendDataRow(s.out, value), tag)
}

func (s *dbSession) fail(code, text string) {
	s.out = appendError(s.out, code, text)
	s.failed = true
	if s.status == statusBlock {
		s.status = statusFailed
	}
}

// endBlock ends the transaction at COMMIT or ROLLBACK.
func (s *dbSession) endBlock(commit bool) {
	tag := "ROLLBACK"
	if commit {
		tag = "COMMIT"
	}
	s.endTransaction(commit, tag)
	s.out = appendComplete(s.out, tag)
}

func (s *dbSession) endTransaction(commit bool, why string) {
	if len(s.pending) > 0 {
		s.db.rec.line("%s %s: %s", s.name, map[bool]string{true: "commits", false: "rolls back"}[commit]+" at "+why, handles(s.pending))
	}
	if commit {
		s.db.commit(s.pending)
	}
	s.status, s.pending = statusIdle, nil
}

// endUnit ends a simple query, or extended messages at Sync.
func (s *dbSession) endUnit() {
	if s.status == statusIdle {
		s.endTransaction(!s.failed, "the end of a query")
	}
	s.failed = false
	s.out = appendParameter(s.out, "rank", s.role)
	s.out = appendParameter(s.out, "as_of", strconv.FormatFloat(unixMs(), 'f', 0, 64))
	s.out = appendReady(s.out, s.status)
}

// end rolls back what is open as the connection ends.
func (s *dbSession) end() {
	if len(s.pending) > 0 || s.status != statusIdle {
		s.endTransaction(false, "the end of the connection")
	}
}

func handles(rows [][2]string) string {
	var all []string
	for _, row := range rows {
		all = append(all, row[0])
	}
	return strings.Join(all, " ")
}

func unixMs() float64 { return float64(time.Now().UnixMicro()) / 1000 }

func insertStatement(handle, value string) string {
	return fmt.Sprintf("INSERT INTO rows (handle, blob) VALUES ('%s', '%s') RETURNING blob", handle, value)
}

func selectStatement(handle string) string {
	return fmt.Sprintf("SELECT blob FROM rows WHERE handle = '%s'", handle)
}
