// Package frontend serves the clients' side: it owns the sessions, the order of their queries and the drain. It must
// never know a member, and never give a request an answer that no member and no decision made.
package frontend

import (
	"errors"
	"strconv"
	"strings"
	"time"

	"wayloft/internal/decide/syscallerror"
	"wayloft/internal/eventloop"
	"wayloft/internal/failpoint"
	"wayloft/internal/pg"
	"wayloft/internal/request"
)

const (
	maxPipelined         = 256  // messages that a session may send ahead
	maxExcessPipelined   = 4096 // queries beyond them that are rejected one by one, before the session ends
	acceptRetryPause     = time.Duration(syscallerror.RetryPauseMs * float64(time.Millisecond))
	messageTimeoutMs     = 2000.   // ms within which a session must ask its first, and send the rest of a message
	idleTimeoutMs        = 10e3    // ms that a session may then rest between two queries
	sweepIntervalMs      = 100.0   // ms between two looks at them
	errorPenaltyMs       = 100.0   // ms that a session rests after a mistake, lest it makes the next at once
	newConnectionGraceMs = 100.0   // ms for which a newcomer is spared
	rejectionSlots       = 16      // connections over the limit, while they are told that there is no room
	writeStallTimeoutMs  = 5000.   // ms for which a client may leave an answer unread
	maxUnreadBytes       = 1 << 16 // bytes that a client may leave unread before its next query is looked at
)

// Frontend holds all sessions.
type Frontend struct {
	driver          *eventloop.Driver
	maxSessions     int // sessions
	maxHeldBytes    int // bytes of statements and parts of them
	maxMessageBytes int // bytes of one message
	heldBytes       int
	sessions        map[*session]bool
	sweepIndex      sweepIndex
	sweepScheduled  bool          // a look is due in a moment
	acceptSlots     chan struct{} // holds one for each connection accepted
	gate            *gate
	endingSessions  int      // sessions whose connection ends, but has not ended yet
	pooling         *Pooling // nil: all have the platform's form
	cancelKeys      map[pg.CancelKey]*pooledSession
	generatedIDs    uint64  // requests without an id of their client's
	draining        bool    // SIGTERM has come
	drainDeadline   float64 // by when each request has its final answer then
	leaving         bool    // each session ends once nothing of it is left to answer
	endingSince     float64 // since when

	// Statements over the budget; sessions and statements that broke the protocol; sessions that took too long to
	// ask, or found no room.
	Rejected, ProtocolErrors, TimedOut, NoSessionSlot int
}

// session is one client's connection: its messages are answered in order, one at a time.
type session struct {
	frontend           *Frontend
	conn               *eventloop.Conn
	pooled             *pooledSession // nil: the platform's form
	reader             *pg.Reader
	queue              []queuedMessage
	request            *request.Request
	statementBytes     int     // bytes of its statement
	idleSince          float64 // when it last became quiet
	inputDeadline      float64 // when it must have asked, or sent the rest of a message, or is sent away for idling
	sentQuery          bool    // it has sent a whole query
	penalized          bool    // after a mistake
	deaf               bool    // takes no more input
	ends               bool    // and its connection is ending
	answeredSinceSweep int     // messages answered since the last look
	readProgressAt     float64 // when the client last read something, or had nothing to read
	skippingToSync     bool    // an error of the extended protocol: all up to Sync is passed over

	timers                  sweepTimers
	writtenAtSweep          int64
	heldBytes, partialBytes int // bytes of statements, and of the one that is not whole yet, which is among them
}

type queuedMessage struct {
	pg.Message
	arrived     float64   // when its last byte came: its client's time runs while it waits for its turn
	response    *pg.Error // to be answered instead
	repeats     int       // so many more are answered the same
	endsSession bool
}

