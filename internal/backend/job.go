package backend

import (
	"math"
	"time"

	"wayloft/internal/invariant"
	"wayloft/internal/pg"
	"wayloft/internal/request"
	"wayloft/router"
)

// job is an attempt, a health check or a cancel request.
type job struct {
	request         *request.Request // nil for a health check or cancel request
	cancelKey       *pg.CancelKey    // set only for a cancel request: identifies the query to cancel
	attempt         int              // attempt number
	member          *member
	started         float64
	deadline        float64 // when the job times out
	notAfter        float64 // latest time at which it may be written
	writtenAt       float64 // when the write of its query began
	memberTimeMs    float64 // ms spent waiting for the member so far; only for streams, which also wait for the client
	memberTurnSince float64 // since when the stream has been waiting for the member; 0 if it is not
	timer           *time.Timer
	poolRequest     string      // id of its request to the pool
	conn            *memberConn // nil while waiting for a connection
	ended           bool
	waitingReported bool // the driver was notified that the job waits for a connection
}

// jobResult holds the parts of a member's response to a job that can be trusted.
type jobResult struct {
	rows           []byte    // response to an attempt
	value          []byte    // response to a health check
	statementError *pg.Error // error caused by the statement itself
	role           router.Role
	position       float64 // on the cluster's clock; router.Never if none was reported
	report         string  // report included in the response
}

// SendAttempt sends a request to a member. The attempt times out at the request's deadline, or after timeout ms if timeout is positive and
// that is earlier. It is not written later than notAfter.
func (b *Backend) SendAttempt(req *request.Request, attempt int, memberID string, timeout, notAfter float64) {
	j := &job{request: req, attempt: attempt, started: b.driver.Now(), deadline: req.Deadline, notAfter: notAfter}
	if timeout > 0 {
		j.deadline = min(j.deadline, j.started+timeout)
	}
	b.attempts[req.ID] = j
	b.startJob(j, memberID)
}

// HealthCheck starts a health check of a member, which queries its role and position if Options.HealthReports is set.
func (b *Backend) HealthCheck(memberID string) {
	now := b.driver.Now()
	b.startJob(&job{started: now, deadline: now + b.options.DialTimeoutMs, notAfter: math.Inf(1)}, memberID)
}

// CancelAttempt cancels an attempt. The attempt may have run if it was written.
func (b *Backend) CancelAttempt(requestID string, attempt int) {
	if j := b.attempts[requestID]; j != nil && j.attempt == attempt {
		b.driver.Defer(func() { b.endJob(j, router.Canceled) })
	}
}

// Abandon ends the attempt of a disconnected client unless it may already be running. A stream is ended by its OnClientGone callback
// instead.
func (b *Backend) Abandon(requestID string) {
	if j := b.attempts[requestID]; j != nil && j.request.Stream == nil && (j.conn == nil || !j.conn.querySent()) {
		b.endJob(j, router.Canceled)
	}
}

// startJob starts a job, or queues it until a connection is available.
func (b *Backend) startJob(j *job, memberID string) {
	m := b.members[memberID]
	invariant.Check(m != nil, "attempts and health checks are sent only to listed members")
	if m == nil || j.deadline <= j.started {
		j.member = &member{id: memberID}
		b.driver.Defer(func() { b.endJob(j, router.NotSent) })
		return
	}
	j.member = m
	// The current batch of events may have been running for a while, so the timer is relative to Clock rather than Now.
	j.timer = b.driver.After(j.deadline-b.driver.Clock(), func() { b.endJob(j, router.TimedOut) })
	if j.request != nil && j.request.Stream != nil {
		b.startStream(j)
		return
	}
	b.requestConn(j)
	b.carryOutDecisions()
	// The time that a statement waits for a connection must not count against the member.
	if b.options.QueueStatements && j.request != nil && j.conn == nil && !j.ended {
		b.driver.Defer(func() { b.reportWaiting(j) })
	}
}

// reportWaiting notifies the driver that an attempt is waiting for a connection.
func (b *Backend) reportWaiting(j *job) {
	if j.conn == nil && !j.ended {
		j.waitingReported = true
		b.driver.AttemptIdleChanged(j.request, j.attempt, true)
	}
}

// endMemberTurn ends the stream's current wait for the member, and adds its duration to memberTimeMs.
func (j *job) endMemberTurn(now float64) {
	j.memberTimeMs += now - j.memberTurnSince
	j.memberTurnSince = 0
}

