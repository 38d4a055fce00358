package simulation

import (
	"errors"
	"math"
	"strings"

	"wayloft/internal/decide/lease"
	"wayloft/internal/decide/leasestate"
	"wayloft/internal/decide/switchover"
	"wayloft/router"
)

const (
	findPrimaryMs    = 2
	memberTimeoutMs  = 300
	routerTimeoutMs  = 500
	maxStepDelayMs   = 20 // between the check of the lease and the step; the process may be paused in between
	maxEntryRetries  = 6
	maxResultLength  = 200
	endReportRetryMs = SessionTimeoutMs / 4
)

var errNoPrimary = errors.New("no member takes writes")

// switchoverState is a router's state for switchovers: its driver, its write holds, and the executor while it holds the lease.
type switchoverState struct {
	driver     *routerDriver
	writeHolds *switchover.WriteHolds
	switchover *switchoverLease // nil: the process doesn't hold the lease
	orderState switchover.OrderState
}

// switchoverLease is a grant of the group's switchover lease.
type switchoverLease struct {
	token        lease.Token
	order        uint64
	executor     *switchover.Executor // nil: no order is in progress
	nextReportMs float64              // earliest time of the next attempt to report the end of an order
	pendingStep  switchover.MemberStep
}

// advanceSwitchover reports an order that has ended, starts the next order if none is in progress, and executes the executor's decisions.
func (p *Process) advanceSwitchover() {
	held := p.switchover
	if held.executor == nil {
		if ended, unreported := p.orderState.UnreportedEnd(); unreported {
			p.reportEnd(held, ended)
			return
		}
		p.startOrder(held)
		if held.executor == nil {
			return
		}
	}
	var routers []string
	for _, session := range p.client.Sessions("router") {
		routers = append(routers, session.Name)
	}
	held.executor.Advance(p.clock())
	held.executor.SetRouters(routers)
	for d, more := held.executor.Next(); more; d, more = held.executor.Next() {
		p.executeSwitchoverDecision(held, d)
	}
	p.orderState.Update(held.executor, held.order)
	if held.executor.Finished() {
		held.executor = nil
	}
}

// reportEnd asks the coordinator to complete an order that has ended.
func (p *Process) reportEnd(held *switchoverLease, ended leasestate.Order) {
	if held.nextReportMs > p.clock() {
		return
	}
	held.nextReportMs = math.Inf(1) // until there is a response
	entry := leasestate.Entry{Kind: leasestate.CompleteOrder, Lease: switchover.LeaseName(0), Token: held.token, Number: ended.Number,
		Text: ended.Text[:min(len(ended.Text), maxResultLength)]}
	p.writeEntry(entry, 0, func(accepted bool) {
		held.nextReportMs = p.clock() + endReportRetryMs
		if accepted {
			p.orderState.EndReported(ended.Number)
			held.nextReportMs = 0
		}
	})
}

func (p *Process) startOrder(held *switchoverLease) {
	state, known := p.client.Lease(switchover.LeaseName(0))
	if !known || state.Holder != p.Name || state.Token != held.token {
		return
	}
	settings := switchover.Settings{MaxHoldMs: maxHoldMs, DrainTimeoutMs: maxHoldMs / 3, StepTimeoutMs: memberTimeoutMs}
	executor, err := p.orderState.StartOrder(settings, state.Open, state.Steps, p.clock())
	if err != nil {
		p.world.violation("%s: %v", p.Name, err)
	}
	if executor != nil {
		held.executor, held.order = executor, state.Open.Number
	}
}

// updateExecutor passes an input to an executor, unless the process has lost the lease or the order has ended since.
func (p *Process) updateExecutor(held *switchoverLease, executor *switchover.Executor, input func(*switchover.Executor)) {
	if p.switchover == held && held.executor == executor {
		executor.Advance(p.clock())
		input(executor)
	}
}

func (p *Process) executeSwitchoverDecision(held *switchoverLease, d switchover.Decision) {
	p.client.Advance(p.clock())
	token, valid := p.client.Valid(switchover.LeaseName(0))
	if !valid || token != held.token {
		return
	}
	switch d.Action {
	case switchover.FindPrimary:
		p.findPrimary(held)
	case switchover.RecordStep:
		executor := held.executor
		entry := leasestate.Entry{Kind: leasestate.RecordStep, Lease: switchover.LeaseName(0), Token: token, Text: d.Text}
		p.writeEntry(entry, 0, func(accepted bool) {
			p.updateExecutor(held, executor, func(e *switchover.Executor) { e.StepRecorded(accepted) })
		})
	case switchover.EndOrder:
		result, _, _ := strings.Cut(d.Text, ":")
		p.world.switchovers.endedOrders[strings.Fields(result)[0]]++
	case switchover.CommandRouter:
		p.commandRouter(held, d)
	case switchover.CommandMember:
		p.commandMember(held, d)
	}
}

