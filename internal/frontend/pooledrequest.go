package frontend

import (
	"cmp"
	"encoding/binary"
	"hash/fnv"
	"strconv"

	"wayloft/internal/decide/memory"
	decide "wayloft/internal/decide/session"
	"wayloft/internal/eventloop"
	"wayloft/internal/pg"
	"wayloft/internal/request"
)

// noWaitLimitMs is a wait long enough that only the deadline of the request class limits it.
const noWaitLimitMs = 1e12

// startRequest starts a request. arrived is the arrival time of its first unit.
func (p *pooledSession) startRequest(messages []decide.Message, arrived float64) {
	f := p.session.frontend
	p.addInFlightBytes(messages)
	if !f.memory.Allows(memory.Request, 0) {
		f.RejectedRequests++
		p.decisions.ConnectionLost(false)
		p.failUnit(errOverBudget)
		return
	}
	statement := p.statement()
	generatedID := statement.ID == ""
	if generatedID {
		statement.ID = f.nextID()
	}
	req := request.New(statement, arrived, p.deliver)
	req.GeneratedID = generatedID
	req.ClientClosed = p.session.conn.PeerClosed
	f.limitWait(req)
	req.Stream = &request.Stream{Pool: p.pool.Name, Client: p, Reserved: p.reserved}
	req.Stream.Send(messages)
	p.request, p.reserved = req, nil // a later call of Reserve returns the connection to the session
	if err := f.driver.Arrive(req); err != nil {
		p.request, p.reserved = nil, req.Stream.Reserved
		p.decisions.ConnectionLost(false)
		f.ProtocolErrors++
		p.failUnit(arrivalError(err))
	}
}

// statement returns the attributes of the new request: from its statement comment, else from the session's settings, else from its pool. The
// ID is empty if the client gave none.
func (p *pooledSession) statement() *pg.Statement {
	f := p.session.frontend
	attributes := p.decisions.RequestAttributes()
	if attributes.Unclassified {
		attributes.RequestClass = p.pool.DefaultClass
	}
	if p.pool.Policy.SeededDefects.ForgetLastCommitPosition {
		p.decisions.LastCommitPosition = 0
	}
	statement := &pg.Statement{
		RequestClass: attributes.RequestClass,
		Tenant:       attributes.Tenant,
		TimeoutMs:    noWaitLimitMs,
		Group:        p.pool.Group,
		// recordCommit may have taken the position from an estimate of the cluster clock that was lowered later. Without the limit the
		// driver could reject the position as one that lies in the future.
		Position: min(p.decisions.LastCommitPosition, f.driver.ClusterNow()+eventloop.MaxPositionAhead),
	}
	if wait, err := strconv.ParseFloat(p.decisions.RouterSetting("wait"), 64); err == nil && wait > 0 {
		statement.TimeoutMs = wait
	}
	if group, err := strconv.Atoi(p.decisions.RouterSetting("group")); err == nil {
		statement.Group = group
	}
	if label := attributes.Label; label != nil {
		statement.ID, statement.TimeoutMs, statement.Group = label.ID, label.TimeoutMs, label.Group
		statement.IdempotencyKey, statement.IsRetry = label.IdempotencyKey, label.IsRetry
		statement.Position = max(statement.Position, label.Position)
	}
	return statement
}

// nextID generates the id of a request for which the client gave none.
func (f *Frontend) nextID() string {
	f.generatedIDs++
	hash := fnv.New64a()
	seed := binary.LittleEndian.AppendUint64(nil, f.pooling.Seed)
	_, _ = hash.Write(binary.LittleEndian.AppendUint64(seed, f.generatedIDs)) // a hash never returns an error
	return "w" + strconv.FormatUint(hash.Sum64(), 36) + "-" + strconv.FormatUint(f.generatedIDs, 36)
}

// deliver handles the final response to the request. If the request succeeded, the client has received the response already.
func (p *pooledSession) deliver(response request.Response) {
	req := p.request
	if req == nil {
		return
	}
	p.request = nil
	defer p.session.frontend.driver.Defer(p.session.processQueue)
	if response.Rows != nil {
		p.recordCommit(req)
		return
	}
	reserved, started, lastError := req.Stream.Reserved, req.Stream.Started(), req.Stream.LastError
	if started { // the client may have been told of a commit
		p.recordCommit(req)
	}
	mayHaveCommitted := p.decisions.ConnectionLost(!response.Rejected && response.StatementError == nil)
	e := response.StatementError
	switch {
	case e != nil:
	case response.PinLost:
		p.Terminate(request.ErrPinLost)
		return
	case response.Rejected:
		e = rejectedError(response.RetryAfter)
	case lastError != nil:
		e = lastError
	default:
		e = p.lostTransactionError(req, mayHaveCommitted)
	}
	if reserved != nil && (started || !response.Rejected) { // the session state on the connection is lost
		p.Terminate(&pg.Error{Code: pg.AdminShutdown, Text: e.Text + "; the connection that this session kept has ended"})
		return
	}
	p.reserved = reserved
	p.failUnit(e)
}

// recordCommit records the commit position of the request, so that the session's later reads see its changes. Where the member has reported none,
// that is the present.
func (p *pooledSession) recordCommit(req *request.Request) {
	f := p.session.frontend
	if f.pooling.PrimaryClasses[req.RequestClass] {
		position := cmp.Or(req.Stream.Position, f.driver.ClusterNow())
		p.decisions.LastCommitPosition = max(p.decisions.LastCommitPosition, position)
	}
}

// lostTransactionError returns the error for a transaction whose connection to the member was lost.
func (p *pooledSession) lostTransactionError(req *request.Request, mayHaveCommitted bool) *pg.Error {
	switch {
	case p.session.frontend.pooling.IdempotentClasses[req.RequestClass]:
		return errMayRunAgain
	case mayHaveCommitted:
		return errMayHaveTakenEffect
	default:
		return errNothingTookEffect
	}
}
