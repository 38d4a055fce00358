package pg

import "strings"

// CommandKind is the effect of a statement on its session, as far as its leading keywords show it.
type CommandKind int

// Command kinds, each with the fields of Command that are set for it.
const (
	OtherCommand     CommandKind = iota
	Set                          // Settings, Local
	Reset                        // Name
	ResetAll                     // RESET ALL
	Begin                        // ReadOnly, ReadWrite, Simple
	SetTransaction               // ReadOnly, ReadWrite, Simple
	Commit                       // COMMIT or END; Chain
	Rollback                     // ROLLBACK or ABORT; Chain
	Savepoint                    // Name
	RollbackTo                   // Name
	ReleaseSavepoint             // Name
	DiscardAll                   // DISCARD ALL
	Deallocate                   // Name, empty for DEALLOCATE ALL
	Show                         // Name
)

// Command is the effect of a statement on its session. Statements are classified by their leading keywords without a full SQL parse; a
// statement that is not recognized is an OtherCommand.
type Command struct {
	Kind          CommandKind
	Name          string
	Settings      []Setting // lower-case names, and values as written or empty for DEFAULT
	Local         bool      // SET LOCAL: until the end of the transaction
	ReadOnly      bool
	ReadWrite     bool
	Simple        bool   // contains only known transaction mode keywords, so that a server accepts it
	Chain         bool   // AND CHAIN: the next transaction begins at once, with the same modes
	CommitsItself bool   // outside a transaction block it may commit, also if it fails later
	ReadsSequence string // lastval or currval, if the statement calls it: the value depends on what has run on the connection before
	StickyReason  string // the connection state that the statement creates and that can't move to another connection; empty if none
}

// ParseCommand classifies a single statement by its effect on the session.
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
		return Command{CommitsItself: commitsItself(l, word), ReadsSequence: sequenceFunction(l), StickyReason: stickyReason(&l, word)}
	}
}

// commitsItself reports whether a statement may commit something apart from the end of its transaction: a procedure or an anonymous block may
// contain COMMIT, and a prepared transaction outlives its session. Statements that a server runs in transactions of their own, such as VACUUM,
// are not among them, since they change nothing if they run a second time.
func commitsItself(l lexer, firstWord string) bool {
	switch firstWord {
	case "call", "do":
		return true
	case "prepare":
		return l.keyword() == "transaction"
	}
	return false
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
	switch {
	case token == "": // a server rejects it
		return Command{}
	case strings.EqualFold(token, "all"):
		return Command{Kind: Deallocate}
	}
	return Command{Kind: Deallocate, Name: identifier(token)}
}
