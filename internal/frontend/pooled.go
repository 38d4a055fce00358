package frontend

import (
	"unsafe"

	iradix "github.com/hashicorp/go-immutable-radix/v2"

	"wayloft/internal/decide/memory"
	decide "wayloft/internal/decide/session"
	"wayloft/internal/pg"
	"wayloft/internal/request"
)

// pooledState is the state of a pooled session's current unit. A unit is the client's messages up to a Sync, or one simple query.
type pooledState uint8

const (
	// unitNone: no part of a unit is at a member.
	unitNone pooledState = iota
	// unitDiscarding: no part of a unit is at a member; the unit has failed in the router, and the rest of it is discarded.
	unitDiscarding
	// unitFlushed: a part of the unit, which the client ended with a Flush, is at a member.
	unitFlushed
	// unitFlushedFailed: as unitFlushed, but the member has responded with an error; the rest of the unit is discarded.
	unitFlushedFailed
	// unitAwaitingReady: the complete unit is at a member, whose ReadyForQuery ends it.
	unitAwaitingReady
	// pooledEnded: the final state, in which the session handles no more messages.
	pooledEnded
)

// queuedMessage is a message that a pooled session has received behind a unit whose response must be awaited.
type queuedMessage struct {
	pg.Message
	arrived float64 // ms on the loop's clock, when its last byte arrived: the time in the queue counts against the request's deadline
}

// queuedMessageBytes is what a queued message takes beside its content, in a queue that grows by doubling.
const queuedMessageBytes = 2 * int(unsafe.Sizeof(queuedMessage{}))

// cost returns the memory that a queued message takes.
func (m *queuedMessage) cost() int {
	return queuedMessageBytes + cap(m.Raw) + len(m.Text) + len(m.Name) + len(m.Portal)
}

// pooledSession is a session in transaction pooling mode: its requests are transactions. The client's messages are handled in order, up to
// one whose response must be awaited. The state transitions:
//
//	state              client's message         ->                    member's message     ->
//	unitNone           Query, or up to Sync     unitAwaitingReady     (none of a unit)
//	                   up to Flush              unitFlushed
//	unitDiscarding     Sync                     unitNone, answered    (none of a unit)
//	                   any other                discarded
//	unitFlushed        Query, or up to Sync     unitAwaitingReady     ErrorResponse        unitFlushedFailed
//	                   up to Flush              unitFlushed
//	unitFlushedFailed  Sync                     unitAwaitingReady     ErrorResponse        unitFlushedFailed
//	                   any other                discarded
//	unitAwaitingReady  any                      queued                ReadyForQuery        unitNone
//
// A request that fails without the member's ReadyForQuery (failUnit) ends unitAwaitingReady in unitNone, and the flushed states in
// unitDiscarding. A unit that needs no member is answered without leaving unitNone. Every state may go to pooledEnded.
//
// Invariants of the fields:
//   - request is set in the flushed states and in unitAwaitingReady. In unitNone it is set while a transaction is open, or while the
//     member's final response is not delivered yet.
//   - reserved is set only while request is nil: a new request takes the connection over (Stream.Reserved).
//   - copying is set only in the flushed states and unitAwaitingReady. COPY data is forwarded in unitAwaitingReady, else discarded.
//   - pendingError is set only while no unit waits for its response; the next unit receives it in place of a response.
type pooledSession struct {
	session            *session
	pool               *Pool
	decisions          *decide.Session
	cancelKey          pg.CancelKey
	reportedParameters *iradix.Tree[string] // server parameters that were reported to the client

	state        pooledState
	request      *request.Request    // the open transaction
	reserved     request.BackendConn // the connection that the session keeps between its transactions
	copying      bool                // a COPY FROM STDIN is running: the member expects its data
	pendingError *pg.Error           // why a transaction ended while its client was not waiting for a response

	unitMessages  []decide.Message // messages of the unit that is still incomplete
	unitRejected  bool             // one of unitMessages is rejected: what follows it in the unit is skipped
	queue         []queuedMessage  // messages received behind a unit whose response must be awaited
	queuedBytes   int              // size of unitMessages and queue
	turnQueued    bool             // a turn of the event loop is queued that handles further messages of queue
	inFlightBytes int              // size of the unit at a member, kept since it may have to be sent again
}

// idle reports whether no response is pending, no transaction is open, and no part of a unit has been received.
func (p *pooledSession) idle() bool {
	return !p.session.requestOpen() && len(p.queue) == 0 && len(p.unitMessages) == 0
}

// unitAtMember reports whether a unit, or a part of one, is at a member.
func (p *pooledSession) unitAtMember() bool {
	return p.state == unitFlushed || p.state == unitFlushedFailed || p.state == unitAwaitingReady
}

// discarding reports whether messages are discarded up to Sync.
func (p *pooledSession) discarding() bool {
	return p.state == unitDiscarding || p.state == unitFlushedFailed
}

// awaitsInput reports whether a message or a unit has been received in part only, and no response is pending before it.
func (p *pooledSession) awaitsInput() bool {
	if len(p.queue) > 0 || p.state == unitAwaitingReady && !p.copying {
		return false
	}
	return p.session.reader.Buffered() > 0 || len(p.unitMessages) > 0
}

