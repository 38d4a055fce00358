package timerqueue

import (
	"math"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// Whatever is put, moved and dropped: the first is the one that a sorted list has in front, and all come out in order.
func TestQueue_MatchesSortedList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q Queue[int]
		all := make([]*Timer[int], 12)
		for n := range all {
			all[n] = &Timer[int]{Of: n}
		}
		at := map[int]float64{}
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			n := rapid.IntRange(0, len(all)-1).Draw(t, "which")
			if rapid.Bool().Draw(t, "drop") {
				q.Drop(all[n])
				delete(at, n)
			} else {
				at[n] = float64(rapid.IntRange(0, 5).Draw(t, "at"))
				q.Put(all[n], at[n])
			}
			if all[n].In() != has(at, n) || q.Len() != len(at) {
				t.Fatalf("%d in: %v, of %d; should be %v", n, all[n].In(), q.Len(), at)
			}
		}
		var order []float64
		for i := q.First(); i != nil; i = q.First() {
			if i.At() != at[i.Of] {
				t.Fatalf("%d is due at %v, not %v", i.Of, i.At(), at[i.Of])
			}
			order = append(order, i.At())
			q.Drop(i)
		}
		if len(order) != len(at) || !slices.IsSorted(order) {
			t.Fatalf("out came %v of %v", order, at)
		}
	})
}

func has(m map[int]float64, n int) bool {
	_, in := m[n]
	return in
}

// Whatever is added, removed and set: the first is the one that a walk over a list in order finds due.
func TestFairQueue_MatchesWalkOverList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q FairQueue[int]
		var list []*FairTimer[int]
		all := make([]*FairTimer[int], 8)
		for n := range all {
			all[n] = &FairTimer[int]{Of: n}
		}
		now := 0.0
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			one := all[rapid.IntRange(0, len(all)-1).Draw(t, "which")]
			at := slices.Index(list, one)
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				if at < 0 {
					q.Add(one)
					list = append(list, one)
				}
			case 1:
				if q.Remove(one); at >= 0 {
					list = slices.Delete(list, at, at+1)
				}
			case 2, 3:
				one.Set(float64(rapid.IntRange(0, 9).Draw(t, "at")))
			case 4:
				now++
			}
			first := slices.IndexFunc(list, func(o *FairTimer[int]) bool { return o.At() <= now })
			if got := q.First(now); (got == nil) != (first < 0) || got != nil && got != list[first] {
				t.Fatalf("the first due is %v, the list has %d", got, first)
			}
			earliest := math.Inf(1)
			for _, o := range list {
				earliest = math.Min(earliest, o.At())
			}
			// Of those that are due the one that was added first counts.
			if got := q.Earliest(); q.Len() != len(list) || got != earliest && (got > now || earliest > now) {
				t.Fatalf("%d, the earliest at %v; should be %d, %v", q.Len(), got, len(list), earliest)
			}
		}
	})
}
