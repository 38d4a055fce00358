package switchover

import (
	"maps"
	"math"

	"wayloft/internal/decide/lease"
)

// WriteHolds is a router's part in switchovers: which groups' writes it holds, and until when. A switchover is identified by its fencing
// token's epoch and its order's number; for one switchover writes are never held longer than the bound, however often that is asked for.
type WriteHolds struct {
	maxHoldMs float64
	holds     map[int]writeHold // by group
}

type writeHold struct {
	epoch, number uint64
	until         float64
	released      bool
}

// NewWriteHolds makes a router's part; maxHold is the longest, in ms, that it holds writes for one switchover.
func NewWriteHolds(maxHold float64) *WriteHolds {
	return &WriteHolds{maxHoldMs: maxHold, holds: map[int]writeHold{}}
}

// Hold gives the time until which a group's writes are held, by the same clock as now; 0: they are not. A bound that is negative or not a
// number counts as 0.
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

// Release ends the hold of a group's writes; Hold has no effect for the same switchover from then on.
func (w *WriteHolds) Release(group int, token lease.Token, number uint64) {
	w.holds[group] = writeHold{epoch: token.Epoch, number: number, released: true}
}

// RetainGroups forgets all groups but these.
func (w *WriteHolds) RetainGroups(groups map[int]bool) {
	maps.DeleteFunc(w.holds, func(group int, _ writeHold) bool { return !groups[group] })
}
