// Package backend serves the members' side: it owns the sockets to each member, the attempts and checks that travel
// on them, and their time-outs; which connection, and when one opens or closes, decide/connpool says. It must never know a
// client, send what was not decided, or call something never run that may have.
package backend

import (
	"errors"
	"math"
	"strconv"
	"strings"
	"time"

	iradix "github.com/hashicorp/go-immutable-radix/v2"

	"wayloft/internal/decide/connpool"
	"wayloft/internal/decide/syscallerror"
	"wayloft/internal/discovery"
	"wayloft/internal/eventloop"
	"wayloft/internal/failpoint"
	"wayloft/internal/invariant"
	"wayloft/internal/pg"
	"wayloft/internal/request"
	"wayloft/router"
)

// Platform and Cancels are the pools that are always there: of statements with comments, and checks; of cancels.
const Platform, Cancels = "platform", "cancels"

// Login is who a pool's connections are for.
type Login struct{ User, Database string }

// Limits are the platform's.
type Limits struct {
	DialTimeout float64 // ms, until a connection is up, and for a check
	Reports     bool    // a check asks for a report
	Longest     int     // bytes of one answer
	Budget      int     // bytes that all answers may hold that are not whole yet
	Queue       bool    // statements wait for a connection where there are fewer than clients
	Keep        bool    // members that are gone may still be used
	Statements  int     // prepared statements that a connection keeps
	Logins      map[string]Login
	Writes      map[string]bool // request classes that need the primary
}

// Driver is what runs the loop, and hears how attempts and checks end.
type Driver interface {
	Now() float64
	Clock() float64
	RecordPosition(member string, role router.Role, position, sent float64)
	Possible(position float64) bool
	Forget(member string)
	After(ms float64, f func()) *time.Timer
	TurnChanged(t *request.Request, seq int, rests bool)
	ClientGone(t *request.Request)
	Defer(f func())
	Dial(addr string, ms float64, done func(*eventloop.Conn, error))
	AttemptEnded(t *request.Request, seq int, member string, how router.Outcome, took float64, role router.Role,
		gtid float64, rows []byte)
	StatementFailed(t *request.Request, seq int, member string, e *pg.Error)
	HealthChecked(member string, how router.Outcome)
	Reported(member string, role router.Role, gtid float64)
}

// Backend holds all connections.
type Backend struct {
	host    Driver
	limits  Limits
	pool    *connpool.Pool
	byID    map[string]*member
	links   map[int]*link                   // by the pool's numbers; those that are dialled have none yet
	jobs    map[string]*job                 // the attempt that is out for a request
	wants   map[string]*job                 // who waits for a connection, by the pool's ids
	known   map[string]*iradix.Tree[string] // what members of a pool report, as it was heard last
	asked   int                             // wants so far
	pulling bool                            // decisions are being pulled
	armed   float64                         // when the pool may decide something by itself; the timer then rings
	alarm   *time.Timer

	Unsent int // attempts and checks for which no connection was left
	held   int // bytes
	Unheld int // answers given up since together they held too much
	Spoilt int // connections that ended since what came on them can't be an answer
	Late   int // attempts that waited for a connection for as long as their pool lets them
	Idle   int // transactions whose clients kept a connection and asked nothing
}

type member struct {
	id, addr string
	barred   bool
	started  float64
}

// job is one attempt, check or cancel.
type job struct {
	txn    *request.Request // nil: a check
	key    *pg.Key          // of what is to be cancelled
	seq    int
	to     *member
	at     float64
	until  float64
	by     float64 // not written after this
	sent   float64 // when its query was written, or had begun to be
	worked float64 // ms that the member has had to answer, where the client has turns too
	turned float64 // since when it is the member's turn; 0: it is not
	timer  *time.Timer
	want   string
	link   *link // nil while it waits for one
	over   bool
	rests  bool // the module knows that it waits for a connection
}

// link is one connection to a member; one job at a time travels on it.
type link struct {
	all   *Backend
	id    int // the pool's
	login string
	to    *member
	conn  *eventloop.Conn
	in    *pg.Reader
	job   *job
	ready bool // it is let in
	asked bool // the job's query has been written
	fence int  // an empty query went first: 2 until its answer, 1 until the readiness after it

	rows  []byte // what came of the answer
	stage int    // how far the answer has come
	cell  []byte
	err   *pg.Error
	role  router.Role
	gtid  float64
	vital string
	held  int
	heard int // bytes that have come since its last job began

	*talk // of pools whose requests take more than one question
}

