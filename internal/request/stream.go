package request

import (
	iradix "github.com/hashicorp/go-immutable-radix/v2"

	"wayloft/internal/decide/session"
	"wayloft/internal/pg"
)

// Stream is a request of several messages, such as one of the extended query protocol or a COPY. It forwards the client's
// messages to the connection that carries the request, and the member's messages to the client. Until the client has received
// anything, the stream buffers the member's messages and keeps the client's, so that they can be replayed on another
// connection. After that, nothing is replayed.
type Stream struct {
	Pool     string // name of the connection pool whose connections may carry it
	Client   ClientSession
	Reserved BackendConn // the connection reserved for the client session, if any; no other may carry the request

	LastError *pg.Error // the error that ended the last attempt, if the client has not received it
	Position  float64   // the latest position reported by the member, in ms; 0: none

	backend        BackendConn
	onClientGone   func()
	replayLog      []session.Message
	buffered       []pg.Message
	bufferedBytes  int
	started        bool // the client has received something
	flushRequested bool // the client has asked for a flush
	cancelled      bool // the client has cancelled the request
}

// BackendConn is a connection to a member, as a stream uses it.
type BackendConn interface {
	// Send forwards messages of the client to the member.
	Send(messages []session.Message)
	// Cancel asks the member to cancel the statement that runs on the connection, if any.
	Cancel()
	// Member returns the id of the member that the connection leads to.
	Member() string
	// Release ends the reservation of a reserved connection.
	Release()
}

// ClientSession is a client session, as a stream uses it.
type ClientSession interface {
	// Session returns the session state that is kept when the client's requests move to other connections.
	Session() *session.Session
	// DeliverMessages forwards the member's messages to the client. The messages are not valid after it returns.
	DeliverMessages(messages []pg.Message)
	// ServerParameters reports the member's server parameters to the client.
	ServerParameters(parameters *iradix.Tree[string])
	// Reserve reserves the connection for the session, which must release it.
	Reserve(connection BackendConn)
	// Terminate ends the session with this error.
	Terminate(e *pg.Error)
}

// Send forwards messages of the client, and keeps them while a replay is still possible.
func (s *Stream) Send(messages []session.Message) {
	if !s.started {
		s.replayLog = append(s.replayLog, messages...)
	}
	for _, message := range messages {
		s.flushRequested = s.flushRequested || message.Kind == pg.Flush
	}
	if s.backend != nil {
		s.backend.Send(messages)
	}
}

// OnClientGone sets the function that is called once if the client disconnects.
func (s *Stream) OnClientGone(f func()) { s.onClientGone = f }

// ClientGone records that the client has disconnected.
func (s *Stream) ClientGone() {
	if f := s.onClientGone; f != nil {
		s.onClientGone = nil
		f()
	}
}

// Attach starts an attempt on a connection.
func (s *Stream) Attach(connection BackendConn) {
	s.backend = connection
	connection.Send(s.replayLog)
}

// MarkCancelled records that the client has cancelled the running attempt: no further attempt may start.
func (s *Stream) MarkCancelled() { s.cancelled = true }

// Cancelled reports whether the client has cancelled the request.
func (s *Stream) Cancelled() bool { return s.cancelled }

// Backend returns the connection that carries the request, or nil.
func (s *Stream) Backend() BackendConn { return s.backend }

// Replay sends the client's messages again on the same connection. It may be called only if none of them has been executed.
func (s *Stream) Replay() {
	s.buffered, s.bufferedBytes = nil, 0
	s.backend.Send(s.replayLog)
}

// Receive buffers a message of the member. It flushes the buffer if the client has received something already, has requested a
// flush or must act on the message, or if the buffer has grown too large.
func (s *Stream) Receive(message pg.Message) {
	message.Raw = append([]byte(nil), message.Raw...)
	s.buffered = append(s.buffered, message)
	s.bufferedBytes += len(message.Raw)
	clientMustAct := message.Kind == pg.CopyInResponse || message.Kind == pg.CopyOutResponse
	if s.started || s.flushRequested || s.bufferedBytes > session.MaxReplayBytes || clientMustAct {
		s.Flush()
	}
}

// Buffered returns the member's messages that the client has not received yet.
func (s *Stream) Buffered() []pg.Message { return s.buffered }

// Failure returns the first error among the buffered messages, or nil.
func (s *Stream) Failure() *pg.Error {
	for _, message := range s.buffered {
		if message.Error != nil {
			return message.Error
		}
	}
	return nil
}

// Flush delivers the buffered messages to the client. After that, nothing is replayed.
func (s *Stream) Flush() {
	if len(s.buffered) == 0 {
		return
	}
	messages := s.buffered
	s.started, s.replayLog, s.buffered, s.bufferedBytes = true, nil, nil, 0
	s.Client.DeliverMessages(messages)
}

// NextQuery starts the client's next query, for which no flush has been requested yet.
func (s *Stream) NextQuery() { s.flushRequested = false }

// Started reports whether the client has received anything.
func (s *Stream) Started() bool { return s.started }

// Detach records that the connection no longer carries the request, and sets LastError to the first error among the buffered
// messages, or to nil if there is none.
func (s *Stream) Detach() {
	if s.backend == nil {
		return
	}
	s.LastError = s.Failure()
	s.backend, s.buffered, s.bufferedBytes = nil, nil, 0
}