var (
	errOverBudget       = &pg.Error{Code: pg.TooManyConnections, Text: "too many statements at once"}
	errTooManySessions  = &pg.Error{Code: pg.TooManyConnections, Text: "too many connections"}
	errTooMuchPipelined = &pg.Error{Code: pg.ProgramLimitExceeded, Text: "too much sent ahead"}
	errQueryTimeout     = &pg.Error{Code: pg.IdleSessionTimeout, Text: "a whole query took too long to come"}
)

// New makes room for so many sessions, which together hold so many bytes of statements, none longer than longest.
func New(h *eventloop.Driver, most, budget, longest int) *Frontend {
	a := &Frontend{driver: h, maxSessions: most, maxHeldBytes: budget, maxMessageBytes: longest, sessions: map[*session]bool{},
		sweepIndex: sweepIndex{active: map[*session]bool{}}, cancelKeys: map[pg.CancelKey]*pooledSession{}, acceptSlots: make(chan struct{}, most+rejectionSlots)}
	return a
}

// Accept takes a connection in.
func (a *Frontend) Accept(c *eventloop.Conn) {
	now := a.driver.Now()
	s := &session{frontend: a, conn: c, reader: pg.NewReader(false, a.maxMessageBytes), idleSince: now, readProgressAt: now, inputDeadline: now + messageTimeoutMs}
	c.Handle(s)
	a.sessions[s] = true
	a.sweepIndex.add(s)
	a.scheduleSweep()
	if a.gate != nil {
		a.gate.started++
		a.gate.open()
	}
	a.evictIfFull()
	if len(a.sessions)-a.endingSessions > a.maxSessions && !s.ends && !c.Unread() {
		a.NoSessionSlot++
		s.finishWithError(errTooManySessions)
	}
}

// evictIfFull ends a session if no other could come in: one that has had time to ask and did not, else the one that has
// been quiet longest, else a newcomer. Guards against crowds that connect and say nothing: they push out each other
// before anyone else.
func (a *Frontend) evictIfFull() {
	for len(a.sessions)-a.endingSessions >= a.maxSessions {
		if first := a.evictionCandidate(a.driver.Now()); first == nil || first.endIfQuiescent() { // others may be waiting
			return
		}
	}
}

// mayBeEnded tells that the session can end without taking an answer away.
func (s *session) mayBeEnded() bool {
	return !s.ends && s.pooled == nil && s.nothingOwed() && s.conn.Sent() && (!s.sentQuery || s.reader.Buffered() == 0)
}

// endIfQuiescent ends a session of which nothing is owed, unless something of its client's has come meanwhile. One that may have
// an answer on its way ends in order: its client sees the end behind the answer, and what crosses it, as not taken.
func (s *session) endIfQuiescent() bool {
	ended := false
	if s.sentQuery {
		ended = s.conn.FinishIfQuiescent()
	} else {
		ended = s.conn.DropIfQuiescent()
	}
	if ended {
		s.markEnding()
	}
	return ended
}

// markEnding counts a session whose connection is ending. Nothing more is taken from it.
func (s *session) markEnding() {
	if s.deaf = true; !s.ends {
		s.ends = true
		s.frontend.endingSessions++
	}
}

// drop ends the session at once.
func (s *session) drop() {
	s.markEnding()
	s.conn.Drop()
}

// sweep ends sessions that have taken too long, whatever they wait for but an answer, and of those that rest all but the
// latest third of what there is room for. Guards against connections that are never used, statements that never end,
// answers that are never read, and clients that hold connections which they don't use again until none is left to them.
func (a *Frontend) sweep() {
	a.sweepScheduled = false
	if a.sweepOnce(); a.leaving || len(a.sweepIndex.active)+a.sweepIndex.idle.Len() > 0 {
		a.scheduleSweep()
	}
}

// scheduleSweep has the next look come, where one is needed. A router whose sessions all sleep wakes for none.
func (a *Frontend) scheduleSweep() {
	if !a.sweepScheduled {
		a.sweepScheduled = true
		a.driver.After(sweepIntervalMs, a.sweep)
	}
}

