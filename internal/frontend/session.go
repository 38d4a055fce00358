package frontend

import (
	"errors"

	"wayloft/internal/eventloop"
	"wayloft/internal/failpoint"
	"wayloft/internal/pg"
	"wayloft/internal/request"
)

const (
	// messageTimeoutMs is how long a client may take to send its first query, or the rest of a message.
	messageTimeoutMs = 2000.0
	// maxUnreadBytes is how much a client may leave unread before its next query is looked at.
	maxUnreadBytes = 1 << 16
)

// tlsNotSupported answers an SSLRequest.
const tlsNotSupported = 'N'

// sessionState says how far the end of a session has come. It only grows.
type sessionState uint8

const (
	// sessionOpen takes input.
	sessionOpen sessionState = iota
	// sessionInputClosed takes no more input. What has come is still answered; the error at the end of the queue then ends the session.
	sessionInputClosed
	// sessionEnding answers nothing more: the connection is being closed.
	sessionEnding
	// sessionClosed has no connection any more, and is not among the Frontend's sessions.
	sessionClosed
)

// session is one client's connection. Its messages are answered in order, one at a time.
//
// A session is in statement-comment mode unless pooled is set, from its startup message on. In pooling mode the fields of statement-comment
// mode keep their zero values, except that queue may hold one entry: the error that ends the session behind the queue of pooled.
type session struct {
	frontend *Frontend
	conn     *eventloop.Conn
	reader   *pg.Reader
	state    sessionState
	pooled   *pooledSession

	// Statement-comment mode. While request is set, or penalized, nothing of the queue is answered; both are never set together.
	queue             []queuedMessage
	request           *request.Request // the request that waits for its response
	statementBytes    int              // of request
	penalized         bool             // pauses after an error of its client's
	skippingToSync    bool             // discards messages up to Sync, after an error of the extended protocol
	handledSinceSweep int              // messages

	// Times in ms on the loop's clock, and what the sweep compares.
	sentQuery      bool    // a complete query has come, or the startup message of a pooled session
	idleSince      float64 // when it last became idle
	inputDeadline  float64 // by when it must have sent a query, or the rest of a message
	readProgressAt float64 // when the client last read something, or had nothing to read
	writtenAtSweep int64   // bytes that the client's connection had taken at the last sweep
	timers         sweepTimers

	heldBytes    int // of messages that wait or are in flight, including partialBytes
	partialBytes int // of the message that is not complete yet
}

// queuedMessage is a message that waits for its turn, or an error that is written in its turn.
type queuedMessage struct {
	pg.Message
	arrived     float64   // ms on the loop's clock, when its last byte came: the client's time runs while it waits
	response    *pg.Error // written in place of a response; nil: Message is to be answered
	repeats     int       // how many more messages get the same response
	endsSession bool      // the session ends with response
}

// addHeldBytes counts bytes that the session holds; n is negative for bytes that it holds no more.
func (s *session) addHeldBytes(n int) {
	s.heldBytes += n
	s.frontend.heldBytes += n
}

// noResponsePending reports whether no complete message is without its response.
func (s *session) noResponsePending() bool {
	return s.request == nil && len(s.queue) == 0 && (s.pooled == nil || s.pooled.idle())
}

// idle reports whether nothing at all is on its way: no response is owed, and no part of a message has come.
func (s *session) idle() bool { return s.noResponsePending() && s.reader.Buffered() == 0 }

// awaitsInput reports whether no response is owed, and the session waits for a first query or for the rest of a message.
func (s *session) awaitsInput() bool {
	if s.pooled != nil {
		return s.pooled.awaitsInput()
	}
	return s.noResponsePending() && (!s.sentQuery || s.reader.Buffered() > 0)
}

// evictable reports whether the session may end without a response being lost.
func (s *session) evictable() bool {
	if s.state >= sessionEnding || s.pooled != nil || s.sentQuery && s.reader.Buffered() > 0 {
		return false
	}
	return s.noResponsePending() && s.conn.Sent()
}

