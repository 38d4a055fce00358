package eventloop

import (
	"errors"
	"time"

	"wayloft/internal/decide/requestid"
	"wayloft/internal/invariant"
	"wayloft/internal/pg"
	"wayloft/internal/request"
	"wayloft/router"
)

// Backend sends attempts and health checks to members. It reports their results to Driver.AttemptEnded, Driver.StatementFailed and
// Driver.HealthChecked.
type Backend interface {
	// SendAttempt sends a request to a member. The attempt times out after timeout ms (0: no timeout) and must not be written after
	// the time notAfter.
	SendAttempt(req *request.Request, attempt int, member string, timeout, notAfter float64)
	// CancelAttempt cancels an attempt, which may have run if it was already written.
	CancelAttempt(requestID string, attempt int)
	// Abandon cancels the parts of a request that cannot have run yet, because its client has disconnected.
	Abandon(requestID string)
	// HealthCheck asks a member for its role and position.
	HealthCheck(member string)
	// CloseIdle closes the idle connections to a member.
	CloseIdle(member string)
}

// Driver drives a decision module: it passes events in as inputs, carries out the decisions and manages the module's timer. It makes
// no decisions itself. All methods except Run must be called on the loop's goroutine.
type Driver struct {
	*Loop
	router      *router.Router
	backend     Backend
	classes     map[string]*router.RequestClass
	requestList func()
	onReport    func(member string, role router.Role, position float64)
	requests    map[string]*openRequest // by request id
	heldIDs     *requestid.Held         // ids of requests that have ended and may still run
	hasInput    bool                    // the module has received an input in this batch
	timer       *time.Timer

	onClockSettled    func()
	settledNotified   bool            // onClockSettled has been called
	pendingReports    []pendingReport // received before the clock was settled, at most one per listed member
	confirmsPositions bool            // additional health checks are allowed, to settle the clock
	confirming        map[string]bool // members with a scheduled additional health check

	membersCheckStaleness bool
}

// openRequest is a request that is unfinished or has an attempt in flight.
type openRequest struct {
	request    *request.Request
	class      *router.RequestClass
	attempts   int // started so far
	inFlight   int
	mayHaveRun bool // an attempt has run, or may still
	clientLeft bool
	succeeded  bool
}

// The errors of Driver.Arrive. Clients receive their texts.
var (
	ErrUnknownRequestClass = errors.New("txn type is not in the settings")
	ErrDuplicateID         = errors.New("id is in use")
	ErrFuturePosition      = errors.New("after lies in the future")
)

// maxHeldIDBytes limits the memory of the ids of requests that have ended and may still run.
const maxHeldIDBytes = 512 << 10

// MaxPositionAhead is how far, in ms, a position reported by a member or given by a client may be ahead of the cluster's clock.
const MaxPositionAhead = 1000.0

// New returns a driver for a decision module. classes are the request classes from the settings; requestList is called when the
// module requests the endpoint list.
func New(loop *Loop, module *router.Router, classes map[string]*router.RequestClass, requestList func()) *Driver {
	return &Driver{
		Loop:        loop,
		router:      module,
		classes:     classes,
		requestList: requestList,
		requests:    map[string]*openRequest{},
		heldIDs:     requestid.NewHeld(maxHeldIDBytes),
		confirming:  map[string]bool{},
	}
}

// SetBackend sets the backend that sends attempts and health checks. It must be called before Run.
func (d *Driver) SetBackend(b Backend) { d.backend = b }

// Run runs the loop until it is stopped.
func (d *Driver) Run() { d.Loop.Run(d.carryOutDecisions) }

// routerInput returns the module to receive an input. It advances the module's clock before the first input of each batch.
func (d *Driver) routerInput() *router.Router {
	if !d.hasInput {
		d.hasInput = true
		d.router.Advance(d.Now())
	}
	return d.router
}

