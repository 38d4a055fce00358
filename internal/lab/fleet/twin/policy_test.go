package twin

import (
	"flag"
	"slices"
	"testing"
)

var (
	policies = flag.Int("policies", 12, "drawn schedules of changes of the policy that the twin plays")
	size     = flag.Int("size", 40, "routers of these schedules")
	apart    = flag.Float64("apart", 60, "seconds for which the regions of these schedules are apart")
)

func changed(seed uint64) Options {
	return Options{Seed: seed, Council: 3, Routers: *size, For: 15000, Policy: &Ruling{Fields: 60, Change: 1, Every: 1500, Zone: max(1, *size/8)}}
}

// Whatever the faults: no version is two documents, no router goes back, what a router says that it goes by it goes by, no
// proposal is told that it holds where another does, no second takes more of a router's line than control may, and when all is
// over each router goes by what is in force, and is known to.
func TestPolicies(t *testing.T) {
	var all Ruled
	faults := map[string]int{}
	for seed := range uint64(*policies) {
		o := changed(seed)
		if seed%4 == 3 {
			o.Policy.Regions, o.Policy.Apart = true, *apart*1000
			o.For += o.Policy.Apart
		}
		w := Play(o)
		if len(w.Report.Wrong) > 0 {
			t.Fatalf("seed %d: %v\n%v", seed, w.Report.Wrong, w.Faults)
		}
		all.Proposed, all.Accepted, all.Refused, all.Unknown = all.Proposed+w.Proposed, all.Accepted+w.Accepted, all.Refused+w.Refused, all.Unknown+w.Unknown
		all.Adopted, all.Fetched, all.Older, all.Unfit, all.Most = all.Adopted+w.Adopted, all.Fetched+w.Fetched, all.Older+w.Older, all.Unfit+w.Unfit, max(all.Most, w.Most)
		all.Everywhere = append(all.Everywhere, w.Everywhere...)
		for k, n := range w.Faults {
			faults[k] += n
		}
	}
	slices.Sort(all.Everywhere)
	if n := len(all.Everywhere); n > 0 {
		t.Logf("%d schedules of %d routers: %d proposed, %d accepted, %d refused, %d not known; everywhere after %.0f ms (median), %.0f (worst, under faults); "+
			"%d adoptions, %d parts fetched, %d words of older versions, %d documents that didn't fit, at most %d bytes of a router in a second; faults %v",
			*policies, *size, all.Proposed, all.Accepted, all.Refused, all.Unknown, all.Everywhere[n/2], all.Everywhere[n-1],
			all.Adopted, all.Fetched, all.Older, all.Unfit, all.Most, faults)
	}
	if all.Accepted < 5**policies || all.Refused < *policies/2 || all.Fetched < *policies {
		t.Error("this tests little")
	}
}

// Each planted defect is found by some schedule, and none is found without it.
func TestPlantedPolicies(t *testing.T) {
	for _, c := range []struct {
		name  string
		plant func(*Planted)
	}{
		{"the hash is not checked", func(p *Planted) { p.Policy.Unhashed = true }},
		{"a stale teller is believed", func(p *Planted) { p.Policy.Backward = true }},
		{"a difference applied to another document", func(p *Planted) { p.Policy.WrongBase = true }},
		{"what was stored taken for what is in force", func(p *Planted) { p.Policy.StoredWins = true }},
		{"acknowledged before it is applied", func(p *Planted) { p.Policy.EarlyWord = true }},
		{"no compare and set", func(p *Planted) { p.Uncompared = true }},
	} {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(60) {
				o := changed(seed)
				o.Routers, o.Policy.Zone = 12, 4
				c.plant(&o.Planted)
				if w := Play(o); len(w.Report.Wrong) > 0 {
					t.Logf("seed %d: %.200s", seed, w.Report.Wrong[0])
					o.Planted = Planted{}
					if w := Play(o); len(w.Report.Wrong) > 0 {
						t.Errorf("without it: %v", w.Report.Wrong)
					}
					return
				}
			}
			t.Error("not found")
		})
	}
}
