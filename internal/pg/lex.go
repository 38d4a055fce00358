package pg

import "strings"

// CommandKind is what a statement does to its session, as far as its words alone tell.
type CommandKind int

const (
	OtherCommand   CommandKind = iota
	Set                        // Pairs
	Reset                      // RESET: Name
	ResetAll                   // RESET ALL
	Begin                      // Access
	SetTransaction             // SET TRANSACTION: Access
	Commit
	Rollback
	Savepoint        // Name
	RollbackTo       // ROLLBACK TO: Name
	ReleaseSavepoint // Name
	DiscardAll       // DISCARD ALL
	Deallocate       // DEALLOCATE: Name, none for all
	Show             // Name
)

// Command is one statement's act. Nothing is parsed for meaning: what its words don't show is Plain.
type Command struct {
	Kind         CommandKind
	Name         string
	Pairs        [][2]string // Set: names in lower case, values as they were written, none where it says DEFAULT
	Local        bool        // Set: for the transaction alone
	ReadOnly     bool        // Begin, Access
	ReadWrite    bool        // Begin, Access: READ WRITE
	Simple       bool        // Begin: only words that any server takes
	StickyReason string      // why what it leaves behind can't follow its client to another connection
}

// lexer cuts a text into tokens: words, quoted names, strings, numbers and single marks; comments and blanks go.
type lexer struct {
	s  string
	at int
}

func letter(c byte) bool {
	return c == '_' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= 0x80
}
func digit(c byte) bool { return c >= '0' && c <= '9' }

// blank passes over blanks and comments, which may be nested.
func (l *lexer) blank() {
	for l.at < len(l.s) {
		rest := l.s[l.at:]
		switch {
		case strings.IndexByte(" \t\r\n\f\v", rest[0]) >= 0:
			l.at++
		case strings.HasPrefix(rest, "--"):
			if end := strings.IndexAny(rest, "\r\n"); end >= 0 {
				l.at += end
			} else {
				l.at = len(l.s)
			}
		case strings.HasPrefix(rest, "/*"):
			depth, n := 1, 2
			for ; depth > 0 && n < len(rest); n++ {
				if strings.HasPrefix(rest[n:], "/*") {
					depth++
					n++
				} else if strings.HasPrefix(rest[n:], "*/") {
					depth--
					n++
				}
			}
			l.at += n
		default:
			return
		}
	}
}

// quotedEnd finds the end of what is quoted from the start of s on; an unclosed one takes all.
func quotedEnd(s string, quote byte, escapes bool) int {
	for n := 1; n < len(s); n++ {
		switch {
		case escapes && s[n] == '\\':
			n++
		case s[n] == quote && n+1 < len(s) && s[n+1] == quote:
			n++
		case s[n] == quote:
			return n + 1
		}
	}
	return len(s)
}

// next gives the next token, none at the end.
func (l *lexer) next() string {
	l.blank()
	if l.at >= len(l.s) {
		return ""
	}
	rest := l.s[l.at:]
	c, n := rest[0], 1
	switch {
	case (c == 'e' || c == 'E') && len(rest) > 1 && rest[1] == '\'':
		n = 1 + quotedEnd(rest[1:], '\'', true)
	case strings.IndexByte("bBxXnN", c) >= 0 && len(rest) > 1 && rest[1] == '\'':
		n = 1 + quotedEnd(rest[1:], '\'', false)
	case (c == 'u' || c == 'U') && len(rest) > 2 && rest[1] == '&' && (rest[2] == '\'' || rest[2] == '"'):
		n = 2 + quotedEnd(rest[2:], rest[2], false)
	case c == '\'' || c == '"':
		n = quotedEnd(rest, c, false)
	case c == '$':
		for n < len(rest) && (letter(rest[n]) || n > 1 && digit(rest[n])) {
			n++
		}
		if n < len(rest) && rest[n] == '$' {
			tag := rest[:n+1]
			if end := strings.Index(rest[n+1:], tag); end >= 0 {
				n += 1 + end + len(tag)
			} else {
				n = len(rest)
			}
		} else {
			for n = 1; n < len(rest) && digit(rest[n]); n++ {
			}
		}
	case letter(c):
		for n < len(rest) && (letter(rest[n]) || digit(rest[n]) || rest[n] == '$') {
			n++
		}
	case digit(c):
		for n < len(rest) && (digit(rest[n]) || rest[n] == '.') {
			n++
		}
	}
	l.at += n
	return rest[:n]
}

