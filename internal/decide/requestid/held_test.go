package requestid

import (
	"fmt"
	"maps"
	"testing"

	"pgregory.net/rapid"
)

// For any order of calls, exactly the ids whose time is not over are held.
func TestHeld_MatchesMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		held, want, now := NewHeld(1<<30), map[string]float64{}, 0.0
		for range rapid.IntRange(0, 200).Draw(t, "calls") {
			now += float64(rapid.IntRange(0, 3).Draw(t, "pause"))
			id := fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "id"))
			maps.DeleteFunc(want, func(_ string, until float64) bool { return until <= now })
			if rapid.Bool().Draw(t, "hold") {
				until := now + float64(rapid.IntRange(1, 20).Draw(t, "time"))
				held.Hold(id, now, until)
				want[id] = max(want[id], until)
			}
			if _, expected := want[id]; held.Contains(id, now) != expected || held.Len() != len(want) {
				t.Fatalf("at %v: id %s held: %v, %d ids; want %v", now, id, !expected, held.Len(), want)
			}
		}
	})
}

// The memory stays within its limit; the ids whose time ends first are given up first.
func TestHeld_MemoryLimit(t *testing.T) {
	const ids = 100
	held := NewHeld(ids * (entryBytes + len("00000")))
	for n := range 10 * ids {
		held.Hold(fmt.Sprintf("%05d", n), 0, float64(10*ids-n))
	}
	if held.Len() != ids || !held.Contains("00000", 0) || held.Contains(fmt.Sprintf("%05d", 10*ids-1), 0) {
		t.Errorf("%d ids, the longest held: %v", held.Len(), held.Contains("00000", 0))
	}
	if held.Contains("00000", 10*ids) || held.Len() != 0 || held.bytes != 0 {
		t.Errorf("at the end %d ids, %d bytes", held.Len(), held.bytes)
	}
}
