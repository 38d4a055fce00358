package timerqueue

import "math"

// FairQueue holds timers and returns those that are due in the order in which they were added, regardless of their deadlines, as a
// scan of a list of all timers would find them. The zero value is empty.
type FairQueue[T any] struct {
	pending      Queue[*FairTimer[T]] // by deadline
	due          Queue[*FairTimer[T]] // by sequence
	lastSequence float64

	Expirations int // number of times that a timer became due
}

// FairTimer is an entry of a FairQueue that belongs to the value Of. A zero FairTimer with Of set is in no queue.
type FairTimer[T any] struct {
	Of                 T
	deadline, sequence float64
	queue              *FairQueue[T]
	pending, due       Timer[*FairTimer[T]]
}

// Len returns the number of timers.
func (q *FairQueue[T]) Len() int { return q.pending.Len() + q.due.Len() }

// Add adds a timer with its current deadline, behind all timers that were added before.
func (q *FairQueue[T]) Add(t *FairTimer[T]) {
	q.lastSequence++
	t.queue, t.sequence = q, q.lastSequence
	t.pending.Of, t.due.Of = t, t
	q.pending.Put(&t.pending, t.deadline)
}

// Remove removes a timer, if it is in the queue.
func (q *FairQueue[T]) Remove(t *FairTimer[T]) {
	q.pending.Drop(&t.pending)
	q.due.Drop(&t.due)
	t.queue = nil
}

// Set sets the deadline, +Inf for none. The timer may or may not be in a queue.
func (t *FairTimer[T]) Set(deadline float64) {
	t.deadline = deadline
	if t.queue != nil {
		t.queue.due.Drop(&t.due)
		t.queue.pending.Put(&t.pending, deadline)
	}
}

// At returns the deadline.
func (t *FairTimer[T]) At() float64 { return t.deadline }

// First returns the due timer that was added first, or nil if none is due. The timer stays due until its deadline is set again.
func (q *FairQueue[T]) First(now float64) *FairTimer[T] {
	for t := q.pending.First(); t != nil && t.At() <= now; t = q.pending.First() {
		q.Expirations++
		q.pending.Drop(t)
		q.due.Put(&t.Of.due, t.Of.sequence)
	}
	if t := q.due.First(); t != nil {
		return t.Of
	}
	return nil
}

// Earliest returns the earliest deadline among the pending timers and the due timer that was added first, +Inf if the queue is
// empty.
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
