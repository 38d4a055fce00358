package simulation

import (
	"errors"
	"fmt"
	"math"
	"strings"

	"wayloft/internal/decide/lease"
	"wayloft/internal/decide/leaseclient"
	"wayloft/internal/decide/leasestate"
	"wayloft/internal/decide/switchover"
	"wayloft/router"
)

// member is a fake for a member of the group: whether it takes writes, its guard row, and what it committed. All of it
// outlives the process.
type member struct {
	primary    bool
	guardToken lease.Token
	guardRank  uint64
}

// groupLogEntry is one of the group's log, over all members.
type groupLogEntry struct {
	member   string
	write    string // of a commit
	promoted bool   // by became primary
}

// Planned change: what a world with switchovers has beside coordinators and routers.
type switchoverRun struct {
	members     []*Process
	groupLog    []groupLogEntry
	outcomes    map[string]string // by request: committed, rejected, suspected
	orders      int
	endedOrders map[string]int // how orders ended, by their first word
	writes      int
	fencedSteps int // steps that members refused
}

const (
	maxHoldMs       = 3000.0 // ms, of one switchover
	writeIntervalMs = 25.0   // ms between two of a router's writes
)

var routerSettings = &router.Settings{Routers: 5, ListPollTimeout: 10000, SlowStartFloor: 0.2, SlowStartDuration: 1000, OverloadMultiple: 2.5, OverloadWindow: 2000, MaxAttempts: 6,
	CanHealthCheck: true, CanCancel: true, RetryAfter: 1000, RequestClasses: map[string]*router.RequestClass{"write": {LatencyObjective: 2000, Deadline: 10000, PriorityWeight: 1,
		LateWeightShare: 0.5, Effect: router.NonIdempotent, Level: router.Write}}, Tenants: map[string]float64{}}

// routerDriver is a router's module with what carries it out, in the simulation.
type routerDriver struct {
	timersSet int // asked for so far
	process   *Process
	router    *router.Router
	fresh     bool
	attempts  map[string]int // attempts by request
	at        map[string]float64
}

// startSwitchovers adds members to a world, and clients' writes, and orders.
func (w *World) startSwitchovers() {
	w.switchovers = &switchoverRun{outcomes: map[string]string{}, endedOrders: map[string]int{}}
	for n := range 3 {
		p := &Process{Name: fmt.Sprint("m", n+1), world: w, member: &member{primary: n == 0}}
		w.switchovers.members, w.processes[p.Name] = append(w.switchovers.members, p), p
		p.up, p.incarnation = true, 1
	}
	w.switchovers.groupLog = append(w.switchovers.groupLog, groupLogEntry{member: "m1", promoted: true})
	for at := 3000.0; at < w.options.FaultsMs+2000; at += 1500 + w.rand.Float64()*2500 {
		w.After(at, func() { w.placeOrder(w.switchovers.members[w.rand.IntN(3)].Name, 0) })
	}
}

// placeOrder is an operator's, again until the coordinator has taken it.
func (w *World) placeOrder(to string, tries int) {
	if l := w.Leader(); l != nil && !l.paused {
		w.lastRequest++
		e := leasestate.Entry{Kind: leasestate.PlaceOrder, Lease: switchover.LeaseName(0), Text: switchover.FormatOrder(to)}
		l.run(func() { l.node.Advance(l.clock()); l.node.Propose(w.lastRequest, e) })
		w.switchovers.orders++
		return
	}
	if tries < 20 {
		w.After(200, func() { w.placeOrder(to, tries+1) })
	}
}

// startDriver makes a router's module anew, with its clients.
func (p *Process) startDriver() {
	c := &routerDriver{process: p, router: router.New(routerSettings, p.world.options.Seed+uint64(p.Name[len(p.Name)-1])), attempts: map[string]int{}, at: map[string]float64{}}
	p.driver, p.writeHolds = c, switchover.NewWriteHolds(maxHoldMs)
	c.update(func(r *router.Router) {
		r.BeginList()
		for _, m := range p.world.switchovers.members {
			r.ListMember(m.Name, "z", 0, router.Up, router.Never)
		}
		r.EndList(true)
	})
	p.later(p.world.rand.Float64()*writeIntervalMs, p.sendWrites)
}