func (a *Frontend) sweepOnce() {
	now := a.driver.Now()
	for s := range a.sweepIndex.active {
		a.sweepIndex.visits++
		if s.answeredSinceSweep = 0; s.pooled != nil || len(s.queue) > 0 {
			s.processQueue()
		}
		if written := s.conn.Written(); s.conn.Unsent() == 0 || written != s.writtenAtSweep {
			s.writtenAtSweep, s.readProgressAt = written, now
		}
		switch {
		case s.ends:
		case now > s.readProgressAt+writeStallTimeoutMs:
			s.drop()
		case !s.deaf && s.awaitsInput() && now > s.inputDeadline && !s.conn.Unread():
			a.TimedOut++
			s.finishWithError(errQueryTimeout)
		}
		a.sweepIndex.deactivateIfIdle(s)
	}
	a.endLongestIdle(now, a.maxSessions/3)
	if a.leaving {
		a.endIdleSessions()
	}
}

// SessionCounts tells how many there are, and how many of them wait for an answer.
func (a *Frontend) SessionCounts() (all, busy int) {
	for s := range a.sessions {
		if s.request != nil || s.pooled != nil && s.pooled.request != nil {
			busy++
		}
	}
	return len(a.sessions), busy
}

// nothingOwed tells that nothing whole that has come is without its answer, and quiet that nothing else has come either.
func (s *session) nothingOwed() bool {
	return s.request == nil && len(s.queue) == 0 && (s.pooled == nil || s.pooled.idle())
}
func (s *session) idle() bool { return s.nothingOwed() && s.reader.Buffered() == 0 }

// awaitsInput tells that nothing whole that has come is without its answer, and that the session waits for its client to ask, or for
// the rest of what it asks.
func (s *session) awaitsInput() bool {
	if s.pooled != nil {
		return s.pooled.awaitsInput()
	}
	return s.nothingOwed() && (!s.sentQuery || s.reader.Buffered() > 0)
}

func (s *session) finish() {
	s.markEnding()
	s.conn.Finish()
}

// finishWithError ends the session with an error.
func (s *session) finishWithError(e *pg.Error) {
	if s.pooled != nil {
		s.pooled.end()
	}
	s.conn.Write(pg.AppendError(nil, e, true))
	s.finish()
}

// Closed says that the client has gone away.
func (s *session) Closed() {
	s.deaf, s.queue = true, nil
	if s.pooled != nil {
		s.pooled.end()
	}
	if s.request != nil {
		s.frontend.driver.ClientGone(s.request)
		s.request = nil
	}
	if s.ends {
		s.frontend.endingSessions--
	}
	s.frontend.heldBytes -= s.heldBytes
	delete(s.frontend.sessions, s)
	s.frontend.sweepIndex.remove(s)
	<-s.frontend.acceptSlots
	failpoint.Hit("clients.closed")
	s.frontend.stopAfterLastSession()
}

// Data takes bytes in.
func (s *session) Data(b []byte) {
	if s.deaf {
		failpoint.Hit("clients.ignored")
		return
	}
	s.frontend.sweepIndex.activate(s, s.frontend.driver.Now())
	s.frontend.scheduleSweep()
	if s.sentQuery && (s.reader.Buffered() == 0 || s.pooled != nil) {
		s.inputDeadline = s.frontend.driver.Now() + messageTimeoutMs
	}
	s.reader.Feed(b)
	for !s.deaf {
		m, ok, err := s.reader.Next()
		var broken *pg.Error
		if errors.As(err, &broken) { // framing is lost
			s.deaf = true
			s.queue = append(s.queue, queuedMessage{response: broken, endsSession: true})
		} else if !ok {
			s.addHeldBytes(s.reader.Buffered() - s.partialBytes)
			s.partialBytes = s.reader.Buffered()
			if s.partialBytes == 0 || !s.frontend.overBudget(s.heldBytes) {
				return
			}
			s.deaf = true
			s.queue = append(s.queue, queuedMessage{response: errOverBudget, endsSession: true})
		} else {
			s.receive(m)
			if s.sentQuery { // what comes behind it has its own time
				s.inputDeadline = s.frontend.driver.Now() + messageTimeoutMs
			}
		}
		s.processQueue()
	}
}

