// Package clients serves the clients' side: it owns the sessions, the order of their queries and the drain. It must
// never know a member, and never give a txn an answer that no member and no decision made.
package clients

import (
	"errors"
	"net"
	"strconv"
	"strings"
	"time"

	"wayloft/internal/exchange"
	"wayloft/internal/host"
	"wayloft/internal/pg"
)

const (
	longest = 160 << 10 // bytes of one message: a value of 64 KiB in hexadecimal, and room for the rest
	ahead   = 256       // messages that a session may send ahead
	pause   = 20 * time.Millisecond
	comers  = 600.0 // ms after SIGTERM until no new connection or request comes (PROTOCOL: 400 at most)
)

// Clients holds all sessions.
type Clients struct {
	host     *host.Host
	most     int // sessions
	budget   int // bytes of statements and parts of them
	held     int
	sessions map[*session]bool
	room     chan struct{} // holds one for each connection accepted
	leaving  bool          // each session ends once nothing of it is left to answer

	Refused, Bad int // statements over the budget; sessions and statements that broke the protocol
}

// session is one client's connection: its messages are answered in order, one at a time.
type session struct {
	all   *Clients
	conn  *host.Conn
	in    *pg.Reader
	queue []item
	txn   *exchange.Txn
	since float64 // when it last became quiet
	deaf  bool    // takes no more input
	skips bool    // an error of the extended protocol: all up to Sync is passed over

	held, partial int // bytes of statements, and of the one that is not whole yet, which is among them
}

type item struct {
	pg.Message
	fail  *pg.Error // to be answered instead
	fatal bool
}

var crowded = &pg.Error{Code: pg.Refused, Text: "too many statements at once"}

// New makes room for so many sessions, which together hold so many bytes of statements.
func New(h *host.Host, most, budget int) *Clients {
	return &Clients{host: h, most: most, budget: budget, sessions: map[*session]bool{},
		room: make(chan struct{}, most)}
}

// Gate makes a listener leave connections with the system while there is no room.
func (a *Clients) Gate(l net.Listener) net.Listener { return gate{l, a.room} }

type gate struct {
	net.Listener
	room chan struct{}
}

func (g gate) Accept() (net.Conn, error) {
	g.room <- struct{}{}
	c, err := g.Listener.Accept()
	if err != nil {
		<-g.room
		if !errors.Is(err, net.ErrClosed) {
			time.Sleep(pause) // the poller asks again at once, and a descriptor may come free
		}
	}
	return c, err
}

// Accept takes a connection in.
func (a *Clients) Accept(c *host.Conn) {
	s := &session{all: a, conn: c, in: pg.NewReader(false, longest), since: a.host.Now()}
	c.Handle(s)
	a.sessions[s] = true
	a.makeRoom()
}

// makeRoom ends the session that has been quiet longest if no other could come in.
func (a *Clients) makeRoom() {
	if len(a.sessions) < a.most {
		return
	}
	var oldest *session
	for s := range a.sessions {
		if s.quiet() && !s.deaf && (oldest == nil || s.since < oldest.since) && !s.conn.Unread() {
			oldest = s
		}
	}
	if oldest != nil { // at once: others may be waiting
		oldest.deaf = true
		oldest.conn.Drop()
	}
}

// Drain serves on while connections may come, then ends each session once it is quiet, and the loop after the last.
func (a *Clients) Drain() { a.host.After(comers, a.sweep) }

// sweep ends what is quiet; from the second time on also what has not sent its query to the end, and never will.
func (a *Clients) sweep() {
	for s := range a.sessions {
		if (s.quiet() || a.leaving && s.txn == nil && len(s.queue) == 0) && !s.conn.Unread() {
			s.finish()
		}
	}
	a.leaving = true
	a.left()
	a.host.After(comers, a.sweep)
}

func (a *Clients) left() {
	if a.leaving && len(a.sessions) == 0 {
		a.host.End()
	}
}

// Sessions tells how many there are, and how many of them wait for an answer.
func (a *Clients) Sessions() (all, busy int) {
	for s := range a.sessions {
		if s.txn != nil {
			busy++
		}
	}
	return len(a.sessions), busy
}

// quiet tells that all that has come is answered.
func (s *session) quiet() bool { return s.txn == nil && len(s.queue) == 0 && s.in.Pending() == 0 }

func (s *session) finish() {
	s.deaf = true
	s.conn.Finish()
}

// Closed says that the client has gone away.
func (s *session) Closed() {
	if s.txn != nil {
		s.all.host.Gone(s.txn)
	}
	s.all.held -= s.held
	delete(s.all.sessions, s)
	<-s.all.room
	s.all.left()
}

