// Package frontend serves the clients. It accepts their connections, speaks the PostgreSQL protocol with them, makes requests of what they
// send and writes the responses in the order of the requests. A session is in one of two modes: in statement-comment mode each query is a
// request of its own, in transaction pooling mode a request is a transaction. The package also bounds what clients may use, ends idle
// sessions and drains the process.
//
// internal/server creates a Frontend and starts it on a listener; the event loop calls it for each connection. It hands requests to the
// event loop's driver and never knows a member. It never gives a request a response that neither a member nor a decision made.
//
// All of it runs on the event loop, except for the listener that Gate returns.
package frontend

import (
	"wayloft/internal/eventloop"
	"wayloft/internal/pg"
)

const (
	// rejectionSlots is how many connections are accepted beyond the limit, whose clients then receive an error.
	rejectionSlots = 16
	// overBudgetFactor multiplies maxHeldBytes, from which statements are rejected: from the product on sessions end.
	overBudgetFactor = 2
)

// Frontend holds all sessions of the clients.
type Frontend struct {
	driver          *eventloop.Driver
	maxSessions     int
	maxHeldBytes    int // of statements and parts of them, of all sessions together
	maxMessageBytes int

	pooling      *Pooling // nil: all sessions are in statement-comment mode
	sessions     map[*session]bool
	cancelKeys   map[pg.CancelKey]*pooledSession
	generatedIDs uint64 // requests to which the client gave no id
	heldBytes    int

	gate           *gate
	acceptSlots    chan struct{} // holds one element for each connection accepted
	endingSessions int           // sessions whose connection is being closed and not closed yet

	sweepIndex     sweepIndex
	sweepScheduled bool

	drainPhase    drainPhase
	drainDeadline float64 // ms on the loop's clock: each request has its final response by then; set while draining
	endingSince   float64 // ms on the loop's clock: when the phase drainEndingSessions began

	// Rejected counts statements over the budget.
	Rejected int
	// ProtocolErrors counts sessions and statements that broke the protocol.
	ProtocolErrors int
	// TimedOut counts sessions whose client took too long to send a message.
	TimedOut int
	// NoSessionSlot counts connections that found no room.
	NoSessionSlot int
}

// New returns a Frontend without sessions. It holds at most maxSessions, which together hold at most maxHeldBytes of statements, none
// longer than maxMessageBytes.
func New(driver *eventloop.Driver, maxSessions, maxHeldBytes, maxMessageBytes int) *Frontend {
	return &Frontend{
		driver:          driver,
		maxSessions:     maxSessions,
		maxHeldBytes:    maxHeldBytes,
		maxMessageBytes: maxMessageBytes,
		sessions:        map[*session]bool{},
		sweepIndex:      sweepIndex{active: map[*session]bool{}},
		cancelKeys:      map[pg.CancelKey]*pooledSession{},
		acceptSlots:     make(chan struct{}, maxSessions+rejectionSlots),
	}
}

// Accept makes a session of a connection that was accepted. If there is no room, and no other session can be ended for it, the client is
// rejected.
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
		f.gate.started++
		f.gate.open()
	}
	f.evictIfFull()
	if f.occupiedSlots() > f.maxSessions && s.state < sessionEnding && !conn.Unread() {
		f.NoSessionSlot++
		s.finishWithError(errTooManySessions)
	}
}

// occupiedSlots returns how many sessions count against the limit.
func (f *Frontend) occupiedSlots() int { return len(f.sessions) - f.endingSessions }

// SessionCounts returns how many sessions there are, and how many of them wait for a response.
func (f *Frontend) SessionCounts() (all, busy int) {
	for s := range f.sessions {
		if s.request != nil || s.pooled != nil && s.pooled.request != nil {
			busy++
		}
	}
	return len(f.sessions), busy
}

// overBudget reports whether all sessions together hold too much, and one that holds sessionBytes more than its share. A session with
// large statements must not end the sessions of others.
func (f *Frontend) overBudget(sessionBytes int) bool {
	return f.heldBytes > overBudgetFactor*f.maxHeldBytes && sessionBytes > f.maxHeldBytes/f.maxSessions
}
