package simulation

import "container/heap"

// timeline is the clock and the event queue of a simulation. Events run in the order of their times; events with equal times run in the
// order in which they were scheduled.
type timeline struct {
	Now      float64 // ms
	queue    eventQueue
	sequence int
}

// After schedules an event that runs ms milliseconds from now.
func (t *timeline) After(ms float64, do func()) {
	t.sequence++
	heap.Push(&t.queue, event{t.Now + ms, t.sequence, do})
}

// runUntil runs the events up to endMs, or until stop returns true.
func (t *timeline) runUntil(endMs float64, stop func() bool) {
	for len(t.queue) > 0 && !stop() {
		next := heap.Pop(&t.queue).(event)
		if next.atMs > endMs {
			return
		}
		t.Now = next.atMs
		next.do()
	}
}

type event struct {
	atMs     float64
	sequence int
	do       func()
}

// eventQueue implements heap.Interface, with the earliest event first.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	if q[i].atMs != q[j].atMs {
		return q[i].atMs < q[j].atMs
	}
	return q[i].sequence < q[j].sequence
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// resettableTimer fires only at the time for which it was most recently set.
type resettableTimer struct{ settings int }

// set schedules the timer and replaces any earlier setting.
func (t *resettableTimer) set(schedule func(ms float64, do func()), ms float64, fire func()) {
	t.settings++
	setting := t.settings
	schedule(ms, func() {
		if setting == t.settings {
			fire()
		}
	})
}

// once detects the first of several events that end a request, such as a response and its timeout.
type once bool

// first reports whether this is the first call.
func (o *once) first() bool {
	before := *o
	*o = true
	return !bool(before)
}
