package session

import "wayloft/internal/pg"

// errTransactionAborted is the reply to statements in a failed transaction.
var errTransactionAborted = &pg.Error{
	Code: pg.InFailedSQLTransaction,
	Text: "current transaction is aborted, commands ignored until end of transaction block",
}

// Type bytes of server messages.
const (
	parseCompleteByte        = '1'
	bindCompleteByte         = '2'
	closeCompleteByte        = '3'
	noDataByte               = 'n'
	parameterDescriptionByte = 't'
)

// ConnectionLost records that the session's server connection has ended, or that its request did not get one. sent reports whether
// anything was sent to the member. The result reports whether the transaction may have committed nevertheless. The session then behaves
// as after a failed transaction.
func (s *Session) ConnectionLost(sent bool) (mayHaveCommitted bool) {
	mayHaveCommitted = sent && s.effect.atEnd
	if s.status != StatusIdle { // to the client the transaction is still open, so it must end it
		s.status = StatusFailed
	}
	s.current = settingsState{client: s.transactionStart.client, server: NoSettings}
	s.beginTransaction()
	s.prepared = s.confirmed
	clear(s.portals)
	s.expected, s.errorReceived = nil, false
	s.effect = unitEffect{}
	s.firstCommand, s.deferred = nil, deferredBegin{}
	if sent {
		s.resetSticky()
	}
	return mayHaveCommitted
}

// queryAfterConnectionLoss answers a simple query in a transaction whose connection has been lost. Only a statement that ends the
// transaction is accepted.
func (s *Session) queryAfterConnectionLoss(first Command) []byte {
	if !endsTransaction(first) {
		return errorReply(errTransactionAborted, StatusFailed)
	}
	s.status = StatusIdle
	return completionReply("ROLLBACK", StatusIdle)
}

// FailedTransactionReply answers an extended query unit in a transaction whose connection has been lost. Only a statement that ends the
// transaction is accepted.
func (s *Session) FailedTransactionReply(messages []Message) []byte {
	for _, message := range messages {
		if message.Action != Prepare && message.Action != Bind {
			continue
		}
		if !endsTransaction(message.Statement.Command) {
			break
		}
		s.status = StatusIdle
	}
	s.expected, s.firstCommand, s.prepared = nil, nil, s.confirmed
	s.effect = unitEffect{}
	if s.status == StatusFailed {
		return errorReply(errTransactionAborted, StatusFailed)
	}
	var out []byte
	for _, message := range messages {
		out = appendRollbackReply(out, message)
	}
	return pg.AppendReadyForQuery(out, StatusIdle)
}

func endsTransaction(c Command) bool { return c.Kind == pg.Commit || c.Kind == pg.Rollback }

// appendRollbackReply appends the reply to one message of a unit that ends a failed transaction.
func appendRollbackReply(out []byte, message Message) []byte {
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
		return pg.AppendCommandComplete(out, "ROLLBACK")
	case pg.Close:
		return pg.AppendEmptyMessage(out, closeCompleteByte)
	}
	return out
}
