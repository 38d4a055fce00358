package main

import (
	"strconv"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

// user returns the user whose rights the connection has.
func (d *backend) user() string {
	for _, name := range []string{"role", "session_authorization"} {
		if value := d.sessionRole[name]; value != "" {
			return value
		}
	}
	return "api"
}

// statement runs one statement.
func (d *backend) statement(sql string) error {
	words := strings.Fields(sql)
	first := strings.ToUpper(words[0])
	if d.status == 'E' && first != "ROLLBACK" && first != "COMMIT" {
		return &stateError{"25P02", "current transaction is aborted"}
	}
	if d.switchoverStatement(sql) {
		return nil
	}
	switch first {
	case "BEGIN", "COMMIT", "ROLLBACK":
		d.transaction(first)
	case "INSERT":
		return d.insert(sql)
	case "SET":
		return d.set(words[1:])
	case "RESET":
		d.reset(words[1:])
	case "DISCARD":
		d.settings, d.sessionRole, d.prepared = map[string]string{}, map[string]string{}, map[string]string{}
		d.complete("DISCARD ALL")
	case "SHOW":
		d.show(words[1])
	case "SELECT":
		return d.query(sql, words)
	case "PREPARE":
		d.prepared[words[1]] = strings.Join(words[3:], " ")
		d.complete("PREPARE")
	case "EXECUTE":
		text, known := d.prepared[words[1]]
		if !known {
			return &stateError{"26000", "prepared statement " + strconv.Quote(words[1]) + " does not exist"}
		}
		return d.statement(text)
	case "CLOSE", "UNLISTEN":
		d.complete(first)
	default:
		return &stateError{"42601", "syntax error at or near " + words[0]}
	}
	return nil
}

func (d *backend) transaction(first string) {
	switch first {
	case "BEGIN":
		d.status = 'T'
		if d.atBegin == nil {
			d.atBegin = copyOf(d.settings)
		}
	case "COMMIT":
		if d.status == 'E' {
			d.rollBack()
			first = "ROLLBACK"
		} else {
			d.commit()
		}
		d.status = 'I'
	case "ROLLBACK":
		d.rollBack()
		d.status = 'I'
	}
	d.complete(first)
}

// insert runs INSERT INTO rows (handle, blob) VALUES ('h', 'b').
func (d *backend) insert(sql string) error {
	if !d.m.isPrimary() {
		return &stateError{"25006", "cannot execute INSERT in a read-only transaction"}
	}
	parts := strings.Split(sql, "'")
	if len(parts) < 4 {
		return &stateError{"42601", "syntax error in INSERT"}
	}
	time.Sleep(d.m.work)
	d.m.awaitResume()
	d.m.cluster.mu.Lock()
	d.m.cluster.lastID++
	d.lastValue = d.m.cluster.lastID
	d.m.cluster.mu.Unlock()
	d.writes = append(d.writes, commit{handle: parts[1], blob: parts[3], by: d.m.name, role: d.user()})
	if strings.Contains(strings.ToUpper(sql), "RETURNING") {
		d.row("blob", parts[3])
	}
	d.complete("INSERT 0 1")
	return nil
}

func (d *backend) set(words []string) error {
	if strings.EqualFold(words[0], "session") && len(words) > 1 && strings.EqualFold(words[1], "authorization") {
		words = append([]string{"session_authorization"}, words[2:]...)
	}
	name := strings.Trim(strings.ToLower(words[0]), `"`)
	if len(words) < 2 {
		return &stateError{"42601", "syntax error in SET"}
	}
	value := strings.Trim(words[len(words)-1], "'\"")
	if name == "time" {
		name = "timezone"
	}
	if strings.EqualFold(value, "default") || strings.EqualFold(value, "none") {
		value = ""
	}
	if name == "role" || name == "session_authorization" {
		d.sessionRole[name] = value
	} else {
		d.settings[name] = value
	}
	d.complete("SET")
	d.report(name)
	return nil
}

// report tells the client of a changed setting, if it is one of those that a server reports.
func (d *backend) report(name string) {
	for _, other := range reported {
		if strings.EqualFold(other, name) {
			d.out.Send(&pgproto3.ParameterStatus{Name: other, Value: d.value(name)})
		}
	}
}

func (d *backend) value(name string) string {
	if value, set := d.settings[name]; set && value != "" {
		return value
	}
	return defaults[name]
}

// reset runs RESET. RESET ALL leaves role and session_authorization as they are: PostgreSQL marks them NO_RESET_ALL.
func (d *backend) reset(words []string) {
	name := strings.Trim(strings.ToLower(words[0]), `"`)
	switch name {
	case "all":
		changed := d.settings
		d.settings = map[string]string{}
		for other := range changed {
			d.report(other)
		}
	case "role", "session_authorization":
		delete(d.sessionRole, name)
	default:
		delete(d.settings, name)
		d.report(name)
	}
	d.complete("RESET")
}

func (d *backend) show(name string) {
	if name == "vitals" {
		d.vitals()
		return
	}
	d.row(name, d.value(strings.ToLower(name)))
	d.complete("SHOW")
}

func (d *backend) query(sql string, words []string) error {
	switch lower := strings.ToLower(sql); {
	case strings.Contains(lower, "from rows"):
		at := d.m.position()
		found := d.m.cluster.rows(strings.Trim(words[len(words)-1], "'"), at)
		if len(found) == 0 {
			d.row("blob")
		} else {
			d.row("blob", found[len(found)-1].blob)
		}
		d.at = at
	case lower == "select current_user":
		d.row("current_user", d.user())
	case lower == "select lastval()":
		if d.lastValue == 0 {
			return &stateError{"55000", "lastval is not yet defined in this session"}
		}
		d.row("lastval", strconv.Itoa(d.lastValue))
	default:
		d.row("value", strings.Trim(words[len(words)-1], "'"))
	}
	d.complete("SELECT 1")
	return nil
}
