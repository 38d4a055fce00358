package pg

import "strings"

// parseSet parses the rest of SET.
func parseSet(l *lexer) Command {
	start := l.offset
	word := l.keyword()
	local := false
	switch word {
	case "local":
		local = true
		start = l.offset
		word = l.keyword()
	case "session":
		start = l.offset
		word = l.keyword()
		switch word {
		case "characteristics":
			return parseCharacteristics(l)
		case "authorization":
			return setOne("session_authorization", l.value())
		}
	}
	c := parseSetTarget(l, start, word)
	c.Local = local && c.Kind == Set
	return c
}

func setOne(name, value string) Command {
	return Command{Kind: Set, Settings: []Setting{{Name: name, Value: value}}}
}

// parseSetTarget parses the rest of SET from what is set on. word has been read there, at start.
func parseSetTarget(l *lexer, start int, word string) Command {
	switch word {
	case "transaction":
		return parseSetTransaction(l)
	case "constraints":
		return Command{}
	case "time":
		return parseSetTimeZone(l)
	case "names":
		return setOne("client_encoding", l.value())
	case "schema":
		return setOne("search_path", l.value())
	case "role", "seed":
		if !isAssignment(l.peek()) {
			return setOne(word, l.value())
		}
	}
	l.offset = start
	name := l.dottedName()
	if !isAssignment(l.next()) {
		return Command{}
	}
	return setOne(name, l.value())
}

func isAssignment(token string) bool { return token == "=" || strings.EqualFold(token, "to") }

func parseSetTransaction(l *lexer) Command {
	if strings.EqualFold(l.peek(), "snapshot") {
		return Command{}
	}
	c := Command{Kind: SetTransaction, Simple: true}
	c.readModes(l, l.keyword())
	return c
}

func parseSetTimeZone(l *lexer) Command {
	if !strings.EqualFold(l.next(), "zone") {
		return Command{}
	}
	value := l.value()
	if strings.EqualFold(value, "local") {
		value = "" // as DEFAULT
	}
	return setOne("timezone", value)
}

// parseCharacteristics parses the rest of SET SESSION CHARACTERISTICS: the defaults of later transactions.
func parseCharacteristics(l *lexer) Command {
	if !strings.EqualFold(l.next(), "as") || !strings.EqualFold(l.next(), "transaction") {
		return Command{}
	}
	c := Command{Kind: Set}
	add := func(name, value string) { c.Settings = append(c.Settings, Setting{Name: name, Value: value}) }
	for word := l.keyword(); word != ""; word = l.keyword() {
		switch word {
		case "isolation":
			add("default_transaction_isolation", "'"+l.isolationLevel()+"'")
		case "read":
			values := map[string]string{"only": "on", "write": "off"}
			add("default_transaction_read_only", values[l.keyword()])
		case "not":
			l.next() // DEFERRABLE
			add("default_transaction_deferrable", "off")
		case "deferrable":
			add("default_transaction_deferrable", "on")
		}
	}
	return c
}

// isolationLevel reads LEVEL and the level.
func (l *lexer) isolationLevel() string {
	l.next()
	level := l.keyword()
	if level == "read" || level == "repeatable" {
		level += " " + l.keyword()
	}
	return level
}

// parseReset parses the rest of RESET.
func parseReset(l *lexer) Command {
	switch strings.ToLower(l.peek()) {
	case "all":
		return Command{Kind: ResetAll}
	case "time":
		return Command{Kind: Reset, Name: "timezone"}
	case "session":
		return Command{Kind: Reset, Name: "session_authorization"}
	}
	return Command{Kind: Reset, Name: l.dottedName()}
}

// dottedName reads a name that may have several parts.
func (l *lexer) dottedName() string {
	name := identifier(l.next())
	for {
		l.skipBlanks()
		if l.offset >= len(l.sql) || l.sql[l.offset] != '.' {
			return name
		}
		l.offset++
		name += "." + identifier(l.next())
	}
}

// value returns the rest as it is written, empty for DEFAULT.
func (l *lexer) value() string {
	l.skipBlanks()
	value := strings.TrimSpace(l.sql[l.offset:])
	if strings.EqualFold(value, "default") {
		return ""
	}
	return value
}
