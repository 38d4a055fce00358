package frontend

import (
	"wayloft/internal/failpoint"
	"wayloft/internal/pg"
	"wayloft/internal/request"
)

const (
	// acceptPeriodMs is how long after SIGTERM new connections and requests are still accepted.
	acceptPeriodMs = 600.0
	// lateResponseMarginMs is how long after the drain deadline a request without a final response is failed, and sessions are ended whose
	// clients still send requests.
	lateResponseMarginMs = 100.0
)

// drainPhase is the phase of the graceful shutdown. Phases are entered in ascending order.
type drainPhase uint8

const (
	notDraining drainPhase = iota
	// drainAccepting still accepts connections and requests, and limits the deadline of each new request to the drain deadline.
	drainAccepting
	// drainEndingSessions closes each session as soon as it is idle.
	drainEndingSessions
)

// Drain starts the graceful shutdown. The Frontend continues to serve for acceptPeriodMs, then ends each session once it is idle, and
// stops the event loop after the last session. signalled is the time at which the signal was received, in ms on the loop's clock. The
// drain deadline is graceMs after it: by then each request gets its final response, whatever members do, since the process may be
// killed soon afterwards. Calls after the first have no effect.
func (f *Frontend) Drain(signalled, graceMs float64) {
	if f.drainPhase != notDraining {
		return
	}
	f.drainPhase = drainAccepting
	f.drainDeadline = signalled + graceMs
	now := f.driver.Clock()
	f.driver.After(signalled+acceptPeriodMs-now, func() {
		f.drainPhase, f.endingSince = drainEndingSessions, f.driver.Now()
		f.scheduleSweep()
		f.endIdleSessions()
	})
	f.driver.After(f.drainDeadline+lateResponseMarginMs-now, func() {
		f.drainOverdue = true
		f.failOpenRequests()
		f.driver.Defer(f.endRemainingSessions) // a session may be idle once its request has failed
	})
}

// limitWait limits the deadline of a request that arrives during the drain to the drain deadline, so that it ends before the process
// may be killed. A request that arrives after the drain deadline is rejected without being sent to a member.
func (f *Frontend) limitWait(req *request.Request) {
	if f.drainPhase != notDraining {
		req.LimitWait(max(0, f.drainDeadline-req.Arrived))
	}
}

// endIdleSessions ends idle sessions. Once acceptPeriodMs have passed in this phase, or at the drain deadline if that is earlier, it
// also ends sessions that still wait for a first query or for the rest of a message.
func (f *Frontend) endIdleSessions() {
	overdue := f.driver.Now() > min(f.endingSince+acceptPeriodMs, f.drainDeadline)
	for s := range f.sessions {
		if s.state < sessionEnding && (s.idle() || overdue && s.awaitsInput()) {
			s.endForShutdown()
		}
	}
	f.stopAfterLastSession()
}

// endRemainingSessions ends the sessions that are left, except those with an open request, which end behind its response.
func (f *Frontend) endRemainingSessions() {
	for s := range f.sessions {
		s.processQueue()
	}
	f.stopAfterLastSession()
}

// endIfOverdue ends a session between two requests once the drain is overdue: at once if it is quiet, otherwise with an error after the
// responses to the requests that were read. It guards against a drain that lasts as long as a client always has another request outstanding.
func (s *session) endIfOverdue() {
	if !s.frontend.drainOverdue || s.state != sessionOpen || s.requestOpen() {
		return
	}
	if s.idle() {
		s.endForShutdown()
	}
	if s.state == sessionOpen {
		s.conn.PauseReading() // what is read must have a response
		s.endAfterQueue(s.shutdownError())
	}
}

// endForShutdown ends a session without pending responses. A client that has sent a part of a request receives an error, since it may
// send the rest before it reads the end of the connection.
func (s *session) endForShutdown() {
	switch {
	case s.idle() && s.pooled == nil:
		s.endIfQuiescent()
	case s.conn.Unread():
	default:
		s.finishWithError(s.shutdownError())
	}
}

// shutdownError returns the error that ends a session whose client may have sent a request that is not handled.
func (s *session) shutdownError() *pg.Error {
	if s.pooled != nil {
		return errPooledShuttingDown
	}
	return errShuttingDown
}

// failOpenRequests fails the requests that have no response at the end of the drain. Requests of pooled sessions are left out: they
// end with their transactions.
func (f *Frontend) failOpenRequests() {
	for s := range f.sessions {
		if s.request != nil {
			f.driver.ClientGone(s.request)
			s.deliver(request.Response{}, s.statementBytes)
		}
	}
}

// stopAfterLastSession stops the event loop once the last session has ended and no connection is being accepted.
func (f *Frontend) stopAfterLastSession() {
	if f.drainPhase != drainEndingSessions || len(f.sessions) > 0 {
		return
	}
	failpoint.Hit("frontend.last_session")
	if f.gate.empty() {
		f.driver.Stop()
	}
}
