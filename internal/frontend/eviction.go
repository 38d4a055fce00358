package frontend

import "wayloft/internal/decide/timerqueue"

// newConnectionGraceMs is how long a session that has not sent a query is spared.
const newConnectionGraceMs = 100.0

// evictIfFull ends one session if there is no room for another. A candidate that can't be ended, since something has just come from its
// client, is passed over.
func (f *Frontend) evictIfFull() {
	for f.occupiedSlots() >= f.maxSessions {
		candidate := f.evictionCandidate(f.driver.Now())
		if candidate == nil || candidate.endIfQuiescent() {
			return
		}
	}
}

// evictionCandidate returns the session to be ended first where another could not come in: one that has had time to send a query and did
// not, else the one that has been idle longest, else a new one. Connections that never send anything thereby push out each other before
// any other session. It returns nil if no session can be ended.
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

// longestIdle returns the session of a queue that has been idle longest and can end now, nil if none has been idle since before. Sessions
// that can't end now stay in the queue.
func (i *sweepIndex) longestIdle(queue *timerqueue.Queue[*session], before float64) *session {
	var skipped []*timerqueue.Timer[*session]
	defer func() { requeueTimers(queue, skipped) }()
	for timer := queue.First(); timer != nil && timer.At() <= before; timer = queue.First() {
		i.visits++
		s := timer.Of
		switch {
		case s.state >= sessionEnding || queue == &i.awaitingFirstQuery && s.sentQuery:
			queue.Drop(timer)
		case s.idleSince > timer.At():
			queue.Put(timer, s.idleSince)
		case s.evictable() && !s.conn.Unread():
			return s
		default:
			queue.Drop(timer)
			skipped = append(skipped, timer)
		}
	}
	return nil
}

// longestIdleActive returns the session that has been idle longest among those that became idle since the last sweep.
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

// endLongestIdle ends sessions in statement-comment mode that have been idle for too long, and all but the latest of those that are idle.
func (f *Frontend) endLongestIdle(now float64, maxIdle int) {
	queue := &f.sweepIndex.idle
	var skipped []*timerqueue.Timer[*session]
	for timer := queue.First(); timer != nil; timer = queue.First() {
		tooMany := queue.Len()+len(skipped) > maxIdle
		if !tooMany && now <= timer.At()+idleTimeoutMs {
			break
		}
		f.sweepIndex.visits++
		s := timer.Of
		if s.idleSince > timer.At() {
			queue.Put(timer, s.idleSince)
			continue
		}
		queue.Drop(timer)
		if !s.endIfQuiescent() { // something has come: it becomes active
			skipped = append(skipped, timer)
			maxIdle++
		}
	}
	requeueTimers(queue, skipped)
}

// requeueTimers adds timers again that were taken out of a queue to see the next.
func requeueTimers(queue *timerqueue.Queue[*session], timers []*timerqueue.Timer[*session]) {
	for _, timer := range timers {
		queue.Put(timer, timer.At())
	}
}
