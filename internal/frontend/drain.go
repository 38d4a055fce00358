package frontend

import (
	"wayloft/internal/failpoint"
	"wayloft/internal/pg"
	"wayloft/internal/request"
)

const (
	acceptPeriodMs       = 600.0 // ms after SIGTERM until no new connection or request comes (PROTOCOL: 400 at most)
	lateResponseMarginMs = 100.0 // ms by which a final answer may miss the end of the drain before the request is given up
)

var errShuttingDown = &pg.Error{Code: pg.TooManyConnections, Text: "the router is going down"}

// Drain serves on while connections may come, then ends each session once it is quiet, and the loop after the last. The signal was
// received at this time of the loop's clock, and within so many ms of it each request has its final answer, whatever members do:
// the process may be killed soon after that.
func (a *Frontend) Drain(signalled, within float64) {
	if a.draining { // told twice: the first counts
		return
	}
	a.draining = true
	a.drainDeadline = signalled + within
	now := a.driver.Clock()
	a.driver.After(signalled+acceptPeriodMs-now, func() {
		a.leaving, a.endingSince = true, a.driver.Now()
		a.scheduleSweep()
		a.endIdleSessions()
	})
	a.driver.After(a.drainDeadline+lateResponseMarginMs-now, a.failOpenRequests)
}

// limitWait has a request that is taken while the router drains end before the process may be killed. One that comes later has no
// time left: it is rejected, and never sent to a member.
func (a *Frontend) limitWait(t *request.Request) {
	if a.draining {
		t.LimitWait(max(0, a.drainDeadline-t.Arrived))
	}
}

// endIdleSessions ends what is quiet; after a while also what has not sent its query to the end.
func (a *Frontend) endIdleSessions() {
	now := a.driver.Now()
	late := now > min(a.endingSince+acceptPeriodMs, a.drainDeadline)
	for s := range a.sessions {
		if !s.ends && (s.idle() || late && s.awaitsInput()) {
			s.endForShutdown()
		}
	}
	a.stopAfterLastSession()
}

// endForShutdown ends a session at the end of the process, once nothing is owed. A client that has sent a part of a request is told why: it may
// send the rest before it sees the end.
func (s *session) endForShutdown() {
	switch {
	case s.idle() && s.pooled == nil:
		s.endIfQuiescent()
	case s.conn.Unread():
	case s.pooled == nil:
		s.finishWithError(errShuttingDown)
	default:
		s.finishWithError(&pg.Error{Code: pg.AdminShutdown, Text: errShuttingDown.Text})
	}
}

// failOpenRequests answers the requests that are still without an answer at the end of the drain. Those of pools end with their transactions.
func (a *Frontend) failOpenRequests() {
	for s := range a.sessions {
		if t := s.request; t != nil {
			a.driver.ClientGone(t)
			s.deliver(request.Response{}, s.statementBytes)
		}
	}
}

// stopAfterLastSession ends the loop after the last session, unless one more is on its way in.
func (a *Frontend) stopAfterLastSession() {
	if !a.leaving || len(a.sessions) > 0 {
		return
	}
	if failpoint.Hit("clients.last"); a.gate.empty() {
		a.driver.Stop()
	}
}
