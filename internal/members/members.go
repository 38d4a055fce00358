// Package members serves the members' side: it owns the connections to each member, the submissions and checks that
// travel on them, and their time-outs. It must never know a client, send what was not decided, or call something
// never run that may have.
package members

import (
	"errors"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sys/unix"

	"wayloft/internal/discovery"
	"wayloft/internal/exchange"
	"wayloft/internal/host"
	"wayloft/internal/must"
	"wayloft/internal/pg"
	"wayloft/router"
)

const (
	user     = "api"
	database = "ledger"
	settled  = 2.0  // ms that a connection rests before its next job: what comes behind an answer comes by then
	rest     = 0.75 // of the time after which a member closes an idle connection: then it is closed here
)

// Limits are the platform's.
type Limits struct {
	DialTimeout float64 // ms, until a connection is up, and for a check
	IdleClose   float64 // ms
	Reports     bool    // a check asks for a report
	Links       int     // connections in all
	Longest     int     // bytes of one answer
	Budget      int     // bytes that all answers may hold that are not whole yet
	Keep        bool    // members that are gone may still be used
}

// Host is what runs the loop, and hears how submissions and checks end.
type Host interface {
	Now() float64
	After(ms float64, f func()) *time.Timer
	Soon(f func())
	Dial(addr string, ms float64, done func(*host.Conn, error))
	Returned(t *exchange.Txn, seq int, member string, how router.Outcome, took float64, role router.Role,
		gtid float64, rows []byte)
	Rejected(t *exchange.Txn, seq int, member string, e *pg.Error)
	Checked(member string, how router.Outcome)
	Reported(member string, role router.Role, gtid float64)
}

// Members holds all connections.
type Members struct {
	host   Host
	limits Limits
	byID   map[string]*member
	links  int
	jobs   map[string]*job // the submission that is out for a txn
	Unsent int             // submissions and checks for which no connection was left
	held   int             // bytes
	Unheld int             // answers given up since together they held too much
	Spoilt int             // connections that ended since what came on them can't be an answer
}

type member struct {
	id, addr string
	barred   bool
	started  float64
	epoch    int     // connections made before the last change of address or start are not used again
	idle     []*link // newest last
	links    map[*link]bool
}

// job is one submission or check.
type job struct {
	txn   *exchange.Txn // nil: a check
	seq   int
	to    *member
	at    float64
	until float64
	timer *time.Timer
	link  *link // nil while it is dialled
	over  bool
}

// link is one connection to a member; one job at a time travels on it.
type link struct {
	all   *Members
	to    *member
	epoch int
	conn  *host.Conn
	in    *pg.Reader
	job   *job
	ready bool    // it is let in
	asked bool    // the job's query has been written
	since float64 // idle since

	rows  []byte // what came of the answer
	stage int    // how far the answer has come
	cell  []byte
	err   *pg.Error
	role  router.Role
	gtid  float64
	vital string
	held  int
}

// New makes the side.
func New(h Host, l Limits) *Members {
	m := &Members{host: h, limits: l, byID: map[string]*member{}, jobs: map[string]*job{}}
	m.retire()
	return m
}

// List takes a list in, whole or of changes. Submissions that are out go on; unsent ones to a member that drains or
// is gone end, since what was decided before the list told so must not go out long after.
func (a *Members) List(l *discovery.List) {
	here := map[string]bool{}
	for _, e := range l.Entries {
		here[e.ID] = e.State != router.Removed
		m := a.byID[e.ID]
		if m == nil {
			m = &member{id: e.ID, links: map[*link]bool{}}
			a.byID[e.ID] = m
		}
		if m.addr != e.Addr || m.started != e.Started {
			m.epoch++
			a.CloseIdle(e.ID)
		}
		m.addr, m.started, m.barred = e.Addr, e.Started, e.State != router.Up
	}
	for id, m := range a.byID {
		listed, told := here[id]
		gone := !listed && (told || l.Whole)
		if m.barred = m.barred || gone; m.barred {
			a.CloseIdle(id)
		}
		if gone && !a.limits.Keep { // what is out to it keeps it until it is back
			delete(a.byID, id)
		}
	}
	for _, j := range a.jobs {
		if j.to.barred && (j.link == nil || !j.link.asked) {
			a.host.Soon(func() { a.end(j, router.Moot) })
		}
	}
}

