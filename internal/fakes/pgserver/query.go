package pgserver

import (
	"fmt"
	"maps"
	"strconv"
	"strings"
	"time"

	"wayloft/internal/pg"
)

const (
	selectRow = "select blob from rows where handle ="
	// longRowBytes is the size of each row returned by the SQL function long, in bytes.
	longRowBytes = 1000
)

// work waits for the duration of a statement. If the statement is canceled, it writes the error and returns false.
func (c *connection) work(d time.Duration) bool {
	if d <= 0 {
		return true
	}
	c.server.mu.Lock()
	c.running = true
	c.server.mu.Unlock()
	defer func() {
		c.server.mu.Lock()
		c.running = false
		c.server.mu.Unlock()
	}()
	_ = c.flush() // if the connection has ended, the next read reports it
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-c.cancel:
		c.fail(pg.QueryCanceled, "canceling statement due to user request")
		return false
	}
}

func (c *connection) runStatement(sql string, args []string, simple bool) {
	cmd := pg.ParseCommand(sql)
	if c.status == failedStatus && cmd.Kind != pg.Commit && cmd.Kind != pg.Rollback && cmd.Kind != pg.RollbackTo {
		c.fail(pg.InFailedSQLTransaction, "current transaction is aborted")
		return
	}
	if c.status == idleStatus && !c.implicit && cmd.Kind != pg.Begin {
		c.implicit, c.implicitStart = true, len(c.out)
		c.savepoints = []savepoint{{settings: maps.Clone(c.settings)}}
	}
	if c.server.Delay != nil && !c.work(c.server.Delay()) {
		return
	}
	if c.server.OnStatement != nil {
		e := Event{ConnectionID: c.id, SQL: sql, Args: args, Settings: maps.Clone(c.settings)}
		if strings.Contains(sql, "note(") {
			e.Note = c.argument(sql, "note(", args)
		}
		c.server.mu.Lock()
		c.server.OnStatement(e)
		c.server.mu.Unlock()
	}
	switch cmd.Kind {
	case pg.OtherCommand, pg.Show:
		c.runQuery(sql, cmd, args, simple)
		return
	}
	c.runCommand(cmd)
}

// argument returns the value after the first occurrence of mark in a statement: a parameter or a literal.
func (c *connection) argument(sql, mark string, args []string) string {
	_, rest, ok := strings.Cut(sql, mark)
	if !ok {
		return ""
	}
	rest = strings.TrimLeft(rest, " (")
	return literal(rest, args)
}

// literal returns the value of the parameter reference or literal at the start of s.
func literal(s string, args []string) string {
	if n := 0; strings.HasPrefix(s, "$") {
		if _, err := fmt.Sscanf(s, "$%d", &n); err != nil {
			return ""
		}
		if n >= 1 && n <= len(args) {
			return args[n-1]
		}
		return ""
	}
	if strings.HasPrefix(s, "'") || strings.HasPrefix(s, " '") {
		s = strings.TrimSpace(s)
		for n := 1; n < len(s); n++ {
			if s[n] == '\'' && n+1 < len(s) && s[n+1] == '\'' {
				n++
			} else if s[n] == '\'' {
				return strings.ReplaceAll(s[1:n], "''", "'")
			}
		}
	}
	word, _, _ := strings.Cut(s, ")")
	word, _, _ = strings.Cut(word, ",")
	return strings.TrimSpace(word)
}

// runQuery runs a query, or any other statement that isn't handled by runCommand.
func (c *connection) runQuery(sql string, cmd pg.Command, args []string, simple bool) {
	normalized := strings.Join(strings.Fields(sql), " ")
	if end := strings.Index(normalized, "*/"); strings.HasPrefix(normalized, "/*") && end >= 0 {
		normalized = strings.TrimSpace(normalized[end+2:])
	}
	normalized = strings.TrimRight(normalized, "; ")
	lower := strings.ToLower(normalized)
	if c.runSwitchoverQuery(normalized, args, simple) {
		return
	}
	switch {
	case cmd.Kind == pg.Show && cmd.Name == "vitals":
		c.showVitals(simple)
	case cmd.Kind == pg.Show:
		c.writeRow(simple, cmd.Name, c.settings[cmd.Name])
		c.writeTag("SHOW")
	case strings.HasPrefix(lower, "insert into rows"):
		c.insert(normalized, lower, args, simple)
	case strings.HasPrefix(lower, selectRow):
		c.selectRow(literal(strings.TrimSpace(normalized[len(selectRow):]), args), simple)
	case strings.HasPrefix(lower, "prepare "):
		name, body, _ := strings.Cut(normalized[len("prepare "):], " ")
		c.sqlPrepared[strings.ToLower(name)] = strings.TrimSpace(body[len("as "):])
		c.writeTag("PREPARE")
	case strings.Contains(lower, "note("):
		c.writeRow(simple, "note", c.argument(normalized, "note(", args))
		c.writeTag("SELECT 1")
	case strings.HasPrefix(lower, "copy"):
		c.copy(lower, simple)
	case strings.HasPrefix(lower, "execute "):
		text, had := c.sqlPrepared[strings.TrimSpace(lower[len("execute "):])]
		if !had {
			c.fail(pg.InvalidSQLStatementName, "prepared statement does not exist")
			return
		}
		c.runQuery(text, pg.ParseCommand(text), nil, simple)
	case strings.HasPrefix(lower, "create"), strings.HasPrefix(lower, "listen"), strings.HasPrefix(lower, "set constraints"):
		c.writeTag(strings.ToUpper(strings.Fields(lower)[0]))
	default:
		c.runFunction(normalized, lower, args, simple)
	}
}

