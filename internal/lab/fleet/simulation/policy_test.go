package simulation

import (
	"flag"
	"slices"
	"testing"
)

var (
	policySchedules  = flag.Int("policies", 6, "number of random schedules of policy changes to run")
	policyRouters    = flag.Int("size", 16, "number of routers in these schedules")
	partitionSeconds = flag.Float64("apart", 20, "seconds for which the regions of these schedules are partitioned")
)

func policyOptions(seed uint64) Options {
	return Options{Seed: seed, Coordinators: 3, Routers: *policyRouters, FaultsMs: 15000, Policy: &PolicyOptions{Fields: 60, FieldsPerChange: 1, ChangeIntervalMs: 1500, ZoneRouters: max(1, *policyRouters/8)}}
}

// Under random faults, a version has one document, no router goes back to an earlier version, routers acknowledge only versions that they
// applied, an accepted proposal has the version number that its operator received, control traffic stays within its bandwidth limit, and at
// the end each router has applied the version in force and the coordinator has recorded that.
func TestPolicies_RandomFaults(t *testing.T) {
	var all PolicyResult
	faults := map[string]int{}
	for seed := range uint64(*policySchedules) {
		o := policyOptions(seed)
		if seed%4 == 3 {
			o.Policy.Regions, o.Policy.RegionCutMs = true, *partitionSeconds*1000
			o.FaultsMs, o.RecoveryMs = o.FaultsMs+o.Policy.RegionCutMs, 20000
			o.Policy.ChangeIntervalMs = max(1500, o.Policy.RegionCutMs/30)
		}
		w := Run(o)
		if len(w.Violations) > 0 {
			t.Fatalf("seed %d: %v\n%v", seed, w.Violations, w.Faults)
		}
		all.add(w.PolicyResult)
		for kind, count := range w.Faults {
			faults[kind] += count
		}
		if *policySchedules <= 4 {
			t.Logf("seed %d: %d accepted, %d applied, %v", seed, w.Accepted, w.Applied, w.Faults)
		}
	}
	slices.Sort(all.PropagationMs)
	if n := len(all.PropagationMs); n > 0 {
		t.Logf("%d schedules of %d routers: %d proposed, %d accepted, %d rejected, %d unknown; applied by all routers after %.0f ms (median), %.0f (worst, under faults); "+
			"%d applied, %d parts fetched, %d outdated announcements, %d hash mismatches, at most %d bytes of a router in a second; faults %v",
			*policySchedules, *policyRouters, all.Proposed, all.Accepted, all.Rejected, all.Unknown, all.PropagationMs[n/2], all.PropagationMs[n-1],
			all.Applied, all.Fetched, all.StaleAnnouncements, all.HashMismatches, all.MaxBytesPerSecond, faults)
	}
	if all.Accepted < 5**policySchedules || all.Rejected < *policySchedules/2 || all.Fetched < *policySchedules {
		t.Errorf("only %d accepted, %d rejected, %d fetched in %d schedules: coverage is too low", all.Accepted, all.Rejected, all.Fetched, *policySchedules)
	}
}

// add adds the result of another run.
func (r *PolicyResult) add(other PolicyResult) {
	r.Proposed += other.Proposed
	r.Accepted += other.Accepted
	r.Rejected += other.Rejected
	r.Unknown += other.Unknown
	r.Applied += other.Applied
	r.Fetched += other.Fetched
	r.StaleAnnouncements += other.StaleAnnouncements
	r.HashMismatches += other.HashMismatches
	r.MaxBytesPerSecond = max(r.MaxBytesPerSecond, other.MaxBytesPerSecond)
	r.PropagationMs = append(r.PropagationMs, other.PropagationMs...)
}

// changeCost runs one change without faults. It returns the delays from the proposal until each router applied it, sorted; the bytes per
// router in excess of the traffic of an idle period of the same length; and the maximum bytes of a router in one second.
func changeCost(t *testing.T, fields, change int, event func(w *World)) (delaysMs []float64, bytes float64, maxBytes int) {
	t.Helper()
	const changeMs, durationMs = 32000.0, 15000.0
	var idle, busy int
	o := Options{Seed: 5, Coordinators: 3, Routers: *policyRouters, FaultsMs: changeMs, Policy: &PolicyOptions{Fields: fields, FieldsPerChange: change}}
	var last *World
	o.Schedule = func(w *World) {
		last = w
		count := func(fromMs float64, into *int) {
			var before int
			w.After(fromMs, func() { before = w.policyRun.totalBytes })
			w.After(fromMs+durationMs-1, func() { *into = w.policyRun.totalBytes - before })
		}
		count(changeMs-durationMs, &idle)
		count(changeMs, &busy)
		w.After(changeMs, func() {
			if event != nil {
				event(w)
			}
			if change > 0 {
				w.proposeChange(0, w.randomChange)
			}
		})
	}
	w := Run(o)
	if len(w.Violations) > 0 {
		t.Fatal(w.Violations)
	}
	delaysMs = slices.Sorted(slices.Values(last.policyRun.routerDelaysMs[last.policyRun.latest]))
	return delaysMs, float64(busy-idle) / float64(*policyRouters), w.MaxBytesPerSecond
}

