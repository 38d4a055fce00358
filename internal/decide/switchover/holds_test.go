package switchover

import (
	"testing"

	"wayloft/internal/decide/lease"
)

// A router holds writes for one switchover no longer than its own bound, however often it is asked; once they were released, not at
// all.
func TestWriteHolds_BoundedPerSwitchover(t *testing.T) {
	holds, token := NewWriteHolds(1000), lease.Token{Epoch: 1, Count: 4}
	if got := holds.Hold(0, token, 1, 5000, 100); got != 1100 {
		t.Errorf("until %v, 1,100 is the bound", got)
	}
	if got := holds.Hold(0, lease.Token{Epoch: 1, Count: 5}, 1, 5000, 900); got != 1100 {
		t.Errorf("asked again by the next lease holder: until %v", got)
	}
	holds.Release(0, token, 1)
	if got := holds.Hold(0, token, 1, 5000, 950); got != 0 {
		t.Errorf("held again until %v after the release", got)
	}
	if got := holds.Hold(0, token, 2, 300, 2000); got != 2300 {
		t.Errorf("the next one: until %v", got)
	}
	holds.RetainGroups(map[int]bool{})
	if len(holds.holds) != 0 {
		t.Error("a group that is gone is kept")
	}
}