// New makes the side.
func New(h Driver, l Limits, p *connpool.Pool) *Backend {
	m := &Backend{host: h, limits: l, pool: p, byID: map[string]*member{}, links: map[int]*link{}, jobs: map[string]*job{},
		wants: map[string]*job{}, known: map[string]*iradix.Tree[string]{}, armed: math.Inf(1)}
	h.Defer(m.pull)
	return m
}

// List takes a list in, whole or of changes. Attempts that are out go on; unsent ones to a member that drains or
// is gone end, since what was decided before the list told so must not go out long after.
func (a *Backend) List(l *discovery.List) {
	here := map[string]bool{}
	for _, e := range l.Entries {
		here[e.ID] = e.State != router.Removed
		m := a.byID[e.ID]
		if m == nil {
			m = &member{id: e.ID}
			a.byID[e.ID] = m
		} else if m.addr != e.Addr || m.started != e.Started {
			a.hear().Renew(e.ID)
		}
		m.addr, m.started, m.barred = e.Addr, e.Started, e.State != router.Up
		a.hear().Listed(e.ID, !m.barred)
	}
	for id, m := range a.byID {
		listed, told := here[id]
		gone := !listed && (told || l.Whole)
		if m.barred = m.barred || gone; gone {
			a.hear().Listed(id, a.limits.Keep)
		}
		if gone && !a.limits.Keep { // what is out to it keeps it until it is back
			delete(a.byID, id)
			a.host.Forget(id)
		}
	}
	for _, j := range a.jobs {
		if j.to.barred && (j.link == nil || !j.link.asked) {
			a.host.Defer(func() { a.end(j, router.NotSent) })
		}
	}
	for _, l := range a.links {
		if l.to.barred && l.talk != nil && l.keeper != nil {
			l.goingDown()
		}
	}
	a.host.Defer(a.pull)
}

// Connections tells how many connections there are, or are being made; Waiting, how many jobs wait for one.
func (a *Backend) Connections() int { return a.pool.Open() }
func (a *Backend) Waiting() int     { return a.pool.Waiting() }

// CloseIdle closes the idle connections to a member.
func (a *Backend) CloseIdle(id string) {
	a.hear().CloseIdle(id)
	a.host.Defer(a.pull)
}

// hear gives the pool to be told something.
func (a *Backend) hear() *connpool.Pool {
	a.pool.Advance(a.host.Now())
	a.arm(a.pool.Sweep())
	return a.pool
}

// arm has decisions pulled at a time, unless they are sooner.
func (a *Backend) arm(at float64) {
	if at >= a.armed {
		return
	}
	if a.alarm != nil {
		a.alarm.Stop()
	}
	a.armed = at
	a.alarm = a.host.After(at-a.host.Now(), func() {
		if a.armed == at { // one that is stopped late may still ring
			a.armed = math.Inf(1)
			a.pull()
		}
	})
}

// pull carries out what the pool decides, until it has nothing left.
func (a *Backend) pull() {
	if a.pulling {
		return
	}
	a.pulling = true
	a.pool.Advance(a.host.Now())
	for d, more := a.pool.Next(); more; d, more = a.pool.Next() {
		a.do(d)
	}
	a.pulling = false
	a.arm(a.pool.NextDeadline())
}

