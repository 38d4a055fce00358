package frontend

import "wayloft/internal/decide/timerqueue"

const (
	// sweepIntervalMs is the time between two sweeps over the sessions that are not idle.
	sweepIntervalMs = 100.0
	// writeStallTimeoutMs is how long a client may leave a response unread.
	writeStallTimeoutMs = 5000.0
	// idleTimeoutMs is how long a session in statement-comment mode may be idle.
	idleTimeoutMs = 10e3
	// idleShareDivisor divides maxSessions: so many idle sessions are kept at most.
	idleShareDivisor = 3
)

// scheduleSweep has the next sweep run, unless one is scheduled. There is none while all sessions are idle and pooled.
func (f *Frontend) scheduleSweep() {
	if !f.sweepScheduled {
		f.sweepScheduled = true
		f.driver.After(sweepIntervalMs, f.sweep)
	}
}

func (f *Frontend) sweep() {
	f.sweepScheduled = false
	f.sweepOnce()
	if f.drainPhase == drainEndingSessions || len(f.sweepIndex.active)+f.sweepIndex.idle.Len() > 0 {
		f.scheduleSweep()
	}
}

// sweepOnce visits the active sessions. It goes on with what waits for its turn, and ends sessions that have taken too long for anything
// but a response: connections that are never used, messages that never end, responses that are never read. It then ends sessions in
// statement-comment mode that are idle for too long, or too many, so that clients that keep connections without using them leave room
// for others.
func (f *Frontend) sweepOnce() {
	now := f.driver.Now()
	for s := range f.sweepIndex.active {
		f.sweepIndex.visits++
		f.sweepSession(s, now)
		f.sweepIndex.deactivateIfIdle(s)
	}
	f.endLongestIdle(now, f.maxSessions/idleShareDivisor)
	if f.drainPhase == drainEndingSessions {
		f.endIdleSessions()
	}
}

func (f *Frontend) sweepSession(s *session, now float64) {
	s.handledSinceSweep = 0
	if s.pooled != nil || len(s.queue) > 0 {
		s.processQueue()
	}
	if written := s.conn.Written(); s.conn.Unsent() == 0 || written != s.writtenAtSweep {
		s.writtenAtSweep, s.readProgressAt = written, now
	}
	switch {
	case s.state >= sessionEnding:
	case now > s.readProgressAt+writeStallTimeoutMs:
		s.drop()
	case s.state == sessionOpen && s.awaitsInput() && now > s.inputDeadline && !s.conn.Unread():
		f.TimedOut++
		s.finishWithError(errQueryTimeout)
	}
}

// sweepIndex says which sessions a sweep must visit, so that its cost does not grow with the number of idle sessions. A session is
// inactive once nothing can change for it, except through its client or because it has been idle longest; the client's next bytes make it
// active again.
type sweepIndex struct {
	active             map[*session]bool
	awaitingFirstQuery timerqueue.Queue[*session] // sessions that have not sent a query, by idleSince
	idle               timerqueue.Queue[*session] // inactive sessions in statement-comment mode, by idleSince

	visits int // how many sessions were visited so far
}

// sweepTimers are a session's entries in a sweepIndex. Their times may be earlier than the session's idleSince, never later: whoever finds
// one of them first in its queue moves it to its place.
type sweepTimers struct{ awaitingFirstQuery, idle timerqueue.Timer[*session] }

// add enters a new session: it is active and has not sent a query.
func (i *sweepIndex) add(s *session) {
	s.timers.awaitingFirstQuery.Of, s.timers.idle.Of = s, s
	i.active[s] = true
	i.awaitingFirstQuery.Put(&s.timers.awaitingFirstQuery, s.idleSince)
}

// activate has the next sweep visit the session.
func (i *sweepIndex) activate(s *session, now float64) {
	i.idle.Drop(&s.timers.idle)
	if !i.active[s] {
		i.active[s], s.readProgressAt = true, now
	}
}

// remove takes the session out of the index.
func (i *sweepIndex) remove(s *session) {
	delete(i.active, s)
	i.awaitingFirstQuery.Drop(&s.timers.awaitingFirstQuery)
	i.idle.Drop(&s.timers.idle)
}

// deactivateIfIdle makes a session inactive that was just visited, if nothing is left to be done for it.
func (i *sweepIndex) deactivateIfIdle(s *session) {
	ending := s.state >= sessionEnding
	if s.sentQuery || ending {
		i.awaitingFirstQuery.Drop(&s.timers.awaitingFirstQuery)
	}
	idle := s.sentQuery && s.state == sessionOpen && s.idle()
	if idle && s.pooled == nil {
		i.idle.Put(&s.timers.idle, s.idleSince)
	}
	if ending || idle && s.conn.Unsent() == 0 {
		delete(i.active, s)
	}
}