// Links tells how many connections there are, or are being made.
func (a *Members) Links() int { return a.links }

// CloseIdle closes the idle connections to a member.
func (a *Members) CloseIdle(id string) {
	if m := a.byID[id]; m != nil {
		for len(m.idle) > 0 {
			m.idle[len(m.idle)-1].drop()
		}
	}
}

// retire closes connections before the member does, lest a submission crosses its close and counts as a reset.
func (a *Members) retire() {
	now, age := a.host.Now(), a.limits.IdleClose*rest
	for _, m := range a.byID {
		for len(m.idle) > 0 && now-m.idle[0].since > age {
			m.idle[0].drop()
		}
	}
	a.host.After(age/10, a.retire)
}

// Submit sends a txn to a member, with its own time-out if wait is more than 0.
func (a *Members) Submit(t *exchange.Txn, seq int, id string, wait float64) {
	j := &job{txn: t, seq: seq, at: a.host.Now(), until: t.Expiry}
	if wait > 0 {
		j.until = min(j.until, j.at+wait)
	}
	a.jobs[t.ID] = j
	a.begin(j, id)
}

// Check asks a member how it is.
func (a *Members) Check(id string) {
	now := a.host.Now()
	a.begin(&job{at: now, until: now + a.limits.DialTimeout}, id)
}

// Revoke gives a submission up.
func (a *Members) Revoke(txn string, seq int) {
	if j := a.jobs[txn]; j != nil && j.seq == seq {
		a.host.Soon(func() { a.end(j, router.Revoked) })
	}
}

func (a *Members) begin(j *job, id string) {
	m := a.byID[id]
	must.Hold(m != nil, "submissions and checks go to listed members")
	if m == nil || j.until <= j.at {
		j.to = &member{id: id}
		a.host.Soon(func() { a.end(j, router.Moot) })
		return
	}
	j.to = m
	j.timer = a.host.After(j.until-j.at, func() { a.end(j, router.TimedOut) })
	for n := len(m.idle) - 1; n >= 0; n-- {
		l := m.idle[n]
		// Guards against a second copy of the last answer, which would pass for the answer to this query.
		if j.at-l.since < settled {
			continue
		}
		if l.conn.Unread() { // its end, or what doesn't belong there: a query would meet a reset
			l.drop()
			continue
		}
		m.idle = slices.Delete(m.idle, n, n+1)
		l.take(j)
		return
	}
	if !a.makeRoom() {
		a.unsent(j)
		return
	}
	a.links++
	epoch := m.epoch
	a.host.Dial(m.addr, a.limits.DialTimeout, func(c *host.Conn, err error) { a.dialled(j, epoch, c, err) })
}

// unsent ends a job for which this router has no connection left; that says nothing of the member.
func (a *Members) unsent(j *job) {
	a.Unsent++
	a.host.Soon(func() { a.end(j, router.Moot) })
}

// makeRoom closes the connection that has been idle longest where the limit is reached.
func (a *Members) makeRoom() bool {
	if a.links < a.limits.Links {
		return true
	}
	var oldest *link
	for _, m := range a.byID {
		if len(m.idle) > 0 && (oldest == nil || m.idle[0].since < oldest.since) {
			oldest = m.idle[0]
		}
	}
	if oldest == nil {
		return false
	}
	oldest.drop()
	return true
}

// dialled goes on with a connection that is up, or none. Until the member has let it in nothing has been asked.
func (a *Members) dialled(j *job, epoch int, c *host.Conn, err error) {
	switch {
	case errors.Is(err, unix.EMFILE) || errors.Is(err, unix.ENFILE):
		a.links--
		a.unsent(j)
		return
	case err != nil:
		a.links--
		a.end(j, router.ConnectFailed)
		return
	}
	l := &link{all: a, to: j.to, epoch: epoch, conn: c, in: pg.NewReader(true, a.limits.Longest)}
	j.to.links[l] = true
	c.Handle(l)
	if epoch != j.to.epoch {
		a.end(j, router.Moot)
	}
	if j.over {
		l.drop()
		return
	}
	l.job, j.link = j, l
	c.Write(pg.AppendStartup(nil, user, database))
	a.host.After(j.at+a.limits.DialTimeout-a.host.Now(), func() {
		if !l.ready && l.job != nil {
			a.end(l.job, router.ConnectFailed)
		}
	})
}

