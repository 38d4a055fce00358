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

// Platform and CancelPool are the pools that are always there: of statements with comments, and checks; of cancels.
const PlatformPool, CancelPool = "platform", "cancels"

// Login is who a pool's connections are for.
type Login struct{ User, Database string }

// Limits are the platform's.
type Limits struct {
	DialTimeout     float64 // ms, until a connection is up, and for a check
	HealthReports   bool    // a check asks for a report
	MaxResponse     int     // bytes of one answer
	ResponseBudget  int     // bytes that all answers may hold that are not whole yet
	QueueStatements bool    // statements wait for a connection where there are fewer than clients
	KeepRemoved     bool    // members that are gone may still be used
	MaxPrepared     int     // prepared statements that a connection keeps
	Logins          map[string]Login
	PrimaryClasses  map[string]bool // request classes that need the primary
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
	driver       Driver
	limits       Limits
	pool         *connpool.Pool
	members      map[string]*member
	conns        map[int]*memberConn             // by the pool's numbers; those that are dialled have none yet
	attempts     map[string]*job                 // the attempt that is out for a request
	waiting      map[string]*job                 // who waits for a connection, by the pool's ids
	parameters   map[string]*iradix.Tree[string] // what members of a pool report, as it was heard last
	poolRequests int                             // wants so far
	carryingOut  bool                            // decisions are being pulled
	timerAt      float64                         // when the pool may decide something by itself; the timer then rings
	timer        *time.Timer

	NoConnection     int // attempts and checks for which no connection was left
	buffered         int // bytes
	OverBudget       int // answers given up since together they held too much
	ProtocolErrors   int // connections that ended since what came on them can't be an answer
	QueueTimeouts    int // attempts that waited for a connection for as long as their pool lets them
	IdleTransactions int // transactions whose clients kept a connection and asked nothing
}

type member struct {
	id, addr    string
	unavailable bool
	started     float64
}

// job is one attempt, check or cancel.
type job struct {
	request         *request.Request // nil: a check
	cancelKey       *pg.Key          // of what is to be cancelled
	attempt         int
	member          *member
	started         float64
	deadline        float64
	notAfter        float64 // not written after this
	writtenAt       float64 // when its query was written, or had begun to be
	memberMs        float64 // ms that the member has had to answer, where the client has turns too
	memberTurnSince float64 // since when it is the member's turn; 0: it is not
	timer           *time.Timer
	poolRequest     string
	conn            *memberConn // nil while it waits for one
	ended           bool
	waitingReported bool // the module knows that it waits for a connection
}

// memberConn is one connection to a member; one job at a time travels on it.
type memberConn struct {
	backend      *Backend
	id           int // the pool's
	pool         string
	member       *member
	conn         *eventloop.Conn
	reader       *pg.Reader
	job          *job
	ready        bool // it is let in
	queryWritten bool // the job's query has been written
	fence        int  // an empty query went first: 2 until its answer, 1 until the readiness after it

	rows          []byte // what came of the answer
	stage         int    // how far the answer has come
	value         []byte
	queryError    *pg.Error
	role          router.Role
	position      float64
	report        string
	buffered      int
	receivedBytes int // bytes that have come since its last job began

	*streamState // of pools whose requests take more than one question
}

// New makes the side.
func New(h Driver, l Limits, p *connpool.Pool) *Backend {
	m := &Backend{driver: h, limits: l, pool: p, members: map[string]*member{}, conns: map[int]*memberConn{}, attempts: map[string]*job{},
		waiting: map[string]*job{}, parameters: map[string]*iradix.Tree[string]{}, timerAt: math.Inf(1)}
	h.Defer(m.carryOutDecisions)
	return m
}

