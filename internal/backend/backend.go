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
	AttemptEnded(t *request.Request, seq int, member string, outcome router.Outcome, took float64, role router.Role,
		position float64, rows []byte)
	StatementFailed(t *request.Request, seq int, member string, e *pg.Error)
	HealthChecked(member string, outcome router.Outcome)
	Reported(member string, role router.Role, position float64)
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
func New(driver Driver, limits Limits, pool *connpool.Pool) *Backend {
	b := &Backend{driver: driver, limits: limits, pool: pool, members: map[string]*member{}, conns: map[int]*memberConn{}, attempts: map[string]*job{},
		waiting: map[string]*job{}, parameters: map[string]*iradix.Tree[string]{}, timerAt: math.Inf(1)}
	driver.Defer(b.carryOutDecisions)
	return b
}

// List takes a list in, whole or of changes. Attempts that are out go on; unsent ones to a member that drains or
// is gone end, since what was decided before the list told so must not go out long after.
func (b *Backend) List(list *discovery.List) {
	here := map[string]bool{}
	for _, entry := range list.Entries {
		here[entry.ID] = entry.State != router.Removed
		m := b.members[entry.ID]
		if m == nil {
			m = &member{id: entry.ID}
			b.members[entry.ID] = m
		} else if m.addr != entry.Addr || m.started != entry.Started {
			b.poolInput().Renew(entry.ID)
		}
		m.addr, m.started, m.unavailable = entry.Addr, entry.Started, entry.State != router.Up
		b.poolInput().Listed(entry.ID, !m.unavailable)
	}
	for id, m := range b.members {
		listed, told := here[id]
		gone := !listed && (told || list.Whole)
		if m.unavailable = m.unavailable || gone; gone {
			b.poolInput().Listed(id, b.limits.KeepRemoved)
		}
		if gone && !b.limits.KeepRemoved { // what is out to it keeps it until it is back
			delete(b.members, id)
			b.driver.Forget(id)
		}
	}
	for _, j := range b.attempts {
		if j.member.unavailable && (j.conn == nil || !j.conn.queryWritten) {
			b.driver.Defer(func() { b.endJob(j, router.NotSent) })
		}
	}
	for _, c := range b.conns {
		if c.member.unavailable && c.streamState != nil && c.reservedFor != nil {
			c.terminateReserved()
		}
	}
	b.driver.Defer(b.carryOutDecisions)
}

// Connections tells how many connections there are, or are being made; Waiting, how many jobs wait for one.
func (b *Backend) Connections() int { return b.pool.Open() }
func (b *Backend) Waiting() int     { return b.pool.Waiting() }

// CloseIdle closes the idle connections to a member.
func (b *Backend) CloseIdle(id string) {
	b.poolInput().CloseIdle(id)
	b.driver.Defer(b.carryOutDecisions)
}

// poolInput gives the pool to be told something.
func (b *Backend) poolInput() *connpool.Pool {
	b.pool.Advance(b.driver.Now())
	b.setTimer(b.pool.Sweep())
	return b.pool
}

// setTimer has decisions pulled at a time, unless they are sooner.
func (b *Backend) setTimer(at float64) {
	if at >= b.timerAt {
		return
	}
	if b.timer != nil {
		b.timer.Stop()
	}
	b.timerAt = at
	b.timer = b.driver.After(at-b.driver.Now(), func() {
		if b.timerAt == at { // one that is stopped late may still ring
			b.timerAt = math.Inf(1)
			b.carryOutDecisions()
		}
	})
}

// carryOutDecisions carries out what the pool decides, until it has nothing left.
func (b *Backend) carryOutDecisions() {
	if b.carryingOut {
		return
	}
	b.carryingOut = true
	b.pool.Advance(b.driver.Now())
	for d, more := b.pool.Next(); more; d, more = b.pool.Next() {
		b.carryOut(d)
	}
	b.carryingOut = false
	b.setTimer(b.pool.NextDeadline())
}