// Arrive accepts a new request. It returns ErrUnknownRequestClass, ErrDuplicateID or ErrFuturePosition if the request is not accepted.
func (d *Driver) Arrive(req *request.Request) error {
	if d.requests[req.ID] != nil || d.heldIDs.Contains(req.ID, d.Now()) {
		return ErrDuplicateID
	}
	class := d.classes[req.RequestClass]
	if class == nil {
		return ErrUnknownRequestClass
	}
	req.LimitWait(class.Deadline)
	now := d.Now()
	if req.Position > 0 && !d.PositionPossible(req.Position) {
		return ErrFuturePosition
	}
	d.routerInput().RequestArrived(req.ID, req.Tenant, req.IdempotencyKey, req.RequestClass, req.Group, d.positionAge(req, now),
		req.TimeoutMs, req.IsRetry)
	if !tellsPosition(req) {
		d.routerInput().MembersNotTold(req.ID)
	}
	if req.Arrived < now {
		d.routerInput().RequestQueued(req.ID, now-req.Arrived)
	}
	if req.Stream != nil && req.Stream.Reserved != nil {
		d.routerInput().Pin(req.ID, req.Stream.Reserved.Member())
	}
	d.requests[req.ID] = &openRequest{request: req, class: class}
	return nil
}

// tellsPosition reports whether the member that runs the request learns from its statement comment which position the request must see.
// The statements of a stream go out as the client wrote them; the router alone knows the position of its last commit.
func tellsPosition(req *request.Request) bool { return req.Stream == nil }

// ClientGone records that the client of a request has disconnected. No response is owed any more, and attempts that have not been
// written are dropped: otherwise an attempt waiting for a connection to be established could be sent long after its client has left.
func (d *Driver) ClientGone(req *request.Request) {
	if req.ClientGone() {
		d.requests[req.ID].clientLeft = true
		d.routerInput().ClientGone(req.ID)
		d.dropIfDone(req.ID)
		d.backend.Abandon(req.ID)
	}
}

// AttemptEnded records the outcome of an attempt. latency is the time in ms that the member took; role and position are what the
// member reported about itself, or RoleUnknown and Never; rows is the response of a successful attempt.
func (d *Driver) AttemptEnded(req *request.Request, attempt int, _ string, outcome router.Outcome, latency float64,
	role router.Role, position float64, rows []byte) {
	// The client has received part of the response or has cancelled the request: it must not be retried.
	noRetry := req.Stream != nil && (req.Stream.Started() || req.Stream.Cancelled())
	done := req.Finished() || outcome == router.Succeeded || noRetry
	open := d.requests[req.ID]
	open.succeeded = open.succeeded || outcome == router.Succeeded
	open.mayHaveRun = open.mayHaveRun || open.succeeded || outcome.MayHaveRun()
	d.routerInput().AttemptEnded(req.ID, attempt, outcome, latency, done, role, d.positionOnLoop(position))
	if outcome == router.Succeeded && !req.Finished() {
		req.Succeed(rows)
	} else if noRetry && !req.Finished() {
		req.Fail()
	}
	open.inFlight--
	d.dropIfDone(req.ID)
}

// AttemptIdleChanged records who must act next in a request of several messages: the member or, if waiting is set, the client or the
// connection pool.
func (d *Driver) AttemptIdleChanged(req *request.Request, attempt int, waiting bool) {
	d.routerInput().AttemptIdleChanged(req.ID, attempt, waiting, req.Stream != nil && req.Stream.Started())
}

// StatementFailed records that a member reported an error in the statement itself. The statement did not run, and the error says
// nothing about the member's health.
func (d *Driver) StatementFailed(req *request.Request, attempt int, _ string, e *pg.Error) {
	d.routerInput().AttemptEnded(req.ID, attempt, router.NotSent, 0, true, router.RoleUnknown, router.Never)
	if !req.Finished() {
		req.StatementError(e)
	}
	d.requests[req.ID].inFlight--
	d.dropIfDone(req.ID)
}

// HealthChecked records the outcome of a health check.
func (d *Driver) HealthChecked(member string, outcome router.Outcome) {
	d.routerInput().HealthChecked(member, outcome)
}

// Reported passes a member's report of its role and position to the module, as soon as the cluster's clock is known well enough to
// validate the position.
func (d *Driver) Reported(member string, role router.Role, position float64) {
	report := pendingReport{member, role, position}
	if !d.clockSettled() {
		d.queueReport(report)
		return
	}
	d.forwardReport(report)
}

// OnReport sets a function that also receives the members' reports, with positions on the cluster's clock. It must not block.
func (d *Driver) OnReport(f func(member string, role router.Role, position float64)) { d.onReport = f }

// HealthCheck checks a member on behalf of other routers. The module receives the result as well.
func (d *Driver) HealthCheck(member string) { d.backend.HealthCheck(member) }