func (p *Process) sendWrites() {
	c, w := p.driver, p.world
	if w.Now < 2*w.options.FaultsMs-4000 {
		w.switchovers.writes++
		id := fmt.Sprint("t", w.switchovers.writes)
		w.switchovers.outcomes[id] = "in doubt"
		c.update(func(r *router.Router) { r.Arrive(id, "", "", "write", 0, 0, 5000, false) })
	}
	p.later(w.rand.ExpFloat64()*writeIntervalMs, p.sendWrites)
}

// update tells the module something, and carries out what it decides.
func (c *routerDriver) update(f func(*router.Router)) {
	c.router.Advance(c.process.world.Now + 1)
	f(c.router)
	c.carryOut()
}

func (c *routerDriver) carryOut() {
	p, w := c.process, c.process.world
	for d, more := c.router.Next(); more; d, more = c.router.Next() {
		switch d.Action {
		case router.SendAttempt:
			seq := c.attempts[d.RequestID]
			c.attempts[d.RequestID]++
			c.sendAttempt(d.RequestID, seq, w.processes[d.Member])
		case router.RejectRequest:
			w.switchovers.outcomes[d.RequestID] = "declined"
		case router.HealthCheck:
			c.healthCheck(w.processes[d.Member])
		case router.SetTimer:
			c.timersSet++ // the one before is stopped, as the host does
			n := c.timersSet
			p.later(d.Time-w.Now, func() {
				if n == c.timersSet {
					c.update(func(r *router.Router) { r.TimerFired() })
				}
			})
		}
	}
}

// sendAttempt sends a write to a member. One that is out of reach resets it after a while, when it may have run.
func (c *routerDriver) sendAttempt(txn string, seq int, to *Process) {
	p, w, begun, over := c.process, c.process.world, c.process.world.Now, false
	end := func(how router.Outcome, role router.Role) {
		if !over {
			over = true
			if how == router.Succeeded {
				w.switchovers.outcomes[txn] = "committed"
			}
			c.update(func(r *router.Router) {
				r.AttemptEnded(txn, seq, how, w.Now-begun, how == router.Succeeded, role, w.Now)
			})
		}
	}
	w.send(p, to, 100, func() {
		took := 1 + w.rand.ExpFloat64()*4
		to.later(took, func() { // it runs at one moment
			how, role := router.Misrouted, router.Replica
			if to.member.primary {
				how, role = router.Succeeded, router.Primary
				w.switchovers.groupLog = append(w.switchovers.groupLog, groupLogEntry{member: to.Name, write: txn})
			}
			w.send(to, p, 100, func() { end(how, role) })
		})
	})
	p.later(4000, func() { end(router.Reset, router.RoleUnknown) })
}

func (c *routerDriver) healthCheck(to *Process) {
	p, w, over := c.process, c.process.world, false
	w.send(p, to, 50, func() {
		role := router.Replica
		if to.member.primary {
			role = router.Primary
		}
		at := w.Now
		w.send(to, p, 50, func() {
			if !over {
				over = true
				c.update(func(r *router.Router) {
					r.Reported(to.Name, role, at)
					r.HealthChecked(to.Name, router.Succeeded)
				})
			}
		})
	})
	p.later(500, func() {
		if !over {
			over = true
			c.update(func(r *router.Router) { r.HealthChecked(to.Name, router.TimedOut) })
		}
	})
}

// switchoverLease is the lease, held by a process of the simulation.
type switchoverLease struct {
	token        lease.Token
	order        uint64
	executor     *switchover.Executor
	nextReportMs float64

	pendingStep switchover.MemberStep // at a member, decided and not yet sent
}