// Measures and bounds the cost of changes of different sizes, and of the restart of a zone whose routers have stored the previous version or
// have empty stores.
func TestPolicies_CostOfChange(t *testing.T) {
	large := 500 // number of fields; a document of 100 KB has 2,700
	if *policyRouters > 100 {
		large = 2700
	}
	zone := max(1, *policyRouters/8)
	for _, c := range []struct {
		name           string
		fields, change int
		event          func(*World)
		maxMs          float64 // 0: no bound
	}{
		{"one field of a small document", 100, 1, nil, 1000},
		{"one field of a large document", large, 1, nil, 1000},
		{"200 fields of a large document", large, 200, nil, 4000},
		{"most fields of a large document", large, 4 * large, nil, 0},
	} {
		delaysMs, bytes, maxBytes := changeCost(t, c.fields, c.change, c.event)
		t.Logf("%s (%d fields), %d routers: %d applied it after %.0f ms (median), %.0f (worst); %.0f bytes per router; at most %d in a second", c.name, c.fields, *policyRouters, len(delaysMs),
			delaysMs[len(delaysMs)/2], delaysMs[len(delaysMs)-1], bytes, maxBytes)
		if worst := delaysMs[len(delaysMs)-1]; c.maxMs > 0 && worst > c.maxMs {
			t.Errorf("%s: %.0f ms, the limit is %.0f", c.name, worst, c.maxMs)
		}
	}
	for _, keepStore := range []bool{true, false} {
		var recoveryMs []float64
		_, bytes, maxBytes := changeCost(t, large, 1, func(w *World) {
			for _, p := range w.Routers[:zone] {
				p.Kill()
				if !keepStore {
					p.stored = storedPolicy{}
				}
				w.After(500, p.start) // after the change
				w.After(500, func() { w.recordRecovery(p, &recoveryMs) })
			}
		})
		slices.Sort(recoveryMs)
		if len(recoveryMs) != zone {
			t.Fatalf("%d of %d routers have recovered", len(recoveryMs), zone)
		}
		t.Logf("a zone of %d of %d routers restarted, stores kept: %v: version in force applied after %.0f ms (median), %.0f (worst); %.0f bytes for each of them; "+
			"at most %d in a second", zone, *policyRouters, keepStore, recoveryMs[len(recoveryMs)/2], recoveryMs[len(recoveryMs)-1], bytes*float64(*policyRouters)/float64(zone), maxBytes)
		if worst := recoveryMs[len(recoveryMs)-1]; keepStore && worst > 4000 {
			t.Errorf("recovered with stores kept after %.0f ms", worst)
		}
	}
}

// recordRecovery records how long a router that starts now takes to apply the version in force.
func (w *World) recordRecovery(p *Process, into *[]float64) {
	since := w.Now
	var check func()
	check = func() {
		if p.policy != nil && p.policy.version.Packed() == w.policyRun.latest && w.policyRun.latest != 0 && w.Now > since+1 {
			*into = append(*into, w.Now-since)
			return
		}
		w.After(10, check)
	}
	check()
}

// isolateNodesInTurn cuts each coordinator node off from its peers in turn. While it is isolated, the policy changes and all routers
// resubscribe, some to the isolated node.
func isolateNodesInTurn(w *World) {
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

// serveOtherBytes makes all coordinator nodes serve corrupt bytes to routers that restart with empty stores.
func serveOtherBytes(w *World) {
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

// Each seeded defect causes a violation under some seed, and the same seed causes none without the defect.
func TestPolicySeededDefects_AreFound(t *testing.T) {
	for _, c := range []struct {
		name     string
		schedule func(*World)
		enable   func(*SeededDefects)
	}{
		{"hash not checked", serveOtherBytes, func(d *SeededDefects) { d.Policy.SkipHashCheck = true }},
		{"older versions accepted", isolateNodesInTurn, func(d *SeededDefects) { d.Policy.AcceptOlderVersions = true }},
		{"difference applied to another document", nil, func(d *SeededDefects) { d.Policy.SkipBaseCheck = true }},
		{"stored version taken for the one in force", nil, func(d *SeededDefects) { d.Policy.TrustStored = true }},
		{"acknowledged before it is applied", nil, func(d *SeededDefects) { d.Policy.AcknowledgeEarly = true }},
		{"no compare and set", nil, func(d *SeededDefects) { d.SkipCompareAndSet = true }},
	} {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(60) {
				o := policyOptions(seed)
				o.Routers, o.Policy.ZoneRouters, o.Schedule = 12, 4, c.schedule
				c.enable(&o.SeededDefects)
				if w := Run(o); len(w.Violations) > 0 {
					t.Logf("seed %d: %.200s", seed, w.Violations[0])
					o.SeededDefects = SeededDefects{}
					if w := Run(o); len(w.Violations) > 0 {
						t.Errorf("violations without the defect: %v", w.Violations)
					}
					return
				}
			}
			t.Error("no seed found the defect")
		})
	}
}
