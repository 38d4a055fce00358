package eventloop

import (
	"errors"
	"time"

	"wayloft/internal/invariant"
	"wayloft/internal/pg"
	"wayloft/internal/request"
	"wayloft/router"
)

// Backend carries attempts and checks to members. How each ended comes back by Returned and Checked. Abandon gives
// up what of a request may not have run yet.
type Backend interface {
	Abandon(txn string)
	SendAttempt(txn *request.Request, seq int, member string, wait, by float64)
	CancelAttempt(txn string, seq int)
	HealthCheck(member string)
	CloseIdle(member string)
}

// Driver drives one module: events go in, decisions are pulled and carried out, and an timer is kept for it. It
// carries out, it must never decide.
type Driver struct {
	*Loop
	router      *router.Router
	backend     Backend
	classes     map[string]*router.RequestClass
	requestList func()
	onReport    func(member string, role router.Role, gtid float64)
	requests    map[string]*openRequest
	hasInput    bool // the module has heard something
	timer       *time.Timer

	settledNotified   bool // who waits for the cluster's clock to be settled was told
	onSettled         func()
	heldReports       []heldReport // one a listed member
	confirmsPositions bool
	confirming        map[string]bool // members that are to be checked again soon

	membersCheckStaleness bool
}

// openRequest is a request that is not over, or has an attempt out.
type openRequest struct {
	request            *request.Request
	attempts, inFlight int
}

// What Arrive finds wrong.
var (
	ErrRequestClass   = errors.New("txn type is not in the settings")
	ErrDuplicateID    = errors.New("id is in use")
	ErrFuturePosition = errors.New("after lies in the future")
)

// MaxPositionAhead is how many ms a position may lie ahead of the cluster's clock, whoever names it.
const MaxPositionAhead = 1000.0

// New makes a host; watch asks for the list.
func New(loop *Loop, r *router.Router, kinds map[string]*router.RequestClass, watch func()) *Driver {
	return &Driver{Loop: loop, router: r, classes: kinds, requestList: watch, requests: map[string]*openRequest{}, confirming: map[string]bool{}}
}

// SetBackend names who carries attempts.
func (h *Driver) SetBackend(m Backend) { h.backend = m }

// Run runs the loop until it ends.
func (h *Driver) Run() { h.Loop.Run(h.carryOutDecisions) }

// routerInput tells the module the time before the first input of a batch.
func (h *Driver) routerInput() *router.Router {
	if !h.hasInput {
		h.hasInput = true
		h.router.Advance(h.Now())
	}
	return h.router
}

// Arrive takes a request in.
func (h *Driver) Arrive(t *request.Request) error {
	if h.requests[t.ID] != nil {
		return ErrDuplicateID
	}
	kind := h.classes[t.TxnType]
	if kind == nil {
		return ErrRequestClass
	}
	t.LimitWait(kind.Deadline)
	now := h.Now()
	if t.After > 0 && !h.Possible(t.After) {
		return ErrFuturePosition
	}
	h.routerInput().Arrive(t.ID, t.Tenant, t.Session, t.TxnType, t.Group, h.positionAge(t.After, now), t.Wait, t.Marked)
	if t.Arrived < now {
		h.routerInput().Queued(t.ID, now-t.Arrived)
	}
	if t.Stream != nil && t.Stream.Reserved != nil {
		h.routerInput().Pin(t.ID, t.Stream.Reserved.Member())
	}
	h.requests[t.ID] = &openRequest{request: t}
	return nil
}

// ClientGone says that the client of a request has left: nothing is owed any more, and what is not written yet isn't written. Guards
// against an attempt that waits for a connection to come up, and goes out long after.
func (h *Driver) ClientGone(t *request.Request) {
	if t.ClientGone() {
		h.routerInput().ClientGone(t.ID)
		h.dropIfDone(t.ID)
		h.backend.Abandon(t.ID)
	}
}

// AttemptEnded says how an attempt ended; rows is what the member answered, where it committed.
func (h *Driver) AttemptEnded(t *request.Request, seq int, member string, how router.Outcome, took float64,
	role router.Role, gtid float64, rows []byte) {
	// Its client has had a part, or has cancelled it: it can't begin anew.
	cut := t.Stream != nil && (t.Stream.Started() || t.Stream.Cancelled())
	done := t.Finished() || how == router.Succeeded || cut
	h.routerInput().AttemptEnded(t.ID, seq, how, took, done, role, h.positionOnLoop(gtid))
	if how == router.Succeeded && !t.Finished() {
		t.Succeed(rows)
	} else if cut && !t.Finished() {
		t.Fail()
	}
	h.requests[t.ID].inFlight--
	h.dropIfDone(t.ID)
}

