package timerqueue

import "math"

// FairQueue holds timers, and returns those that are due in the order in which they were added, however long they have been due,
// as a walk over a list of all would find them. The zero value is empty.
type FairQueue[T any] struct {
	pending Queue[*FairTimer[T]] // by deadline
	due     Queue[*FairTimer[T]] // by order
	added   float64

	Expirations int // how often a timer became due
}

// FairTimer is an entry of a FairQueue, for a value of its owner. The zero value, with Of set, is in none.
type FairTimer[T any] struct {
	Of              T
	deadline, order float64
	queue           *FairQueue[T]
	pending, due    Timer[*FairTimer[T]]
}

// Len returns the number of timers.
func (q *FairQueue[T]) Len() int { return q.pending.Len() + q.due.Len() }

// Add adds a timer, with the deadline that was set last, behind all that were added before.
func (q *FairQueue[T]) Add(t *FairTimer[T]) {
	q.added++
	t.queue, t.order = q, q.added
	t.pending.Of, t.due.Of = t, t
	q.pending.Put(&t.pending, t.deadline)
}

// Remove removes a timer, if it is in the queue.
func (q *FairQueue[T]) Remove(t *FairTimer[T]) {
	q.pending.Drop(&t.pending)
	q.due.Drop(&t.due)
	t.queue = nil
}

// Set sets the deadline, +Inf for none, whether the timer is in a queue or not.
func (t *FairTimer[T]) Set(deadline float64) {
	t.deadline = deadline
	if t.queue != nil {
		t.queue.due.Drop(&t.due)
		t.queue.pending.Put(&t.pending, deadline)
	}
}

// At returns the deadline.
func (t *FairTimer[T]) At() float64 { return t.deadline }

// First returns the timer that was added first among those that are due, nil if none is. It stays due until it is set again.
func (q *FairQueue[T]) First(now float64) *FairTimer[T] {
	for t := q.pending.First(); t != nil && t.At() <= now; t = q.pending.First() {
		q.Expirations++
		q.pending.Drop(t)
		q.due.Put(&t.Of.due, t.Of.order)
	}
	if t := q.due.First(); t != nil {
		return t.Of
	}
	return nil
}

// Earliest returns the earliest deadline of all that are pending and of the due timer that was added first; +Inf if there is
// none.
func (q *FairQueue[T]) Earliest() float64 {
	deadline := math.Inf(1)
	if t := q.pending.First(); t != nil {
		deadline = t.At()
	}
	if t := q.due.First(); t != nil {
		deadline = math.Min(deadline, t.Of.deadline)
	}
	return deadline
}
