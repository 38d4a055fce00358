package switchover

import (
	"maps"
	"slices"
)

// SetRouters sets the routers that currently have a session. Routers that join during the switchover also receive its commands; routers that
// have left are no longer waited for.
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

// RouterAnswered records a router's answer to a command: whether it executed the command, and how many of its writes are running.
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

// writesDrained commands all routers to hold writes, and reports whether the switchover may continue: no write is running, or the drain
// timeout has expired. In the latter case the old primary rejects the remaining writes after it has stepped down.
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

// writesReleased commands all routers to release writes, and reports whether each has done so or can't be reached. An unreachable router
// releases them by itself when its own limit expires.
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