func (b *Backend) carryOut(d connpool.Decision) {
	c, j := b.conns[d.Conn], b.waiting[d.Want]
	switch d.Action {
	case connpool.Open:
		b.dial(d)
	case connpool.Use:
		delete(b.waiting, d.Want)
		invariant.Check(c != nil && j != nil && !j.ended, "a connection is given to who waits for it")
		if c == nil || j == nil {
			b.pool.Gone(d.Conn)
			return
		}
		if c.conn.Unread() { // its end, or what doesn't belong there: a query would meet a reset
			c.drop()
			b.requestConn(j)
			return
		}
		if c.fence = 0; d.Fresh && c.streamState == nil {
			c.fence = 2
		}
		if !c.begin(j) {
			c.fence = 0
			b.poolInput().Free(d.Conn, c.settingsID())
		}
	case connpool.Close:
		if c != nil {
			c.conn.Close()
			c.forget()
		}
	case connpool.Refuse:
		delete(b.waiting, d.Want)
		if j == nil {
			return
		}
		outcome := router.NotSent
		switch d.Reason {
		case connpool.NoRoom:
			if b.NoConnection++; j.member.unavailable {
				b.NoConnection--
			}
		case connpool.Late:
			b.QueueTimeouts++
		case connpool.Unconnected:
			outcome = router.ConnectFailed
		}
		b.driver.Defer(func() { b.endJob(j, outcome) })
	case connpool.End:
		if c != nil && c.job != nil && c.streamState != nil {
			b.IdleTransactions++
			b.driver.Defer(func() { c.terminateClient(pg.IdleInside, "a transaction was left open and idle for too long") })
		}
	}
}

// SendAttempt sends a request to a member, with its own time-out if wait is more than 0; it is not written after by.
func (b *Backend) SendAttempt(t *request.Request, seq int, id string, wait, by float64) {
	j := &job{request: t, attempt: seq, started: b.driver.Now(), deadline: t.Deadline, notAfter: by}
	if wait > 0 {
		j.deadline = min(j.deadline, j.started+wait)
	}
	b.attempts[t.ID] = j
	b.start(j, id)
}

// HealthCheck asks a member how it is.
func (b *Backend) HealthCheck(id string) {
	now := b.driver.Now()
	b.start(&job{started: now, deadline: now + b.limits.DialTimeout, notAfter: math.Inf(1)}, id)
}

// CancelAttempt gives an attempt up.
func (b *Backend) CancelAttempt(txn string, seq int) {
	if j := b.attempts[txn]; j != nil && j.attempt == seq {
		b.driver.Defer(func() { b.endJob(j, router.Canceled) })
	}
}

// Abandon gives an attempt up whose client has gone, unless it may run already. A talk ends by its own way.
func (b *Backend) Abandon(txn string) {
	if j := b.attempts[txn]; j != nil && j.request.Stream == nil && (j.conn == nil || !j.conn.querySent()) {
		b.endJob(j, router.Canceled)
	}
}

func (b *Backend) start(j *job, id string) {
	m := b.members[id]
	invariant.Check(m != nil, "submissions and checks go to listed members")
	if m == nil || j.deadline <= j.started {
		j.member = &member{id: id}
		b.driver.Defer(func() { b.endJob(j, router.NotSent) })
		return
	}
	j.member = m
	j.timer = b.driver.After(j.deadline-b.driver.Clock(), func() { b.endJob(j, router.TimedOut) }) // the batch may be long
	if j.request != nil && j.request.Stream != nil {
		b.startStream(j)
		return
	}
	b.requestConn(j)
	b.carryOutDecisions()
	if b.limits.QueueStatements && j.request != nil && j.conn == nil && !j.ended { // it is the pool's turn, not the member's
		b.driver.Defer(func() { b.reportWaiting(j) })
	}
}

// reportWaiting tells the module that an attempt waits for a connection.
func (b *Backend) reportWaiting(j *job) {
	if j.conn == nil && !j.ended {
		j.waitingReported = true
		b.driver.TurnChanged(j.request, j.attempt, true)
	}
}

// requestConn asks the pool for a connection.
func (b *Backend) requestConn(j *job) {
	b.poolRequests++
	j.poolRequest = strconv.Itoa(b.poolRequests)
	b.waiting[j.poolRequest] = j
	w := connpool.Request{ID: j.poolRequest, Key: connpool.Key{Member: j.member.id, Pool: PlatformPool}}
	switch {
	case j.cancelKey != nil:
		w.Key.Pool = CancelPool
	case j.request != nil && j.request.Stream != nil:
		w.Key.Pool, w.Tenant, w.Like = j.request.Stream.Pool, j.request.Tenant, j.request.Stream.Client.Session().Settings().ID()
	}
	b.poolInput().Request(w)
}

