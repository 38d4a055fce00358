// Package timerqueue orders timers by deadline, so that their owner finds what is due without visiting what is not. It reads no
// clock: times are float64 in the unit of the caller.
//
// Queue is a binary heap (J. W. J. Williams, Algorithm 232, 1964): putting or dropping one of n timers takes log n steps, finding
// the first takes one. FairQueue returns due timers in the order in which they were added.
package timerqueue

import "container/heap"

// Timer is an entry of a Queue, for a value of its owner. A value has one Timer for each queue that it may be in. The zero value,
// with Of set, is in none.
type Timer[T any] struct {
	Of       T
	deadline float64
	place    int // its index in the heap plus one; 0: it is in none
}

// At returns the deadline. It counts only while the timer is In a queue.
func (t *Timer[T]) At() float64 { return t.deadline }

// In tells whether the timer is in its queue.
func (t *Timer[T]) In() bool { return t.place > 0 }

// Queue holds timers, the one with the earliest deadline in front. The zero value is empty.
type Queue[T any] struct{ timers timerHeap[T] }

// Len returns the number of timers.
func (q *Queue[T]) Len() int { return len(q.timers) }

// First returns the timer with the earliest deadline, nil if there is none.
func (q *Queue[T]) First() *Timer[T] {
	if len(q.timers) == 0 {
		return nil
	}
	return q.timers[0]
}

// Put adds a timer, or moves it if it is in the queue already.
func (q *Queue[T]) Put(t *Timer[T], deadline float64) {
	t.deadline = deadline
	if t.In() {
		heap.Fix(&q.timers, t.place-1)
	} else {
		heap.Push(&q.timers, t)
	}
}

// Drop removes a timer, if it is in the queue.
func (q *Queue[T]) Drop(t *Timer[T]) {
	if t.In() {
		heap.Remove(&q.timers, t.place-1)
	}
}

// timerHeap implements heap.Interface.
type timerHeap[T any] []*Timer[T]

func (h timerHeap[T]) Len() int           { return len(h) }
func (h timerHeap[T]) Less(i, j int) bool { return h[i].deadline < h[j].deadline }
func (h timerHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].place, h[j].place = i+1, j+1
}

func (h *timerHeap[T]) Push(x any) {
	t := x.(*Timer[T])
	*h = append(*h, t)
	t.place = len(*h)
}

func (h *timerHeap[T]) Pop() any {
	last := len(*h) - 1
	t := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	t.place = 0
	return t
}
