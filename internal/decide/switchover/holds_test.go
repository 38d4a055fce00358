package switchover

import (
	"testing"

	"wayloft/internal/decide/lease"
)

// For one switchover, a router holds writes no longer than its own limit, however often it is commanded to, and not at all after they have
// been released.
func TestWriteHolds_BoundedPerSwitchover(t *testing.T) {
	holds, token := NewWriteHolds(1000), lease.Token{Epoch: 1, Count: 4}
	if got := holds.Hold(0, token, 1, 5000, 100); got != 1100 {
		t.Errorf("held until %v, want 1,100", got)
	}
	if got := holds.Hold(0, lease.Token{Epoch: 1, Count: 5}, 1, 5000, 900); got != 1100 {
		t.Errorf("repeated by the next lease holder: held until %v", got)
	}
	holds.Release(0, token, 1)
	if got := holds.Hold(0, token, 1, 5000, 950); got != 0 {
		t.Errorf("held until %v after the release", got)
	}
	if got := holds.Hold(0, token, 2, 300, 2000); got != 2300 {
		t.Errorf("next switchover: held until %v", got)
	}
	holds.RetainGroups(map[int]bool{})
	if len(holds.holds) != 0 {
		t.Error("the state of a removed group was kept")
	}
}