// List takes a list in, whole or of changes. Attempts that are out go on; unsent ones to a member that drains or
// is gone end, since what was decided before the list told so must not go out long after.
func (a *Backend) List(l *discovery.List) {
	here := map[string]bool{}
	for _, e := range l.Entries {
		here[e.ID] = e.State != router.Removed
		m := a.members[e.ID]
		if m == nil {
			m = &member{id: e.ID}
			a.members[e.ID] = m
		} else if m.addr != e.Addr || m.started != e.Started {
			a.poolInput().Renew(e.ID)
		}
		m.addr, m.started, m.unavailable = e.Addr, e.Started, e.State != router.Up
		a.poolInput().Listed(e.ID, !m.unavailable)
	}
	for id, m := range a.members {
		listed, told := here[id]
		gone := !listed && (told || l.Whole)
		if m.unavailable = m.unavailable || gone; gone {
			a.poolInput().Listed(id, a.limits.KeepRemoved)
		}
		if gone && !a.limits.KeepRemoved { // what is out to it keeps it until it is back
			delete(a.members, id)
			a.driver.Forget(id)
		}
	}
	for _, j := range a.attempts {
		if j.member.unavailable && (j.conn == nil || !j.conn.queryWritten) {
			a.driver.Defer(func() { a.endJob(j, router.NotSent) })
		}
	}
	for _, l := range a.conns {
		if l.member.unavailable && l.streamState != nil && l.reservedFor != nil {
			l.terminateReserved()
		}
	}
	a.driver.Defer(a.carryOutDecisions)
}

// Connections tells how many connections there are, or are being made; Waiting, how many jobs wait for one.
func (a *Backend) Connections() int { return a.pool.Open() }
func (a *Backend) Waiting() int     { return a.pool.Waiting() }

// CloseIdle closes the idle connections to a member.
func (a *Backend) CloseIdle(id string) {
	a.poolInput().CloseIdle(id)
	a.driver.Defer(a.carryOutDecisions)
}

// poolInput gives the pool to be told something.
func (a *Backend) poolInput() *connpool.Pool {
	a.pool.Advance(a.driver.Now())
	a.setTimer(a.pool.Sweep())
	return a.pool
}

// setTimer has decisions pulled at a time, unless they are sooner.
func (a *Backend) setTimer(at float64) {
	if at >= a.timerAt {
		return
	}
	if a.timer != nil {
		a.timer.Stop()
	}
	a.timerAt = at
	a.timer = a.driver.After(at-a.driver.Now(), func() {
		if a.timerAt == at { // one that is stopped late may still ring
			a.timerAt = math.Inf(1)
			a.carryOutDecisions()
		}
	})
}

// carryOutDecisions carries out what the pool decides, until it has nothing left.
func (a *Backend) carryOutDecisions() {
	if a.carryingOut {
		return
	}
	a.carryingOut = true
	a.pool.Advance(a.driver.Now())
	for d, more := a.pool.Next(); more; d, more = a.pool.Next() {
		a.carryOut(d)
	}
	a.carryingOut = false
	a.setTimer(a.pool.NextDeadline())
}

func (a *Backend) carryOut(d connpool.Decision) {
	l, j := a.conns[d.Conn], a.waiting[d.Want]
	switch d.Action {
	case connpool.Open:
		a.dial(d)
	case connpool.Use:
		delete(a.waiting, d.Want)
		invariant.Check(l != nil && j != nil && !j.ended, "a connection is given to who waits for it")
		if l == nil || j == nil {
			a.pool.Gone(d.Conn)
			return
		}
		if l.conn.Unread() { // its end, or what doesn't belong there: a query would meet a reset
			l.drop()
			a.requestConn(j)
			return
		}
		if l.fence = 0; d.Fresh && l.streamState == nil {
			l.fence = 2
		}
		if !l.begin(j) {
			l.fence = 0
			a.poolInput().Free(d.Conn, l.settingsID())
		}
	case connpool.Close:
		if l != nil {
			l.conn.Close()
			l.forget()
		}
	case connpool.Refuse:
		delete(a.waiting, d.Want)
		if j == nil {
			return
		}
		how := router.NotSent
		switch d.Reason {
		case connpool.NoRoom:
			if a.NoConnection++; j.member.unavailable {
				a.NoConnection--
			}
		case connpool.Late:
			a.QueueTimeouts++
		case connpool.Unconnected:
			how = router.ConnectFailed
		}
		a.driver.Defer(func() { a.endJob(j, how) })
	case connpool.End:
		if l != nil && l.job != nil && l.streamState != nil {
			a.IdleTransactions++
			a.driver.Defer(func() { l.terminateClient(pg.IdleInside, "a transaction was left open and idle for too long") })
		}
	}
}

