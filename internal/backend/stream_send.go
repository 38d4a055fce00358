package backend

import (
	"strconv"
	"strings"

	"wayloft/internal/decide/session"
	"wayloft/internal/pg"
)

// Protocol bytes that are passed to package pg as arguments.
const (
	parseCompleteByte byte = '1' // message type of ParseComplete
	statementTarget   byte = 'S' // target of a Describe or Close that refers to a prepared statement
)

const (
	statementNamePrefix = "wl_" // prefix of the names of statements prepared on a member
	statementNameBase   = 36    // base in which the hash is written in these names

	// Sent to a member in place of a message that the router refuses. Neither can be executed.
	refusedQuery     = "refused by wayloft"
	refusedStatement = statementNamePrefix + "refused"
)

// emptyBindSuffix ends a Bind message: the 16-bit counts of parameter formats, parameters and result formats, all zero.
var emptyBindSuffix = []byte{0, 0, 0, 0, 0, 0}

// Send implements request.BackendConn. Operations are queued while internal queries are pending, since they must not run before
// these have succeeded.
func (c *memberConn) Send(ops []session.Message) {
	if c.job == nil {
		return
	}
	for _, op := range ops { // one of them may end the COPY data
		c.copyingIn = c.copyingIn && op.Kind != pg.CopyDone && op.Kind != pg.CopyFail
	}
	c.setTurn(c.job, !c.copyingIn) // the member sends no reply while the client is sending COPY data
	if c.internalPending > 0 {
		c.queued = append(c.queued, ops...)
		return
	}
	out := c.encodeAll(ops)
	if !c.clientOpsWritten && c.backend.endIfUnsendable(c.job) { // the job may have expired, or the client disconnected, during the internal queries
		return
	}
	c.clientOpsWritten = c.clientOpsWritten || c.internalPending == 0
	c.conn.Write(out)
	c.deliverLocalReplies()
	c.awaitClientBehindFlush()
}

// encodeAll returns the operations encoded for this member. Operations that follow an operation with a discarded reply are queued until
// that reply has arrived.
func (c *memberConn) encodeAll(ops []session.Message) (out []byte) {
	if len(ops) > 0 {
		out = c.encodeBarrier()
	}
	for n, op := range ops {
		if op.Action != session.ForwardDiscardReply {
			out = c.encodeOperation(out, op)
			continue
		}
		out = append(out, op.Raw...)
		c.expected = append(c.expected, expectedReply{kind: pg.Query})
		c.internalPending++
		rest := ops[n+1:]
		if len(rest) == 0 || rest[0].Action != session.ForwardDiscardReply {
			c.queued = append(c.queued, rest...)
			break
		}
	}
	return out
}

// encodeOperation appends an operation, encoded for this member.
func (c *memberConn) encodeOperation(out []byte, op session.Message) []byte {
	bytesBefore, expectedBefore := len(out), len(c.expected)
	if c.parts.begins {
		out = c.encodeFirstOfPart(out, op)
	} else {
		out = c.encode(out, op)
	}
	if len(out) > bytesBefore {
		c.recordFirstReply(expectedBefore)
		c.recordWritten(op.Kind)
	}
	return out
}

// recordWritten records whether a message that is written leaves the unit open: a Sync or a simple query ends it.
func (c *memberConn) recordWritten(kind pg.Kind) {
	switch kind {
	case pg.Query, pg.Sync:
		c.unsynced = false
	case pg.Flush:
		c.parts.endPart()
	case pg.CopyData, pg.CopyDone, pg.CopyFail: // neither begin nor end a unit
	default:
		c.unsynced = true
	}
}

