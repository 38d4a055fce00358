package backend

import (
	"slices"

	"wayloft/internal/decide/session"
	"wayloft/internal/pg"
	"wayloft/router"
)

// SQLSTATE classes (the first two characters of a code) of errors that are caused by the member.
const (
	classSystemError     = "58"
	classConfigFileError = "F0"
	classInternalError   = "XX"

	sqlStateClassLength = 2
)

// handleStreamError processes an error on a connection for streams. After an error the member skips all messages up to the next Sync.
func (c *memberConn) handleStreamError(m *pg.Message) bool {
	if c.job == nil && len(c.expected) == 0 { // the member is closing an unused connection
		c.drop()
		return true
	}
	if len(c.expected) > 0 && c.expected[0].barrier { // an error of an earlier response
		return false
	}
	if len(c.expected) == 0 || c.job == nil {
		c.unusable = true
		c.completeQuery()
		return true
	}
	failed := c.expected[0]
	c.skipToSync()
	c.completeQuery()
	stream := c.job.request.Stream
	if !failed.forClient && failed.kind == pg.Query { // the member refused the session's settings or its BEGIN
		c.unusable = true
	}
	if failed.replyError != nil {
		m.Error, m.Raw = failed.replyError, pg.AppendError(nil, failed.replyError, false)
	}
	replay := c.canReplay(failed, m)
	stream.Receive(*m)
	if replay && !stream.Started() { // behind a Flush the client has received the error
		c.replayed, c.staleStatement = true, failed.statement
		if c.staleStatement == nil {
			c.staleStatement = c.lastBound
		}
	}
	c.awaitClientBehindFlush()
	return true
}

// skipToSync removes the expected replies up to the next Sync or simple query, since the member does not send them after an error. It
// reverts the changes to the set of prepared statements that were recorded for the skipped messages.
func (c *memberConn) skipToSync() {
	for len(c.expected) > 0 && c.expected[0].kind != pg.Query && c.expected[0].kind != pg.Sync {
		if skipped := c.expected[0]; skipped.kind == pg.Parse && skipped.statement != nil {
			c.prepared.Remove(skipped.statement.Hash)
		} else if skipped.closing != nil {
			c.prepared.Add(skipped.closing.Hash, skipped.closing)
		}
		c.expected = c.expected[1:]
	}
	if c.parts.flushed && len(c.expected) > 0 {
		c.expected[0].startsPart = true
	}
}

// canReplay reports whether an error means that a prepared plan is missing or invalid, and no part of the request has taken effect. The
// request is then replayed, at most once, with the statement prepared again.
func (c *memberConn) canReplay(failed expectedReply, m *pg.Message) bool {
	stream := c.job.request.Stream
	if stream.Cancelled() || stream.Started() || c.replayed || c.transactionStatus != session.StatusIdle {
		return false
	}
	invalidPlan := false
	switch m.Error.Code {
	case pg.InvalidSQLStatementName:
		invalidPlan = failed.replyError == nil
	case pg.FeatureNotSupported: // "cached plan must not change result type"
		invalidPlan = failed.kind != pg.Query && failed.kind != pg.Parse
	}
	return invalidPlan && !c.partCommitted(*m)
}

// replay sends a request again of which no part has taken effect. It closes the stale statement first, so that the statement is prepared again.
func (c *memberConn) replay(stale *session.PreparedStatement) {
	if c.hasPrepared(stale) {
		c.writeInternalSync(c.closePrepared(c.encodeBarrier(), stale))
	}
	c.job.request.Stream.Replay()
}

// partCommitted reports whether a part of the failed unit may have been committed, and must not run twice. The client then receives the
// member's response as it is, which shows up to where the unit has run. more is what was not passed to the stream yet.
func (c *memberConn) partCommitted(more ...pg.Message) bool {
	if c.backend.options.IdempotentClasses[c.job.request.RequestClass] {
		return false
	}
	stream := c.job.request.Stream
	return stream.Client.Session().PartCommitted(slices.Concat(stream.Buffered(), more))
}

// memberOutcome returns the outcome for an error that is caused by the member rather than the statement. The driver is notified before the
// error is delivered to the client, so that the request can be retried.
func (c *memberConn) memberOutcome() (router.Outcome, bool) {
	stream := c.job.request.Stream
	e := stream.Failure()
	if e == nil || stream.Started() || c.partCommitted() {
		return 0, false
	}
	switch e.Code[:min(sqlStateClassLength, len(e.Code))] {
	case classInternalError, classSystemError, classConfigFileError:
		return router.ServerError, true
	}
	switch e.Code {
	case pg.TooManyConnections, pg.CannotConnectNow:
		return router.Overloaded, true
	case pg.SnapshotTooOld:
		return router.Misrouted, true
	case pg.ReadOnlySQLTransaction: // otherwise only the transaction is read-only, not the member
		if c.backend.options.PrimaryClasses[c.job.request.RequestClass] && c.role != router.Primary {
			return router.Misrouted, true
		}
	}
	return 0, false
}
