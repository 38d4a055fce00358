package frontend

import (
	"errors"

	"wayloft/internal/decide/memory"
	"wayloft/internal/eventloop"
	"wayloft/internal/failpoint"
	"wayloft/internal/pg"
	"wayloft/internal/request"
)

const (
	// messageTimeoutMs is how long a client may take to send its first query, or the rest of a message.
	messageTimeoutMs = 2000.0
	// maxMessagesPerTurn is how many messages of a client are handled before the event loop serves others.
	maxMessagesPerTurn = 64
	// maxUnreadBytes limits the response bytes that a client leaves unread: at this limit its next message is not handled yet.
	maxUnreadBytes = 1 << 16
)

// maxEncryptionRequests is how often a client may ask for encryption: once by TLS, once by GSSAPI.
const maxEncryptionRequests = 2

// tlsNotSupported is the response to an SSLRequest.
const tlsNotSupported = 'N'

// sessionState is the lifecycle state of a session. States are entered in ascending order.
type sessionState uint8

const (
	// sessionOpen: the session reads input.
	sessionOpen sessionState = iota
	// sessionInputClosed: the session reads no more input. Messages already received still get responses; the error at the end of the
	// queue then ends the session.
	sessionInputClosed
	// sessionEnding: the session writes no more responses, and its connection is being closed.
	sessionEnding
	// sessionClosed: the connection is closed, and the session is removed from the Frontend.
	sessionClosed
)

// session is a client connection. Its messages are handled in order, one at a time.
//
// pooled is set at the startup message if the session is in transaction pooling mode; otherwise the session is in statement-comment mode. In
// transaction pooling mode the fields of statement-comment mode keep their zero values, except that queue may hold one entry: the error that
// ends the session after the messages in pooled.queue.
type session struct {
	frontend *Frontend
	conn     *eventloop.Conn
	reader   *pg.Reader
	state    sessionState
	pooled   *pooledSession

	encryptionRequests int // number of requests for encryption received

	inputQueued  bool // a turn of the event loop is queued that handles further messages
	inputBlocked bool // no further messages are handled until the pooled session's queue has room

	// Fields of statement-comment mode. While request or penalized is set, no queued message is handled; both are never set together.
	queue             []queuedStatement
	request           *request.Request // the request in progress
	statementBytes    int              // size of request's statement
	penalized         bool             // pausing after a client error
	skippingToSync    bool             // discarding messages up to Sync after an error in the extended protocol
	handledSinceSweep int              // number of messages handled since the last sweep

	// State for the sweep. Times are in ms on the loop's clock.
	sentQuery      bool    // a complete query, or the startup message of a pooled session, has been received
	idleSince      float64 // when it last became idle
	inputDeadline  float64 // by which the client must have sent its first query, or the rest of a message
	readProgressAt float64 // when the client last read data, or had none to read
	writtenAtSweep int64   // bytes written to the connection as of the last sweep
	timers         sweepTimers

	heldBytes   int // memory held, of queued and in-flight messages and readerBytes
	readerBytes int // memory of the reader
	unreadBytes int // responses that the client has not read
}

// queuedStatement is a message in statement-comment mode that is queued to be handled, or an error that is queued to be written.
type queuedStatement struct {
	kind        pg.Kind
	text        string    // of a query
	arrived     float64   // ms on the loop's clock, when its last byte arrived: the time in the queue counts against the request's deadline
	response    *pg.Error // the error to be written; nil: the message is to be handled
	repeats     int       // number of further messages that get the same response
	endsSession bool      // the session ends after response is written
}

// addHeldBytes adds n to the bytes that the session holds; n is negative for released bytes.
func (s *session) addHeldBytes(n int) {
	if s.state == sessionClosed { // all has been released
		return
	}
	s.heldBytes += n
	s.frontend.memory.Change(n)
}

// updateReaderBytes records the memory that the reader holds.
func (s *session) updateReaderBytes() {
	s.addHeldBytes(s.reader.Cap() - s.readerBytes)
	s.readerBytes = s.reader.Cap()
}

