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

// FairTimer is an entry of a FairQueue that belongs to Value. A zero FairTimer with Value set is in no queue.
type FairTimer[T any] struct {
	Value              T
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
	t.pending.Value, t.due.Value = t, t
	q.pending.Schedule(&t.pending, t.deadline)
}

// Remove removes a timer, if it is in the queue.
func (q *FairQueue[T]) Remove(t *FairTimer[T]) {
	q.pending.Remove(&t.pending)
	q.due.Remove(&t.due)
	t.queue = nil
}

// Set sets the deadline, +Inf for none. The timer may or may not be in a queue.
func (t *FairTimer[T]) Set(deadline float64) {
	t.deadline = deadline
	if t.queue != nil {
		t.queue.due.Remove(&t.due)
		t.queue.pending.Schedule(&t.pending, deadline)
	}
}

// Deadline returns the deadline.
func (t *FairTimer[T]) Deadline() float64 { return t.deadline }

// First returns the due timer that was added first, or nil if none is due. The timer stays due until its deadline is set again.
func (q *FairQueue[T]) First(now float64) *FairTimer[T] {
	for t := q.pending.First(); t != nil && t.Deadline() <= now; t = q.pending.First() {
		q.Expirations++
		q.pending.Remove(t)
		q.due.Schedule(&t.Value.due, t.Value.sequence)
	}
	if t := q.due.First(); t != nil {
		return t.Value
	}
	return nil
}

// Earliest returns the earliest deadline among the pending timers and the due timer that was added first, +Inf if the queue is
// empty.
func (q *FairQueue[T]) Earliest() float64 {
	deadline := math.Inf(1)
	if t := q.pending.First(); t != nil {
		deadline = t.Deadline()
	}
	if t := q.due.First(); t != nil {
		deadline = math.Min(deadline, t.Value.deadline)
	}
	return deadline
}
