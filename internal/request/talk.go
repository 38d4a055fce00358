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
	Client   ClientSide
	Reserved BackendSide // the connection that its session keeps, if any: no other will do

	carrier  BackendSide
	quit     func()
	said     []session.Op
	heard    []pg.Message
	kept     int       // bytes of heard
	started  bool      // the client has heard something
	eager    bool      // it waits for what there is: it has asked for a flush
	stopped  bool      // its client has cancelled it
	Fault    *pg.Error // the last error of an attempt that the client has not heard of
	Position float64   // the latest position that the member told; 0 for none
}

// BackendSide is the members' side of a talk that has a connection.
type BackendSide interface {
	Ask(ops []session.Op)
	Cancel()        // what runs there, if it still does
	Member() string // where it leads
	Release()       // the session that keeps it has no more use for it
}

// ClientSide is the client's side.
type ClientSide interface {
	Session() *session.Session
	Hear(ms []pg.Message)               // void once it returns
	Parameters(of *iradix.Tree[string]) // what the member reports of itself
	Keep(c BackendSide)                 // the connection stays with the session, which must release it
	Ended(e *pg.Error)                  // its time is up: the session ends
}

// Send passes on what the client says.
func (t *Stream) Send(ops []session.Op) {
	if !t.started {
		t.said = append(t.said, ops...)
	}
	for _, op := range ops {
		t.eager = t.eager || op.Kind == pg.Flush
	}
	if t.carrier != nil {
		t.carrier.Ask(ops)
	}
}

// OnClientGone gives the members' side a way to be told that nobody waits any more.
func (t *Stream) OnClientGone(quit func()) { t.quit = quit }

// ClientGone says that its client is gone.
func (t *Stream) ClientGone() {
	if q := t.quit; q != nil {
		t.quit = nil
		q()
	}
}

// Attach begins an attempt on a connection.
func (t *Stream) Attach(c BackendSide) {
	t.carrier = c
	c.Ask(t.said)
}

// MarkCancelled notes that its client has cancelled the attempt that runs: no further one may begin.
func (t *Stream) MarkCancelled() { t.stopped = true }

// Cancelled tells whether its client has cancelled it.
func (t *Stream) Cancelled() bool { return t.stopped }

// Backend is the connection that carries it, if one does.
func (t *Stream) Backend() BackendSide { return t.carrier }

// Replay has all that was said asked once more on the same connection, where nothing has run.
func (t *Stream) Replay() {
	t.heard, t.kept = nil, 0
	t.carrier.Ask(t.said)
}

// Receive takes a message of the member's; what is kept back goes out once the client has to act on it, or it is long.
func (t *Stream) Receive(m pg.Message) {
	m.Raw = append([]byte(nil), m.Raw...)
	t.heard = append(t.heard, m)
	t.kept += len(m.Raw)
	if t.started || t.eager || t.kept > session.MostKept || m.Kind == pg.CopyIn || m.Kind == pg.CopyOut {
		t.Flush()
	}
}

// Failure gives the error among what is kept back.
func (t *Stream) Failure() *pg.Error {
	for _, m := range t.heard {
		if m.Failure != nil {
			return m.Failure
		}
	}
	return nil
}

// Flush gives the client what is kept back. From then on nothing is said again.
func (t *Stream) Flush() {
	if len(t.heard) == 0 {
		return
	}
	heard := t.heard
	t.started, t.said, t.heard, t.kept = true, nil, nil, 0
	t.Client.Hear(heard)
}

// NextQuery begins the client's next question.
func (t *Stream) NextQuery() { t.eager = false }

// Started tells whether the client has heard anything.
func (t *Stream) Started() bool { return t.started }

// Detach says that the connection carries it no more.
func (t *Stream) Detach() {
	if t.carrier == nil {
		return
	}
	t.Fault = t.Failure()
	t.carrier, t.heard, t.kept = nil, nil, 0
}
