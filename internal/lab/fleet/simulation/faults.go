package simulation

import (
	"fmt"

	"wayloft/internal/decide/raftnode"
	"wayloft/internal/decide/switchover"
)

// drawFaults schedules faults by chance, and their ends: after half of the run all is well again but for what is lost for good.
func (w *World) drawFaults() {
	kinds := []func() string{w.pauseAny, w.killAny, w.cutLink, w.cutOneWay, w.isolateAny, w.slowAnyDisk, w.dropMessages, w.killHolder, w.pauseHolder, w.pauseLeader, w.killLeader,
		w.restartReceivers, w.restartCoordinators, w.loseDataDirectory}
	n := 2 + w.rand.IntN(6)
	for range n {
		f := kinds[w.rand.IntN(len(kinds))]
		w.After(1500+w.rand.Float64()*(w.options.FaultsMs-1500), func() { w.Faults[f()]++ })
	}
	if w.rand.IntN(12) == 0 { // all of the coordinator's folders at once; it begins anew
		w.After(2500+w.rand.Float64()*(w.options.FaultsMs-2500), func() { w.WipeCoordinators() })
	}
	w.After(w.options.FaultsMs+3000, func() {
		clear(w.cutLinks)
		w.lossProbability = 0
	})
}

// faultDurationMs is how long a fault lasts.
func (w *World) faultDurationMs() float64 { return 100 + w.rand.ExpFloat64()*1500 }

func (w *World) randomProcess() *Process {
	all := append(append([]*Process(nil), w.Coordinators...), w.Routers...)
	if w.switchovers != nil {
		all = append(all, w.switchovers.members...)
	}
	return all[w.rand.IntN(len(all))]
}

// Leader gives the process that leads, as it sees it; nil: none does.
func (w *World) Leader() *Process {
	var best *Process
	var top uint64
	for _, p := range w.Coordinators {
		if p.node != nil {
			if leads, term := p.node.IsLeader(); leads && term >= top {
				best, top = p, term
			}
		}
	}
	return best
}

// Holder gives the process that acts for a lease, as it sees it.
func (w *World) Holder(d string) *Process { return w.processes[w.activeHolder[d]] }

// PauseFor, KillFor and CutOff are faults with an end.
func (w *World) PauseFor(p *Process, ms float64) {
	p.Pause()
	w.After(ms, p.Resume)
}

func (w *World) KillFor(p *Process, ms float64) {
	p.Kill()
	w.After(ms, p.start)
}

// Isolate cuts what one process says to others, what they say to it, or both.
func (w *World) Isolate(p *Process, out, in bool, others []*Process, ms float64) {
	set := func(on bool) {
		for _, o := range others {
			if out {
				w.cutLinks[[2]string{p.Name, o.Name}] = on
			}
			if in {
				w.cutLinks[[2]string{o.Name, p.Name}] = on
			}
		}
	}
	set(true)
	w.After(ms, func() { set(false) })
}

// WipeCoordinators loses the folders of the whole coordinator, which then begins anew.
func (w *World) WipeCoordinators() {
	w.Faults["wiped"]++
	for _, p := range w.Coordinators {
		p.Kill()
		p.disk = raftnode.Stored{}
		w.After(1200+w.rand.Float64()*200, p.start)
	}
}

func (w *World) pauseAny() string { w.PauseFor(w.randomProcess(), w.faultDurationMs()); return "stop" }
func (w *World) killAny() string  { w.KillFor(w.randomProcess(), w.faultDurationMs()); return "kill" }

func (w *World) cutLink() string {
	w.Isolate(w.randomProcess(), true, true, []*Process{w.randomProcess(), w.randomProcess()}, w.faultDurationMs())
	return "cut"
}

func (w *World) cutOneWay() string {
	out := w.rand.IntN(2) == 0
	w.Isolate(w.randomProcess(), out, !out, w.Coordinators, w.faultDurationMs())
	return "one way"
}

func (w *World) isolateAny() string {
	p := w.randomProcess()
	others := w.Routers
	if w.rand.IntN(2) == 0 {
		others = w.Coordinators
	}
	w.Isolate(p, true, true, others, w.faultDurationMs())
	return "cut off"
}

func (w *World) slowAnyDisk() string {
	p := w.Coordinators[w.rand.IntN(len(w.Coordinators))]
	p.diskDelayMs = 20 + w.rand.Float64()*400
	w.After(w.faultDurationMs(), func() { p.diskDelayMs = 0 })
	return "slow disk"
}

func (w *World) dropMessages() string {
	w.lossProbability = 0.05 + w.rand.Float64()*0.2
	w.After(w.faultDurationMs(), func() { w.lossProbability = 0 })
	return "loss"
}

func (w *World) randomLease() string {
	if w.options.Switchover && w.rand.IntN(2) == 0 {
		return switchover.LeaseName(0)
	}
	return leaseName(w.rand.IntN(w.options.Leases))
}

func (w *World) killHolder() string {
	if p := w.Holder(w.randomLease()); p != nil {
		w.KillFor(p, w.faultDurationMs())
	}
	return "owner killed"
}

func (w *World) pauseHolder() string {
	if p := w.Holder(w.randomLease()); p != nil {
		w.PauseFor(p, SessionTimeoutMs+w.faultDurationMs())
	}
	return "owner stopped"
}

func (w *World) pauseLeader() string {
	if p := w.Leader(); p != nil {
		w.PauseFor(p, 1000+w.faultDurationMs())
	}
	return "leader stopped"
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

// restartCoordinators kills all of the coordinator in one moment, and starts it again from its folders.
func (w *World) restartCoordinators() string {
	for _, p := range w.Coordinators {
		w.KillFor(p, 100+w.rand.Float64()*400)
	}
	return "council restarted"
}

// loseDataDirectory loses one process's folder for good. It can't come back under its name, since it has forgotten its votes: an
// operator has another take its place.
func (w *World) loseDataDirectory() string {
	p := w.Coordinators[w.rand.IntN(len(w.Coordinators))]
	if w.Faults["folder lost"] > 0 || !p.up { // two of three are a lost majority: an operator's to recover
		return "folder lost, not played"
	}
	p.Kill()
	p.dataLost = true
	next := &Process{Name: fmt.Sprint("c", len(w.Coordinators)+1), world: w, joining: true, clockOffsetMs: p.clockOffsetMs}
	w.Coordinators, w.processes[next.Name] = append(w.Coordinators, next), next
	w.After(300, next.start)
	w.After(400, func() { w.replaceNode(p, next) })
	return "folder lost"
}

// replaceNode is the operator's command, again until it is taken.
func (w *World) replaceNode(old, next *Process) {
	if l := w.Leader(); l != nil && !l.paused {
		w.lastRequest++
		l.run(func() { l.node.ChangeMembership(w.lastRequest, []raftnode.Peer{{Name: next.Name}}, []string{old.Name}) })
		for _, s := range l.node.Peers() {
			if s.Name == next.Name {
				return
			}
		}
	}
	w.After(500, func() { w.replaceNode(old, next) })
}
