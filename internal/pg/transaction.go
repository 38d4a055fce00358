package pg

import "strings"

// parseBegin parses BEGIN or START TRANSACTION after its first keyword.
func parseBegin(l *lexer, firstWord string) Command {
	c := Command{Kind: Begin, Simple: true}
	word := l.keyword()
	if firstWord == "start" && word != "transaction" {
		return Command{}
	}
	if word == "work" || word == "transaction" {
		word = l.keyword()
	}
	c.readTransactionModes(l, word)
	return c
}

// Names of the transaction modes. With the prefix default_ they are the settings for later transactions.
const (
	isolationMode  = "transaction_isolation"
	readOnlyMode   = "transaction_read_only"
	deferrableMode = "transaction_deferrable"
)

// Values of the modes that are either on or off.
const (
	modeOn  = "on"
	modeOff = "off"
)

// readTransactionModes reads transaction modes up to the end of the statement. word is the first keyword, already consumed.
func (c *Command) readTransactionModes(l *lexer, word string) {
	for ; word != ""; word = l.keyword() {
		if word == "," {
			continue
		}
		mode, ok := l.transactionMode(word)
		switch {
		case !ok:
			c.Simple = false
		case mode.Name == readOnlyMode:
			c.ReadOnly, c.ReadWrite = mode.Value == modeOn, mode.Value == modeOff
		}
	}
}

// transactionMode reads a transaction mode and returns its name and its value as a literal. word is its first keyword, already consumed. ok is
// false if the mode is unknown or incomplete.
func (l *lexer) transactionMode(word string) (mode Setting, ok bool) {
	switch word {
	case "isolation":
		level, ok := l.isolationLevel()
		return Setting{Name: isolationMode, Value: "'" + level + "'"}, ok
	case "read":
		value, ok := map[string]string{"only": modeOn, "write": modeOff}[l.keyword()]
		return Setting{Name: readOnlyMode, Value: value}, ok
	case "deferrable":
		return Setting{Name: deferrableMode, Value: modeOn}, true
	case "not":
		return Setting{Name: deferrableMode, Value: modeOff}, l.keyword() == "deferrable"
	}
	return Setting{}, false
}

// isolationLevel reads the LEVEL keyword and the isolation level after it, and returns the level. ok is false if there is no such level.
func (l *lexer) isolationLevel() (level string, ok bool) {
	if l.keyword() != "level" {
		return "", false
	}
	level = l.keyword()
	if level == "read" || level == "repeatable" {
		level += " " + l.keyword()
	}
	switch level {
	case "serializable", "repeatable read", "read committed", "read uncommitted":
		return level, true
	}
	return "", false
}

// parseTransactionEnd parses a commit or rollback after its first keyword. COMMIT PREPARED and ROLLBACK PREPARED do not affect the
// session's own transaction.
func parseTransactionEnd(l *lexer, kind CommandKind) Command {
	word := l.keyword()
	if word == "work" || word == "transaction" {
		word = l.keyword()
	}
	switch {
	case word == "prepared":
		return Command{CommitsItself: true}
	case word == "to" && kind == Rollback:
		return Command{Kind: RollbackTo, Name: l.savepointName()}
	}
	return Command{Kind: kind, Chain: word == "and" && l.keyword() == "chain"}
}

func parseRelease(l *lexer) Command {
	return Command{Kind: ReleaseSavepoint, Name: l.savepointName()}
}

// savepointName reads a savepoint name after an optional SAVEPOINT keyword. A final SAVEPOINT is the name itself.
func (l *lexer) savepointName() string {
	token := l.next()
	if !strings.EqualFold(token, "savepoint") {
		return identifier(token)
	}
	if name := l.next(); name != "" {
		return identifier(name)
	}
	return identifier(token)
}
