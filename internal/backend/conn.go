package backend

import (
	"wayloft/internal/decide/connpool"
	"wayloft/internal/eventloop"
	"wayloft/internal/failpoint"
	"wayloft/internal/invariant"
	"wayloft/internal/pg"
	"wayloft/router"
)

// memberConn is a connection to a member. It carries one job at a time.
type memberConn struct {
	backend      *Backend
	id           int // the pool's connection id
	pool         string
	member       *member
	conn         *eventloop.Conn
	reader       *pg.Reader
	job          *job
	ready        bool // the member has accepted the login
	queryWritten bool // the job's query was passed to conn, though it may not be sent yet
	barrier      barrierState

	rows          []byte // the response so far
	stage         responseStage
	value         []byte    // the single value in the response to a health check
	queryError    *pg.Error // the member's error response
	role          router.Role
	position      float64 // on the cluster's clock; router.Never if none was reported
	report        string
	bufferedBytes int // this connection's share of Backend.bufferedBytes
	receivedBytes int // bytes received since the last job began

	*streamState // nil unless the pool carries multi-message requests
}

// barrierState is the state of the barrier: an empty query that is sent ahead of a job's query on a recently used connection. Everything that
// arrives before the reply to the empty query belongs to the previous job. Without the barrier, a duplicate of the previous response would
// be taken for the response to this job's query.
type barrierState int

const (
	barrierNone    barrierState = iota // no empty query was sent, or its reply is complete
	barrierReplied                     // EmptyQueryResponse was received; ReadyForQuery is still expected
	barrierSent                        // no reply was received yet
)

// connectFailed closes a connection that did not become ready.
func (c *memberConn) connectFailed(cause connpool.FailureCause) {
	if c.backend.conns[c.id] == c {
		c.backend.poolInput().OpenFailed(c.id, cause)
		c.conn.Close()
		c.unregister()
		c.backend.carryOutDecisions()
	}
}

// startJob writes the job's query, unless endIfUnsendable ends the job. It reports whether the query was written.
func (c *memberConn) startJob(j *job) bool {
	invariant.Check(j.request == nil || j.request.Stream != nil || !j.request.Finished(), "no attempt is sent for a disconnected client")
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
				c.backend.driver.AttemptIdleChanged(j.request, j.attempt, false)
			}
		})
	}
	c.conn.Write(out)
	return true
}

// attach assigns a job, whose query is about to be written, to the connection. It resets what the member reported during the previous job.
func (c *memberConn) attach(j *job) {
	c.job = j
	j.conn = c
	c.queryWritten = true
	j.writtenAt = c.backend.driver.Clock()
	c.role, c.position, c.report = router.RoleUnknown, router.Never, ""
}

// buildQuery returns the encoded query of the job. The deadline in a statement's comment is set to the time that its client has left now.
func (c *memberConn) buildQuery(j *job) (out []byte) {
	if c.barrier != barrierNone {
		// The reply to the empty query precedes the response to the job's query, and nothing that the member sent earlier can follow it.
		out = pg.AppendQuery(out)
	}
	switch {
	case j.cancelKey != nil:
		out = pg.AppendCancelRequest(nil, *j.cancelKey)
	case j.request != nil:
		out = j.request.AppendQuery(out, j.deadline-c.backend.driver.Clock())
	case c.backend.options.HealthReports:
		out = pg.AppendQuery(out, reportQuery)
	default:
		out = pg.AppendQuery(out, livenessQuery)
	}
	return out
}

// drop closes the connection. Its job, if any, must have been detached.
func (c *memberConn) drop() {
	if c.backend.conns[c.id] == c {
		c.backend.poolInput().ConnectionClosed(c.id)
		c.conn.Close()
		c.unregister()
		c.backend.driver.Defer(c.backend.carryOutDecisions) // the pool may open a new connection
	}
}

func (c *memberConn) unregister() {
	delete(c.backend.conns, c.id)
	c.backend.bufferedBytes -= c.bufferedBytes
	c.backend.options.Memory.Change(-c.bufferedBytes)
	c.bufferedBytes = 0
}

// Closed implements eventloop.Handler. It is called when the connection has ended.
func (c *memberConn) Closed() {
	if !c.ready {
		c.connectFailed(connpool.Unreachable)
		return
	}
	if j := c.job; j != nil {
		c.backend.endJob(j, c.closeOutcome())
	} else if c.streamState != nil && c.reservedFor != nil {
		c.reservedFor.Terminate(errKeptConnectionEnded)
	}
	c.drop()
}

// closeOutcome returns the outcome of the job when its connection ends. A job that can't be running did not run; a complete response or an
// error that was received before the connection ended still counts.
func (c *memberConn) closeOutcome() router.Outcome {
	switch {
	case c.streamState != nil && c.mayBeRunning() && c.internalPending == 0 && !c.nothingExpected():
		return router.Reset
	case c.streamState != nil: // the stream was waiting for its client, or only internal queries were sent
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

// requestWritten reports whether something of the job's request was passed to conn: of a stream, the client's operations, ahead of which the
// session's settings and the transaction's BEGIN are applied.
func (c *memberConn) requestWritten() bool {
	if c.streamState != nil {
		return c.clientOpsWritten
	}
	return c.queryWritten
}

// querySent reports whether the last byte of the job's query was written, in which case it may be running.
func (c *memberConn) querySent() bool { return c.queryWritten && c.conn.Sent() }

// mayBeRunning reports whether the member may have run the job's query, or committed a part of it.
func (c *memberConn) mayBeRunning() bool {
	return c.querySent() || c.streamState != nil && c.clientOpsWritten && c.job.request.Stream.Client.Session().CommitsBeforeEnd()
}

// closeIfUnsent closes the connection if the job's query can't be running yet, and reports whether it never will be. The poller may be writing
// the rest concurrently, so the check is repeated after Close, when nothing more can be written.
func (c *memberConn) closeIfUnsent() bool {
	if c.mayBeRunning() {
		return false
	}
	failpoint.Hit("backend.unsent")
	c.conn.Close()
	return !c.mayBeRunning()
}

// returnToPool releases the connection to the pool for reuse. It closes the connection instead if unparsed bytes are left on it.
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

// settingsID returns the id of the connection's current settings, which the pool uses for affinity.
func (c *memberConn) settingsID() any {
	if c.streamState == nil {
		return nil
	}
	return c.settings.ID()
}
