package switchover

import (
	"maps"
	"math"

	"wayloft/internal/decide/lease"
)

// WriteHolds tracks the write holds of a router: for which groups it holds writes, and until when. A switchover is identified by the epoch of
// its fencing token and the number of its order. Repeated requests for the same switchover never extend its write hold.
type WriteHolds struct {
	maxHoldMs float64
	holds     map[int]writeHold // by group index
}

type writeHold struct {
	epoch, number uint64
	until         float64
	released      bool
}

// NewWriteHolds returns the WriteHolds of a router that holds writes for at most maxHold ms for one switchover.
func NewWriteHolds(maxHold float64) *WriteHolds {
	return &WriteHolds{maxHoldMs: maxHold, holds: map[int]writeHold{}}
}

// Hold starts or confirms a write hold of a group, for at most bound ms, and returns its end on the same clock as now, or 0 if it has been
// released. A bound that is negative or NaN counts as 0.
func (w *WriteHolds) Hold(group int, token lease.Token, number uint64, bound, now float64) (until float64) {
	if hold, known := w.holds[group]; known && hold.epoch == token.Epoch && hold.number == number {
		if hold.released {
			return 0
		}
		return hold.until
	}
	if math.IsNaN(bound) || bound < 0 {
		bound = 0
	}
	until = now + math.Min(bound, w.maxHoldMs)
	w.holds[group] = writeHold{epoch: token.Epoch, number: number, until: until}
	return until
}

// Release ends the write hold of a group. From then on, Hold has no effect for the same switchover.
func (w *WriteHolds) Release(group int, token lease.Token, number uint64) {
	w.holds[group] = writeHold{epoch: token.Epoch, number: number, released: true}
}

// RetainGroups removes the state of all groups that are not in the set.
func (w *WriteHolds) RetainGroups(groups map[int]bool) {
	maps.DeleteFunc(w.holds, func(group int, _ writeHold) bool { return !groups[group] })
}