// SplitStatements cuts a query into its statements; empty ones go.
func SplitStatements(sql string) []string {
	if strings.IndexByte(sql, ';') < 0 {
		l := lexer{s: sql}
		if l.blank(); l.at >= len(sql) {
			return nil
		}
		return []string{sql}
	}
	var out []string
	l, from, any := lexer{s: sql}, 0, false
	for {
		tok := l.next()
		if tok == ";" || tok == "" {
			if end := l.at - len(tok); any {
				out = append(out, sql[from:end])
			}
			from, any = l.at, false
			if tok == "" {
				return out
			}
			continue
		}
		any = true
	}
}

// name is a token as a server compares it.
func name(tok string) string {
	if len(tok) >= 2 && tok[0] == '"' {
		return strings.ReplaceAll(tok[1:len(tok)-1], `""`, `"`)
	}
	return strings.ToLower(tok)
}

// holders leave something on their connection by the mere call.
var holders = map[string]string{"set_config": "set_config", "pg_advisory_lock": "an advisory lock",
	"pg_advisory_lock_shared": "an advisory lock", "pg_try_advisory_lock": "an advisory lock",
	"pg_try_advisory_lock_shared": "an advisory lock"}

// ParseCommand tells what one statement does to its session.
func ParseCommand(sql string) Command {
	l := lexer{s: sql}
	switch word := strings.ToLower(l.next()); word {
	case "begin", "start":
		return begin(&l, word)
	case "commit", "end":
		return ending(&l, Commit)
	case "rollback", "abort":
		return ending(&l, Rollback)
	case "savepoint":
		return Command{Kind: Savepoint, Name: name(l.next())}
	case "release":
		tok := name(l.next())
		if next := l.next(); tok == "savepoint" && next != "" {
			tok = name(next)
		}
		return Command{Kind: ReleaseSavepoint, Name: tok}
	case "set":
		return set(&l)
	case "reset":
		return reset(&l)
	case "show":
		return Command{Kind: Show, Name: l.dotted()}
	case "discard":
		if strings.EqualFold(l.next(), "all") {
			return Command{Kind: DiscardAll}
		}
	case "deallocate":
		tok := l.next()
		if strings.EqualFold(tok, "prepare") {
			tok = l.next()
		}
		if strings.EqualFold(tok, "all") {
			tok = ""
		}
		return Command{Kind: Deallocate, Name: name(tok)}
	case "listen":
		return Command{StickyReason: "LISTEN"}
	case "load":
		return Command{StickyReason: "LOAD"}
	case "prepare":
		if !strings.EqualFold(l.next(), "transaction") {
			return Command{StickyReason: "PREPARE"}
		}
	case "create", "select", "with", "declare", "do", "call", "insert", "update", "delete", "execute", "explain", "values", "table",
		"merge", "copy", "fetch":
		return Command{StickyReason: l.pin(word)}
	}
	return Command{}
}

// pin looks through the rest of a statement for what stays on its connection.
func (l *lexer) pin(first string) string {
	last := first
	for tok := l.next(); tok != ""; tok = l.next() {
		if !letter(tok[0]) && tok[0] != '"' {
			last = ""
			continue
		}
		word := name(tok)
		switch why := holders[word]; {
		case why != "":
			return why
		case (word == "temp" || word == "temporary") && (first == "create" && (last == "create" || last == "local" ||
			last == "global" || last == "replace") || last == "into"):
			return "a temporary table"
		case first == "declare" && word == "hold" && last == "with":
			return "a cursor WITH HOLD"
		}
		last = word
	}
	return ""
}

func begin(l *lexer, word string) Command {
	c := Command{Kind: Begin, Simple: true}
	tok := strings.ToLower(l.next())
	if word == "start" && tok != "transaction" {
		return Command{}
	}
	if tok == "work" || tok == "transaction" {
		tok = strings.ToLower(l.next())
	}
	c.modes(l, tok)
	return c
}

// modes reads a list of transaction modes.
func (c *Command) modes(l *lexer, tok string) {
	for ; tok != ""; tok = strings.ToLower(l.next()) {
		switch tok {
		case "repeatable":
			l.next()
		case ",", "isolation", "level", "serializable", "committed", "uncommitted", "not", "deferrable":
		case "read":
			switch strings.ToLower(l.next()) {
			case "only":
				c.ReadOnly, c.ReadWrite = true, false
			case "write":
				c.ReadOnly, c.ReadWrite = false, true
			case "committed", "uncommitted":
			default:
				c.Simple = false
			}
		default:
			c.Simple = false
		}
	}
}

func ending(l *lexer, act CommandKind) Command {
	tok := strings.ToLower(l.next())
	if tok == "work" || tok == "transaction" {
		tok = strings.ToLower(l.next())
	}
	switch {
	case tok == "prepared": // of another transaction
		return Command{}
	case tok == "to" && act == Rollback:
		if tok = l.next(); strings.EqualFold(tok, "savepoint") {
			if next := l.next(); next != "" {
				tok = next
			}
		}
		return Command{Kind: RollbackTo, Name: name(tok)}
	}
	return Command{Kind: act}
}

