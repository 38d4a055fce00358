package frontend

import (
	decide "wayloft/internal/decide/session"
	"wayloft/internal/pg"
)

// handle handles a message. arrived is its arrival time. It must not be called while a complete unit is at a member.
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

// endDiscarding handles the Sync that ends a failed unit. If a part of the unit is at a member, the Sync is sent there.
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

// handleExtended collects the messages of an extended query, and dispatches them at a Sync or Flush.
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

// dispatch sends a unit, or a part of one, to the member, unless the router can respond to it by itself. arrived is when its last byte
// arrived. next is the state while it is at the member: unitAwaitingReady, or unitFlushed for a part.
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

// addInFlightBytes counts messages that are at a member until their response arrives, so that sessions that wait with large messages count
// against the memory budget.
func (p *pooledSession) addInFlightBytes(messages []decide.Message) {
	n := 0
	for _, message := range messages {
		n += len(message.Raw)
	}
	p.inFlightBytes += n
	p.session.addHeldBytes(n)
}

// endUnit records that the current unit is no longer at a member.
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

// failUnit ends the unit at a member with an error. If the client is not waiting for a response, it receives the error in place of the
// response to its next unit.
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

// deliverPendingError responds to a unit with the error that ended the last transaction while the client was not waiting for a response.
// It reports whether there was such an error.
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