// updateUnreadBytes records what the client has left unread of the responses written to it.
func (s *session) updateUnreadBytes() {
	if s.state < sessionEnding {
		s.changeUnreadBytes(int(s.conn.Unsent()) - s.unreadBytes)
	}
}

func (s *session) changeUnreadBytes(delta int) {
	s.unreadBytes += delta
	s.frontend.memory.ChangeUnread(delta)
}

// readsResponses reports whether the client reads its responses fast enough for a further one. While memory is scarce, it has to read all of
// them first.
func (s *session) readsResponses() bool {
	unread := s.conn.Unsent()
	return unread == 0 || unread < maxUnreadBytes && s.frontend.memory.Allows(memory.InputAhead, 0)
}

// write sends a response. If there is no memory for what clients leave unread, it ends the sessions that leave most.
func (s *session) write(b []byte) {
	s.conn.Write(b)
	s.updateUnreadBytes()
	s.frontend.endSlowReaders()
}

// requestOpen reports whether a request is at the router or at a member, or a pooled session has an open transaction.
func (s *session) requestOpen() bool {
	if s.pooled != nil {
		return s.pooled.unitAtMember() || s.pooled.request != nil
	}
	return s.request != nil
}

// noResponsePending reports whether all complete messages have got their responses. A pooled session must also be idle.
func (s *session) noResponsePending() bool {
	return s.request == nil && len(s.queue) == 0 && (s.pooled == nil || s.pooled.idle())
}

// idle reports whether no response is pending and no part of a message has been received.
func (s *session) idle() bool { return s.noResponsePending() && s.reader.Buffered() == 0 }

// awaitsInput reports whether no response is pending, and the session waits for its first query or for the rest of a message.
func (s *session) awaitsInput() bool {
	if s.pooled != nil {
		return s.pooled.awaitsInput()
	}
	return s.noResponsePending() && (!s.sentQuery || s.reader.Buffered() > 0)
}

// evictable reports whether the session can be ended without losing a response. Pooled sessions are never evictable.
func (s *session) evictable() bool {
	if s.state >= sessionEnding || s.pooled != nil || s.sentQuery && s.reader.Buffered() > 0 {
		return false
	}
	return s.noResponsePending() && s.conn.Sent()
}

// Data handles bytes received from the client.
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
	s.feed(data)
	s.handleInput()
	s.updateReaderBytes()
}

// feed passes bytes to the reader. If there is no memory for the rest of a message, it is discarded as it arrives, and the complete message
// is rejected; of a startup message, the session ends.
func (s *session) feed(data []byte) {
	growth := s.reader.Growth(len(data))
	small := s.reader.Cap()+growth <= memory.FreeBytes
	if growth > 0 && !small && !s.frontend.memory.Allows(memory.InputAhead, growth) && !s.reader.DiscardMessage() && s.reader.Buffered() > 0 {
		s.closeInput(errOverBudget)
		s.processQueue()
		return
	}
	s.reader.Feed(data)
	s.updateReaderBytes()
}

// Drained starts a request that waited until all that the client has sent was read.
func (s *session) Drained() {
	if s.state == sessionOpen && len(s.queue) > 0 {
		s.processQueue()
	}
}

// handleInput handles the messages received so far, a bounded number in each turn of the event loop. Until it has handled all, no more input is read.
func (s *session) handleInput() {
	if s.inputQueued {
		return
	}
	for range maxMessagesPerTurn {
		if s.pooled != nil && s.pooled.queueFull() {
			s.conn.PauseReading()
			s.inputBlocked = true
			return
		}
		if s.state == sessionInputClosed { // who closed the input has decided whether more is read
			return
		}
		if s.state != sessionOpen || !s.receiveNext() {
			s.conn.ResumeReading()
			return
		}
		s.processQueue()
	}
	s.conn.PauseReading()
	s.inputQueued = true
	s.frontend.driver.NextTurn(func() {
		s.inputQueued = false
		s.handleInput()
		s.updateReaderBytes()
	})
}