// continueSwitchover goes on with a switchover, as the program's fleet does.
func (p *Process) continueSwitchover() {
	h := p.switchover
	if h == nil {
		return
	}
	if h.executor == nil {
		if ended, owes := p.orderState.UnreportedEnd(); owes {
			if h.nextReportMs <= p.clock() {
				h.nextReportMs = math.Inf(1)
				p.writeEntry(h, leasestate.Entry{Kind: leasestate.CompleteOrder, Lease: switchover.LeaseName(0), Token: h.token, Number: ended.Number,
					Text: ended.Text[:min(len(ended.Text), 200)]}, 0, func(ok bool) {
					if h.nextReportMs = p.clock() + SessionTimeoutMs/4; ok {
						p.orderState.EndReported(ended.Number)
						h.nextReportMs = 0
					}
				})
			}
			return
		}
		d, known := p.client.Lease(switchover.LeaseName(0))
		if !known || d.Holder != p.Name || d.Token != h.token {
			return
		}
		owner, err := p.orderState.StartOrder(switchover.Settings{MaxHoldMs: maxHoldMs, DrainTimeoutMs: maxHoldMs / 3, StepTimeoutMs: 300}, d.Open, d.Steps, p.clock())
		if err != nil {
			p.world.violation("%s: %v", p.Name, err)
		}
		if owner == nil {
			return
		}
		h.executor, h.order = owner, d.Open.Number
	}
	var names []string
	for _, s := range p.client.Sessions("router") {
		names = append(names, s.Name)
	}
	h.executor.Advance(p.clock())
	h.executor.SetRouters(names)
	for d, more := h.executor.Next(); more; d, more = h.executor.Next() {
		p.carryOutSwitchover(h, d)
	}
	if p.orderState.Update(h.executor, h.order); h.executor.Finished() {
		h.executor = nil
	}
}

// updateExecutor has a switchover hear of something, if it is this process's yet.
func (p *Process) updateExecutor(h *switchoverLease, o *switchover.Executor, f func(*switchover.Executor)) {
	if p.switchover == h && h.executor == o {
		o.Advance(p.clock())
		f(o)
	}
}

func (p *Process) carryOutSwitchover(h *switchoverLease, d switchover.Decision) {
	w := p.world
	p.client.Advance(p.clock())
	fence, may := p.client.Valid(switchover.LeaseName(0))
	if !may || fence != h.token {
		return
	}
	o := h.executor
	switch d.Action {
	case switchover.FindPrimary:
		p.later(2, func() {
			found := ""
			for _, m := range w.switchovers.members {
				if m.member.primary && m.up && !m.paused {
					found = m.Name
				}
			}
			var err error
			if found == "" {
				err = errors.New("no member takes writes")
			}
			p.updateExecutor(h, o, func(o *switchover.Executor) { o.PrimaryFound(found, err) })
		})
	case switchover.RecordStep:
		p.writeEntry(h, leasestate.Entry{Kind: leasestate.RecordStep, Lease: switchover.LeaseName(0), Token: fence, Text: d.Text}, 0, func(ok bool) {
			p.updateExecutor(h, o, func(o *switchover.Executor) { o.StepRecorded(ok) })
		})
	case switchover.EndOrder:
		first, _, _ := strings.Cut(d.Text, ":")
		w.switchovers.endedOrders[strings.Fields(first)[0]]++
	case switchover.CommandRouter:
		p.commandRouter(h, o, d)
	case switchover.CommandMember:
		// Between the look and the act this process may be stopped.
		to := w.processes[d.Target]
		h.pendingStep = d.Step
		p.later(w.rand.Float64()*20, func() {
			h.pendingStep = ""
			over := false
			end := func(how switchover.Outcome, why string) {
				if !over {
					over = true
					p.updateExecutor(h, o, func(o *switchover.Executor) { o.StepDone(how, why) })
				}
			}
			w.send(p, to, 80, func() {
				how := switchover.Succeeded
				switch m := to.member; {
				case (fence.Compare(m.guardToken) < 0 || fence == m.guardToken && d.Rank < m.guardRank) && !w.options.SeededDefects.IgnoreGuardRow:
					how = switchover.Fenced
					w.switchovers.fencedSteps++
				default:
					m.guardToken, m.guardRank = fence, d.Rank
					if d.Step == switchover.Promote && !m.primary {
						w.switchovers.groupLog = append(w.switchovers.groupLog, groupLogEntry{member: to.Name, promoted: true})
					}
					if d.Step != switchover.FenceMember {
						m.primary = d.Step == switchover.Promote
					}
				}
				w.send(to, p, 40, func() { end(how, "") })
			})
			p.later(300, func() { end(switchover.Unknown, "no answer") })
		})
	}
}

