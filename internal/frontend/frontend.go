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
	ahead   = 256  // messages that a session may send ahead
	surplus = 4096 // queries beyond them that are rejected one by one, before the session ends
	pause   = time.Duration(syscallerror.RetryPauseMs * float64(time.Millisecond))
	hurry   = 2000.   // ms within which a session must ask its first, and send the rest of a message
	idling  = 10e3    // ms that a session may then rest between two queries
	looks   = 100.0   // ms between two looks at them
	penance = 100.0   // ms that a session rests after a mistake, lest it makes the next at once
	grace   = 100.0   // ms for which a newcomer is spared
	spare   = 16      // connections over the limit, while they are told that there is no room
	stalled = 5000.   // ms for which a client may leave an answer unread
	unread  = 1 << 16 // bytes that a client may leave unread before its next query is looked at
)

// Frontend holds all sessions.
type Frontend struct {
	host     *eventloop.Driver
	most     int // sessions
	budget   int // bytes of statements and parts of them
	longest  int // bytes of one message
	held     int
	sessions map[*session]bool
	rota     rota
	looking  bool          // a look is due in a moment
	room     chan struct{} // holds one for each connection accepted
	gate     *gate
	ending   int      // sessions whose connection ends, but has not ended yet
	pooling  *Pooling // nil: all have the platform's form
	keys     map[pg.CancelKey]*pooled
	ids      uint64  // requests without an id of their client's
	draining bool    // SIGTERM has come
	answerBy float64 // by when each request has its final answer then
	leaving  bool    // each session ends once nothing of it is left to answer
	left     float64 // since when

	// Statements over the budget; sessions and statements that broke the protocol; sessions that took too long to
	// ask, or found no room.
	Rejected, ProtocolErrors, TimedOut, NoSessionSlot int
}

// session is one client's connection: its messages are answered in order, one at a time.
type session struct {
	all   *Frontend
	conn  *eventloop.Conn
	p     *pooled // nil: the platform's form
	in    *pg.Reader
	queue []item
	txn   *request.Request
	size  int     // bytes of its statement
	since float64 // when it last became quiet
	until float64 // when it must have asked, or sent the rest of a message, or is sent away for idling
	asked bool    // it has sent a whole query
	rests bool    // after a mistake
	deaf  bool    // takes no more input
	ends  bool    // and its connection is ending
	spent int     // messages answered since the last look
	moved float64 // when the client last read something, or had nothing to read
	skips bool    // an error of the extended protocol: all up to Sync is passed over

	place         place
	written       int64
	held, partial int // bytes of statements, and of the one that is not whole yet, which is among them
}

type item struct {
	pg.Message
	at    float64   // when its last byte came: its client's time runs while it waits for its turn
	fail  *pg.Error // to be answered instead
	more  int       // so many more are answered the same
	fatal bool
}

var (
	crowded   = &pg.Error{Code: pg.TooManyConnections, Text: "too many statements at once"}
	noRoom    = &pg.Error{Code: pg.TooManyConnections, Text: "too many connections"}
	sentAhead = &pg.Error{Code: pg.ProgramLimitExceeded, Text: "too much sent ahead"}
	late      = &pg.Error{Code: pg.IdleSessionTimeout, Text: "a whole query took too long to come"}
)

// New makes room for so many sessions, which together hold so many bytes of statements, none longer than longest.
func New(h *eventloop.Driver, most, budget, longest int) *Frontend {
	a := &Frontend{host: h, most: most, budget: budget, longest: longest, sessions: map[*session]bool{},
		rota: rota{awake: map[*session]bool{}}, keys: map[pg.CancelKey]*pooled{}, room: make(chan struct{}, most+spare)}
	return a
}

// Accept takes a connection in.
func (a *Frontend) Accept(c *eventloop.Conn) {
	now := a.host.Now()
	s := &session{all: a, conn: c, in: pg.NewReader(false, a.longest), since: now, moved: now, until: now + hurry}
	c.Handle(s)
	a.sessions[s] = true
	a.rota.enter(s)
	a.lookSoon()
	if a.gate != nil {
		a.gate.taken++
		a.gate.open()
	}
	a.makeRoom()
	if len(a.sessions)-a.ending > a.most && !s.ends && !c.Unread() {
		a.NoSessionSlot++
		s.refuse(noRoom)
	}
}

