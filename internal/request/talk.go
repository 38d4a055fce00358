package request

import (
	iradix "github.com/hashicorp/go-immutable-radix/v2"

	"wayloft/internal/decide/session"
	"wayloft/internal/pg"
)

// Stream is a request that takes more than one question: what its client says goes to the one connection that carries it,
// and what comes back to the client. It owns what must be said again if the connection is lost before the client has
// heard anything; it must never say anything again after that.
type Stream struct {
	Pool     string // whose connections may carry it
	Client   ClientSession
	Reserved BackendConn // the connection that its session keeps, if any: no other will do

	backend        BackendConn
	onClientGone   func()
	replayLog      []session.Op
	buffered       []pg.Message
	bufferedBytes  int       // bytes of heard
	started        bool      // the client has heard something
	flushRequested bool      // it waits for what there is: it has asked for a flush
	cancelled      bool      // its client has cancelled it
	LastError      *pg.Error // the last error of an attempt that the client has not heard of
	Position       float64   // the latest position that the member told; 0 for none
}

// BackendConn is the members' side of a talk that has a connection.
type BackendConn interface {
	Send(ops []session.Op)
	Cancel()        // what runs there, if it still does
	Member() string // where it leads
	Release()       // the session that keeps it has no more use for it
}

// ClientSession is the client's side.
type ClientSession interface {
	Session() *session.Session
	DeliverMessages(ms []pg.Message)          // void once it returns
	ServerParameters(of *iradix.Tree[string]) // what the member reports of itself
	Reserve(c BackendConn)                    // the connection stays with the session, which must release it
	Terminate(e *pg.Error)                    // its time is up: the session ends
}

// Send passes on what the client says.
func (t *Stream) Send(ops []session.Op) {
	if !t.started {
		t.replayLog = append(t.replayLog, ops...)
	}
	for _, op := range ops {
		t.flushRequested = t.flushRequested || op.Kind == pg.Flush
	}
	if t.backend != nil {
		t.backend.Send(ops)
	}
}

// OnClientGone gives the members' side a way to be told that nobody waits any more.
func (t *Stream) OnClientGone(quit func()) { t.onClientGone = quit }

// ClientGone says that its client is gone.
func (t *Stream) ClientGone() {
	if q := t.onClientGone; q != nil {
		t.onClientGone = nil
		q()
	}
}

// Attach begins an attempt on a connection.
func (t *Stream) Attach(c BackendConn) {
	t.backend = c
	c.Send(t.replayLog)
}

// MarkCancelled notes that its client has cancelled the attempt that runs: no further one may begin.
func (t *Stream) MarkCancelled() { t.cancelled = true }

// Cancelled tells whether its client has cancelled it.
func (t *Stream) Cancelled() bool { return t.cancelled }

// Backend is the connection that carries it, if one does.
func (t *Stream) Backend() BackendConn { return t.backend }

// Replay has all that was said asked once more on the same connection, where nothing has run.
func (t *Stream) Replay() {
	t.buffered, t.bufferedBytes = nil, 0
	t.backend.Send(t.replayLog)
}

// Receive takes a message of the member's; what is kept back goes out once the client has to act on it, or it is long.
func (t *Stream) Receive(m pg.Message) {
	m.Raw = append([]byte(nil), m.Raw...)
	t.buffered = append(t.buffered, m)
	t.bufferedBytes += len(m.Raw)
	if t.started || t.flushRequested || t.bufferedBytes > session.MostKept || m.Kind == pg.CopyIn || m.Kind == pg.CopyOut {
		t.Flush()
	}
}

// Failure gives the error among what is kept back.
func (t *Stream) Failure() *pg.Error {
	for _, m := range t.buffered {
		if m.Failure != nil {
			return m.Failure
		}
	}
	return nil
}

// Flush gives the client what is kept back. From then on nothing is said again.
func (t *Stream) Flush() {
	if len(t.buffered) == 0 {
		return
	}
	heard := t.buffered
	t.started, t.replayLog, t.buffered, t.bufferedBytes = true, nil, nil, 0
	t.Client.DeliverMessages(heard)
}

// NextQuery begins the client's next question.
func (t *Stream) NextQuery() { t.flushRequested = false }

// Started tells whether the client has heard anything.
func (t *Stream) Started() bool { return t.started }

// Detach says that the connection carries it no more.
func (t *Stream) Detach() {
	if t.backend == nil {
		return
	}
	t.LastError = t.Failure()
	t.backend, t.buffered, t.bufferedBytes = nil, nil, 0
}