// PeerReported passes the result of another router's health check to the module; position is on the cluster's clock. The result is
// ignored if the cluster's clock is not settled yet or the position is not possible.
func (d *Driver) PeerReported(member string, started float64, role router.Role, position float64) {
	if !d.clockSettled() || position != router.Never && !d.PositionPossible(position) {
		return
	}
	d.routerInput().PeerReported(member, started, role, d.positionOnLoop(position))
}

// HoldWrites places a write hold on a group until the given time. A time that has passed releases the hold.
func (d *Driver) HoldWrites(group int, until float64) { d.routerInput().HoldWrites(group, until) }

// UpdateSettings passes changed settings to the module. Values and tenants may change; the set of request classes and their fixed
// properties may not.
func (d *Driver) UpdateSettings(set *router.Settings) { d.routerInput().UpdateSettings(set) }

// CountWrites counts the requests of a group that require its primary, separately those with an attempt in flight and those waiting.
func (d *Driver) CountWrites(group int) (inFlight, waiting int) {
	for _, open := range d.requests {
		class := d.classes[open.request.RequestClass]
		if open.request.Group != group || class.Level != router.Write && class.Level != router.Fresh {
			continue
		}
		if open.inFlight > 0 {
			inFlight++
		} else {
			waiting++
		}
	}
	return inFlight, waiting
}

// ListInput returns the module to receive endpoint list inputs.
func (d *Driver) ListInput() *router.Router { return d.routerInput() }

// dropIfDone forgets a request that is finished and has no attempt in flight. Until then its id counts as in use, and longer if it may still
// run.
func (d *Driver) dropIfDone(id string) {
	open := d.requests[id]
	if !open.request.Finished() || open.inFlight > 0 {
		return
	}
	delete(d.requests, id)
	if open.holdsID() {
		latest := max(d.Now(), open.request.Deadline) + max(open.class.IdempotencyWindow, open.class.Deadline)
		d.heldIDs.Hold(id, d.Now(), latest)
	}
}

// holdsID reports whether the id must not be used again for some time: the request has run or may still, must not run twice, and its client
// was not told that it succeeded. Of an id that was made up here, there is no second use.
func (open *openRequest) holdsID() bool {
	if !open.mayHaveRun || open.class.Effect == router.Idempotent || open.request.GeneratedID {
		return false
	}
	return open.clientLeft || !open.succeeded
}

// carryOutDecisions carries out the module's decisions at the end of a batch, if the module received an input in it.
func (d *Driver) carryOutDecisions() {
	if !d.hasInput {
		return
	}
	d.hasInput = false
	for decision, more := d.router.Next(); more; decision, more = d.router.Next() {
		d.carryOut(decision)
	}
}

func (d *Driver) carryOut(decision router.Decision) {
	switch decision.Action {
	case router.SendAttempt, router.RejectRequest, router.FailRequest:
		d.carryOutForRequest(decision)
	case router.CancelAttempt:
		d.backend.CancelAttempt(decision.RequestID, decision.Attempt)
	case router.HealthCheck:
		d.backend.HealthCheck(decision.Member)
	case router.RequestList:
		d.requestList()
	case router.CloseIdleConnections:
		d.backend.CloseIdle(decision.Member)
	case router.SetTimer:
		if d.timer != nil {
			d.timer.Stop()
		}
		d.timer = d.After(decision.Time-d.Now(), func() { d.routerInput().TimerFired() })
	}
}

// carryOutForRequest carries out a decision on a request, which must be unfinished and have no attempt in flight.
func (d *Driver) carryOutForRequest(decision router.Decision) {
	open := d.requests[decision.RequestID]
	invariant.Check(open != nil && !open.request.Finished() && open.inFlight == 0,
		"a decision concerns an unfinished request with no attempt in flight")
	if open == nil || open.request.Finished() {
		return
	}
	switch decision.Action {
	case router.SendAttempt:
		open.attempts++
		open.inFlight++
		d.backend.SendAttempt(open.request, open.attempts-1, decision.Member, decision.Wait, decision.NotAfter)
	case router.RejectRequest:
		if decision.PinLost {
			open.request.RejectPinned()
		} else {
			open.request.Reject(decision.Wait)
		}
	case router.FailRequest:
		open.request.Fail()
	}
	d.dropIfDone(decision.RequestID)
}