// encode appends an operation, encoded for this member.
func (c *memberConn) encode(out []byte, op session.Message) []byte {
	expect := func(reply expectedReply) { c.expected = append(c.expected, reply) }
	switch op.Action {
	case session.Prepare:
		if c.hasPrepared(op.Statement) {
			expect(expectedReply{kind: pg.Parse, forClient: true, localReply: pg.AppendEmptyMessage(nil, parseCompleteByte)})
			return out
		}
		return c.prepare(out, op.Statement, true)
	case session.Bind:
		if !c.hasPrepared(op.Statement) {
			out = c.prepare(out, op.Statement, false)
		}
		expect(expectedReply{kind: pg.Bind, forClient: true, statement: op.Statement})
		return pg.AppendBind(out, op.Portal, statementName(op.Statement), op.Raw)
	case session.DescribeStatement:
		if !c.hasPrepared(op.Statement) {
			out = c.prepare(out, op.Statement, false)
		}
		expect(expectedReply{kind: pg.Describe, forClient: true, statement: op.Statement})
		return pg.AppendDescribe(out, statementTarget, statementName(op.Statement))
	case session.AnswerLocally:
		expect(expectedReply{kind: op.Kind, forClient: true, localReply: op.Raw, localTag: op.Tag})
		return out
	case session.Reject: // the member must fail as well, so that no earlier operation takes effect
		expect(expectedReply{kind: op.Kind, forClient: true, replyError: op.Error})
		if op.Kind == pg.Query {
			return pg.AppendQuery(out, refusedQuery)
		}
		return pg.AppendBind(out, "", refusedStatement, emptyBindSuffix)
	}
	switch op.Kind {
	case pg.Query, pg.Sync, pg.Execute, pg.Describe, pg.Close:
		expect(expectedReply{kind: op.Kind, forClient: true})
	}
	if op.Kind == pg.Query {
		return c.appendQuery(out, op.Raw)
	}
	return append(out, op.Raw...)
}

// appendQuery appends a simple query. The deadline in a statement's comment is updated to the time that its client has left now, since the
// client may have sent it a while ago.
func (c *memberConn) appendQuery(out, raw []byte) []byte {
	const headerBytes, terminatorBytes = 5, 1 // message type and length before the text; zero byte after it
	if len(raw) < headerBytes+terminatorBytes {
		return append(out, raw...)
	}
	statement, err := pg.ParseStatement(strings.TrimSpace(string(raw[headerBytes : len(raw)-terminatorBytes])))
	if err != nil {
		return append(out, raw...)
	}
	return statement.AppendQuery(out, min(statement.TimeoutMs, c.job.deadline-c.backend.driver.Clock()))
}

// statementName returns the name of a prepared statement on the member.
func statementName(s *session.PreparedStatement) string {
	return statementNamePrefix + strconv.FormatUint(s.Hash, statementNameBase)
}

// hasPrepared reports whether the statement is prepared on this connection.
func (c *memberConn) hasPrepared(s *session.PreparedStatement) bool {
	prepared, ok := c.prepared.Get(s.Hash)
	if c.job.request.Stream.Client.Session().SeededDefects().ReuseAnyStatement && c.prepared.Len() > 0 {
		return true
	}
	return ok && prepared.Tail == s.Tail
}

// prepare appends a Parse message for a statement. forClient is set if the reply is delivered to the client.
func (c *memberConn) prepare(out []byte, s *session.PreparedStatement, forClient bool) []byte {
	if old, ok := c.prepared.Peek(s.Hash); ok { // a different statement with the same hash
		out = c.closePrepared(out, old)
	}
	c.prepared.Add(s.Hash, s)
	c.expected = append(c.expected, expectedReply{kind: pg.Parse, forClient: forClient, statement: s})
	return pg.AppendParse(out, statementName(s), []byte(s.Tail.Value()))
}

// closePrepared appends a Close message for a prepared statement. The reply is not delivered to the client.
func (c *memberConn) closePrepared(out []byte, s *session.PreparedStatement) []byte {
	c.prepared.Remove(s.Hash)
	c.expected = append(c.expected, expectedReply{kind: pg.Close, closing: s})
	return pg.AppendClose(out, statementTarget, statementName(s))
}

// trimPrepared closes the least recently used prepared statements in excess of maxPrepared. It must be called only between requests, since a
// bound statement must not be closed.
func (c *memberConn) trimPrepared() {
	if c.prepared.Len() <= c.maxPrepared {
		return
	}
	out := c.encodeBarrier()
	for c.prepared.Len() > c.maxPrepared {
		_, old, _ := c.prepared.GetOldest()
		out = c.closePrepared(out, old)
	}
	c.writeInternalSync(out)
	c.dropOnReplyTimeout()
}