// SendAttempt sends a request to a member, with its own time-out if wait is more than 0; it is not written after by.
func (a *Backend) SendAttempt(t *request.Request, seq int, id string, wait, by float64) {
	j := &job{request: t, attempt: seq, started: a.driver.Now(), deadline: t.Deadline, notAfter: by}
	if wait > 0 {
		j.deadline = min(j.deadline, j.started+wait)
	}
	a.attempts[t.ID] = j
	a.start(j, id)
}

// HealthCheck asks a member how it is.
func (a *Backend) HealthCheck(id string) {
	now := a.driver.Now()
	a.start(&job{started: now, deadline: now + a.limits.DialTimeout, notAfter: math.Inf(1)}, id)
}

// CancelAttempt gives an attempt up.
func (a *Backend) CancelAttempt(txn string, seq int) {
	if j := a.attempts[txn]; j != nil && j.attempt == seq {
		a.driver.Defer(func() { a.endJob(j, router.Canceled) })
	}
}

// Abandon gives an attempt up whose client has gone, unless it may run already. A talk ends by its own way.
func (a *Backend) Abandon(txn string) {
	if j := a.attempts[txn]; j != nil && j.request.Stream == nil && (j.conn == nil || !j.conn.querySent()) {
		a.endJob(j, router.Canceled)
	}
}

func (a *Backend) start(j *job, id string) {
	m := a.members[id]
	invariant.Check(m != nil, "submissions and checks go to listed members")
	if m == nil || j.deadline <= j.started {
		j.member = &member{id: id}
		a.driver.Defer(func() { a.endJob(j, router.NotSent) })
		return
	}
	j.member = m
	j.timer = a.driver.After(j.deadline-a.driver.Clock(), func() { a.endJob(j, router.TimedOut) }) // the batch may be long
	if j.request != nil && j.request.Stream != nil {
		a.startStream(j)
		return
	}
	a.requestConn(j)
	a.carryOutDecisions()
	if a.limits.QueueStatements && j.request != nil && j.conn == nil && !j.ended { // it is the pool's turn, not the member's
		a.driver.Defer(func() { a.reportWaiting(j) })
	}
}

// reportWaiting tells the module that an attempt waits for a connection.
func (a *Backend) reportWaiting(j *job) {
	if j.conn == nil && !j.ended {
		j.waitingReported = true
		a.driver.TurnChanged(j.request, j.attempt, true)
	}
}

// requestConn asks the pool for a connection.
func (a *Backend) requestConn(j *job) {
	a.poolRequests++
	j.poolRequest = strconv.Itoa(a.poolRequests)
	a.waiting[j.poolRequest] = j
	w := connpool.Request{ID: j.poolRequest, Key: connpool.Key{Member: j.member.id, Pool: PlatformPool}}
	switch {
	case j.cancelKey != nil:
		w.Key.Pool = CancelPool
	case j.request != nil && j.request.Stream != nil:
		w.Key.Pool, w.Tenant, w.Like = j.request.Stream.Pool, j.request.Tenant, j.request.Stream.Client.Session().Settings().ID()
	}
	a.poolInput().Request(w)
}

// dial makes a connection. It is up once the member has let it in; until then nothing has been asked.
func (a *Backend) dial(d connpool.Decision) {
	m := a.members[d.Key.Member]
	if m == nil {
		a.poolInput().Gone(d.Conn)
		return
	}
	at := a.driver.Now()
	a.driver.Dial(m.addr, a.limits.DialTimeout, func(c *eventloop.Conn, err error) {
		defer a.carryOutDecisions()
		if err != nil {
			a.poolInput().Failed(d.Conn, failureCause(err))
			return
		}
		l := &memberConn{backend: a, id: d.Conn, pool: d.Key.Pool, member: m, conn: c, reader: pg.NewReader(true, a.limits.MaxResponse)}
		a.conns[l.id] = l
		c.Handle(l)
		if d.Key.Pool == CancelPool {
			l.ready = true
			a.poolInput().Opened(l.id)
			return
		}
		if d.Key.Pool != PlatformPool {
			l.reader.Widen()
			l.streamState = newStreamState(a.limits.MaxPrepared)
		}
		who := a.limits.Logins[d.Key.Pool]
		c.Write(pg.AppendStartup(nil, who.User, who.Database))
		a.driver.After(at+a.limits.DialTimeout-a.driver.Now(), func() {
			if !l.ready {
				l.connectFailed(connpool.Down)
			}
		})
	})
}

