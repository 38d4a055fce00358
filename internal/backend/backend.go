// Package backend is the router's side towards the members. It owns the connections to them, the attempts and health checks on these
// connections, and their time-outs. The event loop's driver calls it, and learns by Driver how each attempt and health check ended.
//
// Which connection is used, and when one is opened or closed, is decided by package connpool; which member an attempt goes to, by package
// router. Nothing is sent without such a decision, no attempt is reported as not sent if it may have run, and each attempt has one outcome.
//
// All of it runs on the event loop. Times are in ms on the loop's clock unless a comment says otherwise.
package backend

import (
	"math"
	"time"

	iradix "github.com/hashicorp/go-immutable-radix/v2"

	"wayloft/internal/decide/connpool"
	"wayloft/internal/discovery"
	"wayloft/internal/eventloop"
	"wayloft/internal/pg"
	"wayloft/internal/request"
	"wayloft/router"
)

// The pools that every member has.
const (
	// PlatformPool has the connections for statements of sessions that are not pooled, and for health checks.
	PlatformPool = "platform"
	// CancelPool has the connections for cancel requests.
	CancelPool = "cancels"
)

// Login is what a pool's connections log in with.
type Login struct{ User, Database string }

// Limits are the limits and options of a backend.
type Limits struct {
	DialTimeoutMs   float64          // ms until a connection must be ready, and for a health check
	HealthReports   bool             // a health check asks for a report of role and position
	MaxResponse     int              // bytes of one response
	ResponseBudget  int              // bytes that all responses together may hold while they are incomplete
	QueueStatements bool             // statements may wait for a connection, since there are fewer of them than clients
	KeepRemoved     bool             // members that were removed from the list may still be used
	MaxPrepared     int              // prepared statements that a connection keeps
	Logins          map[string]Login // by pool
	PrimaryClasses  map[string]bool  // request classes that need the primary
}

// Driver is the event loop as the backend uses it, and receives how attempts and health checks end. eventloop.Driver implements it.
type Driver interface {
	// Now returns the time at which the present batch of events is taken to happen.
	Now() float64
	// Clock returns the time right now.
	Clock() float64
	// After calls f on the event loop after a time in ms. A timer that is stopped late may still call f.
	After(ms float64, f func()) *time.Timer
	// Defer calls f on the event loop after what is running.
	Defer(f func())
	// Dial connects to an address within a time-out in ms, and calls done on the event loop.
	Dial(addr string, timeout float64, done func(*eventloop.Conn, error))

	// RecordPosition adds a position that a member reported to the estimate of the cluster's clock; sent is when it was asked.
	RecordPosition(member string, role router.Role, position, sent float64)
	// Possible reports whether a member can have a position, as far as the cluster's clock is known.
	Possible(position float64) bool
	// Forget drops what a member reported.
	Forget(member string)

	// TurnChanged reports whether an attempt waits for a connection or its client (waiting), or for its member.
	TurnChanged(req *request.Request, attempt int, waiting bool)
	// ClientGone reports that the client of a request was found to be gone.
	ClientGone(req *request.Request)
	// AttemptEnded reports the outcome of an attempt. took is how many ms the member took; role and position are what it reported, or
	// RoleUnknown and Never; rows is the response.
	AttemptEnded(req *request.Request, attempt int, member string, outcome router.Outcome, took float64, role router.Role,
		position float64, rows []byte)
	// StatementFailed reports that an attempt ended by an error of its statement, in place of AttemptEnded.
	StatementFailed(req *request.Request, attempt int, member string, e *pg.Error)
	// HealthChecked reports the outcome of a health check.
	HealthChecked(member string, outcome router.Outcome)
	// Reported reports a member's role and position, from a health check or a response.
	Reported(member string, role router.Role, position float64)
}

