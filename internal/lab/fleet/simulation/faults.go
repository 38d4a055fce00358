package simulation

import (
	"fmt"

	"wayloft/internal/decide/raftnode"
	"wayloft/internal/decide/switchover"
)

// draw schedules faults by chance, and their ends: after half of the run all is well again but for what is lost for good.
func (w *World) draw() {
	kinds := []func() string{w.stop, w.kill, w.sever, w.oneWay, w.isolate, w.slowDisk, w.lossy, w.killOwner, w.stopOwner, w.stopLeader, w.killLeader,
		w.restartReceivers, w.killMost, w.loseFolder}
	n := 2 + w.rand.IntN(6)
	for range n {
		f := kinds[w.rand.IntN(len(kinds))]
		w.After(1500+w.rand.Float64()*(w.opt.FaultsMs-1500), func() { w.Faults[f()]++ })
	}
	if w.rand.IntN(12) == 0 { // all of the coordinator's folders at once; it begins anew
		w.After(2500+w.rand.Float64()*(w.opt.FaultsMs-2500), func() { w.WipeCoordinators() })
	}
	w.After(w.opt.FaultsMs+3000, func() {
		clear(w.cut)
		w.loss = 0
	})
}

// lasting is how long a fault lasts.
func (w *World) lasting() float64 { return 100 + w.rand.ExpFloat64()*1500 }

func (w *World) anyone() *Process {
	all := append(append([]*Process(nil), w.Coordinators...), w.Routers...)
	if w.planned != nil {
		all = append(all, w.planned.members...)
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
func (w *World) Holder(d string) *Process { return w.byName[w.owner[d]] }

// StopFor, KillFor and CutOff are faults with an end.
func (w *World) StopFor(p *Process, ms float64) {
	p.Stop()
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
				w.cut[[2]string{p.Name, o.Name}] = on
			}
			if in {
				w.cut[[2]string{o.Name, p.Name}] = on
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

func (w *World) stop() string { w.StopFor(w.anyone(), w.lasting()); return "stop" }
func (w *World) kill() string { w.KillFor(w.anyone(), w.lasting()); return "kill" }

func (w *World) sever() string {
	w.Isolate(w.anyone(), true, true, []*Process{w.anyone(), w.anyone()}, w.lasting())
	return "cut"
}

func (w *World) oneWay() string {
	out := w.rand.IntN(2) == 0
	w.Isolate(w.anyone(), out, !out, w.Coordinators, w.lasting())
	return "one way"
}

func (w *World) isolate() string {
	p := w.anyone()
	others := w.Routers
	if w.rand.IntN(2) == 0 {
		others = w.Coordinators
	}
	w.Isolate(p, true, true, others, w.lasting())
	return "cut off"
}

func (w *World) slowDisk() string {
	p := w.Coordinators[w.rand.IntN(len(w.Coordinators))]
	p.slow = 20 + w.rand.Float64()*400
	w.After(w.lasting(), func() { p.slow = 0 })
	return "slow disk"
}

func (w *World) lossy() string {
	w.loss = 0.05 + w.rand.Float64()*0.2
	w.After(w.lasting(), func() { w.loss = 0 })
	return "loss"
}

func (w *World) some() string {
	if w.opt.Switchover && w.rand.IntN(2) == 0 {
		return switchover.LeaseName(0)
	}
	return duty(w.rand.IntN(w.opt.Leases))
}

func (w *World) killOwner() string {
	if p := w.Holder(w.some()); p != nil {
		w.KillFor(p, w.lasting())
	}
	return "owner killed"
}

func (w *World) stopOwner() string {
	if p := w.Holder(w.some()); p != nil {
		w.StopFor(p, SessionTimeoutMs+w.lasting())
	}
	return "owner stopped"
}

func (w *World) stopLeader() string {
	if p := w.Leader(); p != nil {
		w.StopFor(p, 1000+w.lasting())
	}
	return "leader stopped"
}

func (w *World) killLeader() string {
	if p := w.Leader(); p != nil {
		w.KillFor(p, w.lasting())
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

// killMost kills all of the coordinator in one moment, and starts it again from its folders.
func (w *World) killMost() string {
	for _, p := range w.Coordinators {
		w.KillFor(p, 100+w.rand.Float64()*400)
	}
	return "council restarted"
}

// loseFolder loses one process's folder for good. It can't come back under its name, since it has forgotten its votes: an
// operator has another take its place.
func (w *World) loseFolder() string {
	p := w.Coordinators[w.rand.IntN(len(w.Coordinators))]
	if w.Faults["folder lost"] > 0 || !p.up { // two of three are a lost majority: an operator's to recover
		return "folder lost, not played"
	}
	p.Kill()
	p.lost = true
	next := &Process{Name: fmt.Sprint("c", len(w.Coordinators)+1), w: w, joins: true, ahead: p.ahead}
	w.Coordinators, w.byName[next.Name] = append(w.Coordinators, next), next
	w.After(300, next.start)
	w.After(400, func() { w.replace(p, next) })
	return "folder lost"
}

// replace is the operator's command, again until it is taken.
func (w *World) replace(old, next *Process) {
	if l := w.Leader(); l != nil && !l.asleep {
		w.number++
		l.run(func() { l.node.ChangeMembership(w.number, []raftnode.Peer{{Name: next.Name}}, []string{old.Name}) })
		for _, s := range l.node.Peers() {
			if s.Name == next.Name {
				return
			}
		}
	}
	w.After(500, func() { w.replace(old, next) })
}