// makeRoom ends a session if no other could come in: one that has had time to ask and did not, else the one that has
// been quiet longest, else a newcomer. Guards against crowds that connect and say nothing: they push out each other
// before anyone else.
func (a *Frontend) makeRoom() {
	for len(a.sessions)-a.ending >= a.most {
		if first := a.first(a.host.Now()); first == nil || first.retire() { // others may be waiting
			return
		}
	}
}

// idle tells that the session can end without taking an answer away.
func (s *session) idle() bool {
	return !s.ends && s.p == nil && s.answered() && s.conn.Sent() && (!s.asked || s.in.Buffered() == 0)
}

// retire ends a session of which nothing is owed, unless something of its client's has come meanwhile. One that may have
// an answer on its way ends in order: its client sees the end behind the answer, and what crosses it, as not taken.
func (s *session) retire() bool {
	ended := false
	if s.asked {
		ended = s.conn.FinishIfQuiescent()
	} else {
		ended = s.conn.DropIfQuiescent()
	}
	if ended {
		s.end()
	}
	return ended
}

// end counts a session whose connection is ending. Nothing more is taken from it.
func (s *session) end() {
	if s.deaf = true; !s.ends {
		s.ends = true
		s.all.ending++
	}
}

// drop ends the session at once.
func (s *session) drop() {
	s.end()
	s.conn.Drop()
}

// look ends sessions that have taken too long, whatever they wait for but an answer, and of those that rest all but the
// latest third of what there is room for. Guards against connections that are never used, statements that never end,
// answers that are never read, and clients that hold connections which they don't use again until none is left to them.
func (a *Frontend) look() {
	a.looking = false
	if a.lookOnce(); a.leaving || len(a.rota.awake)+a.rota.resting.Len() > 0 {
		a.lookSoon()
	}
}

// lookSoon has the next look come, where one is needed. A router whose sessions all sleep wakes for none.
func (a *Frontend) lookSoon() {
	if !a.looking {
		a.looking = true
		a.host.After(looks, a.look)
	}
}

func (a *Frontend) lookOnce() {
	now := a.host.Now()
	for s := range a.rota.awake {
		a.rota.looked++
		if s.spent = 0; s.p != nil || len(s.queue) > 0 {
			s.next()
		}
		if written := s.conn.Written(); s.conn.Unsent() == 0 || written != s.written {
			s.written, s.moved = written, now
		}
		switch {
		case s.ends:
		case now > s.moved+stalled:
			s.drop()
		case !s.deaf && s.unfinished() && now > s.until && !s.conn.Unread():
			a.TimedOut++
			s.refuse(late)
		}
		a.rota.lull(s)
	}
	a.retireLongest(now, a.most/3)
	if a.leaving {
		a.sweep()
	}
}

// SessionCounts tells how many there are, and how many of them wait for an answer.
func (a *Frontend) SessionCounts() (all, busy int) {
	for s := range a.sessions {
		if s.txn != nil || s.p != nil && s.p.txn != nil {
			busy++
		}
	}
	return len(a.sessions), busy
}

// answered tells that nothing whole that has come is without its answer, and quiet that nothing else has come either.
func (s *session) answered() bool {
	return s.txn == nil && len(s.queue) == 0 && (s.p == nil || s.p.quiet())
}
func (s *session) quiet() bool { return s.answered() && s.in.Buffered() == 0 }

// unfinished tells that nothing whole that has come is without its answer, and that the session waits for its client to ask, or for
// the rest of what it asks.
func (s *session) unfinished() bool {
	if s.p != nil {
		return s.p.unfinished()
	}
	return s.answered() && (!s.asked || s.in.Buffered() > 0)
}

func (s *session) finish() {
	s.end()
	s.conn.Finish()
}

// refuse ends the session with an error.
func (s *session) refuse(e *pg.Error) {
	if s.p != nil {
		s.p.leave()
	}
	s.conn.Write(pg.AppendError(nil, e, true))
	s.finish()
}

