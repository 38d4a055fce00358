package frontend

import (
	iradix "github.com/hashicorp/go-immutable-radix/v2"

	"wayloft/internal/decide/timerqueue"
)

// unheard is what all clients are told before any member has told more. One for all: each of its own, it took two thirds of
// what a session that rests holds.
var unheard = func() *iradix.Tree[string] {
	t := iradix.New[string]()
	for _, d := range defaults {
		t, _, _ = t.Insert([]byte(d[0]), d[1])
	}
	return t
}()

// rota tells which sessions a look has to look at. Guards against looks that cost by how many sessions there are: nearly all
// rest nearly all the time. A session sleeps once nothing can become of it but by its client, or by being the one that has
// rested longest; its client's next bytes wake it.
type rota struct {
	awake   map[*session]bool
	fresh   timerqueue.Queue[*session] // those that have not asked yet, by since when they are quiet
	resting timerqueue.Queue[*session] // those of the platform's form that sleep, likewise
	looked  int                        // how many sessions were looked at so far
}

// place is where a session stands in the rota. The times noted may be too early, never too late: whoever comes on one in
// front notes it anew.
type place struct{ fresh, resting timerqueue.Timer[*session] }

// enter has a session looked at, and noted as one that has not asked.
func (r *rota) enter(s *session) {
	s.place.fresh.Of, s.place.resting.Of = s, s
	r.awake[s] = true
	r.fresh.Put(&s.place.fresh, s.since)
}

// wake has the next look look at it.
func (r *rota) wake(s *session, now float64) {
	r.resting.Drop(&s.place.resting)
	if !r.awake[s] {
		r.awake[s], s.moved = true, now
	}
}

// leave forgets it.
func (r *rota) leave(s *session) {
	delete(r.awake, s)
	r.fresh.Drop(&s.place.fresh)
	r.resting.Drop(&s.place.resting)
}

// lull lets a session that was just looked at sleep, if it may.
func (r *rota) lull(s *session) {
	if s.asked || s.ends {
		r.fresh.Drop(&s.place.fresh)
	}
	rests := s.asked && !s.deaf && s.quiet()
	if rests && s.p == nil {
		r.resting.Put(&s.place.resting, s.since)
	}
	if s.ends || rests && s.conn.Unsent() == 0 {
		delete(r.awake, s)
	}
}

// oldest gives the session of a queue that has been quiet longest and can end now; those passed over stay in it. It ends its
// search where no other was quiet before then.
func (r *rota) oldest(q *timerqueue.Queue[*session], before float64) (first *session) {
	var over []*timerqueue.Timer[*session]
	for i := q.First(); i != nil && i.At() <= before && first == nil; i = q.First() {
		r.looked++
		switch s := i.Of; {
		case s.ends || q == &r.fresh && s.asked:
			q.Drop(i)
		case s.since > i.At():
			q.Put(i, s.since)
		case s.idle() && !s.conn.Unread():
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

// first gives the session that goes first where another could not come in: one that has had time to ask and did not, else the
// one that has been quiet longest, else a newcomer.
func (a *Frontend) first(now float64) *session {
	r := &a.rota
	if s := r.oldest(&r.fresh, now-grace); s != nil {
		return s
	}
	if s := r.oldest(&r.resting, now); s != nil {
		return s
	}
	var first *session // of those that rest since the last look
	for s := range r.awake {
		if r.looked++; s.asked && s.idle() && (first == nil || s.since < first.since) && !s.conn.Unread() {
			first = s
		}
	}
	if first != nil {
		return first
	}
	return r.oldest(&r.fresh, now)
}

// retireLongest ends those of the platform's form that have rested too long, and all but the latest so many.
func (a *Frontend) retireLongest(now float64, most int) {
	var over []*timerqueue.Timer[*session]
	q := &a.rota.resting
	for i := q.First(); i != nil && (q.Len()+len(over) > most || now > i.At()+idling); i = q.First() {
		a.rota.looked++
		s := i.Of
		if s.since > i.At() {
			q.Put(i, s.since)
			continue
		}
		if q.Drop(i); !s.retire() { // something has come: it is about to be woken
			over = append(over, i)
			most++
		}
	}
	for _, i := range over {
		q.Put(i, i.At())
	}
}