// dotted reads a name that may have parts.
func (l *lexer) dotted() string {
	out := name(l.next())
	for {
		l.blank()
		if l.at >= len(l.s) || l.s[l.at] != '.' {
			return out
		}
		l.at++
		out += "." + name(l.next())
	}
}

// value is the rest, as it was written; none stands for DEFAULT.
func (l *lexer) value() string {
	l.blank()
	v := strings.TrimSpace(l.s[l.at:])
	if strings.EqualFold(v, "default") {
		return ""
	}
	return v
}

func set(l *lexer) Command {
	c := Command{Kind: Set}
	from := l.at
	tok := strings.ToLower(l.next())
	switch tok {
	case "local":
		c.Local = true
		from = l.at
		tok = strings.ToLower(l.next())
	case "session":
		mark := l.at
		switch next := strings.ToLower(l.next()); next {
		case "characteristics":
			return characteristics(l)
		case "authorization":
			c.Pairs = [][2]string{{"session_authorization", l.value()}}
			return c
		}
		l.at, from = mark, mark
		tok = strings.ToLower(l.next())
	}
	one := func(name string) Command {
		c.Pairs = [][2]string{{name, l.value()}}
		return c
	}
	switch tok {
	case "transaction":
		c := Command{Kind: SetTransaction, Simple: true}
		if strings.EqualFold(l.peek(), "snapshot") {
			return Command{}
		}
		c.modes(l, strings.ToLower(l.next()))
		return c
	case "constraints":
		return Command{}
	case "time":
		if strings.EqualFold(l.next(), "zone") {
			if c := one("timezone"); !strings.EqualFold(c.Pairs[0][1], "local") {
				return c
			}
			c.Pairs = [][2]string{{"timezone", ""}}
			return c
		}
		return Command{}
	case "names":
		return one("client_encoding")
	case "schema":
		return one("search_path")
	case "role", "seed":
		if next := l.peek(); next != "=" && !strings.EqualFold(next, "to") {
			return one(tok)
		}
	}
	l.at = from
	key := l.dotted()
	if sign := l.next(); sign != "=" && !strings.EqualFold(sign, "to") {
		return Command{}
	}
	return one(key)
}

// peek gives the next token and leaves it.
func (l *lexer) peek() string {
	at := l.at
	tok := l.next()
	l.at = at
	return tok
}

// characteristics are defaults for the transactions to come.
func characteristics(l *lexer) Command {
	c := Command{Kind: Set}
	if !strings.EqualFold(l.next(), "as") || !strings.EqualFold(l.next(), "transaction") {
		return Command{}
	}
	add := func(name, value string) { c.Pairs = append(c.Pairs, [2]string{name, value}) }
	for tok := strings.ToLower(l.next()); tok != ""; tok = strings.ToLower(l.next()) {
		switch tok {
		case "isolation":
			l.next()
			level := strings.ToLower(l.next())
			if level == "read" || level == "repeatable" {
				level += " " + strings.ToLower(l.next())
			}
			add("default_transaction_isolation", "'"+level+"'")
		case "read":
			on := map[string]string{"only": "on", "write": "off"}[strings.ToLower(l.next())]
			add("default_transaction_read_only", on)
		case "not":
			l.next()
			add("default_transaction_deferrable", "off")
		case "deferrable":
			add("default_transaction_deferrable", "on")
		}
	}
	return c
}

func reset(l *lexer) Command {
	switch tok := strings.ToLower(l.peek()); tok {
	case "all":
		return Command{Kind: ResetAll}
	case "time":
		return Command{Kind: Reset, Name: "timezone"}
	case "session":
		return Command{Kind: Reset, Name: "session_authorization"}
	}
	return Command{Kind: Reset, Name: l.dotted()}
}

// Unquote gives a setting's value without its quotes, for the router's own settings.
func Unquote(value string) string {
	if len(value) >= 2 && value[0] == '\'' && quotedEnd(value, '\'', false) == len(value) {
		return strings.ReplaceAll(value[1:len(value)-1], "''", "'")
	}
	return strings.ToLower(value)
}

// QuoteLiteral quotes a text.
func QuoteLiteral(s string) string {
	out := "'" + strings.ReplaceAll(s, "'", "''") + "'"
	if strings.IndexByte(s, '\\') >= 0 {
		return " E" + strings.ReplaceAll(out, `\`, `\\`)
	}
	return out
}