// Closed says that the client has gone away.
func (s *session) Closed() {
	s.deaf, s.queue = true, nil
	if s.p != nil {
		s.p.leave()
	}
	if s.txn != nil {
		s.all.host.ClientGone(s.txn)
		s.txn = nil
	}
	if s.ends {
		s.all.ending--
	}
	s.all.held -= s.held
	delete(s.all.sessions, s)
	s.all.rota.leave(s)
	<-s.all.room
	failpoint.Hit("clients.closed")
	s.all.last()
}

// Data takes bytes in.
func (s *session) Data(b []byte) {
	if s.deaf {
		failpoint.Hit("clients.ignored")
		return
	}
	s.all.rota.wake(s, s.all.host.Now())
	s.all.lookSoon()
	if s.asked && (s.in.Buffered() == 0 || s.p != nil) {
		s.until = s.all.host.Now() + hurry
	}
	s.in.Feed(b)
	for !s.deaf {
		m, ok, err := s.in.Next()
		var broken *pg.Error
		if errors.As(err, &broken) { // framing is lost
			s.deaf = true
			s.queue = append(s.queue, item{fail: broken, fatal: true})
		} else if !ok {
			s.hold(s.in.Buffered() - s.partial)
			s.partial = s.in.Buffered()
			if s.partial == 0 || !s.all.overfull(s.held) {
				return
			}
			s.deaf = true
			s.queue = append(s.queue, item{fail: crowded, fatal: true})
		} else {
			s.message(m)
			if s.asked { // what comes behind it has its own time
				s.until = s.all.host.Now() + hurry
			}
		}
		s.next()
	}
}

func (s *session) message(m pg.Message) {
	if m.Kind == pg.Query {
		failpoint.Hit("clients.query")
	}
	switch {
	case m.Kind == pg.SSLRequest:
		s.conn.Write([]byte("N"))
	case m.Kind == pg.CancelRequest:
		s.all.cancel(m.Key)
		s.finish()
	case s.p != nil:
		s.p.take(m)
	case m.Kind == pg.Startup && s.all.pooling != nil && !s.all.platform(m):
		s.enter(m)
	case m.Kind == pg.Startup:
		s.conn.Write(pg.AppendGreeting(nil, m.MinorVersion))
	case m.Kind == pg.Query && (len(s.queue) >= ahead || s.all.held+len(m.Text) > s.all.budget):
		s.decline()
	case len(s.queue) >= ahead: // of what is not looked at yet
		s.overrun()
	default:
		s.asked = s.asked || m.Kind == pg.Query
		s.hold(len(m.Text))
		s.queue = append(s.queue, item{Message: m, at: s.all.host.Now()})
	}
}

// rejection has one more query rejected at its turn. Guards against answers that are lost with the session's end: its client may have
// meant all of them, and waits for each.
func (s *session) decline() {
	s.all.Rejected++
	if last := len(s.queue) - 1; last < 0 || s.queue[last].fail != crowded {
		s.queue = append(s.queue, item{fail: crowded})
	} else if s.queue[last].more < surplus {
		s.queue[last].more++
	} else {
		s.overrun()
	}
}

// overrun ends the session behind the answers to what came before.
func (s *session) overrun() {
	s.deaf = true
	s.queue = append(s.queue, item{fail: sentAhead, fatal: true})
}

// overfull tells whether all sessions hold too much, and one that holds so much has a part in that. Guards against big statements
// of some that end the sessions of all others.
func (a *Frontend) overfull(own int) bool {
	return a.held > 2*a.budget && own > a.budget/a.most
}

// hold counts bytes that the session holds.
func (s *session) hold(n int) {
	s.held += n
	s.all.held += n
}

