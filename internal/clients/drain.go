package clients

import (
	"wayloft/internal/faults"
	"wayloft/internal/pg"
)

// Drain serves on while connections may come, then ends each session once it is quiet, and the loop after the last.
func (a *Clients) Drain() {
	if a.draining { // told twice: the first counts
		return
	}
	a.draining = true
	a.host.After(comers, func() {
		a.leaving, a.left = true, a.host.Now()
		a.lookSoon()
		a.sweep()
	})
}

// sweep ends what is quiet; after a while also what has not sent its query to the end, and never will.
func (a *Clients) sweep() {
	for s := range a.sessions {
		if !s.ends && (s.quiet() || a.host.Now() > a.left+comers && s.answered()) {
			s.leave()
		}
	}
	a.last()
}

// leave ends a session at the end of the process, once nothing is owed.
func (s *session) leave() {
	if s.p == nil {
		s.retire()
	} else if !s.conn.Unread() {
		s.refuse(&pg.Error{Code: pg.GoingDown, Text: "the router is going down"})
	}
}

// last ends the loop after the last session, unless one more is on its way in.
func (a *Clients) last() {
	if !a.leaving || len(a.sessions) > 0 {
		return
	}
	if faults.Here("clients.last"); a.gate.empty() {
		a.host.End()
	}
}
