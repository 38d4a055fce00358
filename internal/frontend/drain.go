package frontend

import (
	"wayloft/internal/failpoint"
	"wayloft/internal/pg"
	"wayloft/internal/request"
)

const (
	comers      = 600.0 // ms after SIGTERM until no new connection or request comes (PROTOCOL: 400 at most)
	giveUpAfter = 100.0 // ms by which a final answer may miss the end of the drain before the request is given up
)

var goingDown = &pg.Error{Code: pg.TooManyConnections, Text: "the router is going down"}

// Drain serves on while connections may come, then ends each session once it is quiet, and the loop after the last. The signal was
// received at this time of the loop's clock, and within so many ms of it each request has its final answer, whatever members do:
// the process may be killed soon after that.
func (a *Frontend) Drain(signalled, within float64) {
	if a.draining { // told twice: the first counts
		return
	}
	a.draining = true
	a.answerBy = signalled + within
	now := a.host.Clock()
	a.host.After(signalled+comers-now, func() {
		a.leaving, a.left = true, a.host.Now()
		a.lookSoon()
		a.sweep()
	})
	a.host.After(a.answerBy+giveUpAfter-now, a.giveUp)
}

// limitWait has a request that is taken while the router drains end before the process may be killed. One that comes later has no
// time left: it is rejected, and never sent to a member.
func (a *Frontend) limitWait(t *request.Request) {
	if a.draining {
		t.LimitWait(max(0, a.answerBy-t.Arrived))
	}
}

// sweep ends what is quiet; after a while also what has not sent its query to the end.
func (a *Frontend) sweep() {
	now := a.host.Now()
	late := now > min(a.left+comers, a.answerBy)
	for s := range a.sessions {
		if !s.ends && (s.quiet() || late && s.unfinished()) {
			s.leave()
		}
	}
	a.last()
}

// leave ends a session at the end of the process, once nothing is owed. A client that has sent a part of a request is told why: it may
// send the rest before it sees the end.
func (s *session) leave() {
	switch {
	case s.quiet() && s.p == nil:
		s.retire()
	case s.conn.Unread():
	case s.p == nil:
		s.refuse(goingDown)
	default:
		s.refuse(&pg.Error{Code: pg.AdminShutdown, Text: goingDown.Text})
	}
}

// giveUp answers the requests that are still without an answer at the end of the drain. Those of pools end with their transactions.
func (a *Frontend) giveUp() {
	for s := range a.sessions {
		if t := s.txn; t != nil {
			a.host.ClientGone(t)
			s.deliver(request.Response{}, s.size)
		}
	}
}

// last ends the loop after the last session, unless one more is on its way in.
func (a *Frontend) last() {
	if !a.leaving || len(a.sessions) > 0 {
		return
	}
	if failpoint.Hit("clients.last"); a.gate.empty() {
		a.host.Stop()
	}
}
