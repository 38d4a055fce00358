package frontend

import (
	decide "wayloft/internal/decide/session"
	"wayloft/internal/pg"
)

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
	reply, messages := p.decisions.Query(m.Text, append([]byte(nil), m.Raw...), p.request != nil)
	if reply != nil {
		p.session.conn.Write(reply)
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
	if reply, local := p.decisions.LocalReply(messages); local {
		p.session.conn.Write(reply)
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
