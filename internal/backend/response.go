package backend

import (
	"wayloft/internal/decide/connpool"
	"wayloft/internal/pg"
	"wayloft/router"
)

// responseStage is how far a response has come.
type responseStage int

const (
	stageNone responseStage = iota
	stageColumns
	stageRow
	stageComplete // all but the ReadyForQuery after it has come
	stageReady    // the connection is ready for the next query
)

// maxReceivedFactor times Limits.MaxResponse is how many bytes may come on a connection since its last job began.
const maxReceivedFactor = 2

// errorOutcomes are the error codes that say that the statement did not run.
var errorOutcomes = map[string]router.Outcome{
	pg.ReadOnlySQLTransaction: router.Misrouted,
	pg.SnapshotTooOld:         router.Misrouted,
	pg.TooManyConnections:     router.Overloaded,
	pg.CannotConnectNow:       router.Overloaded,
}

// errorOutcome returns the outcome that an error code stands for. After a code that the protocol doesn't name, the statement may have run.
func errorOutcome(code string) router.Outcome {
	if outcome, known := errorOutcomes[code]; known {
		return outcome
	}
	return router.ServerError
}

// Data implements eventloop.Handler. A response is kept until it is complete; bytes that violate the protocol end the connection.
func (c *memberConn) Data(b []byte) {
	if c.pool == CancelPool { // a server sends nothing in reply to a cancel request
		c.closeOnProtocolError()
		return
	}
	// Guards against an endless row of messages that are skipped one by one, on an idle connection, too.
	c.receivedBytes += len(b)
	if c.streamState == nil && c.receivedBytes > maxReceivedFactor*c.backend.limits.MaxResponse {
		c.closeOnProtocolError()
		return
	}
	c.reader.Feed(b)
	for c.backend.conns[c.id] == c {
		m, complete, err := c.reader.Next()
		c.updateBufferedBytes()
		if !complete && err == nil {
			c.enforceBudget()
			return
		}
		if err != nil || !c.handle(&m) {
			c.closeOnProtocolError()
			return
		}
	}
}

// enforceBudget gives up an incomplete response if all of them together exceed their budget. Its statement may have run, and there is no
// memory for the rest.
func (c *memberConn) enforceBudget() {
	if c.backend.bufferedBytes > c.backend.limits.ResponseBudget && c.job != nil && c.ready {
		c.backend.OverBudget++
		c.closeOnProtocolError()
	}
}

// updateBufferedBytes updates the sum of what all connections hold of responses.
func (c *memberConn) updateBufferedBytes() {
	buffered := len(c.rows) + c.reader.Buffered()
	c.backend.bufferedBytes += buffered - c.bufferedBytes
	c.bufferedBytes = buffered
}

// closeOnProtocolError ends a connection on which something came that can't be a response. Its job has failed and may have run, and nothing of
// the response can be trusted. It guards against taking garbage for the loss of a member that is up.
func (c *memberConn) closeOnProtocolError() {
	c.backend.ProtocolErrors++
	c.stage, c.queryError = stageNone, nil
	if j := c.job; j != nil && !c.closeIfUnsent() {
		c.backend.endJob(j, router.ServerError)
	}
	c.Closed()
}

// handle processes one message; false: it is a protocol violation.
func (c *memberConn) handle(m *pg.Message) bool {
	if c.streamState != nil {
		return c.handleStreamMessage(m)
	}
	return c.handleMessage(m)
}

// handleMessage processes one message on a connection for single statements; false: it is a protocol violation.
func (c *memberConn) handleMessage(m *pg.Message) bool {
	switch m.Kind {
	case pg.Ignored, pg.AuthenticationOK:
		return true
	case pg.ParameterStatus:
		c.recordRouterParameter(m.Name, m.Text)
		return true
	case pg.EmptyQuery:
		if c.barrier != barrierSent {
			return false
		}
		c.barrier = barrierReplied
		return true
	case pg.ErrorResponse:
		return c.handleError(m.Error)
	case pg.ReadyForQuery:
		return c.handleReady()
	}
	return c.handleResponseMessage(m)
}

// handleError processes an error of the member: it refuses the login, or answers the job's query.
func (c *memberConn) handleError(e *pg.Error) bool {
	if !c.ready {
		return c.handleLoginError(e)
	}
	if c.job == nil || c.barrier != barrierNone {
		return false
	}
	c.queryError = e
	return true
}

// handleReady processes a ReadyForQuery: after the login, after the empty query of the fence, or after a response.
func (c *memberConn) handleReady() bool {
	if c.barrier != barrierNone {
		answered := c.barrier == barrierReplied
		c.barrier = barrierNone
		return answered
	}
	return c.becomeReady() || c.finishResponse()
}

// handleResponseMessage appends a message to the response; false: it can't be its next part. A response is one row of one column.
func (c *memberConn) handleResponseMessage(m *pg.Message) bool {
	if c.job == nil || !c.ready || c.queryError != nil || c.barrier != barrierNone || len(c.rows)+len(m.Raw) > c.backend.limits.MaxResponse {
		return false
	}
	switch {
	case m.Kind == pg.RowDescription && c.stage == stageNone && m.ColumnCount == 1:
		c.stage = stageColumns
	case m.Kind == pg.DataRow && c.stage == stageColumns && m.ColumnCount == 1:
		c.stage = stageRow
		if c.job.request == nil {
			c.value = append([]byte{}, m.FirstColumn...)
		}
	case m.Kind == pg.CommandComplete && c.stage == stageRow:
		c.stage = stageComplete
	default:
		return false
	}
	c.rows = append(c.rows, m.Raw...)
	return true
}

// becomeReady processes the first ReadyForQuery, after which the connection can be used; false: it was ready already.
func (c *memberConn) becomeReady() bool {
	if c.ready {
		return false
	}
	c.ready = true
	c.backend.poolInput().Opened(c.id)
	c.backend.carryOutDecisions()
	return true
}

// handleLoginError processes an error that came before the member accepted the login.
func (c *memberConn) handleLoginError(e *pg.Error) bool {
	cause := connpool.Unreachable
	if e.Code == pg.TooManyConnections {
		cause = connpool.TooManyConnections
	}
	c.connectFailed(cause)
	return true
}

// finishResponse processes the ReadyForQuery after a response.
func (c *memberConn) finishResponse() bool {
	j := c.job
	if j == nil || c.queryError == nil && c.stage != stageComplete {
		return false
	}
	outcome := router.Succeeded
	if c.queryError != nil {
		c.rows, outcome = nil, errorOutcome(c.queryError.Code)
	}
	c.stage = stageReady
	c.backend.endJob(j, outcome)
	return true
}