// receive handles a message of the client, or queues it if a response must be awaited first.
func (p *pooledSession) receive(m pg.Message) {
	now := p.session.frontend.driver.Now()
	switch {
	case p.state == pooledEnded:
	case m.Discarded && (p.copying || p.request != nil): // the transaction can't go on without it
		p.session.closeInput(errOverBudget)
	case p.forwardsCopy(m.Kind) && len(p.queue) == 0: // CopyDone must not overtake queued data
		p.forwardCopy(m)
	case p.state == unitAwaitingReady || len(p.queue) > 0 || !p.session.readsResponses():
		m.Raw = append([]byte(nil), m.Raw...)
		m.Tail = m.Raw[len(m.Raw)-len(m.Tail):]
		p.queue = append(p.queue, queuedMessage{Message: m, arrived: now})
		p.addQueuedBytes(p.queue[len(p.queue)-1].cost())
	default:
		p.handle(m, now)
	}
}

// forwardsCopy reports whether a message of this kind belongs to the running COPY and is forwarded to the member.
func (p *pooledSession) forwardsCopy(kind pg.Kind) bool {
	return p.state == unitAwaitingReady && p.copying && isCopy(kind)
}

func isCopy(kind pg.Kind) bool {
	return kind == pg.CopyData || kind == pg.CopyDone || kind == pg.CopyFail
}

func (p *pooledSession) forwardCopy(m pg.Message) {
	if p.session.conn.PeerClosed() {
		p.session.drop()
		return
	}
	p.request.Stream.Send(p.decisions.Extended(m))
}

// queueFull reports whether no further message is read until some of the queue are handled. What a client sends ahead beyond that stays in
// the operating system.
func (p *pooledSession) queueFull() bool {
	if len(p.queue) == 0 {
		return false
	}
	scarce := !p.session.frontend.memory.Allows(memory.InputAhead, 0)
	return scarce || len(p.queue) >= maxMessagesPerTurn || p.queuedBytes >= maxUnreadBytes
}

// addQueuedBytes counts the memory of queue and unitMessages.
func (p *pooledSession) addQueuedBytes(n int) {
	p.queuedBytes += n
	p.session.addHeldBytes(n)
}

func (p *pooledSession) releaseQueuedBytes() {
	p.session.addHeldBytes(-p.queuedBytes)
	p.queuedBytes = 0
}

// processQueue handles the messages that were queued while a response was awaited, a bounded number in each turn of the event loop.
func (p *pooledSession) processQueue() {
	if p.turnQueued {
		return
	}
	for handled := 0; p.mayHandleNext(); handled++ {
		if handled == maxMessagesPerTurn {
			p.queueTurn()
			return
		}
		p.handleNext()
	}
	if len(p.queue) == 0 {
		p.queue = nil
	}
	s := p.session
	s.resumeInput()
	if p.state == pooledEnded || s.state >= sessionEnding {
		return
	}
	if len(s.queue) > 0 {
		if len(p.queue) == 0 && (p.state != unitAwaitingReady || p.copying) {
			s.respond(s.queue[0])
		}
		return
	}
	if p.idle() {
		p.becomeIdle()
	}
}

// queueTurn continues with the queue in a later turn.
func (p *pooledSession) queueTurn() {
	p.turnQueued = true
	p.session.frontend.driver.NextTurn(func() {
		p.turnQueued = false
		p.processQueue()
	})
}

// mayHandleNext reports whether the first message of the queue may be handled now.
func (p *pooledSession) mayHandleNext() bool {
	if p.state == pooledEnded || p.session.state >= sessionEnding || len(p.queue) == 0 {
		return false
	}
	if p.state == unitAwaitingReady && !p.forwardsCopy(p.queue[0].Kind) {
		return false
	}
	return p.session.readsResponses()
}

func (p *pooledSession) handleNext() {
	first := p.queue[0]
	p.queue[0] = queuedMessage{}
	p.queue = p.queue[1:]
	p.addQueuedBytes(-first.cost())
	if p.state == unitAwaitingReady {
		p.forwardCopy(first.Message)
	} else {
		p.handle(first.Message, first.arrived)
	}
}

func (p *pooledSession) becomeIdle() {
	s := p.session
	s.idleSince = s.frontend.driver.Now()
	if s.frontend.drainPhase == drainEndingSessions && s.idle() {
		s.endForShutdown()
		return
	}
	s.reader.Shrink()
}

// end ends the session's request, releases its reserved connection and removes its cancel key.
func (p *pooledSession) end() {
	if p.state == pooledEnded {
		return
	}
	p.endUnit()
	p.state = pooledEnded
	f := p.session.frontend
	delete(f.cancelKeys, p.cancelKey)
	if req := p.request; req != nil {
		p.request = nil
		f.driver.ClientGone(req)
		req.Stream.ClientGone()
		if connection := req.Stream.Reserved; connection != nil { // the request may not have been sent on it at all
			f.driver.Defer(connection.Release)
		}
	}
	if connection := p.reserved; connection != nil {
		p.reserved = nil
		f.driver.Defer(connection.Release)
	}
	p.queue, p.unitMessages = nil, nil
	p.releaseQueuedBytes()
}
