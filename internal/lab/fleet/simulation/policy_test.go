package simulation

import (
	"flag"
	"slices"
	"testing"
)

var (
	policies = flag.Int("policies", 6, "drawn schedules of changes of the policy that the twin plays")
	size     = flag.Int("size", 16, "routers of these schedules")
	apart    = flag.Float64("apart", 20, "seconds for which the regions of these schedules are apart")
)

func changed(seed uint64) Options {
	return Options{Seed: seed, Coordinators: 3, Routers: *size, FaultsMs: 15000, Policy: &PolicyOptions{Fields: 60, FieldsPerChange: 1, ChangeIntervalMs: 1500, ZoneRouters: max(1, *size/8)}}
}

// Whatever the faults: no version is two documents, no router goes back, what a router says that it goes by it goes by, no
// proposal is told that it holds where another does, no second takes more of a router's line than control may, and when all is
// over each router goes by what is in force, and is known to.
func TestPolicies(t *testing.T) {
	var all PolicyResult
	faults := map[string]int{}
	for seed := range uint64(*policies) {
		o := changed(seed)
		if seed%4 == 3 {
			o.Policy.Regions, o.Policy.RegionCutMs = true, *apart*1000
			o.FaultsMs, o.RecoveryMs = o.FaultsMs+o.Policy.RegionCutMs, 20000
			o.Policy.ChangeIntervalMs = max(1500, o.Policy.RegionCutMs/30)
		}
		w := Play(o)
		if len(w.Report.Violations) > 0 {
			t.Fatalf("seed %d: %v\n%v", seed, w.Report.Violations, w.Faults)
		}
		all.Proposed, all.Accepted, all.Rejected, all.Unknown = all.Proposed+w.Proposed, all.Accepted+w.Accepted, all.Rejected+w.Rejected, all.Unknown+w.Unknown
		all.Applied, all.Fetched, all.StaleAnnouncements, all.HashMismatches, all.MaxBytesPerSecond = all.Applied+w.Applied, all.Fetched+w.Fetched, all.StaleAnnouncements+w.StaleAnnouncements, all.HashMismatches+w.HashMismatches, max(all.MaxBytesPerSecond, w.MaxBytesPerSecond)
		all.PropagationMs = append(all.PropagationMs, w.PropagationMs...)
		for k, n := range w.Faults {
			faults[k] += n
		}
		if *policies <= 4 {
			t.Logf("seed %d: %d accepted, %d adoptions, %v", seed, w.Accepted, w.Applied, w.Faults)
		}
	}
	slices.Sort(all.PropagationMs)
	if n := len(all.PropagationMs); n > 0 {
		t.Logf("%d schedules of %d routers: %d proposed, %d accepted, %d refused, %d not known; everywhere after %.0f ms (median), %.0f (worst, under faults); "+
			"%d adoptions, %d parts fetched, %d words of older versions, %d documents that didn't fit, at most %d bytes of a router in a second; faults %v",
			*policies, *size, all.Proposed, all.Accepted, all.Rejected, all.Unknown, all.PropagationMs[n/2], all.PropagationMs[n-1],
			all.Applied, all.Fetched, all.StaleAnnouncements, all.HashMismatches, all.MaxBytesPerSecond, faults)
	}
	if all.Accepted < 5**policies || all.Rejected < *policies/2 || all.Fetched < *policies {
		t.Error("this tests little")
	}
}

// cost plays one change without faults, at its usual time after an earlier one, and gives the ms from its proposal until each router
// went by it, and the bytes that a router's line carried for it beyond an idle time as long.
func cost(t *testing.T, fields, change int, event func(w *World)) (took []float64, bytes float64, most int) {
	const at, long = 32000.0, 15000.0
	var idle, busy int
	o := Options{Seed: 5, Coordinators: 3, Routers: *size, FaultsMs: at, Policy: &PolicyOptions{Fields: fields, FieldsPerChange: change}}
	var last *World
	o.Schedule = func(w *World) {
		last = w
		mark := func(when float64, into *int) {
			var from int
			w.After(when, func() { from = w.policyRun.totalBytes })
			w.After(when+long-1, func() { *into = w.policyRun.totalBytes - from })
		}
		mark(at-long, &idle)
		mark(at, &busy)
		w.After(at, func() {
			if event != nil {
				event(w)
			}
			if change > 0 {
				w.proposeChange(0, w.randomChange)
			}
		})
	}
	w := Play(o)
	if len(w.Report.Violations) > 0 {
		t.Fatal(w.Report.Violations)
	}
	took = slices.Sorted(slices.Values(last.policyRun.routerDelaysMs[last.policyRun.latest]))
	return took, float64(busy-idle) / float64(*size), w.MaxBytesPerSecond
}

