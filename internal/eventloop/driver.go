package eventloop

import (
	"errors"
	"time"

	"wayloft/internal/invariant"
	"wayloft/internal/pg"
	"wayloft/internal/request"
	"wayloft/router"
)

// Backend carries attempts and health checks to members. It reports the end of each by Driver.AttemptEnded,
// Driver.StatementFailed and Driver.HealthChecked.
type Backend interface {
	// SendAttempt sends a request to a member. The attempt times out after timeout ms, if that isn't 0, and must not be written
	// after the time notAfter.
	SendAttempt(req *request.Request, attempt int, member string, timeout, notAfter float64)
	// CancelAttempt gives up on an attempt, which may have run if it was written.
	CancelAttempt(requestID string, attempt int)
	// Abandon gives up whatever of a request may not have run yet: its client has gone.
	Abandon(requestID string)
	// HealthCheck asks a member for its role and position.
	HealthCheck(member string)
	// CloseIdle closes the idle connections to a member.
	CloseIdle(member string)
}

// Driver drives a decision module: it feeds events in, carries out the decisions, and keeps the module's timer. It makes no
// decisions of its own. All methods but Run must be called on the loop's goroutine.
type Driver struct {
	*Loop
	router      *router.Router
	backend     Backend
	classes     map[string]*router.RequestClass
	requestList func()
	onReport    func(member string, role router.Role, position float64)
	requests    map[string]*openRequest // by request id
	hasInput    bool                    // the module has had an input in this batch
	timer       *time.Timer

	onClockSettled    func()
	settledNotified   bool            // onClockSettled was called
	heldReports       []heldReport    // one a listed member at most
	confirmsPositions bool            // members may be checked again to settle the clock
	confirming        map[string]bool // members that are to be checked again soon

	membersCheckStaleness bool
}

// openRequest is a request that is not finished, or has an attempt in flight.
type openRequest struct {
	request  *request.Request
	attempts int // so far
	inFlight int
}

// The errors of Driver.Arrive. Their texts are what clients are told.
var (
	ErrRequestClass   = errors.New("txn type is not in the settings")
	ErrDuplicateID    = errors.New("id is in use")
	ErrFuturePosition = errors.New("after lies in the future")
)

// MaxPositionAhead is how many ms a position may lie ahead of the cluster's clock, whoever names it.
const MaxPositionAhead = 1000.0

// New returns a driver of a decision module. classes are the request classes of the settings; requestList is called when the module
// wants the member list.
func New(loop *Loop, module *router.Router, classes map[string]*router.RequestClass, requestList func()) *Driver {
	return &Driver{
		Loop:        loop,
		router:      module,
		classes:     classes,
		requestList: requestList,
		requests:    map[string]*openRequest{},
		confirming:  map[string]bool{},
	}
}

// SetBackend sets what carries attempts and health checks. It must be called before Run.
func (d *Driver) SetBackend(b Backend) { d.backend = b }

// Run runs the loop until it is stopped.
func (d *Driver) Run() { d.Loop.Run(d.carryOutDecisions) }

// routerInput returns the module for an input. It tells it the time before the first input of a batch.
func (d *Driver) routerInput() *router.Router {
	if !d.hasInput {
		d.hasInput = true
		d.router.Advance(d.Now())
	}
	return d.router
}

// Arrive takes in a request. An error means that it was not taken in: ErrRequestClass, ErrDuplicateID or ErrFuturePosition.
func (d *Driver) Arrive(req *request.Request) error {
	if d.requests[req.ID] != nil {
		return ErrDuplicateID
	}
	class := d.classes[req.RequestClass]
	if class == nil {
		return ErrRequestClass
	}
	req.LimitWait(class.Deadline)
	now := d.Now()
	if req.Position > 0 && !d.Possible(req.Position) {
		return ErrFuturePosition
	}
	d.routerInput().Arrive(req.ID, req.Tenant, req.IdempotencyKey, req.RequestClass, req.Group, d.positionAge(req.Position, now), req.WaitMs, req.IsRetry)
	if req.Arrived < now {
		d.routerInput().Queued(req.ID, now-req.Arrived)
	}
	if req.Stream != nil && req.Stream.Reserved != nil {
		d.routerInput().Pin(req.ID, req.Stream.Reserved.Member())
	}
	d.requests[req.ID] = &openRequest{request: req}
	return nil
}

// ClientGone records that the client of a request has gone away: no response is owed any more, and what is not written yet is not
// written. It guards against an attempt that waits for a connection to come up, and is sent long after.
func (d *Driver) ClientGone(req *request.Request) {
	if req.ClientGone() {
		d.routerInput().ClientGone(req.ID)
		d.dropIfDone(req.ID)
		d.backend.Abandon(req.ID)
	}
}