// next answers what can be answered at once, up to the first request.
func (s *session) next() {
	if s.p != nil {
		s.p.next()
		return
	}
	for s.txn == nil && len(s.queue) > 0 && !s.ends && !s.rests && s.spent < ahead && s.conn.Unsent() < unread {
		i := s.pop()
		// Guards against floods. A client that waits for each answer is none, however fast it asks.
		if s.answer(i); s.txn == nil || len(s.queue) > 0 {
			s.spent++
		}
	}
	if s.deaf || !s.answered() {
		return
	}
	if s.quiet() {
		s.since = s.all.host.Now()
		if s.all.leaving {
			s.leave()
		} else {
			s.all.makeRoom()
		}
	}
}

// pop takes the first of what waits.
func (s *session) pop() item {
	i := s.queue[0]
	if i.more > 0 {
		s.queue[0].more--
	} else {
		s.queue = s.queue[1:]
	}
	return i
}

func (s *session) answer(i item) {
	switch {
	case i.fatal:
		s.all.ProtocolErrors++
		s.refuse(i.fail)
	case i.Kind == pg.Sync:
		s.skips = false
		s.conn.Write(pg.AppendReadyIdle(nil))
	case s.skips && i.fail == nil:
		s.hold(-len(i.Text))
	case i.fail != nil:
		s.fail(i.fail)
	case i.Kind == pg.Terminate:
		s.finish()
	case i.Kind == pg.ExtendedQuery:
		s.skips = true
		s.all.ProtocolErrors++
		s.conn.Write(pg.AppendError(nil, &pg.Error{Code: pg.FeatureNotSupported, Text: "simple queries only"}, false))
	case i.Kind == pg.FunctionCall:
		s.fail(&pg.Error{Code: pg.FeatureNotSupported, Text: "simple queries only"})
	case strings.TrimSpace(strings.TrimRight(i.Text, "; \t\r\n")) == "":
		s.hold(-len(i.Text))
		s.conn.Write(pg.AppendReadyIdle(pg.AppendEmptyQuery(nil)))
	default:
		s.take(i.Text, i.at)
	}
}

func (s *session) fail(e *pg.Error) {
	s.conn.Write(pg.AppendReadyIdle(pg.AppendError(nil, e, false)))
}

// take hands a request over.
func (s *session) take(text string, at float64) {
	t, err := s.arrive(text, at)
	var bad *pg.Error
	switch {
	case err == nil:
		s.txn, s.size = t, len(text)
		return
	case errors.As(err, &bad):
	case errors.Is(err, eventloop.ErrDuplicateID):
		bad = &pg.Error{Code: pg.DuplicateObject, Text: err.Error()}
	default:
		bad = &pg.Error{Code: pg.InvalidParameterValue, Text: err.Error()}
	}
	s.hold(-len(text))
	s.mistake(bad)
}

// mistake tells a client what is wrong with its statement, and lets its session rest. Guards against clients that make
// the same mistake again as soon as they hear of it.
func (s *session) mistake(e *pg.Error) {
	s.all.ProtocolErrors++
	s.fail(e)
	if s.rests = !s.deaf; s.rests {
		s.all.host.After(penance, func() {
			s.rests = false
			s.next()
		})
	}
}

func (s *session) arrive(text string, at float64) (*request.Request, error) {
	st, err := pg.ParseStatement(text)
	if err != nil {
		return nil, err
	}
	t := request.New(st, at, func(a request.Response) { s.deliver(a, len(text)) })
	t.ClientClosed = s.conn.PeerClosed
	s.all.limitWait(t)
	return t, s.all.host.Arrive(t)
}

// deliver writes the final answer. What comes next waits its turn, since decisions are just being pulled.
func (s *session) deliver(a request.Response, size int) {
	s.txn = nil
	s.hold(-size)
	switch {
	case a.Rows != nil:
		s.conn.Write(pg.AppendReadyIdle(a.Rows))
	case a.Rejected:
		e := &pg.Error{Code: pg.TooManyConnections, Text: "declined, a retry does no harm"}
		if a.RetryAfter > 0 {
			e.Detail = strconv.Itoa(int(a.RetryAfter))
		}
		s.fail(e)
	case a.StatementError != nil:
		s.mistake(a.StatementError)
	default:
		s.fail(&pg.Error{Code: pg.TransactionResolutionUnknown, Text: "rolled back, it may have taken effect"})
	}
	s.all.host.Defer(s.next)
}