// writeEntry has the replicated state note a step, again until there is an answer.
func (p *Process) writeEntry(h *switchoverLease, e leasestate.Entry, tries int, done func(bool)) {
	p.proposeEntry(p.client.Signed(e), func(ans leasestate.Result, ok bool) {
		if !ok && tries < 6 {
			p.writeEntry(h, e, tries+1, done)
			return
		}
		done(ok && ans.Held)
	})
}

// proposeEntry is a request of the process's own, beside its agent's.
func (p *Process) proposeEntry(e leasestate.Entry, done func(leasestate.Result, bool)) {
	p.ownRequests++
	number := p.ownRequests | 1<<62
	p.openRequests[number] = openRequest{onResult: done}
	p.sendRequest(leaseclient.Decision{Action: leaseclient.Propose, Request: number, Entry: e}, 0)
}

func (p *Process) commandRouter(h *switchoverLease, o *switchover.Executor, d switchover.Decision) {
	w, to, over := p.world, p.world.processes[d.Target], false
	end := func(ok bool, running int) {
		if !over {
			over = true
			p.updateExecutor(h, o, func(o *switchover.Executor) { o.RouterAnswered(d.Target, d.Command, ok, running) })
		}
	}
	w.send(p, to, 80, func() {
		verdict, highest := to.checkToken(lease.Scope{Lease: switchover.LeaseName(0), Subject: "g"}, p.Name, h.token)
		running := 0
		switch verdict {
		case lease.Accepted:
			w.actAccepted(to, switchover.LeaseName(0), p.Name, h.token)
			until := 0.0
			switch d.Command {
			case switchover.ReleaseWrites:
				to.writeHolds.Release(0, h.token, h.order)
			case switchover.HoldWrites:
				until = to.writeHolds.Hold(0, h.token, h.order, d.MaxHoldMs, w.Now+1)
			}
			if d.Command != switchover.CountWrites {
				to.driver.update(func(r *router.Router) { r.HoldWrites(0, until) })
			}
			for txn, n := range to.driver.attempts {
				if n > 0 && w.switchovers.outcomes[txn] == "in doubt" {
					running++
				}
			}
		case lease.Stale:
			w.StaleActs++
		}
		w.send(to, p, 40, func() {
			if verdict == lease.Stale {
				p.client.ActRejected(switchover.LeaseName(0), highest)
			}
			end(verdict == lease.Accepted, running)
		})
	})
	p.later(500, func() { end(false, 0) })
}

// checkWrites checks the group's log: what clients were told is committed is there once, what was rejected is not, nothing is there
// twice, and who committed had taken over last.
func (w *World) checkWrites() (wrong []string) {
	times, writer := map[string]int{}, ""
	for _, l := range w.switchovers.groupLog {
		if l.promoted {
			writer = l.member
			continue
		}
		if l.member != writer {
			wrong = append(wrong, fmt.Sprintf("%s committed %s while %s had taken over", l.member, l.write, writer))
		}
		times[l.write]++
	}
	for n := range w.switchovers.writes {
		id := fmt.Sprint("t", n+1)
		switch how := w.switchovers.outcomes[id]; {
		case times[id] > 1:
			wrong = append(wrong, fmt.Sprintf("%s is there %d times", id, times[id]))
		case how == "committed" && times[id] == 0:
			wrong = append(wrong, id+" was told to be committed and is lost")
		case how == "declined" && times[id] > 0:
			wrong = append(wrong, id+" was told to be declined and has taken effect")
		}
	}
	return wrong[:min(len(wrong), 5)]
}