func (a *Backend) do(d connpool.Decision) {
	l, j := a.links[d.Conn], a.wants[d.Want]
	switch d.Action {
	case connpool.Open:
		a.open(d)
	case connpool.Use:
		delete(a.wants, d.Want)
		invariant.Check(l != nil && j != nil && !j.over, "a connection is given to who waits for it")
		if l == nil || j == nil {
			a.pool.Gone(d.Conn)
			return
		}
		if l.conn.Unread() { // its end, or what doesn't belong there: a query would meet a reset
			l.drop()
			a.want(j)
			return
		}
		if l.fence = 0; d.Fresh && l.talk == nil {
			l.fence = 2
		}
		if !l.take(j) {
			l.fence = 0
			a.hear().Free(d.Conn, l.like())
		}
	case connpool.Close:
		if l != nil {
			l.conn.Close()
			l.forget()
		}
	case connpool.Refuse:
		delete(a.wants, d.Want)
		if j == nil {
			return
		}
		how := router.NotSent
		switch d.Reason {
		case connpool.NoRoom:
			if a.Unsent++; j.to.barred {
				a.Unsent--
			}
		case connpool.Late:
			a.Late++
		case connpool.Unconnected:
			how = router.ConnectFailed
		}
		a.host.Defer(func() { a.end(j, how) })
	case connpool.End:
		if l != nil && l.job != nil && l.talk != nil {
			a.Idle++
			a.host.Defer(func() { l.end(pg.IdleInside, "a transaction was left open and idle for too long") })
		}
	}
}

// SendAttempt sends a request to a member, with its own time-out if wait is more than 0; it is not written after by.
func (a *Backend) SendAttempt(t *request.Request, seq int, id string, wait, by float64) {
	j := &job{txn: t, seq: seq, at: a.host.Now(), until: t.Deadline, by: by}
	if wait > 0 {
		j.until = min(j.until, j.at+wait)
	}
	a.jobs[t.ID] = j
	a.begin(j, id)
}

// HealthCheck asks a member how it is.
func (a *Backend) HealthCheck(id string) {
	now := a.host.Now()
	a.begin(&job{at: now, until: now + a.limits.DialTimeout, by: math.Inf(1)}, id)
}

// CancelAttempt gives an attempt up.
func (a *Backend) CancelAttempt(txn string, seq int) {
	if j := a.jobs[txn]; j != nil && j.seq == seq {
		a.host.Defer(func() { a.end(j, router.Canceled) })
	}
}

// Abandon gives an attempt up whose client has gone, unless it may run already. A talk ends by its own way.
func (a *Backend) Abandon(txn string) {
	if j := a.jobs[txn]; j != nil && j.txn.Stream == nil && (j.link == nil || !j.link.sent()) {
		a.end(j, router.Canceled)
	}
}

func (a *Backend) begin(j *job, id string) {
	m := a.byID[id]
	invariant.Check(m != nil, "submissions and checks go to listed members")
	if m == nil || j.until <= j.at {
		j.to = &member{id: id}
		a.host.Defer(func() { a.end(j, router.NotSent) })
		return
	}
	j.to = m
	j.timer = a.host.After(j.until-a.host.Clock(), func() { a.end(j, router.TimedOut) }) // the batch may be long
	if j.txn != nil && j.txn.Stream != nil {
		a.beginTalk(j)
		return
	}
	a.want(j)
	a.pull()
	if a.limits.Queue && j.txn != nil && j.link == nil && !j.over { // it is the pool's turn, not the member's
		a.host.Defer(func() { a.rests(j) })
	}
}

// rests tells the module that an attempt waits for a connection.
func (a *Backend) rests(j *job) {
	if j.link == nil && !j.over {
		j.rests = true
		a.host.TurnChanged(j.txn, j.seq, true)
	}
}

// want asks the pool for a connection.
func (a *Backend) want(j *job) {
	a.asked++
	j.want = strconv.Itoa(a.asked)
	a.wants[j.want] = j
	w := connpool.Request{ID: j.want, Key: connpool.Key{Member: j.to.id, Pool: Platform}}
	switch {
	case j.key != nil:
		w.Key.Pool = Cancels
	case j.txn != nil && j.txn.Stream != nil:
		w.Key.Pool, w.Tenant, w.Like = j.txn.Stream.Pool, j.txn.Tenant, j.txn.Stream.Client.Session().Settings().ID()
	}
	a.hear().Request(w)
}