// showVitals responds to a health check with the position in seconds and whether the server is the primary.
func (c *connection) showVitals(simple bool) {
	at, role := c.server.applied(), 0
	if c.server.isPrimary() {
		role = 1
		at = nowMillis()
	}
	c.writeRow(simple, "vitals", fmt.Sprintf("x0=%.6f,x1=%d", at/1000, role))
	c.writeTag("SHOW")
}

// runFunction runs a SELECT without a table, such as a function call. It fails statements that it doesn't know with a syntax error.
func (c *connection) runFunction(normalized, lower string, args []string, simple bool) {
	switch {
	case strings.HasPrefix(lower, "select current_setting("):
		c.writeRow(simple, "current_setting", c.settings[strings.ToLower(c.argument(normalized, "current_setting(", args))])
		c.writeTag("SELECT 1")
	case strings.HasPrefix(lower, "select pg_sleep("):
		seconds, _ := strconv.ParseFloat(c.argument(normalized, "pg_sleep(", args), 64)
		if c.work(time.Duration(seconds * float64(time.Second))) {
			c.writeRow(simple, "pg_sleep", "")
			c.writeTag("SELECT 1")
		}
	case strings.HasPrefix(lower, "select pg_backend_pid()"):
		c.writeRow(simple, "pg_backend_pid", strconv.Itoa(c.id))
		c.writeTag("SELECT 1")
	case lower == "select 1":
		c.writeRow(simple, "?column?", "1")
		c.writeTag("SELECT 1")
	case strings.HasPrefix(lower, "select long("):
		n, _ := strconv.Atoi(c.argument(normalized, "long(", args))
		if simple {
			c.out = appendRowDescription(c.out, []string{"long"})
		}
		for range n {
			c.writeRow(false, "", strings.Repeat("x", longRowBytes))
		}
		c.writeTag("SELECT " + strconv.Itoa(n))
	default:
		c.fail("42601", "syntax error at or near \""+strings.Fields(lower + " ?")[0]+"\"")
	}
}

func (c *connection) insert(normalized, lower string, args []string, simple bool) {
	if !c.server.isPrimary() {
		c.writePosition(c.server.applied())
		c.fail(pg.ReadOnlySQLTransaction, "cannot execute INSERT in a read-only transaction")
		return
	}
	if c.readOnly {
		c.fail(pg.ReadOnlySQLTransaction, "cannot execute INSERT in a read-only transaction")
		return
	}
	_, afterValues, _ := strings.Cut(lower, "values")
	from := len(normalized) - len(afterValues)
	first, second := splitInsertValues(strings.TrimLeft(normalized[from:], " ("))
	handle, blob := literal(first, args), literal(second, args)
	c.writes = append(c.writes, [2]string{handle, blob})
	if strings.Contains(lower, "returning") {
		c.writeRow(simple, "blob", blob)
	}
	c.writeTag("INSERT 0 1")
}

func (c *connection) selectRow(handle string, simple bool) {
	at := c.server.applied()
	c.writePosition(at)
	value, found := c.server.Cluster.read(handle, at)
	for _, write := range c.writes {
		if write[0] == handle {
			value, found = write[1], true
		}
	}
	if simple {
		c.out = appendRowDescription(c.out, []string{"blob"})
	}
	if found {
		c.writeRow(false, "", value)
		c.writeTag("SELECT 1")
	} else {
		c.writeTag("SELECT 0")
	}
}

// splitInsertValues splits the two values of an INSERT at the first comma outside of quotes.
func splitInsertValues(s string) (a, b string) {
	quoted := false
	for n := 0; n < len(s); n++ {
		if s[n] == '\'' {
			quoted = !quoted
		} else if s[n] == ',' && !quoted {
			return s[:n], strings.TrimSpace(s[n+1:])
		}
	}
	return s, ""
}