func (p *Process) findPrimary(held *switchoverLease) {
	executor := held.executor
	p.later(findPrimaryMs, func() {
		primary, err := "", errNoPrimary
		for _, m := range p.world.switchovers.members {
			if m.member.primary && m.up && !m.paused {
				primary, err = m.Name, nil
			}
		}
		p.updateExecutor(held, executor, func(e *switchover.Executor) { e.PrimaryFound(primary, err) })
	})
}

// commandMember sends a step to a member. A promotion is committed once the other members have answered that they accept no writes.
func (p *Process) commandMember(held *switchoverLease, d switchover.Decision) {
	w, to, executor, token := p.world, p.world.processes[d.Target], held.executor, held.token
	held.pendingStep = d.Step
	p.later(w.rand.Float64()*maxStepDelayMs, func() {
		held.pendingStep = ""
		var ended once
		end := func(outcome switchover.Outcome, reason string) {
			if ended.first() {
				p.updateExecutor(held, executor, func(e *switchover.Executor) { e.StepDone(outcome, reason) })
			}
		}
		run := func(step func(*Process, lease.Token, switchover.Decision) switchover.Outcome, done func(switchover.Outcome)) {
			w.send(p, to, commandBytes, func() {
				outcome := step(to, token, d)
				w.send(to, p, stepResponseBytes, func() { done(outcome) })
			})
		}
		run(w.executeStep, func(outcome switchover.Outcome) {
			if outcome != switchover.Succeeded || d.Step != switchover.Promote {
				end(outcome, "")
				return
			}
			p.confirmNoPrimary(to, func(primary string) {
				switch {
				case bool(ended): // the step has timed out: the transaction is not committed
				case primary != "":
					end(switchover.Superseded, primary+" takes writes")
				default:
					run(w.commitPromotion, func(outcome switchover.Outcome) { end(outcome, "") })
				}
			})
		})
		p.later(memberTimeoutMs, func() { end(switchover.Unknown, "no answer") })
	})
}

// confirmNoPrimary asks all members but one whether they accept writes. It calls done once, with a member that does, or with "" when all have
// answered that they don't.
func (p *Process) confirmNoPrimary(except *Process, done func(primary string)) {
	w := p.world
	if w.options.SeededDefects.PromoteUnasked {
		done("")
		return
	}
	missing := groupMembers - 1
	var ended once
	for _, m := range w.switchovers.members {
		if m == except {
			continue
		}
		w.send(p, m, commandBytes, func() {
			primary := m.member.primary
			w.send(m, p, stepResponseBytes, func() {
				if missing--; primary && ended.first() {
					done(m.Name)
				} else if missing == 0 && ended.first() {
					done("")
				}
			})
		})
	}
}

// commandRouter commands a router to hold, release or count its writes.
func (p *Process) commandRouter(held *switchoverLease, d switchover.Decision) {
	w, to, executor := p.world, p.world.processes[d.Target], held.executor
	var ended once
	end := func(accepted bool, running int) {
		if ended.first() {
			p.updateExecutor(held, executor, func(e *switchover.Executor) { e.RouterAnswered(d.Target, d.Command, accepted, running) })
		}
	}
	w.send(p, to, commandBytes, func() {
		verdict, highest := to.checkToken(lease.Scope{Lease: switchover.LeaseName(0), Subject: "g"}, p.Name, held.token)
		running := 0
		switch verdict {
		case lease.Accepted:
			w.checkAccepted(to, switchover.LeaseName(0), p.Name, held.token)
			running = to.commandAccepted(held, d)
		case lease.Stale:
			w.StaleCommands++
		}
		w.send(to, p, stepResponseBytes, func() {
			if verdict == lease.Stale {
				p.client.OperationRejected(switchover.LeaseName(0), highest)
			}
			end(verdict == lease.Accepted, running)
		})
	})
	p.later(routerTimeoutMs, func() { end(false, 0) })
}

// commandAccepted executes a lease holder's command on this router. It returns the number of running writes.
func (p *Process) commandAccepted(held *switchoverLease, d switchover.Decision) (running int) {
	heldUntil := 0.0
	switch d.Command {
	case switchover.ReleaseWrites:
		p.writeHolds.Release(0, held.token, held.order)
	case switchover.HoldWrites:
		heldUntil = p.writeHolds.Hold(0, held.token, held.order, d.MaxHoldMs, p.world.Now+1)
	}
	if d.Command != switchover.CountWrites {
		p.driver.update(func(r *router.Router) { r.HoldWrites(0, heldUntil) })
	}
	return p.driver.runningWrites()
}

// writeEntry proposes an entry to the coordinator, and retries up to maxEntryRetries times while the result is unknown.
func (p *Process) writeEntry(e leasestate.Entry, retries int, done func(accepted bool)) {
	p.proposeEntry(p.client.WithSession(e), func(result leasestate.Result, known bool) {
		if !known && retries < maxEntryRetries {
			p.writeEntry(e, retries+1, done)
			return
		}
		done(known && result.Held)
	})
}
