package frontend

import (
	"cmp"
	"encoding/binary"
	"hash/fnv"
	"strconv"

	decide "wayloft/internal/decide/session"
	"wayloft/internal/eventloop"
	"wayloft/internal/pg"
	"wayloft/internal/request"
)

// noWaitLimitMs has the request class alone limit how long a client waits.
const noWaitLimitMs = 1e12

// startRequest begins a request, whose first unit arrived at this time.
func (p *pooledSession) startRequest(messages []decide.Message, arrived float64) {
	f := p.session.frontend
	p.addInFlightBytes(messages)
	if f.heldBytes > f.maxHeldBytes {
		f.Rejected++
		p.decisions.ConnectionLost(false)
		p.failUnit(errOverBudget)
		return
	}
	req := request.New(p.statement(), arrived, p.deliver)
	req.ClientClosed = p.session.conn.PeerClosed
	f.limitWait(req)
	req.Stream = &request.Stream{Pool: p.pool.Name, Client: p, Reserved: p.reserved}
	req.Stream.Send(messages)
	p.request, p.reserved = req, nil // Reserve gives the connection back
	if err := f.driver.Arrive(req); err != nil {
		p.request, p.reserved = nil, req.Stream.Reserved
		p.decisions.ConnectionLost(false)
		f.ProtocolErrors++
		p.failUnit(arrivalError(err))
	}
}

// statement returns the attributes of the request that begins: what its comment says, else the session's settings, else its pool.
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
		ID:           f.nextID(),
		RequestClass: attributes.RequestClass,
		Tenant:       attributes.Tenant,
		WaitMs:       noWaitLimitMs,
		Group:        p.pool.Group,
		// The commit may have been dated by an estimate of the cluster's clock that has fallen since.
		Position: min(p.decisions.LastCommitPosition, f.driver.ClusterNow()+eventloop.MaxPositionAhead),
	}
	if wait, err := strconv.ParseFloat(p.decisions.RouterSetting("wait"), 64); err == nil && wait > 0 {
		statement.WaitMs = wait
	}
	if group, err := strconv.Atoi(p.decisions.RouterSetting("group")); err == nil {
		statement.Group = group
	}
	if label := attributes.Label; label != nil {
		statement.ID, statement.WaitMs, statement.Group = label.ID, label.WaitMs, label.Group
		statement.IdempotencyKey, statement.IsRetry = label.IdempotencyKey, label.IsRetry
		statement.Position = max(statement.Position, label.Position)
	}
	return statement
}

// nextID returns the id of a request to which its client gave none.
func (f *Frontend) nextID() string {
	f.generatedIDs++
	hash := fnv.New64a()
	seed := binary.LittleEndian.AppendUint64(nil, f.pooling.Seed)
	_, _ = hash.Write(binary.LittleEndian.AppendUint64(seed, f.generatedIDs)) // a hash never returns an error
	return "w" + strconv.FormatUint(hash.Sum64(), 36) + "-" + strconv.FormatUint(f.generatedIDs, 36)
}

// deliver handles the final response of the request. Of one that succeeded the client has received all already.
func (p *pooledSession) deliver(response request.Response) {
	req := p.request
	if req == nil {
		return
	}
	p.request = nil
	defer p.session.frontend.driver.Defer(p.processQueue)
	if response.Rows != nil {
		p.recordCommit(req)
		return
	}
	reserved, started, lastError := req.Stream.Reserved, req.Stream.Started(), req.Stream.LastError
	mayHaveCommitted := p.decisions.ConnectionLost(!response.Rejected && response.StatementError == nil)
	e := response.StatementError
	switch {
	case e != nil:
	case response.Rejected:
		e = rejectedError(response.RetryAfter)
	case lastError != nil:
		e = lastError
	default:
		e = p.lostTransactionError(req, mayHaveCommitted)
	}
	if reserved != nil && (started || !response.Rejected) { // the state that the session had on the connection is lost
		p.Terminate(&pg.Error{Code: pg.AdminShutdown, Text: e.Text + "; the connection that this session kept has ended"})
		return
	}
	p.reserved = reserved
	p.failUnit(e)
}

// recordCommit has the session's later reads see what the request has changed.
func (p *pooledSession) recordCommit(req *request.Request) {
	f := p.session.frontend
	if f.pooling.PrimaryClasses[req.RequestClass] {
		position := cmp.Or(req.Stream.Position, f.driver.ClusterNow())
		p.decisions.LastCommitPosition = max(p.decisions.LastCommitPosition, position)
	}
}

// lostTransactionError returns the error for a transaction whose connection was lost.
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