// TurnChanged says whose turn it is in a request of several questions: the member's, or its client's or the pool's, who have it
// rest.
func (h *Driver) TurnChanged(t *request.Request, seq int, rests bool) {
	h.routerInput().TurnChanged(t.ID, seq, rests, t.Stream != nil && t.Stream.Started())
}

// StatementFailed says that a member found an attempt's statement at fault: it did not run, and tells nothing of the member.
func (h *Driver) StatementFailed(t *request.Request, seq int, member string, e *pg.Error) {
	h.routerInput().AttemptEnded(t.ID, seq, router.NotSent, 0, true, router.RoleUnknown, router.Never)
	if !t.Finished() {
		t.StatementError(e)
	}
	h.requests[t.ID].inFlight--
	h.dropIfDone(t.ID)
}

// HealthChecked says how a check ended.
func (h *Driver) HealthChecked(member string, how router.Outcome) {
	h.routerInput().HealthChecked(member, how)
}

// Reported conveys a member's report, once its position can be judged.
func (h *Driver) Reported(member string, role router.Role, gtid float64) {
	r := heldReport{member, role, gtid}
	if !h.clockSettled() {
		h.holdReport(r)
		return
	}
	h.forwardReport(r)
}

// OnReport names who hears of members' reports, too, with positions on the cluster's clock; it must not wait.
func (h *Driver) OnReport(f func(member string, role router.Role, gtid float64)) { h.onReport = f }

// HealthCheck checks a member on behalf of others; what it tells, the module hears as well.
func (h *Driver) HealthCheck(member string) { h.backend.HealthCheck(member) }

// PeerReported conveys what another router's check told, its position on the cluster's clock. It tells nothing before
// positions can be judged.
func (h *Driver) PeerReported(member string, started float64, role router.Role, gtid float64) {
	if !h.clockSettled() || gtid != router.Never && !h.Possible(gtid) {
		return
	}
	h.routerInput().PeerReported(member, started, role, h.positionOnLoop(gtid))
}

// HoldWrites has writes of a group wait until then; an earlier time lets them go.
func (h *Driver) HoldWrites(group int, until float64) { h.routerInput().HoldWrites(group, until) }

// UpdateSettings conveys settings with other values and tenants; which request classes there are, and what else is fixed of them, stays.
func (h *Driver) UpdateSettings(set *router.Settings) { h.routerInput().UpdateSettings(set) }

// Writes counts the requests of a group that need its primary: those that are out there, and those that wait.
func (h *Driver) Writes(group int) (out, waiting int) {
	for _, e := range h.requests {
		kind := h.classes[e.request.TxnType]
		if e.request.Group != group || kind.Level != router.Write && kind.Level != router.Fresh {
			continue
		}
		if e.inFlight > 0 {
			out++
		} else {
			waiting++
		}
	}
	return out, waiting
}

// List gives the module to be told of the list.
func (h *Driver) List() *router.Router { return h.routerInput() }

// dropIfDone drops a request once nothing can come of it; until then its id is in use.
func (h *Driver) dropIfDone(id string) {
	if e := h.requests[id]; e.request.Finished() && e.inFlight == 0 {
		delete(h.requests, id)
	}
}

func (h *Driver) carryOutDecisions() {
	if !h.hasInput {
		return
	}
	h.hasInput = false
	for d, more := h.router.Next(); more; d, more = h.router.Next() {
		h.carryOut(d)
	}
}

func (h *Driver) carryOut(d router.Decision) {
	switch d.Action {
	case router.SendAttempt, router.RejectRequest, router.FailRequest:
		e := h.requests[d.RequestID]
		invariant.Check(e != nil && !e.request.Finished() && e.inFlight == 0, "decisions are for open txns with nothing out")
		if e == nil || e.request.Finished() {
			return
		}
		switch d.Action {
		case router.SendAttempt:
			e.attempts++
			e.inFlight++
			h.backend.SendAttempt(e.request, e.attempts-1, d.Member, d.Wait, d.NotAfter)
		case router.RejectRequest:
			e.request.Reject(d.Wait)
		case router.FailRequest:
			e.request.Fail()
		}
		h.dropIfDone(d.RequestID)
	case router.CancelAttempt:
		h.backend.CancelAttempt(d.RequestID, d.Attempt)
	case router.HealthCheck:
		h.backend.HealthCheck(d.Member)
	case router.RequestList:
		h.requestList()
	case router.CloseIdleConnections:
		h.backend.CloseIdle(d.Member)
	case router.SetTimer:
		if h.timer != nil {
			h.timer.Stop()
		}
		h.timer = h.After(d.Time-h.Now(), func() { h.routerInput().TimerFired() })
	}
}
