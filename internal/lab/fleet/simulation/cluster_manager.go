package simulation

import "math/rand/v2"

const (
	// managerCheckMs is the interval at which the cluster manager checks the primary.
	managerCheckMs = 50
	// A primary that has been silent for giveUpMs is replaced after minTakeoverMs, plus a uniformly distributed extra of at most
	// takeoverJitterMs.
	giveUpMs         = 1200
	minTakeoverMs    = 1000
	takeoverJitterMs = 2800
	// The primary hangs every minHangIntervalMs, plus a uniformly distributed extra of at most hangIntervalJitterMs, for at most maxHangMs.
	minHangIntervalMs    = 2500
	hangIntervalJitterMs = 7000
	maxHangMs            = 7500
	// hangSeed keeps the random numbers of hangs apart from those of the other faults.
	hangSeed = 1
)

// clusterManager replaces a primary that is silent, as a cluster does by itself: without a lease and without a fencing token. It sees the
// members directly, whatever the state of the network.
type clusterManager struct {
	primary     *Process // the member that was promoted last, by the manager or by a switchover
	silentSince float64  // 0: it is not silent
	replacing   *Process // the primary that has been given up; nil: none
}

// schedulePrimaryHangs schedules hangs of whichever member is the primary at the time.
func (w *World) schedulePrimaryHangs() {
	random := rand.New(rand.NewPCG(w.options.Seed, hangSeed))
	for at := float64(firstOrderMs); at < w.options.FaultsMs; at += minHangIntervalMs + random.Float64()*hangIntervalJitterMs {
		length := random.Float64() * maxHangMs
		w.After(at, func() { w.PauseFor(w.switchovers.manager.primary, length) })
	}
}

// watchPrimary checks the primary periodically.
func (w *World) watchPrimary() {
	w.checkPrimary()
	w.After(managerCheckMs, w.watchPrimary)
}

// checkPrimary gives up a primary that has been silent for giveUpMs.
func (w *World) checkPrimary() {
	m := &w.switchovers.manager
	switch primary := m.primary; {
	case !primary.silent():
		m.silentSince = 0
	case m.silentSince == 0:
		m.silentSince = w.Now
	case w.Now-m.silentSince >= giveUpMs && m.replacing == nil:
		m.replacing = primary
		w.After(minTakeoverMs+w.rand.Float64()*takeoverJitterMs, func() { w.takeOver(primary) })
	}
}

// takeOver promotes a replica in place of a primary that was given up, unless a switchover has promoted another member meanwhile. The former
// primary is a replica from then on.
func (w *World) takeOver(former *Process) {
	m := &w.switchovers.manager
	m.replacing = nil
	if m.primary != former {
		return
	}
	for _, next := range w.switchovers.members {
		if next != former && !next.silent() {
			former.member.primary = false
			former.member.promotion = nil
			w.switchovers.takeovers++
			w.promote(next)
			return
		}
	}
}

// silent reports whether the process answers nothing.
func (p *Process) silent() bool { return !p.up || p.paused }
