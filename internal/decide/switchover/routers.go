package switchover

import (
	"maps"
	"slices"
)

// SetRouters takes in which routers have a session now. Those that come late are asked to hold writes, too; those that went are no
// longer waited for.
func (e *Executor) SetRouters(names []string) {
	for _, name := range names {
		if e.routers[name] == nil {
			e.routers[name] = &routerState{}
		}
	}
	for name := range e.routers {
		if !slices.Contains(names, name) {
			delete(e.routers, name)
		}
	}
	e.advancePhase()
}

// RouterAnswered takes in a router's answer to a command: whether it carried it out, and how many of its writes are running.
func (e *Executor) RouterAnswered(router string, command RouterCommand, ok bool, running int) {
	r := e.routers[router]
	if r == nil || !r.awaitingAnswer || r.command != command {
		return
	}
	r.awaitingAnswer = false
	if ok {
		r.failures = 0
		r.holding, r.running = command != ReleaseWrites, running
	} else {
		r.failures++
	}
	e.advancePhase()
}

// writesDrained has all routers hold writes, and reports whether the switchover may go on: no write is running, or they were waited for
// long enough. The old primary itself rejects what still runs then.
func (e *Executor) writesDrained() bool {
	pending := 0
	timedOut := e.now-e.stageStarted > e.settings.DrainTimeoutMs
	for _, name := range slices.Sorted(maps.Keys(e.routers)) {
		r := e.routers[name]
		switch {
		case r.awaitingAnswer:
			pending++
		case !r.holding && r.failures < maxCommandFailures:
			pending++
			e.commandRouter(name, r, HoldWrites)
		case r.holding && r.running > 0 && !timedOut:
			pending++
			if e.now-r.commandedAt >= countIntervalMs {
				e.commandRouter(name, r, CountWrites)
			}
		}
	}
	return pending == 0 || timedOut
}

// writesReleased has all routers release writes, and reports whether each has, or can't be reached: that one releases them by itself, at
// its own bound.
func (e *Executor) writesReleased() bool {
	pending := 0
	for _, name := range slices.Sorted(maps.Keys(e.routers)) {
		r := e.routers[name]
		switch {
		case r.awaitingAnswer:
			pending++
		case r.command != ReleaseWrites && r.failures < maxPriorFailures,
			r.command == ReleaseWrites && r.failures > 0 && r.failures < maxCommandFailures:
			pending++
			e.commandRouter(name, r, ReleaseWrites)
		}
	}
	return pending == 0
}

func (e *Executor) commandRouter(name string, r *routerState, command RouterCommand) {
	if r.command != command {
		r.failures = 0
	}
	r.command, r.awaitingAnswer, r.commandedAt = command, true, e.now
	e.decisions = append(e.decisions, Decision{Action: CommandRouter, Target: name, Command: command, MaxHoldMs: e.settings.MaxHoldMs})
}
