package session

import (
	"strings"
	"unique"

	"github.com/cespare/xxhash/v2"

	"wayloft/internal/pg"
)

// Action is what a connection does with a Message.
type Action int

// Actions, each with the fields of Message that it uses besides Kind.
const (
	Forward             Action = iota // send Raw as the client sent it
	Prepare                           // prepare Statement, unless the member has it
	Bind                              // bind Portal to Statement; Raw is the client's message from the parameter formats on
	DescribeStatement                 // describe Statement
	AnswerLocally                     // answer the client with Raw, in its turn
	Reject                            // have the member fail as well, and answer the client with Fault
	ForwardDiscardReply               // send Raw, whose reply the client does not receive
)

// Message is a message of the client in the form in which a member receives it.
type Message struct {
	Action    Action
	Kind      pg.Kind
	Portal    string
	Statement *PreparedStatement
	Raw       []byte
	Fault     *pg.Error
}

// Command is what one statement does, and its label.
type Command struct {
	pg.Command
	Label *pg.Statement // the comment that classifies the request; nil: none
}

// parseCommand reads one statement.
func parseCommand(sql string) Command {
	c := Command{Command: pg.ParseCommand(sql)}
	if label, err := pg.ParseStatement(strings.TrimSpace(sql)); err == nil {
		c.Label = label
	}
	return c
}

// PreparedStatement is a statement with the types of its parameters. Clients that prepare the same share its text.
type PreparedStatement struct {
	Tail unique.Handle[string] // the bytes of a Parse message from the statement on
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

// forward returns a message that is sent as the client sent it.
func forward(m pg.Message) []Message {
	return []Message{{Action: Forward, Kind: m.Kind, Portal: m.Portal, Raw: append([]byte(nil), m.Raw...)}}
}

// reject returns a message that fails at the member as well, so that nothing before it in the unit takes effect.
func reject(kind pg.Kind, fault *pg.Error) []Message {
	return []Message{{Action: Reject, Kind: kind, Fault: fault}}
}

func completionReply(tag string, status byte) []byte {
	return pg.AppendReadyForQuery(pg.AppendCommandComplete(nil, tag), status)
}

func errorReply(fault *pg.Error, status byte) []byte {
	return pg.AppendReadyForQuery(pg.AppendError(nil, fault, false), status)
}