// take writes the job's query.
func (l *link) take(j *job) {
	l.job, j.link, l.asked = j, l, true
	l.rows, l.stage, l.cell, l.err, l.role, l.gtid, l.vital = nil, 0, nil, nil, router.Unsaid,
		router.Never, ""
	switch {
	case j.txn != nil:
		l.conn.Write(j.txn.AppendQuery(nil, j.until-l.all.host.Now()))
	case l.all.limits.Reports:
		l.conn.Write(pg.AppendQuery(nil, "SHOW vitals"))
	default:
		l.conn.Write(pg.AppendQuery(nil, "SELECT 1"))
	}
}

// drop closes the connection; a job on it must have been taken off it.
func (l *link) drop() {
	if l.to.links[l] {
		delete(l.to.links, l)
		l.to.idle = slices.DeleteFunc(l.to.idle, func(o *link) bool { return o == l })
		l.all.links--
		l.all.held -= l.held
		l.held = 0
		l.conn.Close()
	}
}

// Closed says that the connection has ended by itself.
func (l *link) Closed() {
	if j := l.job; j != nil {
		l.all.end(j, l.broken())
	}
	l.drop()
}

// broken tells what an end of the connection means for its job: it never ran if its last byte was not written, and
// a value or an error that came before the end is still an answer.
func (l *link) broken() router.Outcome {
	switch {
	case l.err != nil:
		return outcome(l.err.Code)
	case l.stage == whole:
		return router.Committed
	case l.sent():
		return router.Reset
	}
	return router.ConnectFailed
}

// sent tells whether the last byte of the job's query is written, so that it may run.
func (l *link) sent() bool { return l.asked && l.conn.Sent() }

// end gives a job its outcome, once. A connection whose answer is not through is closed before anyone hears of it.
func (a *Members) end(j *job, how router.Outcome) {
	if j.over {
		return
	}
	j.over = true
	if j.timer != nil {
		j.timer.Stop()
	}
	l := j.link
	if j.txn != nil && (how == router.TimedOut || how == router.Revoked) && (l == nil || !l.sent()) {
		how = router.Moot // given up before it was written: that says nothing of the member
	}
	var rows, cell []byte
	var fault *pg.Error
	role, gtid, vital := router.Unsaid, router.Never, ""
	if l != nil {
		l.job, l.asked = nil, false
		if l.err != nil && l.err.OfStatement() {
			fault = l.err
		}
		if l.stage == through || how == router.Committed {
			rows, cell, role, gtid, vital = l.rows, l.cell, l.role, l.gtid, l.vital
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
		if read := a.reported(j.to.id, string(cell)); how == router.Committed && a.limits.Reports && !read {
			how = router.Errored // it is there, and nothing is told
		}
		a.host.Checked(j.to.id, how)
		return
	}
	must.Hold(a.jobs[j.txn.ID] == j, "one submission of a txn at a time")
	delete(a.jobs, j.txn.ID)
	if how == router.Errored && fault != nil {
		a.host.Rejected(j.txn, j.seq, j.to.id, fault)
		return
	}
	a.host.Returned(j.txn, j.seq, j.to.id, how, a.host.Now()-j.at, role, gtid, rows)
	a.reported(j.to.id, vital)
}

// rest keeps the connection for the next job.
func (l *link) rest() {
	if l.to.barred || l.epoch != l.to.epoch || l.in.Pending() > 0 {
		l.drop()
		return
	}
	l.rows, l.cell, l.since = nil, nil, l.all.host.Now()
	l.count()
	l.to.idle = append(l.to.idle, l)
}

// possible tells whether a position is one that a member can have.
func (a *Members) possible(gtid float64) bool { return gtid > 0 && gtid <= a.host.Now()+host.Ahead }

// reported reads a report, name=value by commas: the position in seconds, and whether it is from a primary. One that
// can't be read as a whole tells nothing.
func (a *Members) reported(id, vitals string) bool {
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
	if !a.possible(at) {
		return false
	}
	a.host.Reported(id, role, at)
	return true
}
