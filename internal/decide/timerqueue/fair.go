package timerqueue

import "math"

// FairQueue has things wait, each for its time. Those whose time has come are taken in the order in which they joined, however
// long they have waited, as a walk over a list of all would take them. Its zero value is empty.
type FairQueue[T any] struct {
	later  Queue[*FairTimer[T]] // by time
	ready  Queue[*FairTimer[T]] // by order
	joined float64

	Expirations int // how often the time of one has come
}

// FairTimer is a thing's place; its zero value with Of set has joined nothing.
type FairTimer[T any] struct {
	Of           T
	at, order    float64
	all          *FairQueue[T]
	later, ready Timer[*FairTimer[T]]
}

// Len is how many have joined and not left.
func (q *FairQueue[T]) Len() int { return q.later.Len() + q.ready.Len() }

// Add has one wait for the time that it was set to last, behind all that joined before.
func (q *FairQueue[T]) Add(t *FairTimer[T]) {
	q.joined++
	t.all, t.order = q, q.joined
	t.later.Of, t.ready.Of = t, t
	q.later.Put(&t.later, t.at)
}

// Remove takes one out, if it is in.
func (q *FairQueue[T]) Remove(t *FairTimer[T]) {
	q.later.Drop(&t.later)
	q.ready.Drop(&t.ready)
	t.all = nil
}

// Set says for which time it waits; Inf is none. At is that time.
func (t *FairTimer[T]) Set(at float64) {
	if t.at = at; t.all != nil {
		t.all.ready.Drop(&t.ready)
		t.all.later.Put(&t.later, at)
	}
}
func (t *FairTimer[T]) At() float64 { return t.at }

// First is the one that joined first among those whose time has come, nil if none has. It stays until it is set anew.
func (q *FairQueue[T]) First(now float64) *FairTimer[T] {
	for i := q.later.First(); i != nil && i.At() <= now; i = q.later.First() {
		q.Expirations++
		q.later.Drop(i)
		q.ready.Put(&i.Of.ready, i.Of.order)
	}
	if i := q.ready.First(); i != nil {
		return i.Of
	}
	return nil
}

// Earliest is the earliest time of all, Inf if there is none.
func (q *FairQueue[T]) Earliest() float64 {
	at := math.Inf(1)
	if i := q.later.First(); i != nil {
		at = i.At()
	}
	if i := q.ready.First(); i != nil {
		at = math.Min(at, i.Of.at)
	}
	return at
}
