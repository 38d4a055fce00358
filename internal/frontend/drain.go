package frontend

import (
	"wayloft/internal/failpoint"
	"wayloft/internal/request"
)

const (
	// acceptPeriodMs is how long after SIGTERM new connections and requests may still come.
	acceptPeriodMs = 600.0
	// lateResponseMarginMs is by how much a final response may miss the end of the drain before the request is failed.
	lateResponseMarginMs = 100.0
)

// drainPhase says how far the graceful shutdown has come. It only grows.
type drainPhase uint8

const (
	notDraining drainPhase = iota
	// drainAccepting still accepts connections and requests; requests end before the end of the drain.
	drainAccepting
	// drainEndingSessions ends each session as soon as it is idle.
	drainEndingSessions
)

// Drain begins the graceful shutdown. It serves on for acceptPeriodMs, then ends each session once it is idle, and the event loop after
// the last. signalled is when the signal was received, in ms on the loop's clock. Within so many ms of it each request has its final
// response, whatever members do: the process may be killed soon after that. Only the first call counts.
func (f *Frontend) Drain(signalled, within float64) {
	if f.drainPhase != notDraining {
		return
	}
	f.drainPhase = drainAccepting
	f.drainDeadline = signalled + within
	now := f.driver.Clock()
	f.driver.After(signalled+acceptPeriodMs-now, func() {
		f.drainPhase, f.endingSince = drainEndingSessions, f.driver.Now()
		f.scheduleSweep()
		f.endIdleSessions()
	})
	f.driver.After(f.drainDeadline+lateResponseMarginMs-now, f.failOpenRequests)
}

// limitWait shortens the wait of a request that arrives during the drain, so that it ends before the process may be killed. A request
// that arrives after the deadline of the drain is rejected, and never sent to a member.
func (f *Frontend) limitWait(req *request.Request) {
	if f.drainPhase != notDraining {
		req.LimitWait(max(0, f.drainDeadline-req.Arrived))
	}
}

// endIdleSessions ends sessions that are idle. After a while it also ends those whose client has not sent its query completely.
func (f *Frontend) endIdleSessions() {
	overdue := f.driver.Now() > min(f.endingSince+acceptPeriodMs, f.drainDeadline)
	for s := range f.sessions {
		if s.state < sessionEnding && (s.idle() || overdue && s.awaitsInput()) {
			s.endForShutdown()
		}
	}
	f.stopAfterLastSession()
}

// endForShutdown ends a session to which no response is owed. A client that has sent a part of a request receives an error, since it may
// send the rest before it reads the end of the connection.
func (s *session) endForShutdown() {
	switch {
	case s.idle() && s.pooled == nil:
		s.endIfQuiescent()
	case s.conn.Unread():
	case s.pooled == nil:
		s.finishWithError(errShuttingDown)
	default:
		s.finishWithError(errPooledShuttingDown)
	}
}

// failOpenRequests answers the requests that have no response at the end of the drain. Requests of pooled sessions end with their
// transactions.
func (f *Frontend) failOpenRequests() {
	for s := range f.sessions {
		if s.request != nil {
			f.driver.ClientGone(s.request)
			s.deliver(request.Response{}, s.statementBytes)
		}
	}
}

// stopAfterLastSession stops the event loop if the last session has ended and no connection is being accepted.
func (f *Frontend) stopAfterLastSession() {
	if f.drainPhase != drainEndingSessions || len(f.sessions) > 0 {
		return
	}
	failpoint.Hit("frontend.last_session")
	if f.gate.empty() {
		f.driver.Stop()
	}
}
