package request

import (
	iradix "github.com/hashicorp/go-immutable-radix/v2"

	"wayloft/internal/decide/session"
	"wayloft/internal/pg"
)

// Stream is a request of several messages, such as one in the extended protocol or a COPY. It passes the client's operations on
// to the connection that carries the request, and the member's messages back to the client. Until the client has received
// anything, the stream buffers the member's messages and keeps the client's operations, so that they can be replayed on another
// connection; from then on nothing is ever replayed.
type Stream struct {
	Pool     string // the pool whose connections may carry it
	Client   ClientSession
	Reserved BackendConn // the connection reserved for the client's session, if any: no other may carry it

	LastError *pg.Error // the error that the last attempt ended with, if the client has not received it
	Position  float64   // the latest position that the member reported, in ms; 0: none

	backend        BackendConn
	onClientGone   func()
	replayLog      []session.Message
	buffered       []pg.Message
	bufferedBytes  int
	started        bool // the client has received something
	flushRequested bool // the client has asked for a flush
	cancelled      bool // the client has cancelled it
}

// BackendConn is a connection to a member, as a stream uses it.
type BackendConn interface {
	// Send passes operations of the client on to the member.
	Send(ops []session.Message)
	// Cancel asks the member to stop what runs on the connection, if anything does.
	Cancel()
	// Member returns the id of the member at the other end.
	Member() string
	// Release gives a reserved connection back.
	Release()
}

// ClientSession is a client's session, as a stream uses it.
type ClientSession interface {
	// Session returns the state that follows the client from connection to connection.
	Session() *session.Session
	// DeliverMessages passes the member's messages on to the client. The messages are not valid after it returns.
	DeliverMessages(messages []pg.Message)
	// ServerParameters tells the client which parameters the member reports of itself.
	ServerParameters(parameters *iradix.Tree[string])
	// Reserve keeps the connection for the session, which must release it.
	Reserve(connection BackendConn)
	// Terminate ends the session with this error.
	Terminate(e *pg.Error)
}

// Send passes operations of the client on, and keeps them for a replay while one is still possible.
func (s *Stream) Send(ops []session.Message) {
	if !s.started {
		s.replayLog = append(s.replayLog, ops...)
	}
	for _, op := range ops {
		s.flushRequested = s.flushRequested || op.Kind == pg.Flush
	}
	if s.backend != nil {
		s.backend.Send(ops)
	}
}

// OnClientGone sets the function that is called once if the client goes away.
func (s *Stream) OnClientGone(f func()) { s.onClientGone = f }

// ClientGone records that the client has gone away.
func (s *Stream) ClientGone() {
	if f := s.onClientGone; f != nil {
		s.onClientGone = nil
		f()
	}
}

// Attach begins an attempt on a connection.
func (s *Stream) Attach(connection BackendConn) {
	s.backend = connection
	connection.Send(s.replayLog)
}

// MarkCancelled records that the client has cancelled the attempt that runs: no further attempt may begin.
func (s *Stream) MarkCancelled() { s.cancelled = true }

// Cancelled reports whether the client has cancelled the request.
func (s *Stream) Cancelled() bool { return s.cancelled }

// Backend returns the connection that carries the request, or nil.
func (s *Stream) Backend() BackendConn { return s.backend }

// Replay sends the client's operations once more on the same connection. It must be called only if none of them has run.
func (s *Stream) Replay() {
	s.buffered, s.bufferedBytes = nil, 0
	s.backend.Send(s.replayLog)
}

// Receive takes a message of the member. It is buffered until the client has received something already, has asked for a flush or
// must act on the message, or the buffer has grown too large.
func (s *Stream) Receive(message pg.Message) {
	message.Raw = append([]byte(nil), message.Raw...)
	s.buffered = append(s.buffered, message)
	s.bufferedBytes += len(message.Raw)
	clientMustAct := message.Kind == pg.CopyInResponse || message.Kind == pg.CopyOutResponse
	if s.started || s.flushRequested || s.bufferedBytes > session.MaxReplayBytes || clientMustAct {
		s.Flush()
	}
}

// Failure returns the first error among the buffered messages, or nil.
func (s *Stream) Failure() *pg.Error {
	for _, message := range s.buffered {
		if message.Error != nil {
			return message.Error
		}
	}
	return nil
}

// Flush delivers the buffered messages to the client. From then on nothing is replayed.
func (s *Stream) Flush() {
	if len(s.buffered) == 0 {
		return
	}
	messages := s.buffered
	s.started, s.replayLog, s.buffered, s.bufferedBytes = true, nil, nil, 0
	s.Client.DeliverMessages(messages)
}

// NextQuery begins the client's next query, for which no flush has been asked yet.
func (s *Stream) NextQuery() { s.flushRequested = false }

// Started reports whether the client has received anything.
func (s *Stream) Started() bool { return s.started }

// Detach records that the connection no longer carries the request, and keeps the error among the buffered messages, if any.
func (s *Stream) Detach() {
	if s.backend == nil {
		return
	}
	s.LastError = s.Failure()
	s.backend, s.buffered, s.bufferedBytes = nil, nil, 0
}