// expired reports whether it is too late to write a job: the decision behind it no longer holds after notAfter, or the deadline of the attempt
// has passed.
func (j *job) expired(now float64) bool {
	return now > j.notAfter || j.request != nil && now >= j.deadline
}

// endIfUnsendable reports whether a job must not be written because it has expired or its client has disconnected, and ends it if so. It must
// be called immediately before the write. It checks the client last, after reading the clock.
func (b *Backend) endIfUnsendable(j *job) bool {
	if j.expired(b.driver.Clock()) {
		b.driver.Defer(func() { b.endJob(j, router.NotSent) })
		return true
	}
	if j.request == nil || !j.request.Abandoned() {
		return false
	}
	b.driver.Defer(func() {
		b.driver.ClientGone(j.request)
		b.endJob(j, router.NotSent)
	})
	return true
}

// endJob ends a job and reports its outcome; further calls have no effect. A connection with an incomplete response is closed before the
// outcome is reported.
func (b *Backend) endJob(j *job, outcome router.Outcome) {
	if j.ended {
		return
	}
	j.ended = true
	if j.timer != nil {
		j.timer.Stop()
	}
	if j.conn == nil {
		b.poolInput().Cancel(j.poolRequest)
		delete(b.waiting, j.poolRequest)
	}
	if j.cancelKey != nil {
		if j.conn != nil {
			j.conn.drop()
		}
		return
	}
	if j.timedOutOrCanceled(outcome) && (j.conn == nil || j.conn.closeIfUnsent()) {
		outcome = router.NotSent // it ended before it was written, which says nothing about the member
	}
	result := b.detachConn(j, outcome)
	// The member becomes suspected. Close its idle connections as well: if the member has become unreachable, they would stay open without
	// ever failing.
	if outcome == router.Reset || outcome == router.ConnectFailed || outcome == router.TimedOut && j.request == nil {
		b.CloseIdle(j.member.id)
	}
	if j.request == nil {
		b.endHealthCheck(j, outcome, result)
	} else {
		b.endAttempt(j, outcome, result)
	}
}

// timedOutOrCanceled reports whether an attempt ended because it timed out or was cancelled, rather than by its member.
func (j *job) timedOutOrCanceled(outcome router.Outcome) bool {
	return j.request != nil && (outcome == router.TimedOut || outcome == router.Canceled)
}

// endHealthCheck reports the outcome of a health check, after the report contained in its response.
func (b *Backend) endHealthCheck(j *job, outcome router.Outcome, result jobResult) {
	accepted := b.acceptReport(j, string(result.value))
	if outcome == router.Succeeded && b.options.HealthReports && !accepted {
		outcome = router.ServerError // the response does not contain a valid report
	}
	b.driver.HealthChecked(j.member.id, outcome)
}

// endAttempt reports the outcome of an attempt, and the report included in its response.
func (b *Backend) endAttempt(j *job, outcome router.Outcome, result jobResult) {
	invariant.Check(b.attempts[j.request.ID] == j, "a request has at most one attempt in flight")
	delete(b.attempts, j.request.ID)
	took := b.driver.Now() - j.started
	if j.request.Stream != nil {
		j.request.Stream.OnClientGone(nil)
		took = j.memberTimeMs
	}
	if outcome == router.ServerError && result.statementError != nil {
		b.driver.StatementFailed(j.request, j.attempt, j.member.id, result.statementError)
		return
	}
	b.driver.AttemptEnded(j.request, j.attempt, j.member.id, outcome, took, result.role, result.position, result.rows)
	b.acceptReport(j, result.report)
}

// detachConn detaches a job from its connection, if it has one, and returns the member's response. The connection is reused if the response
// is complete; otherwise it is closed.
func (b *Backend) detachConn(j *job, outcome router.Outcome) jobResult {
	result := jobResult{role: router.RoleUnknown, position: router.Never}
	c := j.conn
	if c == nil {
		return result
	}
	if c.streamState != nil {
		result.role, result.position = c.role, b.acceptPosition(j, c.role, c.position)
		result.statementError = c.endStream(j, outcome)
		return result
	}
	c.job, c.queryWritten = nil, false
	if c.queryError != nil && c.queryError.IsStatementError() {
		result.statementError = c.queryError
	}
	if c.stage == stageReady || outcome == router.Succeeded {
		result.rows, result.value, result.role, result.report = c.rows, c.value, c.role, c.report
		result.position = b.acceptPosition(j, result.role, c.position)
	}
	if c.stage == stageReady {
		c.returnToPool()
	} else {
		c.drop()
	}
	return result
}
