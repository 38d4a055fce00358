package backend

import (
	"slices"

	"wayloft/internal/decide/connpool"
	"wayloft/internal/decide/memory"
	"wayloft/internal/pg"
	"wayloft/router"
)

// responseStage is the progress of receiving a response.
type responseStage int

const (
	stageNone responseStage = iota
	stageColumns
	stageRow
	stageComplete // everything was received except the final ReadyForQuery
	stageReady    // the final ReadyForQuery was received
)

// responseEndBytes is room for what follows the row of a response: its CommandComplete and ReadyForQuery.
const responseEndBytes = 64

// maxReceivedFactor times Options.MaxResponse is the number of bytes that may be received on a connection after its last job began.
const maxReceivedFactor = 2

// errorOutcomes maps error codes to outcomes. Each of these codes means that the statement did not run.
var errorOutcomes = map[string]router.Outcome{
	pg.ReadOnlySQLTransaction: router.Misrouted,
	pg.SnapshotTooOld:         router.Misrouted,
	pg.TooManyConnections:     router.Overloaded,
	pg.CannotConnectNow:       router.Overloaded,
}

// errorOutcome returns the outcome for an error code. With any code that is not in errorOutcomes, the statement may have run.
func errorOutcome(code string) router.Outcome {
	if outcome, known := errorOutcomes[code]; known {
		return outcome
	}
	return router.ServerError
}

// Data implements eventloop.Handler. It buffers a response until it is complete, and closes the connection on a protocol violation.
func (c *memberConn) Data(b []byte) {
	if c.pool == CancelPool { // a server sends nothing in reply to a cancel request
		c.closeOnProtocolError()
		return
	}
	// Limits an endless sequence of messages that are skipped one by one, which can arrive on an idle connection as well.
	c.receivedBytes += len(b)
	if c.streamState == nil && c.receivedBytes > maxReceivedFactor*c.backend.options.MaxResponse {
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

// enforceBudget discards the incomplete response on this connection if all incomplete responses together exceed the budget, since there is no
// memory for the rest of it. Its statement may have run.
func (c *memberConn) enforceBudget() {
	overBudget := c.backend.bufferedBytes > c.backend.options.ResponseBudget || c.backend.options.Memory.Exceeded()
	if overBudget && c.bufferedBytes > memory.FreeBytes && c.job != nil && c.ready {
		c.backend.OverBudget++
		c.closeOnProtocolError()
	}
}

// updateBufferedBytes updates this connection's share of the buffered bytes of all responses.
func (c *memberConn) updateBufferedBytes() {
	buffered := cap(c.rows) + c.reader.Cap()
	c.backend.bufferedBytes += buffered - c.bufferedBytes
	c.backend.options.Memory.Change(buffered - c.bufferedBytes)
	c.bufferedBytes = buffered
}

// closeOnProtocolError closes a connection on which the member violated the protocol, or whose response exceeds the budget. No part of the
// response can be trusted. A job whose query was sent may have run; it ends as ServerError rather than Reset, so that invalid data is not
// mistaken for the loss of a member that is up.
func (c *memberConn) closeOnProtocolError() {
	c.backend.ProtocolErrors++
	c.stage, c.queryError = stageNone, nil
	if j := c.job; j != nil && !c.closeIfUnsent() {
		c.backend.endJob(j, router.ServerError)
	}
	c.Closed()
}

// handle processes one message. It returns false if the message violates the protocol.
func (c *memberConn) handle(m *pg.Message) bool {
	if c.streamState != nil {
		return c.handleStreamMessage(m)
	}
	return c.handleMessage(m)
}

// handleMessage processes one message on a connection for single statements. It returns false if the message violates the protocol.
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

// handleError processes an error from the member, which either refuses the login or is the response to the job's query.
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

// handleReady processes a ReadyForQuery, which ends the login, the reply to the barrier's empty query, or a response.
func (c *memberConn) handleReady() bool {
	if c.barrier != barrierNone {
		answered := c.barrier == barrierReplied
		c.barrier = barrierNone
		return answered
	}
	return c.becomeReady() || c.finishResponse()
}

// handleResponseMessage appends a message to the response, which must be one row of one column. It returns false if the message can't be the
// next part of such a response.
func (c *memberConn) handleResponseMessage(m *pg.Message) bool {
	if c.job == nil || !c.ready || c.queryError != nil || c.barrier != barrierNone || len(c.rows)+len(m.Raw) > c.backend.options.MaxResponse {
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
	c.rows = append(slices.Grow(c.rows, len(m.Raw)+responseEndBytes), m.Raw...)
	return true
}

// becomeReady processes the first ReadyForQuery, after which the connection can be used. It returns false if the connection was already ready.
func (c *memberConn) becomeReady() bool {
	if c.ready {
		return false
	}
	c.ready = true
	c.backend.poolInput().Opened(c.id)
	c.backend.carryOutDecisions()
	return true
}

// handleLoginError processes an error received before the member accepted the login.
func (c *memberConn) handleLoginError(e *pg.Error) bool {
	cause := connpool.Unreachable
	if e.Code == pg.TooManyConnections {
		cause = connpool.TooManyConnections
	}
	c.connectFailed(cause)
	return true
}

// finishResponse processes the ReadyForQuery that ends a response.
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

// Drained implements eventloop.Handler.
func (c *memberConn) Drained() {}
