package simulation

import "testing"

// With health sharing the whole fleet checks far less, and reads rest on positions that are no older than without.
func TestSight(t *testing.T) {
	without, with := Sight(40, 0, 1), Sight(40, 250, 1)
	t.Logf("without %+v, with %+v", without, with)
	if with.PerTxn > without.PerTxn/4 || without.PerTxn < 0.01 {
		t.Errorf("%.3f checks a txn, %.3f with sight", without.PerTxn, with.PerTxn)
	}
	if with.Age > 1500 || without.Age > 1500 {
		t.Errorf("reads rested on positions of %.0f and %.0f ms, the bound is 1,500", without.Age, with.Age)
	}
	if with.Primary > without.Primary+0.05 {
		t.Errorf("%.2f of reads at the primary, %.2f with sight", without.Primary, with.Primary)
	}
}