// dial makes a connection. It is up once the member has let it in; until then nothing has been asked.
func (b *Backend) dial(d connpool.Decision) {
	m := b.members[d.Key.Member]
	if m == nil {
		b.poolInput().Gone(d.Conn)
		return
	}
	at := b.driver.Now()
	b.driver.Dial(m.addr, b.limits.DialTimeout, func(socket *eventloop.Conn, err error) {
		defer b.carryOutDecisions()
		if err != nil {
			b.poolInput().Failed(d.Conn, failureCause(err))
			return
		}
		c := &memberConn{backend: b, id: d.Conn, pool: d.Key.Pool, member: m, conn: socket, reader: pg.NewReader(true, b.limits.MaxResponse)}
		b.conns[c.id] = c
		socket.Handle(c)
		if d.Key.Pool == CancelPool {
			c.ready = true
			b.poolInput().Opened(c.id)
			return
		}
		if d.Key.Pool != PlatformPool {
			c.reader.Widen()
			c.streamState = newStreamState(b.limits.MaxPrepared)
		}
		who := b.limits.Logins[d.Key.Pool]
		socket.Write(pg.AppendStartup(nil, who.User, who.Database))
		b.driver.After(at+b.limits.DialTimeout-b.driver.Now(), func() {
			if !c.ready {
				c.connectFailed(connpool.Down)
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
func (c *memberConn) connectFailed(cause connpool.FailureCause) {
	if c.backend.conns[c.id] == c {
		c.backend.poolInput().Failed(c.id, cause)
		c.conn.Close()
		c.forget()
		c.backend.carryOutDecisions()
	}
}

// begin writes the job's query, unless it is withheld; it tells whether it did.
func (c *memberConn) begin(j *job) bool {
	invariant.Check(j.request == nil || j.request.Stream != nil || !j.request.Finished(), "nothing is sent for a client that has gone")
	if c.streamState != nil && j.cancelKey == nil {
		c.receivedBytes = 0
		return c.beginStream(j)
	}
	out := c.buildQuery(j)
	if c.backend.withheld(j) {
		return false
	}
	c.job, j.conn, c.queryWritten, c.receivedBytes = j, c, true, 0
	j.writtenAt = c.backend.driver.Clock()
	c.rows, c.stage, c.value, c.queryError, c.role, c.position, c.report = nil, 0, nil, nil, router.RoleUnknown,
		router.Never, ""
	if j.waitingReported {
		j.waitingReported = false
		c.backend.driver.Defer(func() {
			if !j.ended {
				c.backend.driver.TurnChanged(j.request, j.attempt, false)
			}
		})
	}
	c.conn.Write(out)
	return true
}

// drop closes the connection; a job on it must have been taken off it.
func (c *memberConn) drop() {
	if c.backend.conns[c.id] == c {
		c.backend.poolInput().Gone(c.id)
		c.conn.Close()
		c.forget()
		c.backend.driver.Defer(c.backend.carryOutDecisions) // its place is free
	}
}

func (c *memberConn) forget() {
	delete(c.backend.conns, c.id)
	c.backend.buffered -= c.buffered
	c.buffered = 0
}

// Closed says that the connection has ended by itself.
func (c *memberConn) Closed() {
	if !c.ready {
		c.connectFailed(connpool.Down)
		return
	}
	if j := c.job; j != nil {
		c.backend.endJob(j, c.outcomeOfClose())
	} else if c.streamState != nil && c.reservedFor != nil {
		c.reservedFor.Terminate(&pg.Error{Code: pg.GoingDown, Text: "the connection that this session kept has ended"})
	}
	c.drop()
}

// outcomeOfClose tells what an end of the connection means for its job: it never ran if its last byte was not written, and
// a value or an error that came before the end is still an answer.
func (c *memberConn) outcomeOfClose() router.Outcome {
	switch {
	case c.streamState != nil && c.querySent() && c.internalPending == 0 && !c.nothingExpected():
		return router.Reset
	case c.streamState != nil: // it was its client's turn, or nothing but settings had gone
		return router.ConnectFailed
	case c.queryError != nil:
		return errorOutcome(c.queryError.Code)
	case c.stage == stageComplete:
		return router.Succeeded
	case c.querySent():
		return router.Reset
	}
	return router.ConnectFailed
}

// querySent tells whether the last byte of the job's query is written, so that it may run.
func (c *memberConn) querySent() bool { return c.queryWritten && c.conn.Sent() }

// closeIfUnsent tells that it is not, and never will be. Guards against the poller, which may be writing the rest just now: the
// connection is closed first and asked then, after which nothing more goes out.
func (c *memberConn) closeIfUnsent() bool {
	if c.querySent() {
		return false
	}
	failpoint.Hit("members.unsent")
	c.conn.Close()
	return !c.querySent()
}

// endJob gives a job its outcome, once. A connection whose answer is not through is closed before anyone hears of it.
func (b *Backend) endJob(j *job, outcome router.Outcome) {
	if j.ended {
		return
	}
	j.ended = true
	if j.timer != nil {
		j.timer.Stop()
	}
	if c := j.conn; c == nil {
		b.poolInput().Cancel(j.poolRequest)
		delete(b.waiting, j.poolRequest)
	}
	c := j.conn
	if j.cancelKey != nil {
		if c != nil {
			c.drop()
		}
		return
	}
	if j.request != nil && (outcome == router.TimedOut || outcome == router.Canceled) && (c == nil || c.closeIfUnsent()) {
		outcome = router.NotSent // given up before it was written: that says nothing of the member
	}
	var rows, cell []byte
	var fault *pg.Error
	role, position, vital := router.RoleUnknown, router.Never, ""
	if c != nil && c.streamState != nil {
		role, position = c.role, b.acceptPosition(j, c.role, c.position)
		fault = c.endStream(j, outcome)
	} else if c != nil {
		c.job, c.queryWritten = nil, false
		if c.queryError != nil && c.queryError.OfStatement() {
			fault = c.queryError
		}
		if c.stage == stageReady || outcome == router.Succeeded {
			rows, cell, role, vital = c.rows, c.value, c.role, c.report
			position = b.acceptPosition(j, role, c.position)
		}
		if c.stage == stageReady {
			c.returnToPool()
		} else {
			c.drop()
		}
	}
	// DESIGN: the pool is cleared with the mark. Connections to what vanished stay open and silent otherwise.
	if outcome == router.Reset || outcome == router.ConnectFailed || outcome == router.TimedOut && j.request == nil {
		b.CloseIdle(j.member.id)
	}
	if j.request == nil {
		if read := b.acceptReport(j, string(cell)); outcome == router.Succeeded && b.limits.HealthReports && !read {
			outcome = router.ServerError // it is there, and nothing is told
		}
		b.driver.HealthChecked(j.member.id, outcome)
		return
	}
	invariant.Check(b.attempts[j.request.ID] == j, "one submission of a txn at a time")
	delete(b.attempts, j.request.ID)
	took := b.driver.Now() - j.started
	if j.request.Stream != nil {
		j.request.Stream.OnClientGone(nil)
		took = j.memberMs
	}
	if outcome == router.ServerError && fault != nil {
		b.driver.StatementFailed(j.request, j.attempt, j.member.id, fault)
		return
	}
	b.driver.AttemptEnded(j.request, j.attempt, j.member.id, outcome, took, role, position, rows)
	b.acceptReport(j, vital)
}

// returnToPool keeps the connection for the next job.
func (c *memberConn) returnToPool() {
	if c.reader.Pending() > 0 {
		c.drop()
		return
	}
	c.rows, c.value = nil, nil
	c.reader.Shrink()
	c.countBuffered()
	c.backend.poolInput().Free(c.id, c.settingsID())
	c.backend.driver.Defer(c.backend.carryOutDecisions)
}

// settingsID is what the connection was left as, for the pool.
func (c *memberConn) settingsID() any {
	if c.streamState == nil {
		return nil
	}
	return c.settings.ID()
}

// acceptPosition takes in the position that came with an answer, and gives it back if the member can have it.
func (b *Backend) acceptPosition(j *job, role router.Role, position float64) float64 {
	if position == router.Never {
		return position
	}
	b.recordPosition(j, role, position)
	if !b.driver.Possible(position) {
		return router.Never
	}
	return position
}

// recordPosition has a position count for the estimate of the cluster's clock. Guards against an answer of a member that has gone
// meanwhile: nothing would drop what it told.
func (b *Backend) recordPosition(j *job, role router.Role, position float64) {
	if b.members[j.member.id] == j.member {
		b.driver.RecordPosition(j.member.id, role, position, j.writtenAt)
	}
}

// acceptReport reads a report, name=value by commas: the position in seconds, and whether it is from a primary. One that
// can't be read as a whole tells nothing.
func (b *Backend) acceptReport(j *job, vitals string) bool {
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
	b.recordPosition(j, role, at)
	if !b.driver.Possible(at) {
		return false
	}
	b.driver.Reported(j.member.id, role, at)
	return true
}
