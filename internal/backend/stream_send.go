package backend

import (
	"strconv"
	"strings"

	"wayloft/internal/decide/session"
	"wayloft/internal/pg"
)

// Bytes of the protocol that package pg has as arguments.
const (
	parseCompleteByte byte = '1' // the type of a ParseComplete message
	statementTarget   byte = 'S' // of a Describe or Close of a prepared statement
)

const (
	statementNamePrefix = "wl_" // of what is prepared at a member
	statementNameBase   = 36    // of the hash in such a name

	// What a member receives in place of a message that is refused here. Neither can be executed.
	refusedQuery     = "refused by wayloft"
	refusedStatement = statementNamePrefix + "refused"
)

// emptyBindSuffix ends a Bind message: no parameter formats, no parameters and no result formats, each a 16-bit count.
var emptyBindSuffix = []byte{0, 0, 0, 0, 0, 0}

// Send implements request.BackendConn. Operations wait while internal queries are pending, since they must not run without these.
func (c *memberConn) Send(ops []session.Message) {
	if c.job == nil {
		return
	}
	for _, op := range ops { // the end of the data of a COPY may be among them
		c.copyingIn = c.copyingIn && op.Kind != pg.CopyDone && op.Kind != pg.CopyFail
	}
	c.setTurn(c.job, !c.copyingIn) // the member owes no reply while the client sends the data of a COPY
	if c.internalPending > 0 {
		c.queued = append(c.queued, ops...)
		return
	}
	out := c.encodeAll(ops)
	if !c.clientOpsWritten && c.backend.endIfUnsendable(c.job) { // the internal queries may have taken a while
		return
	}
	c.clientOpsWritten = c.clientOpsWritten || c.internalPending == 0
	c.conn.Write(out)
	c.deliverLocalReplies()
}

// encodeAll returns the operations as they are sent to this member. Those that come after operations whose replies the client does not
// receive are queued until these are answered.
func (c *memberConn) encodeAll(ops []session.Message) (out []byte) {
	for n, op := range ops {
		if op.Action != session.ForwardDiscardReply {
			out = c.encode(out, op)
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

// encode appends an operation as it is sent to this member.
func (c *memberConn) encode(out []byte, op session.Message) []byte {
	expect := func(reply expectedReply) { c.expected = append(c.expected, reply) }
	switch op.Action {
	case session.Prepare:
		if c.hasPrepared(op.Statement) {
			expect(expectedReply{kind: pg.Parse, forClient: true, localReply: pg.AppendBodyless(nil, parseCompleteByte)})
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
		expect(expectedReply{kind: op.Kind, forClient: true, localReply: op.Raw})
		return out
	case session.Reject: // the member must fail too, so that nothing before it takes effect
		expect(expectedReply{kind: op.Kind, forClient: true, replyError: op.Fault})
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

// appendQuery appends a simple query. The comment of a statement gets the time that is left to its client right now, since the client may
// have sent it long ago.
func (c *memberConn) appendQuery(out, raw []byte) []byte {
	const headerBytes, terminatorBytes = 5, 1 // the type and length before the text; the zero byte behind it
	if len(raw) < headerBytes+terminatorBytes {
		return append(out, raw...)
	}
	statement, err := pg.ParseStatement(strings.TrimSpace(string(raw[headerBytes : len(raw)-terminatorBytes])))
	if err != nil {
		return append(out, raw...)
	}
	return statement.AppendQuery(out, min(statement.WaitMs, c.job.deadline-c.backend.driver.Clock()))
}

// statementName returns what a statement is called at the member.
func statementName(s *session.PreparedStatement) string {
	return statementNamePrefix + strconv.FormatUint(s.Hash, statementNameBase)
}

// hasPrepared reports whether the member has the statement prepared.
func (c *memberConn) hasPrepared(s *session.PreparedStatement) bool {
	prepared, ok := c.prepared.Get(s.Hash)
	if c.job.request.Stream.Client.Session().SeededDefects().ReuseAnyStatement && c.prepared.Len() > 0 {
		return true
	}
	return ok && prepared.Tail == s.Tail
}

// prepare appends the preparation of a statement. forClient is set if the client is to receive the reply.
func (c *memberConn) prepare(out []byte, s *session.PreparedStatement, forClient bool) []byte {
	if old, ok := c.prepared.Peek(s.Hash); ok { // two statements with the same hash
		out = c.closePrepared(out, old)
	}
	c.prepared.Add(s.Hash, s)
	c.expected = append(c.expected, expectedReply{kind: pg.Parse, forClient: forClient, statement: s})
	return pg.AppendParse(out, statementName(s), []byte(s.Tail.Value()))
}

// closePrepared appends the closing of a prepared statement, whose reply the client does not receive.
func (c *memberConn) closePrepared(out []byte, s *session.PreparedStatement) []byte {
	c.prepared.Remove(s.Hash)
	c.expected = append(c.expected, expectedReply{kind: pg.Close, closing: s})
	return pg.AppendClose(out, statementTarget, statementName(s))
}

// trimPrepared closes the least recently used statements beyond what the connection may keep. It must be called only between requests:
// a bound statement must not be closed.
func (c *memberConn) trimPrepared() {
	if c.prepared.Len() <= c.maxPrepared {
		return
	}
	var out []byte
	for c.prepared.Len() > c.maxPrepared {
		_, old, _ := c.prepared.GetOldest()
		out = c.closePrepared(out, old)
	}
	c.writeInternalSync(out)
	c.dropOnReplyTimeout()
}
