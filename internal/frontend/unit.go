package frontend

import (
	"wayloft/internal/decide/memory"
	decide "wayloft/internal/decide/session"
	"wayloft/internal/pg"
)

const (
	// unitMessageBytes is what a message of a unit takes beside its content, with what the session's decisions keep of it.
	unitMessageBytes = 256
	// maxUnitFactor times the longest message is how much memory a unit may take.
	maxUnitFactor = 2
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
	case m.Discarded:
		p.refuseUnit(m.Kind == pg.Query)
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
	settings := p.decisions.Settings()
	reply, messages := p.decisions.Query(m.Text, append([]byte(nil), m.Raw...), p.request != nil)
	if reply != nil {
		p.reportSettingsSince(settings)
		p.session.write(reply)
		return
	}
	p.dispatch(messages, unitAwaitingReady, arrived)
}

// handleExtended collects the messages of an extended query, and dispatches them at a Sync or Flush.
func (p *pooledSession) handleExtended(m pg.Message, arrived float64) {
	endsPart := m.Kind == pg.Sync || m.Kind == pg.Flush
	if p.unitRejected && !endsPart { // skipped, as the member would
		return
	}
	messages := p.decisions.Extended(m)
	p.unitMessages = append(p.unitMessages, messages...)
	for _, message := range messages {
		p.unitRejected = p.unitRejected || message.Action == decide.Reject
	}
	p.addQueuedBytes(unitMessageBytes + len(m.Raw))
	if p.unitTooLarge() {
		return
	}
	if !endsPart {
		return
	}
	unit := p.unitMessages
	p.unitMessages, p.unitRejected = nil, false
	p.releaseQueuedBytes()
	if m.Kind == pg.Sync {
		p.dispatch(unit, unitAwaitingReady, arrived)
	} else {
		p.dispatch(unit, unitFlushed, arrived)
	}
}

// unitTooLarge refuses the incomplete unit if it takes too much memory. It reports whether it did.
func (p *pooledSession) unitTooLarge() bool {
	f := p.session.frontend
	switch {
	case p.queuedBytes > maxUnitFactor*f.maxMessageBytes:
		p.session.closeInput(errTooMuchPipelined)
	case p.queuedBytes > memory.FreeBytes && !f.memory.Allows(memory.InputAhead, 0) && p.request != nil:
		p.session.closeInput(errOverBudget) // the transaction can't go on without it
	case p.queuedBytes > memory.FreeBytes && !f.memory.Allows(memory.InputAhead, 0):
		p.refuseUnit(false)
	default:
		return false
	}
	return true
}

// refuseUnit answers a unit for which there is no memory, and drops it. complete reports whether its last message has been received; the
// rest is discarded otherwise.
func (p *pooledSession) refuseUnit(complete bool) {
	p.session.frontend.RejectedRequests++
	p.unitMessages, p.unitRejected = nil, false
	p.releaseQueuedBytes()
	p.decisions.ConnectionLost(false)
	if complete {
		p.writeErrorAndReady(errOverBudget)
		return
	}
	p.state = unitDiscarding
	p.session.write(pg.AppendError(nil, errOverBudget, false))
}

// dispatch sends a unit, or a part of one, to the member, unless the router can respond to it by itself. arrived is when its last byte
// arrived. next is the state while it is at the member: unitAwaitingReady, or unitFlushed for a part.
func (p *pooledSession) dispatch(messages []decide.Message, next pooledState, arrived float64) {
	if p.request != nil && p.session.conn.PeerClosed() { // nothing of a client that has left goes on to a member
		p.session.drop()
		return
	}
	if p.request != nil {
		p.state = next
		p.addInFlightBytes(messages)
		p.request.Stream.Send(messages)
		return
	}
	if reply, local := p.decisions.LocalReply(messages); local {
		p.session.write(reply)
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
		reply := p.decisions.ReplyInLostTransaction(messages)
		if reply.Messages == nil {
			p.session.write(reply.Answer)
			if reply.Failed {
				p.state = unitDiscarding
			}
			return
		}
		messages = reply.Messages
	}
	p.state = next
	p.startRequest(append(p.decisions.FlushDeferredBegin(), messages...), arrived)
}

// addInFlightBytes counts messages that are at a member until their response arrives, so that sessions that wait with large messages count
// against the memory budget.
func (p *pooledSession) addInFlightBytes(messages []decide.Message) {
	n := 0
	for _, message := range messages {
		n += unitMessageBytes + len(message.Raw)
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
		p.session.write(pg.AppendError(nil, e, false))
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
	p.session.write(pg.AppendError(nil, p.pendingError, false))
	p.pendingError = nil
	return true
}

func (p *pooledSession) writeReady() {
	p.session.write(pg.AppendReadyForQuery(nil, p.decisions.TransactionStatus()))
}

func (p *pooledSession) writeErrorAndReady(e *pg.Error) {
	p.session.write(pg.AppendReadyForQuery(pg.AppendError(nil, e, false), p.decisions.TransactionStatus()))
}
