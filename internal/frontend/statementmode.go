package frontend

import (
	"errors"
	"strings"

	"wayloft/internal/pg"
	"wayloft/internal/request"
)

const (
	// maxPipelined is how many messages of a client may wait for their turn, and how many are answered between two sweeps to a client
	// that does not await each response.
	maxPipelined = 256
	// maxExcessPipelined is how many queries beyond them are rejected one by one before the session ends.
	maxExcessPipelined = 4096
	// errorPenaltyMs is how long a session pauses after an error of its client's, so that a client that repeats the error at once does
	// not keep the router busy.
	errorPenaltyMs = 100.0
)

// enqueue has a message answered in its turn, or rejected in its turn if too much waits.
func (s *session) enqueue(m pg.Message) {
	f := s.frontend
	full := len(s.queue) >= maxPipelined
	switch {
	case m.Kind == pg.Query && (full || f.heldBytes+len(m.Text) > f.maxHeldBytes):
		s.rejectExcess()
	case full:
		s.closeInput(errTooMuchPipelined)
	default:
		s.sentQuery = s.sentQuery || m.Kind == pg.Query
		s.addHeldBytes(len(m.Text))
		s.queue = append(s.queue, queuedMessage{Message: m, arrived: f.driver.Now()})
	}
}

// rejectExcess has one more query rejected in its turn: the client waits for a response to each query that it has sent.
func (s *session) rejectExcess() {
	s.frontend.Rejected++
	last := len(s.queue) - 1
	switch {
	case last < 0 || s.queue[last].response != errOverBudget:
		s.queue = append(s.queue, queuedMessage{response: errOverBudget})
	case s.queue[last].repeats < maxExcessPipelined:
		s.queue[last].repeats++
	default:
		s.closeInput(errTooMuchPipelined)
	}
}

// processStatements answers what can be answered now, up to the first request.
func (s *session) processStatements() {
	for s.mayRespond() {
		s.respond(s.dequeue())
		if s.request == nil || len(s.queue) > 0 { // a client that awaits each response is not limited
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

// mayRespond reports whether the first message of the queue may be answered now.
func (s *session) mayRespond() bool {
	if s.request != nil || s.penalized || s.state >= sessionEnding || len(s.queue) == 0 {
		return false
	}
	return s.handledSinceSweep < maxPipelined && s.conn.Unsent() < maxUnreadBytes
}

// dequeue takes the first message out of the queue.
func (s *session) dequeue() queuedMessage {
	first := s.queue[0]
	if first.repeats > 0 {
		s.queue[0].repeats--
	} else {
		s.queue = s.queue[1:]
	}
	return first
}

// respond answers a message, or begins a request that will.
func (s *session) respond(m queuedMessage) {
	switch {
	case m.endsSession:
		s.frontend.ProtocolErrors++
		s.finishWithError(m.response)
	case m.Kind == pg.Sync:
		s.skippingToSync = false
		s.conn.Write(pg.AppendReadyIdle(nil))
	case s.skippingToSync && m.response == nil:
		s.addHeldBytes(-len(m.Text))
	case m.response != nil:
		s.writeError(m.response)
	case m.Kind == pg.Terminate:
		s.finish()
	case m.Kind == pg.ExtendedQuery:
		s.skippingToSync = true
		s.frontend.ProtocolErrors++
		s.conn.Write(pg.AppendError(nil, errSimpleQueriesOnly, false))
	case m.Kind == pg.FunctionCall:
		s.writeError(errSimpleQueriesOnly)
	case isEmptyQuery(m.Text):
		s.addHeldBytes(-len(m.Text))
		s.conn.Write(pg.AppendReadyIdle(pg.AppendEmptyQuery(nil)))
	default:
		s.startRequest(m.Text, m.arrived)
	}
}

func isEmptyQuery(sql string) bool {
	return strings.TrimSpace(strings.TrimRight(sql, "; \t\r\n")) == ""
}

// writeError answers one query with an error.
func (s *session) writeError(e *pg.Error) {
	s.conn.Write(pg.AppendReadyIdle(pg.AppendError(nil, e, false)))
}

// writeErrorAndPause answers a query with an error of its client's, and answers nothing more for errorPenaltyMs.
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

// startRequest makes a request of a statement that arrived at this time.
func (s *session) startRequest(text string, arrived float64) {
	req, err := s.submit(text, arrived)
	if err == nil {
		s.request, s.statementBytes = req, len(text)
		return
	}
	s.addHeldBytes(-len(text))
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
	req := request.New(statement, arrived, func(response request.Response) { s.deliver(response, len(text)) })
	req.ClientClosed = s.conn.PeerClosed
	s.frontend.limitWait(req)
	return req, s.frontend.driver.Arrive(req)
}

// deliver writes the final response of the request. The next message is answered later in the batch of events, since the router's
// decisions are being carried out now.
func (s *session) deliver(response request.Response, statementBytes int) {
	s.request = nil
	s.addHeldBytes(-statementBytes)
	switch {
	case response.Rows != nil:
		s.conn.Write(pg.AppendReadyIdle(response.Rows))
	case response.Rejected:
		s.writeError(rejectedError(response.RetryAfter))
	case response.StatementError != nil:
		s.writeErrorAndPause(response.StatementError)
	default:
		s.writeError(errMayHaveTakenEffect)
	}
	s.frontend.driver.Defer(s.processQueue)
}