// resumeInput handles further messages, if that was given up because the queue was full.
func (s *session) resumeInput() {
	if s.inputBlocked && !s.pooled.queueFull() {
		s.inputBlocked = false
		s.handleInput()
		s.updateReaderBytes()
	}
}

// receiveNext handles the next message in the reader. It reports whether the queue may hold new work.
func (s *session) receiveNext() bool {
	message, complete, err := s.reader.Next()
	var protocolError *pg.Error
	switch {
	case errors.As(err, &protocolError):
		s.closeInput(protocolError) // the start of the next message is unknown
	case complete:
		s.receive(message)
		if s.sentQuery {
			s.restartInputTimeout()
		}
	default:
		return false
	}
	return true
}

func (s *session) restartInputTimeout() {
	s.inputDeadline = s.frontend.driver.Now() + messageTimeoutMs
}

// closeInput ignores further input because of a fault of the client. The session ends with this error, after the responses to the messages
// already received.
func (s *session) closeInput(e *pg.Error) {
	s.frontend.ProtocolErrors++
	s.endAfterQueue(e)
	s.conn.ResumeReading()
}

// endAfterQueue ends the session with this error, after the responses to the messages already received. It handles no more input.
func (s *session) endAfterQueue(e *pg.Error) {
	s.state = max(s.state, sessionInputClosed)
	s.queue = append(s.queue, queuedStatement{response: e, endsSession: true})
}

// receive handles one complete message of the client.
func (s *session) receive(m pg.Message) {
	if m.Kind == pg.Query {
		failpoint.Hit("frontend.query")
	}
	switch {
	case m.Kind == pg.SSLRequest:
		s.declineEncryption()
	case m.Kind == pg.CancelRequest:
		s.frontend.cancel(m.Key)
		s.finish()
	case s.pooled != nil:
		s.pooled.receive(m)
	case m.Kind == pg.Startup && s.frontend.pooling != nil && !s.frontend.pooling.usesStatementMode(m.Startup):
		s.startPooled(m)
	case m.Kind == pg.Startup:
		s.write(pg.AppendStartupResponse(nil, m.MinorVersion))
	default:
		s.enqueue(m)
	}
}

// declineEncryption answers a request for encryption. A client asks once for each kind and then goes on without; as in PostgreSQL, a further
// request is a protocol error.
func (s *session) declineEncryption() {
	if s.encryptionRequests++; s.encryptionRequests > maxEncryptionRequests {
		s.closeInput(errEncryptionRequests)
		return
	}
	s.write([]byte{tlsNotSupported})
}

// processQueue handles the queued messages that can be handled now.
func (s *session) processQueue() {
	s.endIfOverdue()
	if s.pooled != nil {
		s.pooled.processQueue()
		return
	}
	s.processStatements()
}

// markEnding records that the connection is being closed. Its input is ignored from now on.
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

// finish ends the session once all written data is sent.
func (s *session) finish() {
	s.markEnding()
	s.conn.Finish()
	s.conn.ResumeReading() // unread bytes would reset the connection, and the client could lose the last response
}

// finishWithError sends an error to the client and ends the session.
func (s *session) finishWithError(e *pg.Error) {
	if s.pooled != nil {
		s.pooled.end()
	}
	s.conn.Write(pg.AppendError(nil, e, true))
	s.finish()
}

// endIfQuiescent ends a session without pending responses, unless data has arrived that is not read yet or written data is not sent yet.
// It reports whether it did. If the session has sent a query, its last response may still be in transit: the connection is finished
// instead of dropped, so that the client reads the response before the end, and can tell that later messages of its own were not handled.
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
	s.addHeldBytes(-s.heldBytes)
	s.changeUnreadBytes(-s.unreadBytes)
	s.state, s.queue = sessionClosed, nil
	if s.pooled != nil {
		s.pooled.end()
	}
	if s.request != nil {
		s.frontend.driver.ClientGone(s.request)
		s.request = nil
	}
	delete(s.frontend.sessions, s)
	s.frontend.sweepIndex.remove(s)
	<-s.frontend.acceptSlots
	failpoint.Hit("frontend.closed")
	s.frontend.stopAfterLastSession()
}