// failureCause tells the pool why a dial failed: unless it is the member, its record stays clean.
func failureCause(err error) connpool.FailureCause {
	var dial *eventloop.DialError
	if errors.As(err, &dial) && dial.Cause() != syscallerror.Peer {
		return connpool.NoLocalResources
	}
	return connpool.Down
}

// connectFailed ends a connection that has not come up.
func (l *memberConn) connectFailed(why connpool.FailureCause) {
	if l.backend.conns[l.id] == l {
		l.backend.poolInput().Failed(l.id, why)
		l.conn.Close()
		l.forget()
		l.backend.carryOutDecisions()
	}
}

// begin writes the job's query, unless it is withheld; it tells whether it did.
func (l *memberConn) begin(j *job) bool {
	invariant.Check(j.request == nil || j.request.Stream != nil || !j.request.Finished(), "nothing is sent for a client that has gone")
	if l.streamState != nil && j.cancelKey == nil {
		l.receivedBytes = 0
		return l.beginStream(j)
	}
	out := l.buildQuery(j)
	if l.backend.withheld(j) {
		return false
	}
	l.job, j.conn, l.queryWritten, l.receivedBytes = j, l, true, 0
	j.writtenAt = l.backend.driver.Clock()
	l.rows, l.stage, l.value, l.queryError, l.role, l.position, l.report = nil, 0, nil, nil, router.RoleUnknown,
		router.Never, ""
	if j.waitingReported {
		j.waitingReported = false
		l.backend.driver.Defer(func() {
			if !j.ended {
				l.backend.driver.TurnChanged(j.request, j.attempt, false)
			}
		})
	}
	l.conn.Write(out)
	return true
}

// drop closes the connection; a job on it must have been taken off it.
func (l *memberConn) drop() {
	if l.backend.conns[l.id] == l {
		l.backend.poolInput().Gone(l.id)
		l.conn.Close()
		l.forget()
		l.backend.driver.Defer(l.backend.carryOutDecisions) // its place is free
	}
}

func (l *memberConn) forget() {
	delete(l.backend.conns, l.id)
	l.backend.buffered -= l.buffered
	l.buffered = 0
}

// Closed says that the connection has ended by itself.
func (l *memberConn) Closed() {
	if !l.ready {
		l.connectFailed(connpool.Down)
		return
	}
	if j := l.job; j != nil {
		l.backend.endJob(j, l.outcomeOfClose())
	} else if l.streamState != nil && l.reservedFor != nil {
		l.reservedFor.Terminate(&pg.Error{Code: pg.GoingDown, Text: "the connection that this session kept has ended"})
	}
	l.drop()
}

// outcomeOfClose tells what an end of the connection means for its job: it never ran if its last byte was not written, and
// a value or an error that came before the end is still an answer.
func (l *memberConn) outcomeOfClose() router.Outcome {
	switch {
	case l.streamState != nil && l.querySent() && l.internalPending == 0 && !l.nothingExpected():
		return router.Reset
	case l.streamState != nil: // it was its client's turn, or nothing but settings had gone
		return router.ConnectFailed
	case l.queryError != nil:
		return errorOutcome(l.queryError.Code)
	case l.stage == stageComplete:
		return router.Succeeded
	case l.querySent():
		return router.Reset
	}
	return router.ConnectFailed
}

// querySent tells whether the last byte of the job's query is written, so that it may run.
func (l *memberConn) querySent() bool { return l.queryWritten && l.conn.Sent() }

// closeIfUnsent tells that it is not, and never will be. Guards against the poller, which may be writing the rest just now: the
// connection is closed first and asked then, after which nothing more goes out.
func (l *memberConn) closeIfUnsent() bool {
	if l.querySent() {
		return false
	}
	failpoint.Hit("members.unsent")
	l.conn.Close()
	return !l.querySent()
}

