package simulation

import (
	"maps"
	"slices"
)

const (
	// firstPolicyFaultMs is the earliest time of faults that need a policy in force.
	firstPolicyFaultMs = 4000
	// lastChangeMs is the time between the last two changes of a run, both after all faults.
	lastChangeMs = 2500
)

// scheduleRandomPolicyFaults schedules random faults, including those that concern the policy, and two policy changes after them.
func (w *World) scheduleRandomPolicyFaults() {
	kinds := []func() string{w.pauseRandomProcess, w.killRandomProcess, w.cutRandomLinks, w.cutLinksOneWay, w.isolateRandomProcess, w.slowRandomDisk, w.dropMessages, w.pauseLeader, w.killLeader,
		w.restartReceivers, w.restartCoordinators, w.isolateFromPeers, w.corruptStores, w.serveCorruptChunks}
	if w.policyRun.ZoneRouters > 0 {
		kinds = append(kinds, w.restartZone)
	}
	w.scheduleFaultsOfKinds(3+w.rand.IntN(6), kinds)
	if w.policyRun.Regions {
		w.After(firstPolicyFaultMs+w.rand.Float64()*2000, func() { w.Faults[w.partitionRegions()]++ })
	}
	if w.rand.IntN(8) == 0 {
		w.After(firstPolicyFaultMs+w.rand.Float64()*(w.options.FaultsMs-firstPolicyFaultMs), w.WipeCoordinators)
	}
	w.After(w.options.FaultsMs+repairMs, func() {
		w.repairNetwork()
		for _, p := range w.Coordinators {
			p.corruptsChunks = false
		}
		w.proposeChange(0, w.randomChange)
		w.After(lastChangeMs, func() { w.proposeChange(1, w.randomChange) })
	})
}

// isolateFromPeers cuts a coordinator node off from its peers but not from the routers, so that it keeps announcing outdated versions.
func (w *World) isolateFromPeers() string {
	w.Isolate(w.randomCoordinator(), true, true, w.Coordinators, 2000+w.faultDurationMs()*3)
	return "coordinator node lags"
}

// corruptStores restarts some routers and replaces the documents in their stores. The stored hash matches the new document in about half
// of the cases.
func (w *World) corruptStores() string {
	for range 1 + len(w.Routers)/20 {
		p := w.Routers[w.rand.IntN(len(w.Routers))]
		p.Kill()
		if p.stored.version.Number > 0 {
			p.stored.document = maps.Clone(p.stored.document)
			p.stored.document["over_share_value"] = "0.7"
			p.storeTampered = true
			if w.rand.IntN(2) == 0 {
				p.stored.version.Hash = p.stored.document.Hash()
			}
		}
		w.After(20+w.rand.Float64()*400, p.start)
	}
	return "store corrupted"
}

func (w *World) serveCorruptChunks() string {
	p := w.randomCoordinator()
	p.corruptsChunks, p.chunks = true, nil
	w.After(1000+w.faultDurationMs()*2, func() { p.corruptsChunks, p.chunks = false, nil })
	return "coordinator node serves other bytes"
}

// restartZone restarts all routers of a zone at once, some with an empty store, at about the time of a policy change.
func (w *World) restartZone() string {
	first := w.rand.IntN(max(1, len(w.Routers)-w.policyRun.ZoneRouters+1))
	for _, p := range w.Routers[first : first+w.policyRun.ZoneRouters] {
		if w.rand.IntN(3) == 0 {
			p.stored, p.storeTampered = storedPolicy{}, false
		}
		w.KillFor(p, 200+w.rand.Float64()*300)
	}
	w.After(w.rand.Float64()*600, func() { w.proposeChange(0, w.randomChange) })
	return "zone restarted"
}

// partitionRegions cuts the last coordinator node and a third of the routers off from the rest.
func (w *World) partitionRegions() string {
	region := slices.Clone(w.Coordinators[len(w.Coordinators)-1:])
	region = append(region, w.Routers[len(w.Routers)*2/3:]...)
	w.policyRun.partitioned = map[*Process]bool{}
	for _, p := range region {
		w.policyRun.partitioned[p] = true
	}
	w.After(w.policyRun.RegionCutMs, func() { w.policyRun.partitioned = nil })
	return "regions partitioned"
}
