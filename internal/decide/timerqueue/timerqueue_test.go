package timerqueue

import (
	"math"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// After any sequence of Put and Drop, the queue contains the expected timers and returns them sorted by deadline.
func TestQueue_MatchesSortedList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q Queue[int]
		all := make([]*Timer[int], 12)
		for n := range all {
			all[n] = &Timer[int]{Value: n}
		}
		deadlines := map[int]float64{}
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			n := rapid.IntRange(0, len(all)-1).Draw(t, "which")
			if rapid.Bool().Draw(t, "drop") {
				q.Remove(all[n])
				delete(deadlines, n)
			} else {
				deadlines[n] = float64(rapid.IntRange(0, 5).Draw(t, "at"))
				q.Schedule(all[n], deadlines[n])
			}
			if all[n].Queued() != contains(deadlines, n) || q.Len() != len(deadlines) {
				t.Fatalf("timer %d in the queue: %v, %d timers in total; want %v", n, all[n].Queued(), q.Len(), deadlines)
			}
		}
		var popped []float64
		for timer := q.First(); timer != nil; timer = q.First() {
			if timer.Deadline() != deadlines[timer.Value] {
				t.Fatalf("timer %d is due at %v, want %v", timer.Value, timer.Deadline(), deadlines[timer.Value])
			}
			popped = append(popped, timer.Deadline())
			q.Remove(timer)
		}
		if len(popped) != len(deadlines) || !slices.IsSorted(popped) {
			t.Fatalf("popped deadlines %v, want those of %v in order", popped, deadlines)
		}
	})
}

func contains(m map[int]float64, n int) bool {
	_, in := m[n]
	return in
}

// After any sequence of Add, Remove and Set, First returns the due timer that a scan of a list in insertion order finds first.
func TestFairQueue_MatchesScanOfList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q FairQueue[int]
		var list []*FairTimer[int]
		all := make([]*FairTimer[int], 8)
		for n := range all {
			all[n] = &FairTimer[int]{Value: n}
		}
		now := 0.0
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			timer := all[rapid.IntRange(0, len(all)-1).Draw(t, "which")]
			index := slices.Index(list, timer)
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				if index < 0 {
					q.Add(timer)
					list = append(list, timer)
				}
			case 1:
				if q.Remove(timer); index >= 0 {
					list = slices.Delete(list, index, index+1)
				}
			case 2, 3:
				timer.Set(float64(rapid.IntRange(0, 9).Draw(t, "at")))
			case 4:
				now++
			}
			first := slices.IndexFunc(list, func(o *FairTimer[int]) bool { return o.Deadline() <= now })
			if got := q.First(now); (got == nil) != (first < 0) || got != nil && got != list[first] {
				t.Fatalf("first due timer: %v, want the one at index %d of the list", got, first)
			}
			earliest := math.Inf(1)
			for _, o := range list {
				earliest = math.Min(earliest, o.Deadline())
			}
			// If timers are due, Earliest may return the deadline of the one that was added first, not the earliest.
			if got := q.Earliest(); q.Len() != len(list) || got != earliest && (got > now || earliest > now) {
				t.Fatalf("%d timers, earliest deadline %v; want %d and %v", q.Len(), got, len(list), earliest)
			}
		}
	})
}
