// Package timerqueue provides priority queues of timers, so that their owner finds those that are due without scanning the others. It
// reads no clock: times are float64 in the caller's unit.
//
// Queue is a binary heap (J. W. J. Williams, Algorithm 232, 1964): adding, moving or removing one of n timers takes O(log n) steps,
// finding the earliest O(1). FairQueue returns due timers in the order in which they were added.
package timerqueue

import "container/heap"

// Timer is an entry of a Queue that belongs to Value. A value has one Timer for each queue that it may be in. A zero Timer with Value
// set is in no queue.
type Timer[T any] struct {
	Value        T
	deadline     float64
	indexPlusOne int // index in the heap plus one; 0: not in a queue
}

// Deadline returns the deadline, which is meaningful only while the timer is in a queue.
func (t *Timer[T]) Deadline() float64 { return t.deadline }

// Queued reports whether the timer is in a queue.
func (t *Timer[T]) Queued() bool { return t.indexPlusOne > 0 }

// Queue is a priority queue of timers, ordered by deadline. The zero value is empty.
type Queue[T any] struct{ timers timerHeap[T] }

// Len returns the number of timers.
func (q *Queue[T]) Len() int { return len(q.timers) }

// First returns the timer with the earliest deadline, or nil if the queue is empty.
func (q *Queue[T]) First() *Timer[T] {
	if len(q.timers) == 0 {
		return nil
	}
	return q.timers[0]
}

// Schedule adds a timer, or changes its deadline if it is already in the queue.
func (q *Queue[T]) Schedule(t *Timer[T], deadline float64) {
	t.deadline = deadline
	if t.Queued() {
		heap.Fix(&q.timers, t.indexPlusOne-1)
	} else {
		heap.Push(&q.timers, t)
	}
}

// Remove removes a timer, if it is in the queue.
func (q *Queue[T]) Remove(t *Timer[T]) {
	if t.Queued() {
		heap.Remove(&q.timers, t.indexPlusOne-1)
	}
}

// timerHeap implements heap.Interface.
type timerHeap[T any] []*Timer[T]

func (h timerHeap[T]) Len() int           { return len(h) }
func (h timerHeap[T]) Less(i, j int) bool { return h[i].deadline < h[j].deadline }
func (h timerHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].indexPlusOne, h[j].indexPlusOne = i+1, j+1
}

func (h *timerHeap[T]) Push(x any) {
	t := x.(*Timer[T])
	*h = append(*h, t)
	t.indexPlusOne = len(*h)
}

func (h *timerHeap[T]) Pop() any {
	last := len(*h) - 1
	t := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	t.indexPlusOne = 0
	return t
}
