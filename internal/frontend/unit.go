package frontend

import (
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

// handle handles a message that arrived at this time. No complete unit is at a member.
func (p *pooledSession) handle(m pg.Message, arrived float64) {
	switch {
	case m.Kind == pg.Terminate:
		p.end()
		p.session.finish()
	case m.Kind == pg.Sync && p.discarding():
		p.endDiscarding(arrived)
	case p.discarding() || isCopy(m.Kind):
	case m.Kind == pg.Query:
		p.handleQuery(m, arrived)
	case m.Kind == pg.FunctionCall:
		p.writeErrorAndReady(errFunctionCall)
	default:
		p.handleExtended(m, arrived)
	}
}

// endDiscarding ends a unit that has failed: by the member if a part of it is there.
func (p *pooledSession) endDiscarding(arrived float64) {
	if p.state == unitFlushedFailed {
		p.state = unitFlushed
		p.dispatch([]decide.Message{{Kind: pg.Sync, Raw: pg.AppendSync(nil)}}, unitAwaitingReady, arrived)
		return
	}
	p.state = unitNone
	p.writeReady()
}

func (p *pooledSession) handleQuery(m pg.Message, arrived float64) {
	if p.deliverPendingError() {
		p.writeReady()
		return
	}
	answer, messages := p.decisions.Query(m.Text, append([]byte(nil), m.Raw...), p.request != nil)
	if answer != nil {
		p.session.conn.Write(answer)
		return
	}
	p.dispatch(messages, unitAwaitingReady, arrived)
}

// handleExtended collects the messages of an extended query, and dispatches them at its end.
func (p *pooledSession) handleExtended(m pg.Message, arrived float64) {
	p.unitMessages = append(p.unitMessages, p.decisions.Extended(m)...)
	p.addQueuedBytes(len(m.Raw))
	if p.session.state != sessionOpen {
		return
	}
	if m.Kind != pg.Sync && m.Kind != pg.Flush {
		return
	}
	unit := p.unitMessages
	p.unitMessages = nil
	p.releaseQueuedBytes()
	if m.Kind == pg.Sync {
		p.dispatch(unit, unitAwaitingReady, arrived)
	} else {
		p.dispatch(unit, unitFlushed, arrived)
	}
}

// dispatch sends a unit, or a part of one, whose last byte arrived at this time. next is the state while it is at the member:
// unitAwaitingReady, or unitFlushed for a part.
func (p *pooledSession) dispatch(messages []decide.Message, next pooledState, arrived float64) {
	if p.request != nil {
		p.state = next
		p.addInFlightBytes(messages)
		p.request.Stream.Send(messages)
		return
	}
	if answer, local := p.decisions.LocalReply(messages); local {
		p.session.conn.Write(answer)
		return
	}
	if p.deliverPendingError() {
		p.decisions.ConnectionLost(false)
		if next == unitFlushed {
			p.state = unitDiscarding
		} else {
			p.writeReady()
		}
		return
	}
	if p.decisions.TransactionStatus() == decide.StatusFailed {
		p.session.conn.Write(p.decisions.FailedTransactionReply(messages))
		return
	}
	p.state = next
	p.startRequest(append(p.decisions.FlushDeferredBegin(), messages...), arrived)
}

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

// addInFlightBytes counts what is at a member until its response has come: sessions that wait with much count against the budget.
func (p *pooledSession) addInFlightBytes(messages []decide.Message) {
	n := 0
	for _, message := range messages {
		n += len(message.Raw)
	}
	p.inFlightBytes += n
	p.session.addHeldBytes(n)
}

// endUnit records that no unit is at a member any more.
func (p *pooledSession) endUnit() {
	p.session.addHeldBytes(-p.inFlightBytes)
	p.inFlightBytes = 0
	p.copying = false
	switch p.state {
	case unitFlushed, unitAwaitingReady:
		p.state = unitNone
	case unitFlushedFailed:
		p.state = unitDiscarding
	}
}

// failUnit ends the unit at a member with an error. A client that waits for nothing receives the error in place of its next response.
func (p *pooledSession) failUnit(e *pg.Error) {
	switch p.state {
	case unitAwaitingReady:
		p.writeErrorAndReady(e)
	case unitFlushed, unitFlushedFailed:
		p.state = unitFlushedFailed
		p.session.conn.Write(pg.AppendError(nil, e, false))
	default:
		p.pendingError = e
	}
	p.endUnit()
}

// deliverPendingError answers a unit with the error that ended the last transaction while the client waited for nothing. It reports
// whether there was one.
func (p *pooledSession) deliverPendingError() bool {
	if p.pendingError == nil || p.request != nil {
		return false
	}
	p.session.conn.Write(pg.AppendError(nil, p.pendingError, false))
	p.pendingError = nil
	return true
}

func (p *pooledSession) writeReady() {
	p.session.conn.Write(pg.AppendReadyForQuery(nil, p.decisions.TransactionStatus()))
}

func (p *pooledSession) writeErrorAndReady(e *pg.Error) {
	p.session.conn.Write(pg.AppendReadyForQuery(pg.AppendError(nil, e, false), p.decisions.TransactionStatus()))
}
