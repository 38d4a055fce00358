package backend

import (
	"math"
	"time"

	"wayloft/internal/invariant"
	"wayloft/internal/pg"
	"wayloft/internal/request"
	"wayloft/router"
)

// job is one attempt, health check or cancel request.
type job struct {
	request         *request.Request // nil: a health check or cancel request
	cancelKey       *pg.CancelKey    // of the query that a cancel request is for
	attempt         int              // the attempt's number
	member          *member
	started         float64
	deadline        float64 // the job times out then
	notAfter        float64 // it must not be written later
	writtenAt       float64 // when the write of its query began
	memberTimeMs    float64 // ms that the member has taken so far; only for streams, in which the client has turns, too
	memberTurnSince float64 // since when the stream waits for the member; 0: it doesn't
	timer           *time.Timer
	poolRequest     string      // its id in the pool
	conn            *memberConn // nil while it waits for one
	ended           bool
	waitingReported bool // the driver was notified that it waits for a connection
}

// jobResult is what a member answered to a job, as far as it can be trusted.
type jobResult struct {
	rows           []byte    // the response to an attempt
	value          []byte    // the response to a health check
	statementError *pg.Error // an error of the statement itself
	role           router.Role
	position       float64 // on the cluster's clock; router.Never: none
	report         string  // a report that came with the response
}

// SendAttempt sends a request to a member. The attempt times out after timeout ms, if that is more than 0, and at the request's deadline.
// It is not written after the time notAfter.
func (b *Backend) SendAttempt(req *request.Request, attempt int, memberID string, timeout, notAfter float64) {
	j := &job{request: req, attempt: attempt, started: b.driver.Now(), deadline: req.Deadline, notAfter: notAfter}
	if timeout > 0 {
		j.deadline = min(j.deadline, j.started+timeout)
	}
	b.attempts[req.ID] = j
	b.startJob(j, memberID)
}

// HealthCheck asks a member for its role and position.
func (b *Backend) HealthCheck(memberID string) {
	now := b.driver.Now()
	b.startJob(&job{started: now, deadline: now + b.limits.DialTimeoutMs, notAfter: math.Inf(1)}, memberID)
}

// CancelAttempt gives up on an attempt, which may have run if it was written.
func (b *Backend) CancelAttempt(requestID string, attempt int) {
	if j := b.attempts[requestID]; j != nil && j.attempt == attempt {
		b.driver.Defer(func() { b.endJob(j, router.Canceled) })
	}
}

// Abandon ends an attempt whose client has gone, unless it may be running already. A stream is ended by its own OnClientGone.
func (b *Backend) Abandon(requestID string) {
	if j := b.attempts[requestID]; j != nil && j.request.Stream == nil && (j.conn == nil || !j.conn.querySent()) {
		b.endJob(j, router.Canceled)
	}
}

// startJob starts a job, or has it wait for a connection.
func (b *Backend) startJob(j *job, memberID string) {
	m := b.members[memberID]
	invariant.Check(m != nil, "attempts and health checks go to listed members")
	if m == nil || j.deadline <= j.started {
		j.member = &member{id: memberID}
		b.driver.Defer(func() { b.endJob(j, router.NotSent) })
		return
	}
	j.member = m
	// The batch of events may have taken long already, so the timer counts from Clock and not from Now.
	j.timer = b.driver.After(j.deadline-b.driver.Clock(), func() { b.endJob(j, router.TimedOut) })
	if j.request != nil && j.request.Stream != nil {
		b.startStream(j)
		return
	}
	b.requestConn(j)
	b.carryOutDecisions()
	// The time that a statement waits for a connection doesn't count against the member.
	if b.limits.QueueStatements && j.request != nil && j.conn == nil && !j.ended {
		b.driver.Defer(func() { b.reportWaiting(j) })
	}
}

// reportWaiting notifies the driver that an attempt waits for a connection.
func (b *Backend) reportWaiting(j *job) {
	if j.conn == nil && !j.ended {
		j.waitingReported = true
		b.driver.TurnChanged(j.request, j.attempt, true)
	}
}

// endMemberTurn adds the time since the stream began to wait for the member to what the member has taken.
func (j *job) endMemberTurn(now float64) {
	j.memberTimeMs += now - j.memberTurnSince
	j.memberTurnSince = 0
}

// expired reports whether a job must not be written any more: the decision for it no longer holds, or its client's time is over.
func (j *job) expired(now float64) bool {
	return now > j.notAfter || j.request != nil && now >= j.deadline
}

// endIfUnsendable reports whether a job must not be written, and ends it if so: its time is over, or its client has gone. It must be called
// right before the write, and checks the client last, after all readings of the clock.
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

// endJob reports the outcome of a job, once. A connection whose response is incomplete is closed before the outcome is reported.
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
		outcome = router.NotSent // given up before it was written: that says nothing about the member
	}
	result := b.detachConn(j, outcome)
	// The router suspects the member now. Its idle connections are closed, too: if it vanished, they would stay open and silent.
	if outcome == router.Reset || outcome == router.ConnectFailed || outcome == router.TimedOut && j.request == nil {
		b.CloseIdle(j.member.id)
	}
	if j.request == nil {
		b.endHealthCheck(j, outcome, result)
	} else {
		b.endAttempt(j, outcome, result)
	}
}

// timedOutOrCanceled reports whether the outcome means that an attempt ended without waiting for its member any longer.
func (j *job) timedOutOrCanceled(outcome router.Outcome) bool {
	return j.request != nil && (outcome == router.TimedOut || outcome == router.Canceled)
}

// endHealthCheck reports the outcome of a health check, and passes on the report in its response.
func (b *Backend) endHealthCheck(j *job, outcome router.Outcome, result jobResult) {
	accepted := b.acceptReport(j, string(result.value))
	if outcome == router.Succeeded && b.limits.HealthReports && !accepted {
		outcome = router.ServerError // it answers, but not with a report
	}
	b.driver.HealthChecked(j.member.id, outcome)
}

// endAttempt reports the outcome of an attempt, and the report that came with its response.
func (b *Backend) endAttempt(j *job, outcome router.Outcome, result jobResult) {
	invariant.Check(b.attempts[j.request.ID] == j, "one attempt of a request at a time")
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

// detachConn takes a job off its connection, if it has one, and returns what the member answered. The connection goes on to the next
// job if the response is complete; else it is closed.
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
