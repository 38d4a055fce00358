package simulation

import "testing"

// With health sharing the fleet sends at most a quarter of the health checks per request, the positions by which replicas are chosen stay
// within the staleness bound, and the share of reads at the primary rises by at most 0.05.
func TestRunHealthSharing_FewerChecks(t *testing.T) {
	without, with := RunHealthSharing(40, 0, 1), RunHealthSharing(40, 250, 1)
	t.Logf("without %+v, with %+v", without, with)
	if with.ChecksPerRequest > without.ChecksPerRequest/4 || without.ChecksPerRequest < 0.01 {
		t.Errorf("%.3f health checks per request, %.3f with health sharing", without.ChecksPerRequest, with.ChecksPerRequest)
	}
	if with.PositionAgeMs > 1500 || without.PositionAgeMs > 1500 {
		t.Errorf("reads relied on positions %.0f and %.0f ms old; the staleness bound is 1,500 ms", without.PositionAgeMs, with.PositionAgeMs)
	}
	if with.PrimaryShare > without.PrimaryShare+0.05 {
		t.Errorf("%.2f of reads at the primary, %.2f with health sharing", without.PrimaryShare, with.PrimaryShare)
	}
}
