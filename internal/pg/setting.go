package pg

import "strings"

// parseSet parses a SET command after the SET keyword.
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
			return newSetCommand("session_authorization", l.settingValue())
		}
	}
	c := parseSetTarget(l, start, word)
	c.Local = local && c.Kind == Set
	return c
}

func newSetCommand(name, value string) Command {
	return Command{Kind: Set, Settings: []Setting{{Name: name, Value: value}}}
}

// parseSetTarget parses a SET command from its target on, after LOCAL or SESSION. word is the first token of the target, already consumed,
// and start is its offset.
func parseSetTarget(l *lexer, start int, word string) Command {
	switch word {
	case "transaction":
		return parseSetTransaction(l)
	case "constraints":
		return Command{}
	case "time":
		return parseSetTimeZone(l)
	case "names":
		return newSetCommand("client_encoding", l.settingValue())
	case "schema":
		return newSetCommand("search_path", l.settingValue())
	case "role", "seed":
		if !isAssignment(l.peek()) {
			return setNamed(word, l.settingValue())
		}
	}
	l.offset = start
	name := l.qualifiedName()
	if !isAssignment(l.next()) || l.peek() == "" { // a server rejects it
		return Command{}
	}
	return setNamed(name, l.settingValue())
}

// setNamed returns the command that sets a setting. The seed of random() is no value that could be set again elsewhere: it begins a sequence.
func setNamed(name, value string) Command {
	if name == "seed" {
		return Command{StickyReason: "SET seed"}
	}
	return newSetCommand(name, value)
}

func isAssignment(token string) bool { return token == "=" || strings.EqualFold(token, "to") }

func parseSetTransaction(l *lexer) Command {
	if strings.EqualFold(l.peek(), "snapshot") {
		return Command{}
	}
	c := Command{Kind: SetTransaction, Simple: true}
	c.readTransactionModes(l, l.keyword())
	return c
}

func parseSetTimeZone(l *lexer) Command {
	if !strings.EqualFold(l.next(), "zone") {
		return Command{}
	}
	value := l.settingValue()
	if strings.EqualFold(value, "local") {
		value = "" // equivalent to DEFAULT
	}
	return newSetCommand("timezone", value)
}

// parseCharacteristics parses SET SESSION CHARACTERISTICS after that keyword. The command sets the default modes of later transactions. One
// without any complete mode is not a Set: a server rejects it.
func parseCharacteristics(l *lexer) Command {
	if !strings.EqualFold(l.next(), "as") || !strings.EqualFold(l.next(), "transaction") {
		return Command{}
	}
	c := Command{Kind: Set}
	for word := l.keyword(); word != ""; word = l.keyword() {
		if mode, ok := l.transactionMode(word); ok {
			c.Settings = append(c.Settings, Setting{Name: "default_" + mode.Name, Value: mode.Value})
		}
	}
	if len(c.Settings) == 0 {
		return Command{}
	}
	return c
}

// parseReset parses a RESET command after the RESET keyword.
func parseReset(l *lexer) Command {
	switch strings.ToLower(l.peek()) {
	case "": // a server rejects it
		return Command{}
	case "all":
		return Command{Kind: ResetAll}
	case "time":
		return Command{Kind: Reset, Name: "timezone"}
	case "session":
		return Command{Kind: Reset, Name: "session_authorization"}
	}
	return Command{Kind: Reset, Name: l.qualifiedName()}
}

// qualifiedName reads a name that can consist of several parts separated by dots.
func (l *lexer) qualifiedName() string {
	name := identifier(l.next())
	for {
		l.skipWhitespaceAndComments()
		if l.offset >= len(l.sql) || l.sql[l.offset] != '.' {
			return name
		}
		l.offset++
		name += "." + identifier(l.next())
	}
}

// settingValue returns the remaining text as written, or an empty string for DEFAULT.
func (l *lexer) settingValue() string {
	l.skipWhitespaceAndComments()
	value := strings.TrimSpace(l.sql[l.offset:])
	if strings.EqualFold(value, "default") {
		return ""
	}
	return value
}
