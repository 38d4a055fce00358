package fleet

import (
	"testing"

	"wayloft/internal/decide/healthshare"
	"wayloft/internal/decide/switchover"
)

// The group is parsed from names of leases with the given prefix only.
func TestGroupOfLease_EachKind(t *testing.T) {
	for name, c := range map[string]struct {
		lease, prefix string
		group         int
		found         bool
	}{
		"health sharing":          {healthshare.LeaseName(12), healthshare.LeasePrefix, 12, true},
		"switchover":              {switchover.LeaseName(0), switchover.LeasePrefix, 0, true},
		"another kind":            {switchover.LeaseName(3), healthshare.LeasePrefix, 0, false},
		"no group":                {healthshare.LeasePrefix, healthshare.LeasePrefix, 0, false},
		"name on the wire, share": {"sight/3", healthshare.LeasePrefix, 3, true},
		"name on the wire, order": {"handover/3", switchover.LeasePrefix, 3, true},
	} {
		t.Run(name, func(t *testing.T) {
			if group, found := parseLeaseGroup(c.lease, c.prefix); group != c.group || found != c.found {
				t.Errorf("%q: group %d, %v", c.lease, group, found)
			}
		})
	}
}