// AttemptEnded records how an attempt ended. took is how many ms the member took; role and position are what it reported of itself,
// or RoleUnknown and Never; rows is the answer of an attempt that succeeded.
func (d *Driver) AttemptEnded(req *request.Request, attempt int, _ string, outcome router.Outcome, took float64,
	role router.Role, position float64, rows []byte) {
	// Its client has received a part of the answer, or has cancelled it: no further attempt may begin.
	noRetry := req.Stream != nil && (req.Stream.Started() || req.Stream.Cancelled())
	done := req.Finished() || outcome == router.Succeeded || noRetry
	d.routerInput().AttemptEnded(req.ID, attempt, outcome, took, done, role, d.positionOnLoop(position))
	if outcome == router.Succeeded && !req.Finished() {
		req.Succeed(rows)
	} else if noRetry && !req.Finished() {
		req.Fail()
	}
	d.requests[req.ID].inFlight--
	d.dropIfDone(req.ID)
}

// TurnChanged records who must act next in a request of several messages: the member, or, where waiting is set, the client or the
// connection pool.
func (d *Driver) TurnChanged(req *request.Request, attempt int, waiting bool) {
	d.routerInput().TurnChanged(req.ID, attempt, waiting, req.Stream != nil && req.Stream.Started())
}

// StatementFailed records that a member found an error in the statement of an attempt. The statement did not run, and the error says
// nothing about the member.
func (d *Driver) StatementFailed(req *request.Request, attempt int, _ string, e *pg.Error) {
	d.routerInput().AttemptEnded(req.ID, attempt, router.NotSent, 0, true, router.RoleUnknown, router.Never)
	if !req.Finished() {
		req.StatementError(e)
	}
	d.requests[req.ID].inFlight--
	d.dropIfDone(req.ID)
}

// HealthChecked records how a health check ended.
func (d *Driver) HealthChecked(member string, outcome router.Outcome) {
	d.routerInput().HealthChecked(member, outcome)
}

// Reported passes a member's report of its role and position on to the module, once its position can be judged.
func (d *Driver) Reported(member string, role router.Role, position float64) {
	report := heldReport{member, role, position}
	if !d.clockSettled() {
		d.holdReport(report)
		return
	}
	d.forwardReport(report)
}

// OnReport sets a function that is also called with members' reports, their positions on the cluster's clock. It must not block.
func (d *Driver) OnReport(f func(member string, role router.Role, position float64)) { d.onReport = f }

// HealthCheck checks a member on behalf of other routers. The module is told the result, too.
func (d *Driver) HealthCheck(member string) { d.backend.HealthCheck(member) }

// PeerReported passes on what another router's health check found; position is on the cluster's clock. It does nothing before
// positions can be judged.
func (d *Driver) PeerReported(member string, started float64, role router.Role, position float64) {
	if !d.clockSettled() || position != router.Never && !d.Possible(position) {
		return
	}
	d.routerInput().PeerReported(member, started, role, d.positionOnLoop(position))
}

// HoldWrites has writes of a group wait until this time; an earlier time releases them.
func (d *Driver) HoldWrites(group int, until float64) { d.routerInput().HoldWrites(group, until) }

// UpdateSettings passes on settings with other values and tenants. The request classes that there are, and what is fixed of them,
// stay as they are.
func (d *Driver) UpdateSettings(set *router.Settings) { d.routerInput().UpdateSettings(set) }

// Writes counts the requests of a group that need its primary: those with an attempt in flight, and those that wait.
func (d *Driver) Writes(group int) (inFlight, waiting int) {
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

// List returns the module, to be told of the member list.
func (d *Driver) List() *router.Router { return d.routerInput() }

// dropIfDone drops a request that is finished and has nothing in flight; until then its id is in use.
func (d *Driver) dropIfDone(id string) {
	if open := d.requests[id]; open.request.Finished() && open.inFlight == 0 {
		delete(d.requests, id)
	}
}

// carryOutDecisions carries out the module's decisions at the end of a batch, if the batch had an input.
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

// carryOutForRequest carries out a decision for a request that must be open and have nothing in flight.
func (d *Driver) carryOutForRequest(decision router.Decision) {
	open := d.requests[decision.RequestID]
	invariant.Check(open != nil && !open.request.Finished() && open.inFlight == 0, "decisions are for open requests with no attempt out")
	if open == nil || open.request.Finished() {
		return
	}
	switch decision.Action {
	case router.SendAttempt:
		open.attempts++
		open.inFlight++
		d.backend.SendAttempt(open.request, open.attempts-1, decision.Member, decision.Wait, decision.NotAfter)
	case router.RejectRequest:
		open.request.Reject(decision.Wait)
	case router.FailRequest:
		open.request.Fail()
	}
	d.dropIfDone(decision.RequestID)
}
