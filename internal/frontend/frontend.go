// Package frontend serves client connections. It accepts them, speaks the PostgreSQL protocol, turns the clients' messages into requests
// and writes the responses in the order of the requests. A session is in one of two modes: in statement-comment mode each query is a
// request of its own, in transaction pooling mode a request is a transaction. The package also limits the resources that clients may use,
// ends idle sessions and drains the process.
//
// internal/server creates a Frontend and starts it on a listener; the event loop calls it for each connection. The Frontend passes requests
// to the event loop's driver and has no knowledge of members. Each response to such a request comes from a member or from a decision; the
// exceptions are requests that their client cancels and those still open at the end of the drain.
//
// All code runs on the event loop, except for the listener that Gate returns.
package frontend

import (
	"wayloft/internal/decide/memory"
	"wayloft/internal/eventloop"
	"wayloft/internal/pg"
)

const (
	// rejectionSlots is how many connections are accepted beyond the session limit, so that their clients receive an error.
	rejectionSlots = 16
)

// Frontend manages all client sessions.
type Frontend struct {
	driver          *eventloop.Driver
	maxSessions     int
	memory          *memory.Account
	maxMessageBytes int

	pooling      *Pooling // nil: all sessions are in statement-comment mode
	sessions     map[*session]bool
	cancelKeys   map[pg.CancelKey]*pooledSession
	generatedIDs uint64 // number of ids generated for requests without one from the client

	gate           *gate
	acceptSlots    chan struct{} // semaphore: one element for each accepted connection
	endingSessions int           // number of sessions in the state sessionEnding

	onScarce func(scarce bool)
	scarce   bool // memory was scarce at the last sweep

	sweepIndex     sweepIndex
	sweepScheduled bool

	drainPhase    drainPhase
	drainDeadline float64 // ms on the loop's clock, by which each request gets its final response; set while draining
	drainOverdue  bool    // the drain deadline and lateResponseMarginMs have passed: sessions end with their open requests
	endingSince   float64 // ms on the loop's clock, at which the phase drainEndingSessions began

	// RejectedRequests counts statements rejected because the memory budget or the limit of pipelined queries was exceeded.
	RejectedRequests int
	// ProtocolErrors counts sessions and statements that failed with an error of the client's.
	ProtocolErrors int
	// TimedOut counts sessions ended because the client took too long to send its first query or the rest of a message.
	TimedOut int
	// SlowReaders counts sessions ended because their unread responses took memory that was needed.
	SlowReaders int
	// RejectedSessions counts connections rejected because the session limit was reached.
	RejectedSessions int
}

// New returns a Frontend without sessions. maxSessions limits the number of sessions, account the memory that clients and members make the
// router hold, and maxMessageBytes the length of one message.
func New(driver *eventloop.Driver, maxSessions int, account *memory.Account, maxMessageBytes int) *Frontend {
	return &Frontend{
		driver:          driver,
		maxSessions:     maxSessions,
		memory:          account,
		maxMessageBytes: maxMessageBytes,
		sessions:        map[*session]bool{},
		sweepIndex:      sweepIndex{active: map[*session]bool{}},
		cancelKeys:      map[pg.CancelKey]*pooledSession{},
		acceptSlots:     make(chan struct{}, maxSessions+rejectionSlots),
	}
}

// OnMemoryScarce sets a function that is called when memory has become scarce, so that input is refused, and when it is no longer.
func (f *Frontend) OnMemoryScarce(report func(scarce bool)) { f.onScarce = report }

// reportMemory reports a change since the last call.
func (f *Frontend) reportMemory() {
	scarce := !f.memory.Allows(memory.InputAhead, 0)
	if scarce != f.scarce && f.onScarce != nil {
		f.onScarce(scarce)
	}
	f.scarce = scarce
}

// Accept creates a session for an accepted connection. If the session limit is reached, and no other session can be evicted, the client
// is rejected.
func (f *Frontend) Accept(conn *eventloop.Conn) {
	now := f.driver.Now()
	s := &session{
		frontend:       f,
		conn:           conn,
		reader:         pg.NewReader(false, f.maxMessageBytes),
		idleSince:      now,
		readProgressAt: now,
		inputDeadline:  now + messageTimeoutMs,
	}
	conn.Handle(s)
	f.sessions[s] = true
	f.sweepIndex.add(s)
	f.scheduleSweep()
	if f.gate != nil {
		f.gate.sessionsStarted++
		f.gate.open()
	}
	f.evictIfFull()
	if f.occupiedSlots() > f.maxSessions && s.state < sessionEnding && !conn.Unread() {
		f.RejectedSessions++
		s.finishWithError(errTooManySessions)
	}
}

// occupiedSlots returns how many sessions count against the limit: those that are ending don't.
func (f *Frontend) occupiedSlots() int { return len(f.sessions) - f.endingSessions }

// SessionCounts returns the number of sessions, and how many of them have a request in progress.
func (f *Frontend) SessionCounts() (total, busy int) {
	for s := range f.sessions {
		if s.request != nil || s.pooled != nil && s.pooled.request != nil {
			busy++
		}
	}
	return len(f.sessions), busy
}