// open makes a connection. It is up once the member has let it in; until then nothing has been asked.
func (a *Backend) open(d connpool.Decision) {
	m := a.byID[d.Key.Member]
	if m == nil {
		a.hear().Gone(d.Conn)
		return
	}
	at := a.host.Now()
	a.host.Dial(m.addr, a.limits.DialTimeout, func(c *eventloop.Conn, err error) {
		defer a.pull()
		if err != nil {
			a.hear().Failed(d.Conn, failure(err))
			return
		}
		l := &link{all: a, id: d.Conn, login: d.Key.Pool, to: m, conn: c, in: pg.NewReader(true, a.limits.Longest)}
		a.links[l.id] = l
		c.Handle(l)
		if d.Key.Pool == Cancels {
			l.ready = true
			a.hear().Opened(l.id)
			return
		}
		if d.Key.Pool != Platform {
			l.in.Widen()
			l.talk = newTalk(a.limits.Statements)
		}
		who := a.limits.Logins[d.Key.Pool]
		c.Write(pg.AppendStartup(nil, who.User, who.Database))
		a.host.After(at+a.limits.DialTimeout-a.host.Now(), func() {
			if !l.ready {
				l.refused(connpool.Down)
			}
		})
	})
}

// failure tells the pool why a dial failed: unless it is the member, its record stays clean.
func failure(err error) connpool.FailureCause {
	var dial *eventloop.DialError
	if errors.As(err, &dial) && dial.Cause() != syscallerror.Peer {
		return connpool.NoLocalResources
	}
	return connpool.Down
}

// refused ends a connection that has not come up.
func (l *link) refused(why connpool.FailureCause) {
	if l.all.links[l.id] == l {
		l.all.hear().Failed(l.id, why)
		l.conn.Close()
		l.forget()
		l.all.pull()
	}
}

// take writes the job's query, unless it is withheld; it tells whether it did.
func (l *link) take(j *job) bool {
	invariant.Check(j.txn == nil || j.txn.Stream != nil || !j.txn.Finished(), "nothing is sent for a client that has gone")
	if l.talk != nil && j.key == nil {
		l.heard = 0
		return l.carry(j)
	}
	out := l.query(j)
	if l.all.withheld(j) {
		return false
	}
	l.job, j.link, l.asked, l.heard = j, l, true, 0
	j.sent = l.all.host.Clock()
	l.rows, l.stage, l.cell, l.err, l.role, l.gtid, l.vital = nil, 0, nil, nil, router.RoleUnknown,
		router.Never, ""
	if j.rests {
		j.rests = false
		l.all.host.Defer(func() {
			if !j.over {
				l.all.host.TurnChanged(j.txn, j.seq, false)
			}
		})
	}
	l.conn.Write(out)
	return true
}

// drop closes the connection; a job on it must have been taken off it.
func (l *link) drop() {
	if l.all.links[l.id] == l {
		l.all.hear().Gone(l.id)
		l.conn.Close()
		l.forget()
		l.all.host.Defer(l.all.pull) // its place is free
	}
}

func (l *link) forget() {
	delete(l.all.links, l.id)
	l.all.held -= l.held
	l.held = 0
}

// Closed says that the connection has ended by itself.
func (l *link) Closed() {
	if !l.ready {
		l.refused(connpool.Down)
		return
	}
	if j := l.job; j != nil {
		l.all.end(j, l.broken())
	} else if l.talk != nil && l.keeper != nil {
		l.keeper.Terminate(&pg.Error{Code: pg.GoingDown, Text: "the connection that this session kept has ended"})
	}
	l.drop()
}

// broken tells what an end of the connection means for its job: it never ran if its last byte was not written, and
// a value or an error that came before the end is still an answer.
func (l *link) broken() router.Outcome {
	switch {
	case l.talk != nil && l.sent() && l.hidden == 0 && !l.quiet():
		return router.Reset
	case l.talk != nil: // it was its client's turn, or nothing but settings had gone
		return router.ConnectFailed
	case l.err != nil:
		return outcome(l.err.Code)
	case l.stage == whole:
		return router.Succeeded
	case l.sent():
		return router.Reset
	}
	return router.ConnectFailed
}

// sent tells whether the last byte of the job's query is written, so that it may run.
func (l *link) sent() bool { return l.asked && l.conn.Sent() }

// unsent tells that it is not, and never will be. Guards against the poller, which may be writing the rest just now: the
// connection is closed first and asked then, after which nothing more goes out.
func (l *link) unsent() bool {
	if l.sent() {
		return false
	}
	failpoint.Hit("members.unsent")
	l.conn.Close()
	return !l.sent()
}

