package session

import (
	"strings"
	"unique"

	"github.com/cespare/xxhash/v2"

	"wayloft/internal/pg"
)

// Action is what the server connection does with a Message.
type Action int

// The actions, with the fields of Message that each uses besides Kind.
const (
	Forward             Action = iota // send Raw unchanged
	Prepare                           // prepare Statement unless the connection has it prepared
	Bind                              // bind Portal to Statement; Raw is the client's message from the parameter formats on
	DescribeStatement                 // describe Statement
	AnswerLocally                     // reply to the client with Raw, in order with the other replies
	Reject                            // make the member fail too, and reply to the client with Error
	ForwardDiscardReply               // send Raw and discard the reply
)

// Message is a client message as prepared for a server connection.
type Message struct {
	Action    Action
	Kind      pg.Kind
	Portal    string
	Statement *PreparedStatement
	Raw       []byte
	Error     *pg.Error
	Command   *Command // Execute, Describe: the command of the portal; nil if it is not known
	Tag       string   // AnswerLocally: the command tag, if the reply is a CommandComplete
}

// Command is a parsed statement and its label.
type Command struct {
	pg.Command
	Label *pg.Statement // the comment that classifies the request; nil if there is none
}

// parseCommand parses a single statement.
func parseCommand(sql string) Command {
	c := Command{Command: pg.ParseCommand(sql)}
	if label, err := pg.ParseStatement(strings.TrimSpace(sql)); err == nil {
		c.Label = label
	}
	return c
}

// PreparedStatement is a statement with its parameter types. Clients that prepare the same statement share its text.
type PreparedStatement struct {
	Tail unique.Handle[string] // the bytes of the Parse message from the statement text on
	Hash uint64                // of Tail
	Command
}

func newPreparedStatement(parse pg.Message) *PreparedStatement {
	return &PreparedStatement{
		Tail:    unique.Make(string(parse.Tail)),
		Hash:    xxhash.Sum64(parse.Tail),
		Command: parseCommand(parse.Text),
	}
}

// forward returns a message to be sent unchanged.
func forward(m pg.Message) []Message {
	return []Message{{Action: Forward, Kind: m.Kind, Portal: m.Portal, Raw: append([]byte(nil), m.Raw...)}}
}

// reject returns a message that makes the member fail too, so that nothing before it in the unit takes effect.
func reject(kind pg.Kind, pgErr *pg.Error) []Message {
	return []Message{{Action: Reject, Kind: kind, Error: pgErr}}
}

func completionReply(tag string, status byte) []byte {
	return pg.AppendReadyForQuery(pg.AppendCommandComplete(nil, tag), status)
}

func errorReply(pgErr *pg.Error, status byte) []byte {
	return pg.AppendReadyForQuery(pg.AppendError(nil, pgErr, false), status)
}
