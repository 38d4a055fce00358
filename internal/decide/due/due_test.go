package due

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// Whatever is put, moved and dropped: the first is the one that a sorted list has in front, and all come out in order.
func TestAsASortedList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q Queue[int]
		all := make([]*Item[int], 12)
		for n := range all {
			all[n] = &Item[int]{Of: n}
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
