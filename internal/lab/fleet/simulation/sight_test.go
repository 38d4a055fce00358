package simulation

import "testing"

// With health sharing the whole fleet checks far less, and reads rest on positions that are no older than without.
func TestSight(t *testing.T) {
	without, with := RunHealthSharing(40, 0, 1), RunHealthSharing(40, 250, 1)
	t.Logf("without %+v, with %+v", without, with)
	if with.ChecksPerRequest > without.ChecksPerRequest/4 || without.ChecksPerRequest < 0.01 {
		t.Errorf("%.3f checks a txn, %.3f with sight", without.ChecksPerRequest, with.ChecksPerRequest)
	}
	if with.PositionAgeMs > 1500 || without.PositionAgeMs > 1500 {
		t.Errorf("reads rested on positions of %.0f and %.0f ms, the bound is 1,500", without.PositionAgeMs, with.PositionAgeMs)
	}
	if with.PrimaryShare > without.PrimaryShare+0.05 {
		t.Errorf("%.2f of reads at the primary, %.2f with sight", without.PrimaryShare, with.PrimaryShare)
	}
}
