package simulation

import (
	"wayloft/internal/decide/switchover"
	"wayloft/router"
)

const (
	// writeIntervalMs is the mean time between two writes of the clients of one router.
	writeIntervalMs = 25.0
	// lastWriteMs is how long before the end of the run clients stop sending writes.
	lastWriteMs = 4000
	// writeDeadlineMs is the deadline of a client's write.
	writeDeadlineMs = 5000
	// attemptTimeoutMs is the time after which an attempt without a response fails.
	attemptTimeoutMs = 4000
	checkTimeoutMs   = 500
	// How long a member takes to execute a write, in ms: the minimum, and the mean of an exponentially distributed extra.
	minWriteMs       = 1
	meanExtraWriteMs = 4
)

// switchoverRouters is the number of routers in the router settings, regardless of how many the run has.
const switchoverRouters = 5

var switchoverSettings = newRouterSettings(switchoverRouters, map[string]*router.RequestClass{
	"write": {LatencyObjective: 2000, Deadline: 10000, PriorityWeight: 1, LateWeightShare: 0.5, Effect: router.NonIdempotent, Level: router.Write},
})

// routerDriver executes the decisions of one router and passes the writes of its clients to it.
type routerDriver struct {
	process  *Process
	router   *router.Router
	timer    resettableTimer
	attempts map[string]int // by request: the number of attempts sent
}

// startDriver starts a router, its member list and the writes of its clients.
func (p *Process) startDriver() {
	seed := p.world.options.Seed + uint64(p.Name[len(p.Name)-1])
	p.driver = &routerDriver{process: p, router: router.New(switchoverSettings, seed), attempts: map[string]int{}}
	p.writeHolds = switchover.NewWriteHolds(maxHoldMs)
	p.driver.update(func(r *router.Router) {
		r.BeginList()
		for _, m := range p.world.switchovers.members {
			r.ListMember(m.Name, "z", 0, router.Up, router.Never)
		}
		r.EndList(true)
	})
	p.later(p.world.rand.Float64()*writeIntervalMs, p.sendWrites)
}

// sendWrites sends a write and schedules the next one after a random time.
func (p *Process) sendWrites() {
	w := p.world
	if w.Now < 2*w.options.FaultsMs-lastWriteMs {
		w.switchovers.writes++
		id := writeID(w.switchovers.writes)
		w.switchovers.outcomes[id] = outcomeUnknown
		p.driver.update(func(r *router.Router) { r.RequestArrived(id, "", "", "write", 0, 0, writeDeadlineMs, false) })
	}
	p.later(w.rand.ExpFloat64()*writeIntervalMs, p.sendWrites)
}

// update passes an input to the router and executes the router's decisions.
func (c *routerDriver) update(input func(*router.Router)) {
	c.router.Advance(c.process.world.Now + 1)
	input(c.router)
	c.executeDecisions()
}

func (c *routerDriver) executeDecisions() {
	w := c.process.world
	for d, more := c.router.Next(); more; d, more = c.router.Next() {
		switch d.Action {
		case router.SendAttempt:
			attempt := c.attempts[d.RequestID]
			c.attempts[d.RequestID]++
			c.sendAttempt(d.RequestID, attempt, w.processes[d.Member])
		case router.RejectRequest:
			w.switchovers.outcomes[d.RequestID] = writeRejected
		case router.HealthCheck:
			c.healthCheck(w.processes[d.Member])
		case router.SetTimer:
			c.timer.set(c.process.later, d.Time-w.Now, func() { c.update((*router.Router).TimerFired) })
		}
	}
}

// sendAttempt sends a write to a member. Without a response, the attempt ends after attemptTimeoutMs as a reset connection, and the write
// may have been executed.
func (c *routerDriver) sendAttempt(id string, attempt int, to *Process) {
	p, w, startedMs := c.process, c.process.world, c.process.world.Now
	var ended once
	end := func(outcome router.Outcome, role router.Role) {
		if !ended.first() {
			return
		}
		succeeded := outcome == router.Succeeded
		if succeeded {
			w.switchovers.outcomes[id] = writeSucceeded
		}
		c.update(func(r *router.Router) {
			r.AttemptEnded(id, attempt, outcome, w.Now-startedMs, succeeded, role, w.Now)
		})
	}
	w.send(p, to, writeBytes, func() {
		to.later(minWriteMs+w.rand.ExpFloat64()*meanExtraWriteMs, func() {
			outcome, role := router.Misrouted, router.Replica
			if to.member.primary {
				outcome, role = router.Succeeded, router.Primary
				w.switchovers.groupLog = append(w.switchovers.groupLog, groupLogEntry{member: to.Name, write: id})
			}
			w.send(to, p, writeBytes, func() { end(outcome, role) })
		})
	})
	p.later(attemptTimeoutMs, func() { end(router.Reset, router.RoleUnknown) })
}

func (c *routerDriver) healthCheck(to *Process) {
	p, w := c.process, c.process.world
	var ended once
	w.send(p, to, healthCheckBytes, func() {
		role := router.Replica
		if to.member.primary {
			role = router.Primary
		}
		checkedMs := w.Now
		w.send(to, p, healthCheckBytes, func() {
			if ended.first() {
				c.update(func(r *router.Router) {
					r.MemberReported(to.Name, role, checkedMs)
					r.HealthChecked(to.Name, router.Succeeded)
				})
			}
		})
	})
	p.later(checkTimeoutMs, func() {
		if ended.first() {
			c.update(func(r *router.Router) { r.HealthChecked(to.Name, router.TimedOut) })
		}
	})
}

// runningWrites returns the number of writes that were sent and have no known outcome.
func (c *routerDriver) runningWrites() (running int) {
	for id, attempts := range c.attempts {
		if attempts > 0 && c.process.world.switchovers.outcomes[id] == outcomeUnknown {
			running++
		}
	}
	return running
}
