package frontend

import (
	iradix "github.com/hashicorp/go-immutable-radix/v2"

	"wayloft/internal/decide/timerqueue"
)

// defaultParameters is what all clients are told before any member has told more. One for all: each of its own, it took two thirds of
// what a session that rests holds.
var defaultParameters = func() *iradix.Tree[string] {
	t := iradix.New[string]()
	for _, d := range defaultParameterValues {
		t, _, _ = t.Insert([]byte(d[0]), d[1])
	}
	return t
}()

// sweepIndex tells which sessions a look has to look at. Guards against looks that cost by how many sessions there are: nearly all
// rest nearly all the time. A session sleeps once nothing can become of it but by its client, or by being the one that has
// rested longest; its client's next bytes wake it.
type sweepIndex struct {
	active        map[*session]bool
	awaitingFirst timerqueue.Queue[*session] // those that have not asked yet, by since when they are quiet
	idle          timerqueue.Queue[*session] // those of the platform's form that sleep, likewise
	visits        int                        // how many sessions were looked at so far
}

// sweepTimers is where a session stands in the rota. The times noted may be too early, never too late: whoever comes on one in
// front notes it anew.
type sweepTimers struct{ awaitingFirst, idle timerqueue.Timer[*session] }

// add has a session looked at, and noted as one that has not asked.
func (r *sweepIndex) add(s *session) {
	s.timers.awaitingFirst.Of, s.timers.idle.Of = s, s
	r.active[s] = true
	r.awaitingFirst.Put(&s.timers.awaitingFirst, s.idleSince)
}

// activate has the next look look at it.
func (r *sweepIndex) activate(s *session, now float64) {
	r.idle.Drop(&s.timers.idle)
	if !r.active[s] {
		r.active[s], s.readProgressAt = true, now
	}
}

// remove forgets it.
func (r *sweepIndex) remove(s *session) {
	delete(r.active, s)
	r.awaitingFirst.Drop(&s.timers.awaitingFirst)
	r.idle.Drop(&s.timers.idle)
}

// deactivateIfIdle lets a session that was just looked at sleep, if it may.
func (r *sweepIndex) deactivateIfIdle(s *session) {
	if s.sentQuery || s.ends {
		r.awaitingFirst.Drop(&s.timers.awaitingFirst)
	}
	rests := s.sentQuery && !s.deaf && s.idle()
	if rests && s.pooled == nil {
		r.idle.Put(&s.timers.idle, s.idleSince)
	}
	if s.ends || rests && s.conn.Unsent() == 0 {
		delete(r.active, s)
	}
}

// longestIdle gives the session of a queue that has been quiet longest and can end now; those passed over stay in it. It ends its
// search where no other was quiet before then.
func (r *sweepIndex) longestIdle(q *timerqueue.Queue[*session], before float64) (first *session) {
	var over []*timerqueue.Timer[*session]
	for i := q.First(); i != nil && i.At() <= before && first == nil; i = q.First() {
		r.visits++
		switch s := i.Of; {
		case s.ends || q == &r.awaitingFirst && s.sentQuery:
			q.Drop(i)
		case s.idleSince > i.At():
			q.Put(i, s.idleSince)
		case s.mayBeEnded() && !s.conn.Unread():
			first = s
		default:
			q.Drop(i)
			over = append(over, i)
		}
	}
	for _, i := range over {
		q.Put(i, i.At())
	}
	return first
}

// evictionCandidate gives the session that goes first where another could not come in: one that has had time to ask and did not, else the
// one that has been quiet longest, else a newcomer.
func (a *Frontend) evictionCandidate(now float64) *session {
	r := &a.sweepIndex
	if s := r.longestIdle(&r.awaitingFirst, now-newConnectionGraceMs); s != nil {
		return s
	}
	if s := r.longestIdle(&r.idle, now); s != nil {
		return s
	}
	var first *session // of those that rest since the last look
	for s := range r.active {
		if r.visits++; s.sentQuery && s.mayBeEnded() && (first == nil || s.idleSince < first.idleSince) && !s.conn.Unread() {
			first = s
		}
	}
	if first != nil {
		return first
	}
	return r.longestIdle(&r.awaitingFirst, now)
}

// endLongestIdle ends those of the platform's form that have rested too long, and all but the latest so many.
func (a *Frontend) endLongestIdle(now float64, most int) {
	var over []*timerqueue.Timer[*session]
	q := &a.sweepIndex.idle
	for i := q.First(); i != nil && (q.Len()+len(over) > most || now > i.At()+idleTimeoutMs); i = q.First() {
		a.sweepIndex.visits++
		s := i.Of
		if s.idleSince > i.At() {
			q.Put(i, s.idleSince)
			continue
		}
		if q.Drop(i); !s.endIfQuiescent() { // something has come: it is about to be woken
			over = append(over, i)
			most++
		}
	}
	for _, i := range over {
		q.Put(i, i.At())
	}
}
