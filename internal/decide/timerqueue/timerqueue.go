// Package timerqueue keeps things by when something is to be done about them, so that whoever looks finds what is due without
// going over what is not. It owns their order alone; it must never read a clock or know what they are.
//
// It is a binary heap (J. W. J. Williams, Algorithm 232, 1964): to put or drop one of n takes log n steps, to see the
// first one. A thing has an Item of its own for each queue that it may be in.
package timerqueue

import "container/heap"

// Timer is a thing's place in a queue; its zero value with Of set is in none.
type Timer[T any] struct {
	Of T
	at float64
	n  int // its place and one; 0: none
}

// At is when it is due; it counts only while it is In a queue.
func (i *Timer[T]) At() float64 { return i.at }

// In tells whether it is in its queue.
func (i *Timer[T]) In() bool { return i.n > 0 }

// Queue has the item that is due first in front. Its zero value is empty.
type Queue[T any] struct{ all items[T] }

// Len is how many there are.
func (q *Queue[T]) Len() int { return len(q.all) }

// First is the one that is due first, nil if there is none.
func (q *Queue[T]) First() *Timer[T] {
	if len(q.all) == 0 {
		return nil
	}
	return q.all[0]
}

// Put takes an item in, or moves it where it is in already.
func (q *Queue[T]) Put(i *Timer[T], at float64) {
	if i.at = at; i.In() {
		heap.Fix(&q.all, i.n-1)
	} else {
		heap.Push(&q.all, i)
	}
}

// Drop takes an item out, if it is in.
func (q *Queue[T]) Drop(i *Timer[T]) {
	if i.In() {
		heap.Remove(&q.all, i.n-1)
	}
}

type items[T any] []*Timer[T]

func (s items[T]) Len() int           { return len(s) }
func (s items[T]) Less(n, m int) bool { return s[n].at < s[m].at }
func (s items[T]) Swap(n, m int) {
	s[n], s[m] = s[m], s[n]
	s[n].n, s[m].n = n+1, m+1
}

func (s *items[T]) Push(x any) {
	i := x.(*Timer[T])
	*s = append(*s, i)
	i.n = len(*s)
}

func (s *items[T]) Pop() any {
	last := len(*s) - 1
	i := (*s)[last]
	(*s)[last] = nil
	*s = (*s)[:last]
	i.n = 0
	return i
}
