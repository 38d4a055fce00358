package session

import (
	"strings"

	"wayloft/internal/pg"
)

// errTransactionAborted is the reply to statements in a failed transaction.
var errTransactionAborted = &pg.Error{
	Code: pg.InFailedSQLTransaction,
	Text: "current transaction is aborted, commands ignored until end of transaction block",
}

// rollbackTag is the command tag of a statement that ends a failed transaction, be it ROLLBACK or COMMIT.
const rollbackTag = "ROLLBACK"

// LostTransactionReply is the reply to a unit, or a part of one, in a transaction whose connection has been lost.
type LostTransactionReply struct {
	Answer   []byte    // for the client; nil if Messages is set
	Messages []Message // for a member, with the router's own replies ahead of what stands behind the end of the transaction
	Failed   bool      // the unit has failed, and all up to its Sync is to be discarded
}

// endsLostTransaction reports whether a statement is accepted in a transaction whose connection has been lost: only one that ends it.
// AND CHAIN is not accepted, since the modes of the lost transaction, which the next one would have, are not known.
func endsLostTransaction(c Command) bool {
	return (c.Kind == pg.Commit || c.Kind == pg.Rollback) && !c.Chain
}

// queryInLostTransaction handles a simple query in a transaction whose connection has been lost. The first statement must end the
// transaction. What stands behind it runs at a member, like a query of its own.
func (s *Session) queryInLostTransaction(commands []Command, texts []string) (answer []byte, messages []Message) {
	end := commands[0]
	if !endsLostTransaction(end) {
		return errorReply(errTransactionAborted, StatusFailed), nil
	}
	s.status = StatusIdle
	if len(commands) == 1 {
		return completionReply(rollbackTag, StatusIdle), nil
	}
	s.expected = append(s.expected, expectedReply{kind: pg.CommandComplete, command: end})
	for _, c := range commands[1:] {
		s.expectCompletion(c, true)
	}
	s.labelFirstCommand(end.Label)
	rest := strings.Join(texts[1:], ";")
	return nil, []Message{
		{Action: AnswerLocally, Kind: pg.Query, Tag: rollbackTag, Raw: pg.AppendCommandComplete(nil, rollbackTag)},
		{Kind: pg.Query, Raw: pg.AppendQuery(nil, rest)},
	}
}

// labelFirstCommand gives the first command of the request a label if it has none.
func (s *Session) labelFirstCommand(label *pg.Statement) {
	if s.firstCommand != nil && s.firstCommand.Label == nil {
		s.firstCommand.Label = label
	}
}

// ReplyInLostTransaction handles extended query messages, up to a Sync or Flush, in a transaction whose connection has been lost. Only a
// statement that ends the transaction is accepted; what stands behind it needs a member.
func (s *Session) ReplyInLostTransaction(messages []Message) LostTransactionReply {
	replies := make([]Message, 0, len(messages))
	ended := false
	for n, message := range messages {
		if ended && needsMember(messages[n:]) {
			s.status = StatusIdle
			s.classifyByRest(messages[n:])
			return LostTransactionReply{Messages: append(replies, messages[n:]...)}
		}
		reply, pgErr := replyInLostTransaction(message)
		if pgErr != nil {
			return s.failLostTransaction(replies, pgErr, messages[len(messages)-1].Kind == pg.Sync)
		}
		replies = append(replies, reply)
		ended = ended || message.Kind == pg.Execute
	}
	if ended {
		s.status = StatusIdle
	}
	s.firstCommand = nil
	return LostTransactionReply{Answer: s.deliverReplies(replies)}
}

// needsMember reports whether a member must handle messages that follow the end of the transaction.
func needsMember(messages []Message) bool {
	for _, message := range messages {
		switch message.Kind {
		case pg.Sync, pg.Flush, pg.Close:
		default:
			return true
		}
	}
	return false
}

// classifyByRest has the request classified by the commands that a member will run, rather than by the end of the lost transaction.
func (s *Session) classifyByRest(rest []Message) {
	var label *pg.Statement
	if s.firstCommand != nil {
		label = s.firstCommand.Label
	}
	s.firstCommand = nil
	for _, message := range rest {
		switch {
		case message.Action == Prepare:
			s.recordCommand(message.Statement.Command)
		case message.Command != nil:
			s.recordCommand(*message.Command)
		}
	}
	s.labelFirstCommand(label)
}

// failLostTransaction fails the unit. complete reports whether its Sync has been received.
func (s *Session) failLostTransaction(replies []Message, pgErr *pg.Error, complete bool) LostTransactionReply {
	answer := pg.AppendError(s.deliverReplies(replies), pgErr, false)
	s.expected, s.prepared, s.firstCommand, s.effect = nil, s.confirmed, nil, unitEffect{}
	if complete {
		answer = pg.AppendReadyForQuery(answer, s.status)
	}
	return LostTransactionReply{Answer: answer, Failed: !complete}
}

// deliverReplies applies the router's own replies to the session, as if a member had sent them, and returns them encoded.
func (s *Session) deliverReplies(replies []Message) (answer []byte) {
	for _, reply := range replies {
		switch reply.Kind {
		case pg.Flush:
		case pg.Sync:
			s.readyForQuery(s.status)
			answer = pg.AppendReadyForQuery(answer, s.status)
		default:
			s.ServerMessage(&pg.Message{Kind: ReplyKind(reply.Kind), Text: reply.Tag})
			answer = append(answer, reply.Raw...)
		}
	}
	return answer
}

// replyInLostTransaction returns the router's reply to one message. A Sync or Flush is returned as it is.
func replyInLostTransaction(message Message) (reply Message, pgErr *pg.Error) {
	reply = Message{Action: AnswerLocally, Kind: message.Kind}
	command := message.Command
	if message.Statement != nil {
		command = &message.Statement.Command
	}
	switch message.Kind {
	case pg.Parse, pg.Bind, pg.Describe, pg.Execute:
		if message.Action == Reject {
			return reply, message.Error
		}
		if command == nil || !endsLostTransaction(*command) {
			return reply, errTransactionAborted
		}
	case pg.Sync, pg.Flush:
		return message, nil
	}
	reply.Raw = appendEndReply(nil, message)
	if message.Kind == pg.Execute {
		reply.Tag = rollbackTag
	}
	return reply, nil
}

// appendEndReply appends the reply to one message of a statement that ends the transaction.
func appendEndReply(out []byte, message Message) []byte {
	switch message.Kind {
	case pg.Parse:
		return pg.AppendEmptyMessage(out, parseCompleteByte)
	case pg.Bind:
		return pg.AppendEmptyMessage(out, bindCompleteByte)
	case pg.Describe:
		if message.Action == DescribeStatement {
			out = append(out, parameterDescriptionByte, 0, 0, 0, 6, 0, 0) // no parameters
		}
		return pg.AppendEmptyMessage(out, noDataByte)
	case pg.Execute:
		return pg.AppendCommandComplete(out, rollbackTag)
	case pg.Close:
		return pg.AppendEmptyMessage(out, closeCompleteByte)
	}
	return out
}

// replyKinds maps the kinds of client messages to those of the last message of the replies that the router makes.
var replyKinds = map[pg.Kind]pg.Kind{
	pg.Parse:    pg.ParseComplete,
	pg.Bind:     pg.BindComplete,
	pg.Describe: pg.NoData,
	pg.Execute:  pg.CommandComplete,
	pg.Query:    pg.CommandComplete,
	pg.Close:    pg.CloseComplete,
}

// ReplyKind returns the kind of the last message of the router's own reply to a client message of a kind.
func ReplyKind(kind pg.Kind) pg.Kind { return replyKinds[kind] }
