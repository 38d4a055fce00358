// Package backend manages the router's connections to the members. It sends attempts and health checks over these connections and enforces
// their timeouts. The event loop's driver calls it, and receives the outcome of each attempt and health check through Driver.
//
// Package connpool decides which connection is used and when one is opened or closed; package router decides which member an attempt goes
// to. Nothing is sent without such a decision, an attempt that may have run is never reported as not sent, and each attempt has exactly one
// outcome.
//
// All of it runs on the event loop. Times are in ms on the loop's clock unless stated otherwise.
package backend

import (
	"math"
	"time"

	iradix "github.com/hashicorp/go-immutable-radix/v2"

	"wayloft/internal/decide/connpool"
	"wayloft/internal/decide/memory"
	"wayloft/internal/discovery"
	"wayloft/internal/eventloop"
	"wayloft/internal/pg"
	"wayloft/internal/request"
	"wayloft/router"
)

// Pools that exist for every member.
const (
	// StatementPool holds the connections for health checks and for statements of sessions that are not pooled.
	StatementPool = "platform"
	// CancelPool holds the connections for cancel requests.
	CancelPool = "cancels"
)

// Login is the user and database that a pool's connections log in with.
type Login struct{ User, Database string }

// Options holds the limits and options of a Backend.
type Options struct {
	DialTimeoutMs     float64          // timeout in ms for a connection to become ready, and for a health check
	HealthReports     bool             // health checks query the member's role and position
	MaxResponse       int              // maximum size of one response in bytes
	ResponseBudget    int              // maximum size in bytes of all incomplete responses together
	Memory            *memory.Account  // memory that clients and members make the router hold
	QueueStatements   bool             // statements wait for a connection, set if there are fewer connections than clients
	KeepRemoved       bool             // members that are removed from the list may still be used
	MaxPrepared       int              // maximum number of prepared statements kept on a connection
	Logins            map[string]Login // by pool name
	PrimaryClasses    map[string]bool  // request classes that require the primary
	IdempotentClasses map[string]bool  // request classes whose requests may run more than once
}

// Driver is the part of the event loop that the backend uses. It also receives the outcomes of attempts and health checks. eventloop.Driver
// implements it.
type Driver interface {
	// Now returns the timestamp of the current batch of events.
	Now() float64
	// Clock returns the current time.
	Clock() float64
	// After calls f on the event loop after ms milliseconds. A timer that is stopped too late may still call f.
	After(ms float64, f func()) *time.Timer
	// Defer calls f on the event loop after the current callback has returned.
	Defer(f func())
	// Dial connects to an address within a timeout in ms, and calls done on the event loop.
	Dial(addr string, timeout float64, done func(*eventloop.Conn, error))

	// RecordPosition adds a position reported by a member to the estimate of the cluster's clock; sent is when the query was written.
	RecordPosition(member string, role router.Role, position, sent float64)
	// PositionPossible reports whether a position is plausible, given the estimate of the cluster's clock.
	PositionPossible(position float64) bool
	// ForgetMember discards everything that a member has reported.
	ForgetMember(member string)

	// AttemptIdleChanged reports what an attempt waits for: a connection or its client if waiting is set, or else its member.
	AttemptIdleChanged(req *request.Request, attempt int, waiting bool)
	// ClientGone reports that the client of a request has disconnected.
	ClientGone(req *request.Request)
	// AttemptEnded reports the outcome of an attempt. took is the time in ms that the member took; role and position are those that the
	// member reported, or RoleUnknown and Never; rows is the response.
	AttemptEnded(req *request.Request, attempt int, member string, outcome router.Outcome, took float64, role router.Role,
		position float64, rows []byte)
	// StatementFailed is called instead of AttemptEnded if an attempt ended with an error of the statement itself.
	StatementFailed(req *request.Request, attempt int, member string, e *pg.Error)
	// HealthChecked reports the outcome of a health check.
	HealthChecked(member string, outcome router.Outcome)
	// Reported passes on a member's role and position, reported in a health check or with a response.
	Reported(member string, role router.Role, position float64)
}

// Backend manages the connections to all members. Its exported fields are counters.
type Backend struct {
	driver        Driver
	options       Options
	pool          *connpool.Pool
	members       map[string]*member
	conns         map[int]*memberConn             // established connections, by the pool's connection id
	attempts      map[string]*job                 // attempts in flight, by request id
	waiting       map[string]*job                 // jobs waiting for a connection, by pool request id
	parameters    map[string]*iradix.Tree[string] // parameters last reported by members at a login, by pool
	poolRequests  int                             // number of requests made to the pool; also the last request's id
	carryingOut   bool                            // set while decisions are carried out, to prevent recursion
	timerAt       float64                         // when timer fires to carry out the pool's decisions; +Inf if no timer is set
	timer         *time.Timer
	bufferedBytes int // size of all incomplete responses

	NoConnection     int // attempts and health checks rejected because the pool had no capacity
	OverBudget       int // responses discarded because all responses together exceeded ResponseBudget
	ProtocolErrors   int // connections closed because of a protocol violation by the member
	QueueTimeouts    int // attempts that timed out waiting for a connection
	IdleTransactions int // transactions terminated because their client was idle for too long
}

// member is a database server from the member list.
type member struct {
	id, addr    string
	unavailable bool    // draining or removed
	started     float64 // start time, from the list
}

// New returns a Backend without members.
func New(driver Driver, options Options, pool *connpool.Pool) *Backend {
	b := &Backend{
		driver:     driver,
		options:    options,
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

// ApplyMemberList applies a member list, which is either complete or contains only changes. Attempts that are already written continue.
// Attempts that are not written yet end as not sent if their member is draining or removed: they were decided before the list changed, and
// must not be sent long afterwards.
func (b *Backend) ApplyMemberList(list *discovery.List) {
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

// listMember applies one list entry. If the member's address or start time has changed, its existing connections are not reused.
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

// removeMember handles a member that is no longer listed. Its jobs in flight keep their reference to it.
func (b *Backend) removeMember(m *member) {
	m.unavailable = true
	b.poolInput().MemberListed(m.id, b.options.KeepRemoved)
	if !b.options.KeepRemoved {
		delete(b.members, m.id)
		b.driver.ForgetMember(m.id)
	}
}

// endUnavailable ends unwritten attempts and terminates sessions with a reserved connection if their member is draining or removed.
func (b *Backend) endUnavailable() {
	for _, j := range b.attempts {
		if j.member.unavailable && (j.conn == nil || !j.conn.requestWritten()) {
			b.driver.Defer(func() { b.endJob(j, router.NotSent) })
		}
	}
	for _, c := range b.conns {
		if c.member.unavailable && c.streamState != nil && c.reservedFor != nil {
			c.terminateReserved()
		}
	}
}

// Connections returns the number of connections, including those being opened.
func (b *Backend) Connections() int { return b.pool.ConnectionCount() }

// Waiting returns the number of jobs waiting for a connection.
func (b *Backend) Waiting() int { return b.pool.WaitingCount() }

// KnownParameters returns the server parameters that members have last reported at a login on one of a pool's connections: those of a session that
// has set nothing. A client receives them when it connects.
func (b *Backend) KnownParameters(pool string) *iradix.Tree[string] {
	if t := b.parameters[pool]; t != nil {
		return t
	}
	return iradix.New[string]()
}