// Backend holds the connections to all members. Its exported fields are counters.
type Backend struct {
	driver        Driver
	limits        Limits
	pool          *connpool.Pool
	members       map[string]*member
	conns         map[int]*memberConn             // by the pool's ids, once they are dialled
	attempts      map[string]*job                 // the attempt in flight, by request id
	waiting       map[string]*job                 // jobs that wait for a connection, by their ids in the pool
	parameters    map[string]*iradix.Tree[string] // what members of a pool reported last
	poolRequests  int                             // requests to the pool so far; the last one's id
	carryingOut   bool                            // guards against carrying out decisions while doing so
	timerAt       float64                         // when the pool must be asked for decisions; +Inf: no timer is set
	timer         *time.Timer
	bufferedBytes int // bytes of incomplete responses

	NoConnection     int // attempts and health checks for which the pool had no room
	OverBudget       int // responses given up since all of them exceeded ResponseBudget
	ProtocolErrors   int // connections that ended since something came on them that can't be a response
	QueueTimeouts    int // attempts that waited for a connection for as long as their pool allows
	IdleTransactions int // transactions ended since their client was idle for too long
}

// member is a database server of the list.
type member struct {
	id, addr    string
	unavailable bool    // draining or removed
	started     float64 // as the list has it
}

// New returns a backend that has no members yet.
func New(driver Driver, limits Limits, pool *connpool.Pool) *Backend {
	b := &Backend{
		driver:     driver,
		limits:     limits,
		pool:       pool,
		members:    map[string]*member{},
		conns:      map[int]*memberConn{},
		attempts:   map[string]*job{},
		waiting:    map[string]*job{},
		parameters: map[string]*iradix.Tree[string]{},
		timerAt:    math.Inf(1),
	}
	driver.Defer(b.carryOutDecisions)
	return b
}

// List applies a member list, complete or of changes. Attempts in flight go on; those that are not written yet end if their member is
// draining or removed, since they were decided before the list changed and must not be sent long after.
func (b *Backend) List(list *discovery.List) {
	listed := map[string]bool{}
	for _, entry := range list.Entries {
		listed[entry.ID] = entry.State != router.Removed
		b.listMember(entry)
	}
	for id, m := range b.members {
		present, changed := listed[id]
		if !present && (changed || list.Complete) {
			b.removeMember(m)
		}
	}
	b.endUnavailable()
	b.driver.Defer(b.carryOutDecisions)
}

// listMember applies an entry of a list. Connections to a former address or start of the member are not used again.
func (b *Backend) listMember(entry discovery.Entry) {
	m := b.members[entry.ID]
	if m == nil {
		m = &member{id: entry.ID}
		b.members[entry.ID] = m
	} else if m.addr != entry.Addr || m.started != entry.Started {
		b.poolInput().RetireConnections(entry.ID)
	}
	m.addr, m.started, m.unavailable = entry.Addr, entry.Started, entry.State != router.Up
	b.poolInput().MemberListed(entry.ID, !m.unavailable)
}

// removeMember removes a member that is no longer in the list. Jobs in flight to it still refer to it.
func (b *Backend) removeMember(m *member) {
	m.unavailable = true
	b.poolInput().MemberListed(m.id, b.limits.KeepRemoved)
	if !b.limits.KeepRemoved {
		delete(b.members, m.id)
		b.driver.Forget(m.id)
	}
}

// endUnavailable ends the attempts that are not written yet and the reserved sessions whose member is draining or removed.
func (b *Backend) endUnavailable() {
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
}

// Connections returns how many connections there are or are being opened.
func (b *Backend) Connections() int { return b.pool.OpenCount() }

// Waiting returns how many jobs wait for a connection.
func (b *Backend) Waiting() int { return b.pool.WaitingCount() }

// KnownParameters returns the parameters that members of a pool reported last, which a client receives when it connects.
func (b *Backend) KnownParameters(pool string) *iradix.Tree[string] {
	if t := b.parameters[pool]; t != nil {
		return t
	}
	return iradix.New[string]()
}
