// Package requestid decides which request ids are still in use after their request has ended. An attempt that was sent may run until its time
// is over, although its client has left, has cancelled, or was told that it failed. If the id came again meanwhile, the request could run
// twice.
//
// Nothing here is safe for concurrent use: all of it runs on the event loop.
package requestid

import "wayloft/internal/decide/timerqueue"

// entryBytes is what an id takes beside its text: its timer, and its places in the map and in the queue.
const entryBytes = 160

// Held are ids that are held for some time each, within a limit of memory.
type Held struct {
	ids             map[string]*timerqueue.Timer[string]
	queue           timerqueue.Queue[string]
	bytes, maxBytes int
}

// NewHeld returns an empty Held that takes at most maxBytes. Beyond that, the ids whose time ends first go first.
func NewHeld(maxBytes int) *Held {
	return &Held{ids: map[string]*timerqueue.Timer[string]{}, maxBytes: maxBytes}
}

// Hold holds an id until the given time, in ms, or longer if it is held already.
func (h *Held) Hold(id string, now, until float64) {
	h.expire(now)
	timer := h.ids[id]
	if timer == nil {
		timer = &timerqueue.Timer[string]{Value: id}
		h.ids[id] = timer
		h.bytes += entryBytes + len(id)
	}
	if !timer.Queued() || timer.Deadline() < until {
		h.queue.Schedule(timer, until)
	}
	for h.bytes > h.maxBytes {
		h.remove(h.queue.First())
	}
}

// Contains reports whether an id is held at the time now.
func (h *Held) Contains(id string, now float64) bool {
	h.expire(now)
	return h.ids[id] != nil
}

// Len returns the number of ids.
func (h *Held) Len() int { return len(h.ids) }

func (h *Held) expire(now float64) {
	for timer := h.queue.First(); timer != nil && timer.Deadline() <= now; timer = h.queue.First() {
		h.remove(timer)
	}
}

func (h *Held) remove(timer *timerqueue.Timer[string]) {
	h.queue.Remove(timer)
	delete(h.ids, timer.Value)
	h.bytes -= entryBytes + len(timer.Value)
}
