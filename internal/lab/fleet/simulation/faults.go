package simulation

import (
	"fmt"

	"wayloft/internal/decide/raftnode"
	"wayloft/internal/decide/switchover"
)

const (
	// firstFaultMs is when faults begin, after the fleet has started.
	firstFaultMs = 1500
	// repairMs is the time from the end of the faults until links that are still cut or lossy are repaired.
	repairMs = 3000
	// How long a fault lasts, in ms: the minimum, and the mean of an exponentially distributed extra.
	minFaultMs       = 100
	meanExtraFaultMs = 1500
	// joinDelayMs and replaceDelayMs are the times from the loss of a node's data directory until the replacement node starts, and
	// until the membership change is requested.
	joinDelayMs    = 300
	replaceDelayMs = 400
	// operatorRetryMs is the delay before an operator's command is retried.
	operatorRetryMs = 500
)

// coordinatorsWiped names the fault that restarts all coordinator nodes without their state.
const coordinatorsWiped = "coordinators wiped"

// scheduleRandomFaults schedules random faults and their ends. After the fault period the network is repaired; a lost data directory
// stays lost.
func (w *World) scheduleRandomFaults() {
	kinds := []func() string{w.pauseRandomProcess, w.killRandomProcess, w.cutRandomLinks, w.cutLinksOneWay, w.isolateRandomProcess, w.slowRandomDisk, w.dropMessages, w.killHolder, w.pauseHolder,
		w.pauseLeader, w.killLeader, w.restartReceivers, w.restartCoordinators, w.loseDataDirectory}
	w.scheduleFaultsOfKinds(2+w.rand.IntN(6), kinds)
	if w.rand.IntN(12) == 0 {
		w.After(2500+w.rand.Float64()*(w.options.FaultsMs-2500), w.WipeCoordinators)
	}
	w.After(w.options.FaultsMs+repairMs, w.repairNetwork)
}

// scheduleFaultsOfKinds schedules faults of random kinds at random times. A kind is a function that injects the fault and returns its
// name for the report.
func (w *World) scheduleFaultsOfKinds(count int, kinds []func() string) {
	for range count {
		inject := kinds[w.rand.IntN(len(kinds))]
		w.After(firstFaultMs+w.rand.Float64()*(w.options.FaultsMs-firstFaultMs), func() { w.Faults[inject()]++ })
	}
}

func (w *World) repairNetwork() {
	clear(w.cutLinks)
	w.lossProbability = 0
}

func (w *World) faultDurationMs() float64 { return minFaultMs + w.rand.ExpFloat64()*meanExtraFaultMs }

func (w *World) randomProcess() *Process {
	all := append(append([]*Process(nil), w.Coordinators...), w.Routers...)
	if w.switchovers != nil {
		all = append(all, w.switchovers.members...)
	}
	return all[w.rand.IntN(len(all))]
}

func (w *World) randomLease() string {
	if w.options.Switchover && w.rand.IntN(2) == 0 {
		return switchover.LeaseName(0)
	}
	return leaseName(w.rand.IntN(w.options.Leases))
}

func (w *World) pauseRandomProcess() string {
	w.PauseFor(w.randomProcess(), w.faultDurationMs())
	return "process paused"
}

func (w *World) killRandomProcess() string {
	w.KillFor(w.randomProcess(), w.faultDurationMs())
	return "process killed"
}

func (w *World) cutRandomLinks() string {
	w.Isolate(w.randomProcess(), true, true, []*Process{w.randomProcess(), w.randomProcess()}, w.faultDurationMs())
	return "link cut"
}

func (w *World) cutLinksOneWay() string {
	outgoing := w.rand.IntN(2) == 0
	w.Isolate(w.randomProcess(), outgoing, !outgoing, w.Coordinators, w.faultDurationMs())
	return "link cut one way"
}

func (w *World) isolateRandomProcess() string {
	p := w.randomProcess()
	others := w.Routers
	if w.rand.IntN(2) == 0 {
		others = w.Coordinators
	}
	w.Isolate(p, true, true, others, w.faultDurationMs())
	return "process isolated"
}

func (w *World) slowRandomDisk() string {
	p := w.randomCoordinator()
	p.diskDelayMs = 20 + w.rand.Float64()*400
	w.After(w.faultDurationMs(), func() { p.diskDelayMs = 0 })
	return "slow disk"
}

func (w *World) dropMessages() string {
	w.lossProbability = 0.05 + w.rand.Float64()*0.2
	w.After(w.faultDurationMs(), func() { w.lossProbability = 0 })
	return "messages lost"
}

func (w *World) killHolder() string {
	if p := w.Holder(w.randomLease()); p != nil {
		w.KillFor(p, w.faultDurationMs())
	}
	return "lease holder killed"
}

func (w *World) pauseHolder() string {
	if p := w.Holder(w.randomLease()); p != nil {
		w.PauseFor(p, SessionTimeoutMs+w.faultDurationMs())
	}
	return "lease holder paused"
}

func (w *World) pauseLeader() string {
	if p := w.Leader(); p != nil {
		w.PauseFor(p, 1000+w.faultDurationMs())
	}
	return "leader paused"
}

func (w *World) killLeader() string {
	if p := w.Leader(); p != nil {
		w.KillFor(p, w.faultDurationMs())
	}
	return "leader killed"
}

func (w *World) restartReceivers() string {
	for _, p := range w.Routers {
		if w.rand.IntN(2) == 0 {
			w.KillFor(p, 20+w.rand.Float64()*50)
		}
	}
	return "half of the routers restarted"
}

// restartCoordinators kills all coordinator nodes at once and restarts them from their data directories.
func (w *World) restartCoordinators() string {
	for _, p := range w.Coordinators {
		w.KillFor(p, 100+w.rand.Float64()*400)
	}
	return "coordinators restarted"
}

// WipeCoordinators kills all coordinator nodes, deletes their data directories and restarts them without state.
func (w *World) WipeCoordinators() {
	w.Faults[coordinatorsWiped]++
	for _, p := range w.Coordinators {
		p.Kill()
		p.disk = raftnode.Stored{}
		w.After(1200+w.rand.Float64()*200, p.start)
	}
}

// loseDataDirectory permanently loses one node's data directory. The node can't return under its name, since it no longer knows how
// it voted, so an operator replaces it. This happens at most once per run, because two of three nodes are a quorum.
func (w *World) loseDataDirectory() string {
	const lost, skipped = "data directory lost", "data directory lost, skipped"
	p := w.randomCoordinator()
	if w.Faults[lost] > 0 || !p.up {
		return skipped
	}
	p.Kill()
	p.dataLost = true
	replacement := &Process{Name: fmt.Sprint("c", len(w.Coordinators)+1), world: w, clockOffsetMs: p.clockOffsetMs}
	replacement.joining = true
	w.addCoordinator(replacement)
	w.After(joinDelayMs, replacement.start)
	w.After(replaceDelayMs, func() { w.replaceNode(p, replacement) })
	return lost
}

// replaceNode simulates an operator that requests a membership change and retries until it has taken effect.
func (w *World) replaceNode(old, replacement *Process) {
	if leader := w.Leader(); leader != nil && !leader.paused {
		w.lastRequest++
		leader.run(func() {
			leader.node.ChangeMembership(w.lastRequest, []raftnode.Peer{{Name: replacement.Name}}, []string{old.Name})
		})
		for _, peer := range leader.node.Peers() {
			if peer.Name == replacement.Name {
				return
			}
		}
	}
	w.After(operatorRetryMs, func() { w.replaceNode(old, replacement) })
}