// endJob gives a job its outcome, once. A connection whose answer is not through is closed before anyone hears of it.
func (a *Backend) endJob(j *job, how router.Outcome) {
	if j.ended {
		return
	}
	j.ended = true
	if j.timer != nil {
		j.timer.Stop()
	}
	if l := j.conn; l == nil {
		a.poolInput().Cancel(j.poolRequest)
		delete(a.waiting, j.poolRequest)
	}
	l := j.conn
	if j.cancelKey != nil {
		if l != nil {
			l.drop()
		}
		return
	}
	if j.request != nil && (how == router.TimedOut || how == router.Canceled) && (l == nil || l.closeIfUnsent()) {
		how = router.NotSent // given up before it was written: that says nothing of the member
	}
	var rows, cell []byte
	var fault *pg.Error
	role, gtid, vital := router.RoleUnknown, router.Never, ""
	if l != nil && l.streamState != nil {
		role, gtid = l.role, a.acceptPosition(j, l.role, l.position)
		fault = l.endStream(j, how)
	} else if l != nil {
		l.job, l.queryWritten = nil, false
		if l.queryError != nil && l.queryError.OfStatement() {
			fault = l.queryError
		}
		if l.stage == stageReady || how == router.Succeeded {
			rows, cell, role, vital = l.rows, l.value, l.role, l.report
			gtid = a.acceptPosition(j, role, l.position)
		}
		if l.stage == stageReady {
			l.returnToPool()
		} else {
			l.drop()
		}
	}
	// DESIGN: the pool is cleared with the mark. Connections to what vanished stay open and silent otherwise.
	if how == router.Reset || how == router.ConnectFailed || how == router.TimedOut && j.request == nil {
		a.CloseIdle(j.member.id)
	}
	if j.request == nil {
		if read := a.acceptReport(j, string(cell)); how == router.Succeeded && a.limits.HealthReports && !read {
			how = router.ServerError // it is there, and nothing is told
		}
		a.driver.HealthChecked(j.member.id, how)
		return
	}
	invariant.Check(a.attempts[j.request.ID] == j, "one submission of a txn at a time")
	delete(a.attempts, j.request.ID)
	took := a.driver.Now() - j.started
	if j.request.Stream != nil {
		j.request.Stream.OnClientGone(nil)
		took = j.memberMs
	}
	if how == router.ServerError && fault != nil {
		a.driver.StatementFailed(j.request, j.attempt, j.member.id, fault)
		return
	}
	a.driver.AttemptEnded(j.request, j.attempt, j.member.id, how, took, role, gtid, rows)
	a.acceptReport(j, vital)
}

// returnToPool keeps the connection for the next job.
func (l *memberConn) returnToPool() {
	if l.reader.Pending() > 0 {
		l.drop()
		return
	}
	l.rows, l.value = nil, nil
	l.reader.Shrink()
	l.countBuffered()
	l.backend.poolInput().Free(l.id, l.settingsID())
	l.backend.driver.Defer(l.backend.carryOutDecisions)
}

// settingsID is what the connection was left as, for the pool.
func (l *memberConn) settingsID() any {
	if l.streamState == nil {
		return nil
	}
	return l.settings.ID()
}

// acceptPosition takes in the position that came with an answer, and gives it back if the member can have it.
func (a *Backend) acceptPosition(j *job, role router.Role, gtid float64) float64 {
	if gtid == router.Never {
		return gtid
	}
	a.recordPosition(j, role, gtid)
	if !a.driver.Possible(gtid) {
		return router.Never
	}
	return gtid
}

// recordPosition has a position count for the estimate of the cluster's clock. Guards against an answer of a member that has gone
// meanwhile: nothing would drop what it told.
func (a *Backend) recordPosition(j *job, role router.Role, position float64) {
	if a.members[j.member.id] == j.member {
		a.driver.RecordPosition(j.member.id, role, position, j.writtenAt)
	}
}

// acceptReport reads a report, name=value by commas: the position in seconds, and whether it is from a primary. One that
// can't be read as a whole tells nothing.
func (a *Backend) acceptReport(j *job, vitals string) bool {
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
	a.recordPosition(j, role, at)
	if !a.driver.Possible(at) {
		return false
	}
	a.driver.Reported(j.member.id, role, at)
	return true
}