// end gives a job its outcome, once. A connection whose answer is not through is closed before anyone hears of it.
func (a *Backend) end(j *job, how router.Outcome) {
	if j.over {
		return
	}
	j.over = true
	if j.timer != nil {
		j.timer.Stop()
	}
	if l := j.link; l == nil {
		a.hear().Cancel(j.want)
		delete(a.wants, j.want)
	}
	l := j.link
	if j.key != nil {
		if l != nil {
			l.drop()
		}
		return
	}
	if j.txn != nil && (how == router.TimedOut || how == router.Canceled) && (l == nil || l.unsent()) {
		how = router.NotSent // given up before it was written: that says nothing of the member
	}
	var rows, cell []byte
	var fault *pg.Error
	role, gtid, vital := router.RoleUnknown, router.Never, ""
	if l != nil && l.talk != nil {
		role, gtid = l.role, a.position(j, l.role, l.gtid)
		fault = l.settle(j, how)
	} else if l != nil {
		l.job, l.asked = nil, false
		if l.err != nil && l.err.OfStatement() {
			fault = l.err
		}
		if l.stage == through || how == router.Succeeded {
			rows, cell, role, vital = l.rows, l.cell, l.role, l.vital
			gtid = a.position(j, role, l.gtid)
		}
		if l.stage == through {
			l.rest()
		} else {
			l.drop()
		}
	}
	// DESIGN: the pool is cleared with the mark. Connections to what vanished stay open and silent otherwise.
	if how == router.Reset || how == router.ConnectFailed || how == router.TimedOut && j.txn == nil {
		a.CloseIdle(j.to.id)
	}
	if j.txn == nil {
		if read := a.reported(j, string(cell)); how == router.Succeeded && a.limits.Reports && !read {
			how = router.ServerError // it is there, and nothing is told
		}
		a.host.HealthChecked(j.to.id, how)
		return
	}
	invariant.Check(a.jobs[j.txn.ID] == j, "one submission of a txn at a time")
	delete(a.jobs, j.txn.ID)
	took := a.host.Now() - j.at
	if j.txn.Stream != nil {
		j.txn.Stream.OnClientGone(nil)
		took = j.worked
	}
	if how == router.ServerError && fault != nil {
		a.host.StatementFailed(j.txn, j.seq, j.to.id, fault)
		return
	}
	a.host.AttemptEnded(j.txn, j.seq, j.to.id, how, took, role, gtid, rows)
	a.reported(j, vital)
}

// rest keeps the connection for the next job.
func (l *link) rest() {
	if l.in.Pending() > 0 {
		l.drop()
		return
	}
	l.rows, l.cell = nil, nil
	l.in.Shrink()
	l.count()
	l.all.hear().Free(l.id, l.like())
	l.all.host.Defer(l.all.pull)
}

// like is what the connection was left as, for the pool.
func (l *link) like() any {
	if l.talk == nil {
		return nil
	}
	return l.has.ID()
}

// position takes in the position that came with an answer, and gives it back if the member can have it.
func (a *Backend) position(j *job, role router.Role, gtid float64) float64 {
	if gtid == router.Never {
		return gtid
	}
	a.heard(j, role, gtid)
	if !a.host.Possible(gtid) {
		return router.Never
	}
	return gtid
}

// heard has a position count for the estimate of the cluster's clock. Guards against an answer of a member that has gone
// meanwhile: nothing would drop what it told.
func (a *Backend) heard(j *job, role router.Role, position float64) {
	if a.byID[j.to.id] == j.to {
		a.host.RecordPosition(j.to.id, role, position, j.sent)
	}
}

// reported reads a report, name=value by commas: the position in seconds, and whether it is from a primary. One that
// can't be read as a whole tells nothing.
func (a *Backend) reported(j *job, vitals string) bool {
	role, at := router.Replica, 0.0
	for pair := range strings.SplitSeq(vitals, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(pair), "=")
		x, err := strconv.ParseFloat(value, 64)
		if err != nil || math.IsNaN(x) || math.IsInf(x, 0) {
			return false
		}
		switch {
		case name == "x0":
			at = x * 1000
		case name == "x1" && x >= 0.5:
			role = router.Primary
		}
	}
	if at <= 0 {
		return false
	}
	a.heard(j, role, at)
	if !a.host.Possible(at) {
		return false
	}
	a.host.Reported(j.to.id, role, at)
	return true
}