func (s *session) receive(m pg.Message) {
	if m.Kind == pg.Query {
		failpoint.Hit("clients.query")
	}
	switch {
	case m.Kind == pg.SSLRequest:
		s.conn.Write([]byte("N"))
	case m.Kind == pg.CancelRequest:
		s.frontend.cancel(m.Key)
		s.finish()
	case s.pooled != nil:
		s.pooled.receive(m)
	case m.Kind == pg.Startup && s.frontend.pooling != nil && !s.frontend.usesStatementMode(m):
		s.startPooled(m)
	case m.Kind == pg.Startup:
		s.conn.Write(pg.AppendGreeting(nil, m.MinorVersion))
	case m.Kind == pg.Query && (len(s.queue) >= maxPipelined || s.frontend.heldBytes+len(m.Text) > s.frontend.maxHeldBytes):
		s.rejectExcess()
	case len(s.queue) >= maxPipelined: // of what is not looked at yet
		s.endBehindQueue()
	default:
		s.sentQuery = s.sentQuery || m.Kind == pg.Query
		s.addHeldBytes(len(m.Text))
		s.queue = append(s.queue, queuedMessage{Message: m, arrived: s.frontend.driver.Now()})
	}
}

// rejection has one more query rejected at its turn. Guards against answers that are lost with the session's end: its client may have
// meant all of them, and waits for each.
func (s *session) rejectExcess() {
	s.frontend.Rejected++
	if last := len(s.queue) - 1; last < 0 || s.queue[last].response != errOverBudget {
		s.queue = append(s.queue, queuedMessage{response: errOverBudget})
	} else if s.queue[last].repeats < maxExcessPipelined {
		s.queue[last].repeats++
	} else {
		s.endBehindQueue()
	}
}

// endBehindQueue ends the session behind the answers to what came before.
func (s *session) endBehindQueue() {
	s.deaf = true
	s.queue = append(s.queue, queuedMessage{response: errTooMuchPipelined, endsSession: true})
}

// overBudget tells whether all sessions hold too much, and one that holds so much has a part in that. Guards against big statements
// of some that end the sessions of all others.
func (a *Frontend) overBudget(own int) bool {
	return a.heldBytes > 2*a.maxHeldBytes && own > a.maxHeldBytes/a.maxSessions
}

// addHeldBytes counts bytes that the session holds.
func (s *session) addHeldBytes(n int) {
	s.heldBytes += n
	s.frontend.heldBytes += n
}

// processQueue answers what can be answered at once, up to the first request.
func (s *session) processQueue() {
	if s.pooled != nil {
		s.pooled.processQueue()
		return
	}
	for s.request == nil && len(s.queue) > 0 && !s.ends && !s.penalized && s.answeredSinceSweep < maxPipelined && s.conn.Unsent() < maxUnreadBytes {
		i := s.dequeue()
		// Guards against floods. A client that waits for each answer is none, however fast it asks.
		if s.respond(i); s.request == nil || len(s.queue) > 0 {
			s.answeredSinceSweep++
		}
	}
	if s.deaf || !s.nothingOwed() {
		return
	}
	if s.idle() {
		s.idleSince = s.frontend.driver.Now()
		if s.frontend.leaving {
			s.endForShutdown()
		} else {
			s.frontend.evictIfFull()
		}
	}
}

// dequeue takes the first of what waits.
func (s *session) dequeue() queuedMessage {
	i := s.queue[0]
	if i.repeats > 0 {
		s.queue[0].repeats--
	} else {
		s.queue = s.queue[1:]
	}
	return i
}

