package frontend

import (
	"errors"
	"strings"
	"unsafe"

	"wayloft/internal/decide/memory"
	"wayloft/internal/pg"
	"wayloft/internal/request"
)

const (
	// maxPipelined limits the queued messages of a client, and the messages handled between two sweeps for a client that does not wait
	// for each response.
	maxPipelined = 256
	// maxExcessPipelined is how many queries beyond maxPipelined are rejected one by one before the session is ended.
	maxExcessPipelined = 4096
	// errorPenaltyMs is how long a session pauses after a client error, so that a client that repeats the error at once does not keep the
	// router busy.
	errorPenaltyMs = 100.0
)

// enqueue queues a message. If too much is queued, it queues an error in place of the message.
func (s *session) enqueue(m pg.Message) {
	f := s.frontend
	ahead := len(s.queue)
	if s.request == nil && ahead > 0 { // the first of them is next
		ahead--
	}
	full := ahead >= maxPipelined
	use := memory.Request
	if s.request != nil || len(s.queue) > 0 {
		use = memory.InputAhead
	}
	switch {
	case m.Kind == pg.Query && (full || m.Discarded || !f.memory.Allows(use, statementBytes(m.Text))):
		s.rejectExcess()
	case full:
		s.closeInput(errTooMuchPipelined)
	default:
		s.sentQuery = s.sentQuery || m.Kind == pg.Query
		s.addHeldBytes(statementBytes(m.Text))
		s.queue = append(s.queue, queuedStatement{kind: m.Kind, text: m.Text, arrived: f.driver.Now()})
	}
}

// queuedStatementBytes is what a queued statement takes beside its text, in a queue that grows by doubling.
const queuedStatementBytes = 2 * int(unsafe.Sizeof(queuedStatement{}))

// statementBytes returns the memory that a queued or running statement takes.
func statementBytes(text string) int { return queuedStatementBytes + len(text) }

// rejectExcess queues the rejection of one more query: the client expects a response to each query that it has sent.
func (s *session) rejectExcess() {
	s.frontend.RejectedRequests++
	last := len(s.queue) - 1
	switch {
	case last < 0 || s.queue[last].response != errOverBudget:
		s.queue = append(s.queue, queuedStatement{response: errOverBudget})
	case s.queue[last].repeats < maxExcessPipelined:
		s.queue[last].repeats++
	default:
		s.closeInput(errTooMuchPipelined)
	}
}

// processStatements handles queued messages, up to the first that starts a request.
func (s *session) processStatements() {
	for s.mayRespond() {
		s.respond(s.dequeue())
		if s.request == nil || len(s.queue) > 0 { // a client that waits for each response is not limited
			s.handledSinceSweep++
		}
	}
	if s.state != sessionOpen || !s.idle() {
		return
	}
	s.idleSince = s.frontend.driver.Now()
	if s.frontend.drainPhase == drainEndingSessions {
		s.endForShutdown()
	} else {
		s.frontend.evictIfFull()
	}
}

// mayRespond reports whether the first queued message may be handled now.
func (s *session) mayRespond() bool {
	if s.request != nil || s.penalized || s.state >= sessionEnding || len(s.queue) == 0 {
		return false
	}
	if s.state == sessionOpen && !s.inputDrained() && s.queue[0].startsRequest() { // the client may have left behind what it has sent
		return false
	}
	return s.handledSinceSweep < maxPipelined && s.readsResponses()
}

// inputDrained reports whether all that the client has sent so far has been handled.
func (s *session) inputDrained() bool { return s.conn.InputDrained() && !s.inputQueued }

// dequeue removes the first message from the queue and returns it.
func (s *session) dequeue() queuedStatement {
	first := s.queue[0]
	if first.repeats > 0 {
		s.queue[0].repeats--
	} else {
		s.queue[0] = queuedStatement{}
		if s.queue = s.queue[1:]; len(s.queue) == 0 {
			s.queue = nil
		}
	}
	if first.response == nil {
		s.addHeldBytes(-statementBytes(first.text))
	}
	return first
}

// respond writes the response to a message, or starts a request for it.
func (s *session) respond(m queuedStatement) {
	switch {
	case m.endsSession:
		s.finishWithError(m.response)
	case m.kind == pg.Sync:
		s.skippingToSync = false
		s.write(pg.AppendReadyIdle(nil))
	case s.skippingToSync && m.response == nil:
	case m.response != nil:
		s.writeError(m.response)
	case m.kind == pg.Terminate:
		s.finish()
	case m.kind == pg.ExtendedQuery:
		s.skippingToSync = true
		s.frontend.ProtocolErrors++
		s.write(pg.AppendError(nil, errSimpleQueriesOnly, false))
	case m.kind == pg.FunctionCall:
		s.writeError(errSimpleQueriesOnly)
	case isEmptyQuery(m.text):
		s.write(pg.AppendReadyIdle(pg.AppendEmptyQuery(nil)))
	default:
		s.startRequest(m.text, m.arrived)
	}
}

// startsRequest reports whether handling the statement sends it to a member.
func (m *queuedStatement) startsRequest() bool {
	return m.response == nil && m.kind == pg.Query && !isEmptyQuery(m.text)
}

func isEmptyQuery(sql string) bool {
	return strings.TrimSpace(strings.TrimRight(sql, "; \t\r\n")) == ""
}

// writeError sends an error as the response to one query.
func (s *session) writeError(e *pg.Error) {
	s.write(pg.AppendReadyIdle(pg.AppendError(nil, e, false)))
}

// writeErrorAndPause sends a client error as the response to a query, and stops handling messages for errorPenaltyMs.
func (s *session) writeErrorAndPause(e *pg.Error) {
	s.frontend.ProtocolErrors++
	s.writeError(e)
	if s.state != sessionOpen {
		return
	}
	s.penalized = true
	s.frontend.driver.After(errorPenaltyMs, func() {
		s.penalized = false
		s.processQueue()
	})
}

// startRequest starts a request for a statement. arrived is the arrival time of the statement.
func (s *session) startRequest(text string, arrived float64) {
	req, err := s.submit(text, arrived)
	if err == nil {
		s.request, s.statementBytes = req, statementBytes(text)
		s.addHeldBytes(s.statementBytes)
		return
	}
	var statementError *pg.Error
	if !errors.As(err, &statementError) {
		statementError = arrivalError(err)
	}
	s.writeErrorAndPause(statementError)
}

func (s *session) submit(text string, arrived float64) (*request.Request, error) {
	statement, err := pg.ParseStatement(text)
	if err != nil {
		return nil, err
	}
	req := request.New(statement, arrived, func(response request.Response) { s.deliver(response, statementBytes(text)) })
	req.ClientClosed = s.conn.PeerClosed
	s.frontend.limitWait(req)
	return req, s.frontend.driver.Arrive(req)
}

// deliver writes the final response to the request. The next message is handled later in the same batch of events, since the router's
// decisions are being carried out at this point.
func (s *session) deliver(response request.Response, statementBytes int) {
	s.request = nil
	s.addHeldBytes(-statementBytes)
	switch {
	case response.Rows != nil:
		s.write(pg.AppendReadyIdle(response.Rows))
	case response.Rejected:
		s.writeError(rejectedError(response.RetryAfter))
	case response.StatementError != nil:
		s.writeErrorAndPause(response.StatementError)
	default:
		s.writeError(errMayHaveTakenEffect)
	}
	s.frontend.driver.Defer(s.processQueue)
}
