package pg

import "strings"

// CommandKind is what a statement does to its session, as far as its words show it.
type CommandKind int

// The kinds of commands, with the fields that are set for them.
const (
	OtherCommand     CommandKind = iota
	Set                          // Settings, Local
	Reset                        // Name
	ResetAll                     // RESET ALL
	Begin                        // ReadOnly, ReadWrite, Simple
	SetTransaction               // ReadOnly, ReadWrite, Simple
	Commit                       // COMMIT or END
	Rollback                     // ROLLBACK or ABORT
	Savepoint                    // Name
	RollbackTo                   // Name
	ReleaseSavepoint             // Name
	DiscardAll                   // DISCARD ALL
	Deallocate                   // Name, empty for all
	Show                         // Name
)

// Command is what a statement does to its session. Statements are not parsed: one that its first words don't show is an OtherCommand.
type Command struct {
	Kind         CommandKind
	Name         string
	Settings     []Setting // names in lower case and values as written, empty for DEFAULT
	Local        bool      // for the transaction only
	ReadOnly     bool
	ReadWrite    bool
	Simple       bool   // all words are known transaction modes: a server accepts it
	StickyReason string // why what it leaves on the connection can't follow the client to another one
}

// ParseCommand returns what a statement does to its session.
func ParseCommand(sql string) Command {
	l := lexer{sql: sql}
	switch word := l.keyword(); word {
	case "begin", "start":
		return parseBegin(&l, word)
	case "commit", "end":
		return parseTransactionEnd(&l, Commit)
	case "rollback", "abort":
		return parseTransactionEnd(&l, Rollback)
	case "savepoint":
		return Command{Kind: Savepoint, Name: identifier(l.next())}
	case "release":
		return parseRelease(&l)
	case "set":
		return parseSet(&l)
	case "reset":
		return parseReset(&l)
	case "show":
		return Command{Kind: Show, Name: l.qualifiedName()}
	case "discard":
		return parseDiscard(&l)
	case "deallocate":
		return parseDeallocate(&l)
	default:
		return Command{StickyReason: stickyReason(&l, word)}
	}
}

func parseDiscard(l *lexer) Command {
	if strings.EqualFold(l.next(), "all") {
		return Command{Kind: DiscardAll}
	}
	return Command{}
}

func parseDeallocate(l *lexer) Command {
	token := l.next()
	if strings.EqualFold(token, "prepare") {
		token = l.next()
	}
	if strings.EqualFold(token, "all") {
		return Command{Kind: Deallocate}
	}
	return Command{Kind: Deallocate, Name: identifier(token)}
}
