package frontend

import "wayloft/internal/decide/timerqueue"

// newConnectionGraceMs is how long a new session may take to send its first query before it is preferred for eviction.
const newConnectionGraceMs = 100.0

// evictIfFull ends one session if the session limit is reached. A candidate that can't be ended, since data from its client has just
// arrived, is skipped.
func (f *Frontend) evictIfFull() {
	for f.occupiedSlots() >= f.maxSessions {
		candidate := f.evictionCandidate(f.driver.Now())
		if candidate == nil || candidate.endIfQuiescent() {
			return
		}
	}
}

// evictionCandidate returns the session to evict first when the session limit is reached: one that has sent no query within
// newConnectionGraceMs, else the one that has been idle longest, else a newer one without a query. Connections that never send anything
// are thereby evicted before any other session. It returns nil if no session can be evicted.
func (f *Frontend) evictionCandidate(now float64) *session {
	index := &f.sweepIndex
	if s := index.longestIdle(&index.awaitingFirstQuery, now-newConnectionGraceMs); s != nil {
		return s
	}
	if s := index.longestIdle(&index.idle, now); s != nil {
		return s
	}
	if s := index.longestIdleActive(); s != nil {
		return s
	}
	return index.longestIdle(&index.awaitingFirstQuery, now)
}

// longestIdle returns the evictable session of a queue that has been idle longest, or nil if none has been idle since maxIdleSince.
// Sessions that can't be evicted now stay in the queue.
func (i *sweepIndex) longestIdle(queue *timerqueue.Queue[*session], maxIdleSince float64) *session {
	var skipped []*timerqueue.Timer[*session]
	defer func() { requeueTimers(queue, skipped) }()
	for timer := queue.First(); timer != nil && timer.Deadline() <= maxIdleSince; timer = queue.First() {
		i.visits++
		s := timer.Value
		switch {
		case s.state >= sessionEnding || queue == &i.awaitingFirstQuery && s.sentQuery:
			queue.Remove(timer)
		case s.idleSince > timer.Deadline():
			queue.Schedule(timer, s.idleSince)
		case s.evictable() && !s.conn.Unread():
			return s
		default:
			queue.Remove(timer)
			skipped = append(skipped, timer)
		}
	}
	return nil
}

// longestIdleActive returns the evictable session that has been idle longest among those that became idle since the last sweep.
func (i *sweepIndex) longestIdleActive() (longest *session) {
	for s := range i.active {
		i.visits++
		if !s.sentQuery || !s.evictable() || longest != nil && s.idleSince >= longest.idleSince {
			continue
		}
		if !s.conn.Unread() {
			longest = s
		}
	}
	return longest
}

// endLongestIdle ends sessions in statement-comment mode that have been idle for longer than idleTimeoutMs, and those idle longest while
// there are more than maxIdle idle ones.
func (f *Frontend) endLongestIdle(now float64, maxIdle int) {
	queue := &f.sweepIndex.idle
	var skipped []*timerqueue.Timer[*session]
	for timer := queue.First(); timer != nil; timer = queue.First() {
		tooMany := queue.Len()+len(skipped) > maxIdle
		if !tooMany && now <= timer.Deadline()+idleTimeoutMs {
			break
		}
		f.sweepIndex.visits++
		s := timer.Value
		if s.idleSince > timer.Deadline() {
			queue.Schedule(timer, s.idleSince)
			continue
		}
		queue.Remove(timer)
		if !s.endIfQuiescent() { // data has arrived from its client: the session becomes active
			skipped = append(skipped, timer)
			maxIdle++
		}
	}
	requeueTimers(queue, skipped)
}

// requeueTimers adds skipped timers back to their queue.
func requeueTimers(queue *timerqueue.Queue[*session], timers []*timerqueue.Timer[*session]) {
	for _, timer := range timers {
		queue.Schedule(timer, timer.Deadline())
	}
}