// What a change takes: a field of a small document, of one of 100 KB, nearly all of that one at once; and a zone that comes back with
// what it had kept, a version behind, or with nothing.
func TestCost(t *testing.T) {
	large := 500 // fields: 100 KB have 2,700
	if *size > 100 {
		large = 2700
	}
	zone := max(1, *size/8)
	for _, c := range []struct {
		name           string
		fields, change int
		event          func(*World)
		within         float64 // ms, by design; 0: none
	}{
		{"a field of a small document", 100, 1, nil, 1000},
		{"a field of a large document", large, 1, nil, 1000},
		{"200 fields of a large document", large, 200, nil, 4000},
		{"nearly all of a large document", large, 4 * large, nil, 0},
	} {
		took, bytes, most := cost(t, c.fields, c.change, c.event)
		t.Logf("%s (%d fields), %d routers: %d went by it after %.0f ms (median), %.0f (worst); %.0f bytes a router; at most %d in a second", c.name, c.fields, *size, len(took),
			took[len(took)/2], took[len(took)-1], bytes, most)
		if worst := took[len(took)-1]; c.within > 0 && worst > c.within {
			t.Errorf("%s: %.0f ms, %.0f by design", c.name, worst, c.within)
		}
	}
	for _, with := range []bool{true, false} {
		var back []float64
		_, bytes, most := cost(t, large, 1, func(w *World) {
			for _, p := range w.Routers[:zone] {
				p.Kill()
				if !with {
					p.stored = storedPolicy{}
				}
				w.After(500, p.start) // the change comes meanwhile
				w.After(500, func() { w.backAt(p, &back) })
			}
		})
		slices.Sort(back)
		if len(back) != zone {
			t.Fatalf("%d of %d routers are back", len(back), zone)
		}
		t.Logf("a zone of %d of %d routers back, what was kept there %v: at the version in force after %.0f ms (median), %.0f (worst); %.0f bytes for each of them; "+
			"at most %d in a second", zone, *size, with, back[len(back)/2], back[len(back)-1], bytes*float64(*size)/float64(zone), most)
		if worst := back[len(back)-1]; with && worst > 4000 {
			t.Errorf("back with what was kept: %.0f ms", worst)
		}
	}
}

// backAt notes when a router that starts now goes by what is in force.
func (w *World) backAt(p *Process, into *[]float64) {
	since := w.Now
	var look func()
	look = func() {
		if p.policy != nil && p.policy.version.Packed() == w.policyRun.latest && w.policyRun.latest != 0 && w.Now > since+1 {
			*into = append(*into, w.Now-since)
			return
		}
		w.After(10, look)
	}
	look()
}

// staleTellers has coordinator nodes cut off from the others in turn, a change meanwhile, and all routers begin their
// watches anew.
func staleTellers(w *World) {
	for n, c := range w.Coordinators {
		at := 4000 + float64(n)*3000
		w.After(at, func() { w.Isolate(c, true, true, w.Coordinators, 2500) })
		w.After(at+1200, func() { w.proposeChange(0, w.randomChange) })
		w.After(at+1500, func() {
			for _, p := range w.Routers {
				p.run(p.subscribe)
			}
		})
	}
}

// otherBytes has all of the coordinator give other bytes than what is in force, to routers that come back with nothing.
func otherBytes(w *World) {
	w.After(4000, func() {
		for _, c := range w.Coordinators {
			c.corruptsChunks, c.chunks = true, nil
			w.After(2000, func() { c.corruptsChunks, c.chunks = false, nil })
		}
		for _, p := range w.Routers[:4] {
			p.stored = storedPolicy{}
			w.KillFor(p, 50)
		}
	})
}

// Each seeded defect is found by some schedule, and none is found without it.
func TestPlantedPolicies(t *testing.T) {
	for _, c := range []struct {
		name     string
		schedule func(*World)
		plant    func(*SeededDefects)
	}{
		{"the hash is not checked", otherBytes, func(p *SeededDefects) { p.Policy.SkipHashCheck = true }},
		{"a stale teller is believed", staleTellers, func(p *SeededDefects) { p.Policy.AcceptOlderVersions = true }},
		{"a difference applied to another document", nil, func(p *SeededDefects) { p.Policy.SkipBaseCheck = true }},
		{"what was stored taken for what is in force", nil, func(p *SeededDefects) { p.Policy.TrustStored = true }},
		{"acknowledged before it is applied", nil, func(p *SeededDefects) { p.Policy.AcknowledgeEarly = true }},
		{"no compare and set", nil, func(p *SeededDefects) { p.SkipCompareAndSet = true }},
	} {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(60) {
				o := changed(seed)
				o.Routers, o.Policy.ZoneRouters, o.Schedule = 12, 4, c.schedule
				c.plant(&o.SeededDefects)
				if w := Play(o); len(w.Report.Violations) > 0 {
					t.Logf("seed %d: %.200s", seed, w.Report.Violations[0])
					o.SeededDefects = SeededDefects{}
					if w := Play(o); len(w.Report.Violations) > 0 {
						t.Errorf("without it: %v", w.Report.Violations)
					}
					return
				}
			}
			t.Error("not found")
		})
	}
}
