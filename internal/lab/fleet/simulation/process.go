package simulation

import "wayloft/internal/decide/switchover"

const (
	// The minimum and maximum time until a lease client's clock advances next, in ms.
	minAdvanceMs = 1
	maxAdvanceMs = 100
	// Routers of a policy run advance less often, since the policy follower has its own timer.
	maxPolicyAdvanceMs = 1000
)

// Process is one simulated process: a coordinator node, a router, a member of the group or an operator. The fields of
// other roles are empty.
type Process struct {
	Name          string
	world         *World
	incarnation   int     // increases with each start; events of an earlier incarnation are dropped
	up            bool    // running or paused
	paused        bool    // its events are deferred
	clockOffsetMs float64 // its clock minus that of the world
	deferred      []func()

	coordinatorState
	leaseClientState
	switchoverState
	policyState
	member *member // nil: the process is not a member
}

// run calls do and executes the resulting decisions, or defers that while the process is paused.
func (p *Process) run(do func()) {
	if p.paused {
		p.deferred = append(p.deferred, do)
		return
	}
	do()
	p.executeDecisions()
}

// later runs do after a delay, unless the process has stopped or restarted by then.
func (p *Process) later(ms float64, do func()) {
	incarnation := p.incarnation
	p.world.After(ms, func() {
		if p.up && p.incarnation == incarnation {
			p.run(do)
		}
	})
}

// clock returns the process's monotonic clock in ms; it is never 0.
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
	case p.member != nil: // a member keeps its state across restarts
		return
	default:
		p.startRouter()
	}
	p.executeDecisions()
	p.scheduleTick()
}

// scheduleTick repeatedly advances the clock of the process's Raft node or lease client.
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

// executeDecisions executes the pending decisions of the process's state machines.
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

// Kill stops a process immediately; its data directory is kept.
func (p *Process) Kill() {
	p.up, p.paused, p.deferred = false, false, nil
	p.node, p.client, p.driver, p.switchover, p.policy = nil, nil, nil, nil, nil
	p.orderState = switchover.OrderState{}
	for _, name := range p.leases {
		p.world.leaseStopped(p, name)
	}
}

// Pause suspends a process until Resume.
func (p *Process) Pause() { p.paused = p.up }

// Resume resumes a paused process and runs its deferred events.
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

// PauseFor pauses a process for ms milliseconds.
func (w *World) PauseFor(p *Process, ms float64) {
	p.Pause()
	w.After(ms, p.Resume)
}

// KillFor kills a process and restarts it after ms milliseconds.
func (w *World) KillFor(p *Process, ms float64) {
	p.Kill()
	w.After(ms, p.start)
}