// Data receives bytes of the client.
func (s *session) Data(data []byte) {
	if s.state != sessionOpen {
		failpoint.Hit("frontend.ignored")
		return
	}
	s.frontend.sweepIndex.activate(s, s.frontend.driver.Now())
	s.frontend.scheduleSweep()
	if s.sentQuery && (s.reader.Buffered() == 0 || s.pooled != nil) {
		s.restartInputTimeout()
	}
	s.reader.Feed(data)
	for s.state == sessionOpen && s.receiveNext() {
		s.processQueue()
	}
}

// receiveNext receives the next message of the reader. It reports whether there may be something to answer.
func (s *session) receiveNext() bool {
	message, complete, err := s.reader.Next()
	var protocolError *pg.Error
	switch {
	case errors.As(err, &protocolError):
		s.closeInput(protocolError) // where the next message begins is unknown
	case complete:
		s.receive(message)
		if s.sentQuery {
			s.restartInputTimeout()
		}
	default:
		s.addHeldBytes(s.reader.Buffered() - s.partialBytes)
		s.partialBytes = s.reader.Buffered()
		if s.partialBytes == 0 || !s.frontend.overBudget(s.heldBytes) {
			return false
		}
		s.closeInput(errOverBudget)
	}
	return true
}

func (s *session) restartInputTimeout() {
	s.inputDeadline = s.frontend.driver.Now() + messageTimeoutMs
}

// closeInput takes no more input. The session ends with this error, behind the responses to what has come.
func (s *session) closeInput(e *pg.Error) {
	s.state = max(s.state, sessionInputClosed)
	s.queue = append(s.queue, queuedMessage{response: e, endsSession: true})
}

// receive handles one complete message of the client.
func (s *session) receive(m pg.Message) {
	if m.Kind == pg.Query {
		failpoint.Hit("frontend.query")
	}
	switch {
	case m.Kind == pg.SSLRequest:
		s.conn.Write([]byte{tlsNotSupported})
	case m.Kind == pg.CancelRequest:
		s.frontend.cancel(m.Key)
		s.finish()
	case s.pooled != nil:
		s.pooled.receive(m)
	case m.Kind == pg.Startup && s.frontend.pooling != nil && !s.frontend.pooling.usesStatementMode(m.Startup):
		s.startPooled(m)
	case m.Kind == pg.Startup:
		s.conn.Write(pg.AppendGreeting(nil, m.MinorVersion))
	default:
		s.enqueue(m)
	}
}

// processQueue answers what can be answered now.
func (s *session) processQueue() {
	if s.pooled != nil {
		s.pooled.processQueue()
		return
	}
	s.processStatements()
}

// markEnding records that the connection is being closed. Nothing more is taken from it.
func (s *session) markEnding() {
	if s.state < sessionEnding {
		s.state = sessionEnding
		s.frontend.endingSessions++
	}
}

// drop ends the session at once.
func (s *session) drop() {
	s.markEnding()
	s.conn.Drop()
}

// finish ends the session once the client has received everything that was written.
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

// endIfQuiescent ends a session to which no response is owed, unless something has come from its client that was not read yet. It
// reports whether it did. One that has sent a query may have a response on its way: its connection is finished, so that the client
// reads the response before the end, and can tell that what it sent meanwhile was not taken.
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

// Closed handles the end of the client's connection.
func (s *session) Closed() {
	if s.state == sessionEnding {
		s.frontend.endingSessions--
	}
	s.state, s.queue = sessionClosed, nil
	if s.pooled != nil {
		s.pooled.end()
	}
	if s.request != nil {
		s.frontend.driver.ClientGone(s.request)
		s.request = nil
	}
	s.frontend.heldBytes -= s.heldBytes
	delete(s.frontend.sessions, s)
	s.frontend.sweepIndex.remove(s)
	<-s.frontend.acceptSlots
	failpoint.Hit("frontend.closed")
	s.frontend.stopAfterLastSession()
}
