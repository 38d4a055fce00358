package backend

import (
	"strconv"

	"wayloft/internal/decide/connpool"
	"wayloft/internal/pg"
	"wayloft/router"
)

// How far an answer has come.
const (
	stageNone = iota
	stageColumns
	stageRow
	stageComplete // its last message but readiness is there
	stageReady    // and the connection is ready for the next
)

var errorOutcomes = map[string]router.Outcome{pg.NoPrimary: router.Misrouted, pg.TooOld: router.Misrouted, pg.Refused: router.Overloaded,
	pg.NotNow: router.Overloaded}

// errorOutcome is what an error's code says; whatever the protocol doesn't name may have run.
func errorOutcome(code string) router.Outcome {
	if outcome, known := errorOutcomes[code]; known {
		return outcome
	}
	return router.ServerError
}

var rolesOnWire = map[string]router.Role{"source": router.Primary, "copy": router.Replica}

// Data takes bytes in. An answer is kept until it is whole; whatever breaks the protocol breaks the connection.
func (c *memberConn) Data(b []byte) {
	if c.pool == CancelPool { // a server says nothing to a cancel
		c.failProtocol()
		return
	}
	// Guards against messages without end that are passed over one by one, on a connection that rests too.
	if c.receivedBytes += len(b); c.streamState == nil && c.receivedBytes > 2*c.backend.limits.MaxResponse {
		c.failProtocol()
		return
	}
	c.reader.Feed(b)
	for c.backend.conns[c.id] == c {
		m, ok, err := c.reader.Next()
		if c.countBuffered(); !ok && err == nil {
			if c.backend.buffered > c.backend.limits.ResponseBudget && c.job != nil && c.ready {
				c.backend.OverBudget++ // it may have run, and nothing is left to hear the rest with
				c.failProtocol()
			}
			return
		}
		if err != nil || c.streamState == nil && !c.handleMessage(m) || c.streamState != nil && !c.handleStreamMessage(&m) {
			c.failProtocol()
			return
		}
	}
}

// countBuffered keeps the sum of what all connections hold of answers.
func (c *memberConn) countBuffered() {
	held := len(c.rows) + c.reader.Pending()
	c.backend.buffered += held - c.buffered
	c.buffered = held
}

// failProtocol ends a connection on which something came that can't be an answer. Its job has failed and may have run, and
// none of what came can be trusted. Guards against taking noise for the loss of a member that is there.
func (c *memberConn) failProtocol() {
	c.backend.ProtocolErrors++
	c.stage, c.queryError = stageNone, nil
	if j := c.job; j != nil && !c.closeIfUnsent() {
		c.backend.endJob(j, router.ServerError)
	}
	c.Closed()
}

// handleMessage takes one message in; false: it does not belong here.
func (c *memberConn) handleMessage(m pg.Message) bool {
	switch m.Kind {
	case pg.Skip, pg.AuthOK:
		return true
	case pg.Parameter:
		c.recordParameter(m.Name, m.Text)
		return true
	case pg.Empty:
		c.fence--
		return c.fence == 1
	case pg.Failure:
		if !c.ready {
			return c.loginRefused(m.Failure)
		}
		if c.job == nil || c.fence > 0 {
			return false
		}
		c.queryError = m.Failure
		return true
	case pg.Ready:
		if c.fence > 0 {
			c.fence--
			return c.fence == 0
		}
		return c.becomeReady() || c.finishResponse()
	}
	if c.job == nil || !c.ready || c.queryError != nil || c.fence > 0 || len(c.rows)+len(m.Raw) > c.backend.limits.MaxResponse {
		return false
	}
	switch {
	case m.Kind == pg.Columns && c.stage == stageNone && m.Count == 1:
		c.stage = stageColumns
	case m.Kind == pg.Row && c.stage == stageColumns && m.Count == 1:
		if c.stage = stageRow; c.job.request == nil {
			c.value = append([]byte{}, m.Cell...)
		}
	case m.Kind == pg.Complete && c.stage == stageRow:
		c.stage = stageComplete
	default:
		return false
	}
	c.rows = append(c.rows, m.Raw...)
	return true
}

// becomeReady takes the first readiness, after which the connection can be used.
func (c *memberConn) becomeReady() bool {
	if c.ready {
		return false
	}
	c.ready = true
	c.backend.poolInput().Opened(c.id)
	c.backend.carryOutDecisions()
	return true
}

// loginRefused takes an error before the member has let the connection in.
func (c *memberConn) loginRefused(e *pg.Error) bool {
	cause := connpool.Down
	if e.Code == pg.Refused {
		cause = connpool.Full
	}
	c.connectFailed(cause)
	return true
}

// finishResponse takes the readiness after an answer.
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

func (c *memberConn) recordParameter(name, value string) {
	switch name {
	case "rank":
		c.role = rolesOnWire[value]
	case "as_of":
		if x, err := strconv.ParseFloat(value, 64); err == nil && x > 0 {
			c.position = x
		}
	case "vitals":
		c.report = value
	}
}