// Data takes bytes in.
func (s *session) Data(b []byte) {
	if s.deaf {
		return
	}
	s.in.Feed(b)
	for !s.deaf {
		m, ok, err := s.in.Next()
		var broken *pg.Error
		if errors.As(err, &broken) { // framing is lost
			s.deaf = true
			s.queue = append(s.queue, item{fail: broken, fatal: true})
		} else if !ok {
			s.hold(s.in.Pending() - s.partial)
			s.partial = s.in.Pending()
			if s.all.held <= 2*s.all.budget || s.partial == 0 {
				return
			}
			s.deaf = true
			s.queue = append(s.queue, item{fail: crowded, fatal: true})
		} else {
			s.message(m)
		}
		s.next()
	}
}

func (s *session) message(m pg.Message) {
	switch {
	case m.Kind == pg.AskTLS:
		s.conn.Write([]byte("N"))
	case m.Kind == pg.Cancel:
		s.finish()
	case m.Kind == pg.Startup:
		s.conn.Write(pg.AppendGreeting(nil, m.Minor))
	case len(s.queue) >= ahead:
		s.deaf = true
		s.queue = append(s.queue, item{fail: &pg.Error{Code: pg.TooLong, Text: "too much sent ahead"}, fatal: true})
	case m.Kind == pg.Query && s.all.held+len(m.Text) > s.all.budget:
		s.all.Refused++
		s.queue = append(s.queue, item{fail: crowded})
	default:
		s.hold(len(m.Text))
		s.queue = append(s.queue, item{Message: m})
	}
}

// hold counts bytes that the session holds.
func (s *session) hold(n int) {
	s.held += n
	s.all.held += n
}

// next answers what can be answered at once, up to the first txn.
func (s *session) next() {
	for s.txn == nil && len(s.queue) > 0 {
		i := s.queue[0]
		s.queue = s.queue[1:]
		s.answer(i)
	}
	if s.quiet() {
		s.since = s.all.host.Now()
		if s.all.leaving && !s.deaf && !s.conn.Unread() {
			s.finish()
		} else {
			s.all.makeRoom()
		}
	}
}

func (s *session) answer(i item) {
	switch {
	case i.fatal:
		s.all.Bad++
		s.conn.Write(pg.AppendError(nil, i.fail, true))
		s.finish()
	case i.Kind == pg.Sync:
		s.skips = false
		s.conn.Write(pg.AppendReady(nil))
	case s.skips && i.fail == nil:
		s.hold(-len(i.Text))
	case i.fail != nil:
		s.fail(i.fail)
	case i.Kind == pg.Terminate:
		s.finish()
	case i.Kind == pg.Extended:
		s.skips = true
		s.all.Bad++
		s.conn.Write(pg.AppendError(nil, &pg.Error{Code: pg.Unsupported, Text: "simple queries only"}, false))
	case i.Kind == pg.Function:
		s.fail(&pg.Error{Code: pg.Unsupported, Text: "simple queries only"})
	case strings.TrimSpace(strings.TrimRight(i.Text, "; \t\r\n")) == "":
		s.hold(-len(i.Text))
		s.conn.Write(pg.AppendReady(pg.AppendEmpty(nil)))
	default:
		s.take(i.Text)
	}
}

func (s *session) fail(e *pg.Error) {
	s.conn.Write(pg.AppendReady(pg.AppendError(nil, e, false)))
}

// take hands a txn over.
func (s *session) take(text string) {
	t, err := s.arrive(text)
	var bad *pg.Error
	switch {
	case err == nil:
		s.txn = t
		return
	case errors.As(err, &bad):
	case errors.Is(err, host.ErrID):
		bad = &pg.Error{Code: pg.Taken, Text: err.Error()}
	default:
		bad = &pg.Error{Code: pg.Invalid, Text: err.Error()}
	}
	s.all.Bad++
	s.hold(-len(text))
	s.fail(bad)
}

func (s *session) arrive(text string) (*exchange.Txn, error) {
	st, err := pg.ParseStatement(text)
	if err != nil {
		return nil, err
	}
	t := exchange.New(st, s.all.host.Now(), func(a exchange.Answer) { s.deliver(a, len(text)) })
	return t, s.all.host.Arrive(t)
}

// deliver writes the final answer. What comes next waits its turn, since decisions are just being pulled.
func (s *session) deliver(a exchange.Answer, size int) {
	s.txn = nil
	s.hold(-size)
	switch {
	case a.Committed != nil:
		s.conn.Write(pg.AppendReady(a.Committed))
	case a.Declined:
		e := &pg.Error{Code: pg.Refused, Text: "declined, a retry does no harm"}
		if a.Wait > 0 {
			e.Detail = strconv.Itoa(int(a.Wait))
		}
		s.fail(e)
	default:
		s.fail(&pg.Error{Code: pg.Unresolved, Text: "rolled back, it may have taken effect"})
	}
	s.all.host.Soon(s.next)
}
