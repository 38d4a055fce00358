package simulation

import "wayloft/internal/decide/switchover"

const (
	// When a lease client's clock is next looked at, ms: at least and at most from now.
	minAdvanceMs = 1
	maxAdvanceMs = 100
	// A router of a policy run has its own timer for the policy.
	maxPolicyAdvanceMs = 1000
)

// Process is one simulated process: a coordinator node, a router, a member of the group or an operator. The fields of
// other roles are empty.
type Process struct {
	Name          string
	world         *World
	incarnation   int     // grows with each start; events of an earlier one are dropped
	up            bool    // it runs or is paused
	paused        bool    // its events wait in deferred
	clockOffsetMs float64 // its clock less the world's
	deferred      []func()

	coordinatorState
	leaseClientState
	switchoverState
	policyState
	member *member // of a member
}

// run has a process do something, once it is not paused.
func (p *Process) run(do func()) {
	if p.paused {
		p.deferred = append(p.deferred, do)
		return
	}
	do()
	p.executeDecisions()
}

// later has a process do something after a time, if it is the same incarnation then.
func (p *Process) later(ms float64, do func()) {
	incarnation := p.incarnation
	p.world.After(ms, func() {
		if p.up && p.incarnation == incarnation {
			p.run(do)
		}
	})
}

// clock is the process's monotonic clock, ms; it is never 0.
func (p *Process) clock() float64 { return p.world.Now + p.clockOffsetMs + 1 }

func (p *Process) isCoordinator() bool { return p.Name[0] == 'c' }

func (p *Process) start() {
	if p.up || p.dataLost {
		return
	}
	p.incarnation++
	p.up, p.paused, p.deferred = true, false, nil
	switch {
	case p.isCoordinator():
		p.startCoordinator()
	case p.member != nil: // its state outlives the process
		return
	default:
		p.startRouter()
	}
	p.executeDecisions()
	p.scheduleTick()
}

// scheduleTick advances the clock of the process's state machine at its deadlines.
func (p *Process) scheduleTick() {
	p.later(p.nextTickMs(), func() {
		if p.node != nil {
			p.node.Advance(p.clock())
		} else {
			p.client.Advance(p.clock())
		}
		p.scheduleTick()
	})
}

func (p *Process) nextTickMs() float64 {
	if p.client == nil {
		return tickMs
	}
	latest := float64(maxAdvanceMs)
	if p.policy != nil {
		latest = maxPolicyAdvanceMs
	}
	return min(max(p.client.NextDeadline()-p.clock(), minAdvanceMs), latest)
}

// executeDecisions carries out the decisions of the process's state machines.
func (p *Process) executeDecisions() {
	if p.node != nil {
		p.executeCoordinatorDecisions()
		return
	}
	if p.client == nil {
		return
	}
	if p.policy != nil {
		p.executePolicyDecisions()
	}
	p.executeClientDecisions()
	if p.switchover != nil {
		p.advanceSwitchover()
		p.executeClientDecisions()
	}
}

// Kill ends a process at once; its data directory stays.
func (p *Process) Kill() {
	p.up, p.paused, p.deferred = false, false, nil
	p.node, p.client, p.driver, p.switchover, p.policy = nil, nil, nil, nil, nil
	p.orderState = switchover.OrderState{}
	for _, name := range p.leases {
		p.world.leaseStopped(p, name)
	}
}

// Pause stops a process until Resume.
func (p *Process) Pause() { p.paused = p.up }

// Resume continues a paused process with the events that waited for it.
func (p *Process) Resume() {
	if !p.paused {
		return
	}
	p.paused = false
	deferred := p.deferred
	p.deferred = nil
	for _, do := range deferred {
		if !p.up {
			return
		}
		do()
		p.executeDecisions()
	}
}

// PauseFor pauses a process for a time.
func (w *World) PauseFor(p *Process, ms float64) {
	p.Pause()
	w.After(ms, p.Resume)
}

// KillFor kills a process and starts it again after a time.
func (w *World) KillFor(p *Process, ms float64) {
	p.Kill()
	w.After(ms, p.start)
}
