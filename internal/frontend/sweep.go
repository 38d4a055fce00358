package frontend

import "wayloft/internal/decide/timerqueue"

const (
	// sweepIntervalMs is the interval between two sweeps of the active sessions.
	sweepIntervalMs = 100.0
	// writeStallTimeoutMs is how long a client may go without reading while response data is unsent.
	writeStallTimeoutMs = 5000.0
	// idleTimeoutMs is how long a session in statement-comment mode may be idle.
	idleTimeoutMs = 10e3
	// idleShareDivisor limits the idle sessions in statement-comment mode to maxSessions/idleShareDivisor.
	idleShareDivisor = 3
)

// scheduleSweep schedules the next sweep, unless one is scheduled. No sweep is scheduled while all sessions are idle and pooled.
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

// sweepOnce visits the active sessions. It resumes their queued messages and ends sessions whose client has exceeded a time limit: for the
// first query, for the rest of a message, or for reading a response. It then ends sessions in statement-comment mode that have been idle
// for too long, or exceed the limit of idle sessions, so that clients that keep unused connections leave room for others.
func (f *Frontend) sweepOnce() {
	now := f.driver.Now()
	for s := range f.sweepIndex.active {
		f.sweepIndex.visits++
		f.sweepSession(s, now)
		f.sweepIndex.deactivateIfIdle(s)
	}
	f.endLongestIdle(now, f.maxSessions/idleShareDivisor)
	f.reportMemory()
	if f.drainPhase == drainEndingSessions {
		f.endIdleSessions()
	}
}

func (f *Frontend) sweepSession(s *session, now float64) {
	s.handledSinceSweep = 0
	if s.pooled != nil || len(s.queue) > 0 {
		s.processQueue()
	}
	s.updateUnreadBytes()
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

// sweepIndex tracks the sessions that a sweep must visit, so that the cost of a sweep does not grow with the number of idle sessions. A
// session is inactive once its state can change only through its client or by an idle limit or eviction; the client's next bytes make it
// active again.
type sweepIndex struct {
	active             map[*session]bool
	awaitingFirstQuery timerqueue.Queue[*session] // sessions that have not sent a query, by idleSince
	idle               timerqueue.Queue[*session] // inactive sessions in statement-comment mode, by idleSince

	visits int // number of session visits so far, for tests
}

// sweepTimers are a session's entries in a sweepIndex. Their times may be earlier than the session's idleSince, but never later: code that
// finds such an entry at the front of its queue moves it to its place.
type sweepTimers struct{ awaitingFirstQuery, idle timerqueue.Timer[*session] }

// add adds a new session, which is active and has not sent a query.
func (i *sweepIndex) add(s *session) {
	s.timers.awaitingFirstQuery.Value, s.timers.idle.Value = s, s
	i.active[s] = true
	i.awaitingFirstQuery.Schedule(&s.timers.awaitingFirstQuery, s.idleSince)
}

// activate makes the session active, so that the next sweep visits it.
func (i *sweepIndex) activate(s *session, now float64) {
	i.idle.Remove(&s.timers.idle)
	if !i.active[s] {
		i.active[s], s.readProgressAt = true, now
	}
}

// remove removes the session from the index.
func (i *sweepIndex) remove(s *session) {
	delete(i.active, s)
	i.awaitingFirstQuery.Remove(&s.timers.awaitingFirstQuery)
	i.idle.Remove(&s.timers.idle)
}

// deactivateIfIdle makes a session that was just visited inactive if it is ending, or is idle and has no unsent data.
func (i *sweepIndex) deactivateIfIdle(s *session) {
	ending := s.state >= sessionEnding
	if s.sentQuery || ending {
		i.awaitingFirstQuery.Remove(&s.timers.awaitingFirstQuery)
	}
	idle := s.sentQuery && s.state == sessionOpen && s.idle()
	if idle && s.pooled == nil {
		i.idle.Schedule(&s.timers.idle, s.idleSince)
	}
	if ending || idle && s.conn.Unsent() == 0 {
		delete(i.active, s)
	}
}
