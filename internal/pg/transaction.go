package pg

import "strings"

// parseBegin parses the rest of BEGIN or START TRANSACTION.
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

// readTransactionModes reads transaction modes from a word on.
func (c *Command) readTransactionModes(l *lexer, word string) {
	for ; word != ""; word = l.keyword() {
		switch word {
		case "repeatable":
			l.next() // READ
		case ",", "isolation", "level", "serializable", "committed", "uncommitted", "not", "deferrable":
		case "read":
			c.readAccessMode(l.keyword())
		default:
			c.Simple = false
		}
	}
}

// readAccessMode reads the word behind READ, in an access mode or an isolation level.
func (c *Command) readAccessMode(word string) {
	switch word {
	case "only":
		c.ReadOnly, c.ReadWrite = true, false
	case "write":
		c.ReadOnly, c.ReadWrite = false, true
	case "committed", "uncommitted":
	default:
		c.Simple = false
	}
}

// parseTransactionEnd parses the rest of a commit or rollback. That of a prepared transaction does not concern the session's own.
func parseTransactionEnd(l *lexer, kind CommandKind) Command {
	word := l.keyword()
	if word == "work" || word == "transaction" {
		word = l.keyword()
	}
	switch {
	case word == "prepared":
		return Command{}
	case word == "to" && kind == Rollback:
		return Command{Kind: RollbackTo, Name: l.savepointName()}
	}
	return Command{Kind: kind}
}

func parseRelease(l *lexer) Command {
	return Command{Kind: ReleaseSavepoint, Name: l.savepointName()}
}

// savepointName reads a name behind an optional SAVEPOINT, which may itself be the name.
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
