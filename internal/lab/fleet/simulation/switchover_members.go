package simulation

import (
	"fmt"

	"wayloft/internal/decide/lease"
	"wayloft/internal/decide/leasestate"
	"wayloft/internal/decide/switchover"
)

const (
	groupMembers = 3
	// Switchovers are ordered from firstOrderMs until lastOrderMs after the faults. The interval is minOrderIntervalMs plus a uniformly
	// distributed extra of at most orderJitterMs.
	firstOrderMs       = 3000
	lastOrderMs        = 2000
	minOrderIntervalMs = 1500
	orderJitterMs      = 2500
	maxOrderRetries    = 20
	orderRetryMs       = 200
	// maxHoldMs is the maximum time for which one switchover may hold writes.
	maxHoldMs = 3000.0
)

// writeOutcome is the outcome of a write as its client observed it.
type writeOutcome int

const (
	outcomeUnknown writeOutcome = iota
	writeSucceeded
	writeRejected
)

// switchoverRun is the additional state of a run with switchovers.
type switchoverRun struct {
	members     []*Process
	groupLog    []groupLogEntry
	outcomes    map[string]writeOutcome // by write
	orders      int
	endedOrders map[string]int // by result
	writes      int
	fencedSteps int // steps rejected by the guard row of a member
	takeovers   int // primaries that the cluster manager replaced
	manager     clusterManager
}

// member is a simulated member of the group. It keeps its state across restarts.
type member struct {
	primary    bool
	guardToken lease.Token // the guard row
	guardRank  uint64
	promotion  *stagedPromotion // by the open transaction of a step; nil: none
}

// stagedPromotion is a promotion whose transaction is open.
type stagedPromotion struct {
	token    lease.Token
	rank     uint64
	stagedMs float64
}

// groupLogEntry is a commit or a promotion. The log has those of all members in the order in which they happened.
type groupLogEntry struct {
	member   string
	write    string // ID of the committed write; empty: a promotion
	promoted bool   // the member became the primary
}

// startSwitchovers adds the group's members and schedules the orders of an operator.
func (w *World) startSwitchovers() {
	run := &switchoverRun{outcomes: map[string]writeOutcome{}, endedOrders: map[string]int{}}
	w.switchovers = run
	for n := range groupMembers {
		p := &Process{Name: fmt.Sprint("m", n+1), world: w, up: true, incarnation: 1, member: &member{primary: n == 0}}
		run.members = append(run.members, p)
		w.processes[p.Name] = p
	}
	run.groupLog = append(run.groupLog, groupLogEntry{member: "m1", promoted: true})
	run.manager.primary = run.members[0]
	w.watchPrimary()
	if w.options.PrimaryHangs {
		w.schedulePrimaryHangs()
	}
	for at := float64(firstOrderMs); at < w.options.FaultsMs+lastOrderMs; at += minOrderIntervalMs + w.rand.Float64()*orderJitterMs {
		w.After(at, func() { w.placeOrder(run.members[w.rand.IntN(groupMembers)].Name, 0) })
	}
}

// placeOrder proposes an operator's order to the leader, and retries while no leader is available.
func (w *World) placeOrder(primary string, retries int) {
	if leader := w.Leader(); leader != nil && !leader.paused {
		w.lastRequest++
		entry := leasestate.Entry{Kind: leasestate.PlaceOrder, Lease: switchover.LeaseName(0), Text: switchover.FormatOrder(primary)}
		leader.run(func() {
			leader.node.Advance(leader.clock())
			leader.node.Propose(w.lastRequest, entry)
		})
		w.switchovers.orders++
		return
	}
	if retries < maxOrderRetries {
		w.After(orderRetryMs, func() { w.placeOrder(primary, retries+1) })
	}
}

// executeStep executes an executor's step on a member, unless the member's guard row rejects it. A promotion is only staged.
func (w *World) executeStep(p *Process, token lease.Token, d switchover.Decision) switchover.Outcome {
	m := p.member
	if w.rejectedByGuardRow(m, token, d.Rank) {
		return switchover.Fenced
	}
	switch d.Step {
	case switchover.Promote:
		m.promotion = &stagedPromotion{token: token, rank: d.Rank, stagedMs: w.Now}
		return switchover.Succeeded
	case switchover.StepDown:
		m.primary = false
	}
	m.guardToken, m.guardRank = token, d.Rank
	return switchover.Succeeded
}

// commitPromotion commits the staged promotion of a member. It fails if the transaction has been open for longer than a step may take.
func (w *World) commitPromotion(p *Process, token lease.Token, d switchover.Decision) switchover.Outcome {
	m := p.member
	staged := m.promotion
	if staged == nil || staged.token != token || staged.rank != d.Rank || w.Now-staged.stagedMs > memberTimeoutMs {
		return switchover.Unknown
	}
	m.promotion = nil
	if w.rejectedByGuardRow(m, token, d.Rank) {
		return switchover.Fenced
	}
	m.guardToken, m.guardRank = token, d.Rank
	w.promote(p)
	return switchover.Succeeded
}

// rejectedByGuardRow reports whether a member has seen a higher token, or a higher rank under the same one.
func (w *World) rejectedByGuardRow(m *member, token lease.Token, rank uint64) bool {
	order := token.Compare(m.guardToken)
	outdated := order < 0 || order == 0 && rank < m.guardRank
	if !outdated || w.options.SeededDefects.IgnoreGuardRow {
		return false
	}
	w.switchovers.fencedSteps++
	return true
}

// promote makes a member accept writes.
func (w *World) promote(p *Process) {
	if !p.member.primary {
		w.switchovers.groupLog = append(w.switchovers.groupLog, groupLogEntry{member: p.Name, promoted: true})
	}
	p.member.primary = true
	w.switchovers.manager.primary = p
}

// checkWrites checks the group's log: a write that succeeded for its client is committed exactly once, a rejected one is not committed,
// no write is committed twice, and only the member that was promoted last commits writes.
func (w *World) checkWrites() (violations []string) {
	const maxReported = 5
	commits, primary := map[string]int{}, ""
	for _, entry := range w.switchovers.groupLog {
		if entry.promoted {
			primary = entry.member
			continue
		}
		if entry.member != primary {
			violations = append(violations, fmt.Sprintf("%s committed %s after %s was promoted", entry.member, entry.write, primary))
		}
		commits[entry.write]++
	}
	for n := range w.switchovers.writes {
		id := writeID(n + 1)
		switch outcome := w.switchovers.outcomes[id]; {
		case commits[id] > 1:
			violations = append(violations, fmt.Sprintf("%s was committed %d times", id, commits[id]))
		case outcome == writeSucceeded && commits[id] == 0:
			violations = append(violations, id+" was reported as succeeded but is not committed")
		case outcome == writeRejected && commits[id] > 0:
			violations = append(violations, id+" was reported as rejected but is committed")
		}
	}
	return violations[:min(len(violations), maxReported)]
}

func writeID(n int) string { return fmt.Sprint("t", n) }