func (s *session) respond(i queuedMessage) {
	switch {
	case i.endsSession:
		s.frontend.ProtocolErrors++
		s.finishWithError(i.response)
	case i.Kind == pg.Sync:
		s.skippingToSync = false
		s.conn.Write(pg.AppendReadyIdle(nil))
	case s.skippingToSync && i.response == nil:
		s.addHeldBytes(-len(i.Text))
	case i.response != nil:
		s.writeError(i.response)
	case i.Kind == pg.Terminate:
		s.finish()
	case i.Kind == pg.ExtendedQuery:
		s.skippingToSync = true
		s.frontend.ProtocolErrors++
		s.conn.Write(pg.AppendError(nil, &pg.Error{Code: pg.FeatureNotSupported, Text: "simple queries only"}, false))
	case i.Kind == pg.FunctionCall:
		s.writeError(&pg.Error{Code: pg.FeatureNotSupported, Text: "simple queries only"})
	case strings.TrimSpace(strings.TrimRight(i.Text, "; \t\r\n")) == "":
		s.addHeldBytes(-len(i.Text))
		s.conn.Write(pg.AppendReadyIdle(pg.AppendEmptyQuery(nil)))
	default:
		s.startRequest(i.Text, i.arrived)
	}
}

func (s *session) writeError(e *pg.Error) {
	s.conn.Write(pg.AppendReadyIdle(pg.AppendError(nil, e, false)))
}

// startRequest hands a request over.
func (s *session) startRequest(text string, at float64) {
	t, err := s.submit(text, at)
	var bad *pg.Error
	switch {
	case err == nil:
		s.request, s.statementBytes = t, len(text)
		return
	case errors.As(err, &bad):
	case errors.Is(err, eventloop.ErrDuplicateID):
		bad = &pg.Error{Code: pg.DuplicateObject, Text: err.Error()}
	default:
		bad = &pg.Error{Code: pg.InvalidParameterValue, Text: err.Error()}
	}
	s.addHeldBytes(-len(text))
	s.writeErrorAndPause(bad)
}

// writeErrorAndPause tells a client what is wrong with its statement, and lets its session rest. Guards against clients that make
// the same mistake again as soon as they hear of it.
func (s *session) writeErrorAndPause(e *pg.Error) {
	s.frontend.ProtocolErrors++
	s.writeError(e)
	if s.penalized = !s.deaf; s.penalized {
		s.frontend.driver.After(errorPenaltyMs, func() {
			s.penalized = false
			s.processQueue()
		})
	}
}

func (s *session) submit(text string, at float64) (*request.Request, error) {
	st, err := pg.ParseStatement(text)
	if err != nil {
		return nil, err
	}
	t := request.New(st, at, func(a request.Response) { s.deliver(a, len(text)) })
	t.ClientClosed = s.conn.PeerClosed
	s.frontend.limitWait(t)
	return t, s.frontend.driver.Arrive(t)
}

// deliver writes the final answer. What comes next waits its turn, since decisions are just being pulled.
func (s *session) deliver(a request.Response, size int) {
	s.request = nil
	s.addHeldBytes(-size)
	switch {
	case a.Rows != nil:
		s.conn.Write(pg.AppendReadyIdle(a.Rows))
	case a.Rejected:
		e := &pg.Error{Code: pg.TooManyConnections, Text: "declined, a retry does no harm"}
		if a.RetryAfter > 0 {
			e.Detail = strconv.Itoa(int(a.RetryAfter))
		}
		s.writeError(e)
	case a.StatementError != nil:
		s.writeErrorAndPause(a.StatementError)
	default:
		s.writeError(&pg.Error{Code: pg.TransactionResolutionUnknown, Text: "rolled back, it may have taken effect"})
	}
	s.frontend.driver.Defer(s.processQueue)
}
