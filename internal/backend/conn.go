package backend

import (
	"wayloft/internal/decide/connpool"
	"wayloft/internal/eventloop"
	"wayloft/internal/failpoint"
	"wayloft/internal/invariant"
	"wayloft/internal/pg"
	"wayloft/router"
)

// memberConn is one connection to a member. It carries one job at a time.
type memberConn struct {
	backend      *Backend
	id           int // the pool's
	pool         string
	member       *member
	conn         *eventloop.Conn
	reader       *pg.Reader
	job          *job
	ready        bool // the member has accepted the login
	queryWritten bool // the job's query was given to conn
	barrier      barrierState

	rows          []byte // the response so far
	stage         responseStage
	value         []byte    // the only value of a health check's response
	queryError    *pg.Error // the error that the member answered
	role          router.Role
	position      float64 // on the cluster's clock; router.Never: none
	report        string
	bufferedBytes int // bytes that it holds of Backend.buffered
	receivedBytes int // since its last job began

	*streamState // nil unless its pool carries requests of several messages
}

// barrierState is how far the empty query is answered that goes before a job's query on a connection that was just used. Whatever comes
// before its answer belongs to the job before. It guards against a second copy of the last response, which would be taken for the
// response to this query.
type barrierState int

const (
	barrierNone    barrierState = iota // no empty query was sent, or all of its answer has come
	barrierReplied                     // the ReadyForQuery after its answer is still to come
	barrierSent                        // its answer is still to come
)

// connectFailed ends a connection that has not become ready.
func (c *memberConn) connectFailed(cause connpool.FailureCause) {
	if c.backend.conns[c.id] == c {
		c.backend.poolInput().OpenFailed(c.id, cause)
		c.conn.Close()
		c.unregister()
		c.backend.carryOutDecisions()
	}
}

// startJob writes the job's query, unless it is withheld. It reports whether it did.
func (c *memberConn) startJob(j *job) bool {
	invariant.Check(j.request == nil || j.request.Stream != nil || !j.request.Finished(), "nothing is sent for a client that has gone")
	if c.streamState != nil && j.cancelKey == nil {
		c.receivedBytes = 0
		return c.startStream(j)
	}
	out := c.buildQuery(j)
	if c.backend.endIfUnsendable(j) {
		return false
	}
	c.receivedBytes = 0
	c.attach(j)
	c.rows, c.value = nil, nil
	c.stage, c.queryError = stageNone, nil
	if j.waitingReported {
		j.waitingReported = false
		c.backend.driver.Defer(func() {
			if !j.ended {
				c.backend.driver.TurnChanged(j.request, j.attempt, false)
			}
		})
	}
	c.conn.Write(out)
	return true
}

// attach makes a job the one on the connection, whose query is written now, and forgets what the member reported for the one before.
func (c *memberConn) attach(j *job) {
	c.job = j
	j.conn = c
	c.queryWritten = true
	j.writtenAt = c.backend.driver.Clock()
	c.role, c.position, c.report = router.RoleUnknown, router.Never, ""
}

// buildQuery returns the bytes of the job's query. A statement's comment has the time that is left to its client right now.
func (c *memberConn) buildQuery(j *job) (out []byte) {
	if c.barrier != barrierNone {
		// The answer to an empty query comes first, and nothing that the member sent earlier can come after it.
		out = pg.AppendQuery(out)
	}
	switch {
	case j.cancelKey != nil:
		out = pg.AppendCancelRequest(nil, *j.cancelKey)
	case j.request != nil:
		out = j.request.AppendQuery(out, j.deadline-c.backend.driver.Clock())
	case c.backend.limits.HealthReports:
		out = pg.AppendQuery(out, reportQuery)
	default:
		out = pg.AppendQuery(out, livenessQuery)
	}
	return out
}

// drop closes the connection. A job on it must have been taken off.
func (c *memberConn) drop() {
	if c.backend.conns[c.id] == c {
		c.backend.poolInput().ConnectionClosed(c.id)
		c.conn.Close()
		c.unregister()
		c.backend.driver.Defer(c.backend.carryOutDecisions) // the pool may open another
	}
}

func (c *memberConn) unregister() {
	delete(c.backend.conns, c.id)
	c.backend.bufferedBytes -= c.bufferedBytes
	c.bufferedBytes = 0
}

// Closed implements eventloop.Handler: the connection has ended.
func (c *memberConn) Closed() {
	if !c.ready {
		c.connectFailed(connpool.Unreachable)
		return
	}
	if j := c.job; j != nil {
		c.backend.endJob(j, c.closeOutcome())
	} else if c.streamState != nil && c.reservedFor != nil {
		c.reservedFor.Terminate(&pg.Error{Code: pg.AdminShutdown, Text: "the connection that this session kept has ended"})
	}
	c.drop()
}

// closeOutcome returns what the end of the connection means for its job. The job never ran if its last byte was not written; a complete
// response or an error that came before the end still counts.
func (c *memberConn) closeOutcome() router.Outcome {
	switch {
	case c.streamState != nil && c.querySent() && c.internalPending == 0 && !c.nothingExpected():
		return router.Reset
	case c.streamState != nil: // the stream waited for its client, or only internal queries were sent
		return router.ConnectFailed
	case c.queryError != nil:
		return errorOutcome(c.queryError.Code)
	case c.stage == stageComplete:
		return router.Succeeded
	case c.querySent():
		return router.Reset
	}
	return router.ConnectFailed
}

// querySent reports whether the last byte of the job's query was written, so that it may be running.
func (c *memberConn) querySent() bool { return c.queryWritten && c.conn.Sent() }

// closeIfUnsent reports whether the last byte of the job's query was not written and never will be; it closes the connection then. The
// poller may be writing the rest just now: the connection must be closed first and checked again, since nothing is written after
// that.
func (c *memberConn) closeIfUnsent() bool {
	if c.querySent() {
		return false
	}
	failpoint.Hit("backend.unsent")
	c.conn.Close()
	return !c.querySent()
}

// returnToPool keeps the connection for the next job.
func (c *memberConn) returnToPool() {
	if c.reader.Buffered() > 0 {
		c.drop()
		return
	}
	c.rows, c.value = nil, nil
	c.reader.Shrink()
	c.updateBufferedBytes()
	c.backend.poolInput().Release(c.id, c.settingsID())
	c.backend.driver.Defer(c.backend.carryOutDecisions)
}

// settingsID returns what identifies the settings that the connection was left with, for the pool.
func (c *memberConn) settingsID() any {
	if c.streamState == nil {
		return nil
	}
	return c.settings.ID()
}
