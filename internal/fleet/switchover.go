package fleet

import (
	"context"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"

	"github.com/sirupsen/logrus"

	"wayloft/internal/audit"
	"wayloft/internal/decide/lease"
	"wayloft/internal/decide/leaseclient"
	"wayloft/internal/decide/leasestate"
	"wayloft/internal/decide/switchover"
	"wayloft/internal/failpoint"
	"wayloft/internal/fleetpb"
)

const (
	maxRecordedBytes  = 250 // maximum length of a text in the replicated state
	maxRecordAttempts = 7   // to record a step or the end of an order
)

// switchoverTask executes a group's switchover orders while this process holds the group's switchover lease.
type switchoverTask struct {
	name           string // of the lease
	group          int
	token          lease.Token
	orders         *switchover.OrderState
	number         uint64               // of the current order
	executor       *switchover.Executor // of the current order; nil if there is none
	endReportDueAt float64              // time from which the end of the last order may be reported again
	ctx            context.Context      // of the current order
	cancel         context.CancelFunc
}

// auditFields returns the fields of an audit event about the current order.
func (task *switchoverTask) auditFields(text string) audit.Fields {
	fields := leaseFields(task.name, task.token)
	fields["number"], fields["text"] = task.number, text
	return fields
}

// startSwitchovers starts executing a group's switchover orders under a lease.
func (n *Node) startSwitchovers(name string, token lease.Token, group int) {
	if n.orderStates[name] == nil {
		n.orderStates[name] = &switchover.OrderState{}
	}
	n.orderStates[name].BeginLease(token)
	n.switchovers[name] = &switchoverTask{name: name, group: group, token: token, orders: n.orderStates[name]}
}

// advanceSwitchovers advances the switchovers of all groups.
func (n *Node) advanceSwitchovers(now float64) {
	for _, name := range slices.Sorted(maps.Keys(n.switchovers)) {
		n.advanceSwitchover(n.switchovers[name], now)
	}
}

// advanceSwitchover starts or advances a group's switchover if there is an order for one.
func (n *Node) advanceSwitchover(task *switchoverTask, now float64) {
	if task.executor == nil && !n.startOrder(task, now) {
		return
	}
	if !n.leases.SessionsComplete() { // the routers that must hold writes are not known yet
		return
	}
	var routers []string
	for _, session := range n.leases.Sessions(routerKind) {
		routers = append(routers, session.Name)
	}
	task.executor.Advance(now)
	task.executor.SetRouters(routers)
	for d, more := task.executor.Next(); more; d, more = task.executor.Next() {
		n.executeDecision(task, d)
	}
	task.orders.Update(task.executor, task.number)
	if task.executor.Finished() {
		task.cancel()
		task.executor = nil
	}
}

// startOrder starts executing the open order. It returns false if there is none or if it can't be started now.
func (n *Node) startOrder(task *switchoverTask, now float64) bool {
	if ended, unreported := task.orders.UnreportedEnd(); unreported {
		if task.endReportDueAt <= now {
			n.reportEnd(task, ended)
		}
		return false
	}
	if task.orders.NeedsNewToken() {
		n.leases.Release(task.name)
		n.leases.Acquire(task.name)
		return false
	}
	known, found := n.leases.Lease(task.name)
	if !found || known.Holder != n.settings.Name || known.Token != task.token {
		return false
	}
	executor, err := task.orders.StartOrder(n.settings.Switchover, known.Open, known.Steps, now)
	if err != nil {
		logrus.WithError(err).WithField("lease", task.name).Error("failed to start switchover order")
		return false
	}
	if executor == nil {
		return false
	}
	task.executor, task.number = executor, known.Open.Number
	task.ctx, task.cancel = context.WithCancel(n.ctx)
	fields := task.auditFields(known.Open.Text)
	fields["steps"] = len(known.Steps)
	n.settings.AuditLog.Add("order", fields)
	return true
}

// reportEnd records the outcome of an order in the replicated state. If that fails, it is retried later.
func (n *Node) reportEnd(task *switchoverTask, ended leasestate.Order) {
	task.endReportDueAt = math.Inf(1) // until the proposal has completed
	entry := leasestate.Entry{Kind: leasestate.CompleteOrder, Number: ended.Number, Text: truncateText(ended.Text)}
	n.proposeRecord(task, entry, func(recorded bool) {
		n.post(func() {
			task.endReportDueAt = n.now() + n.settings.SessionTimeoutMs/4
			if recorded {
				task.orders.EndReported(ended.Number)
				task.endReportDueAt = 0
			}
		})
	})
}

// truncateText truncates a text to the maximum length in the replicated state.
func truncateText(text string) string {
	if len(text) > maxRecordedBytes {
		text = text[:maxRecordedBytes]
	}
	return text
}

// ifCurrent advances the executor's time and calls f, unless the lease or the order has ended since the executor made its request.
func (n *Node) ifCurrent(task *switchoverTask, executor *switchover.Executor, f func()) {
	if n.switchovers[task.name] == task && task.executor == executor {
		executor.Advance(n.now())
		f()
	}
}

// proposeRecord records a step or the end of an order in the replicated state. It calls done with whether that succeeded, on another
// goroutine, which ends with Run's context.
func (n *Node) proposeRecord(task *switchoverTask, entry leasestate.Entry, done func(recorded bool)) {
	entry.Lease, entry.Token = task.name, task.token
	entry = n.leases.WithSession(entry)
	go func() {
		var result leasestate.Result
		var err error
		for range maxRecordAttempts { // a retry may record a step twice; the records are equal, so that is harmless
			ctx, cancel := context.WithTimeout(n.ctx, milliseconds(n.settings.SessionTimeoutMs))
			result, err = n.client.ProposeEntry(ctx, entry)
			cancel()
			if err == nil || n.ctx.Err() != nil {
				break
			}
		}
		done(err == nil && result.Held)
	}()
}

// executeDecision executes a decision of a task's executor.
func (n *Node) executeDecision(task *switchoverTask, d switchover.Decision) {
	token, valid := n.leases.Valid(task.name) // last check of the lease before sending
	if !valid || token != task.token {
		return
	}
	switch d.Action {
	case switchover.FindPrimary:
		n.findPrimary(task)
	case switchover.RecordStep:
		n.recordStep(task, d.Text)
	case switchover.CommandRouter:
		n.commandRouter(task, d)
	case switchover.CommandMember:
		n.commandMember(task, d)
	case switchover.EndOrder:
		logrus.WithFields(logrus.Fields{"lease": task.name, "token": token, "order": task.number, "outcome": d.Text}).Info("switchover ended")
		n.settings.AuditLog.Add("end", task.auditFields(d.Text))
	}
}

// findPrimary queries the group's members for the current primary.
func (n *Node) findPrimary(task *switchoverTask) {
	executor, ctx, members := task.executor, task.ctx, n.groups[task.group]
	go func() { // ends with the order's context
		found, err := n.settings.Adapter.findPrimary(ctx, members)
		n.post(func() { n.ifCurrent(task, executor, func() { executor.PrimaryFound(found, err) }) })
	}()
}

// recordStep records a step in the replicated state.
func (n *Node) recordStep(task *switchoverTask, text string) {
	executor := task.executor
	n.settings.AuditLog.Add("step", task.auditFields(text))
	logrus.WithFields(logrus.Fields{"lease": task.name, "token": task.token, "order": task.number, "step": text}).Info("recording switchover step")
	n.proposeRecord(task, leasestate.Entry{Kind: leasestate.RecordStep, Text: text}, func(recorded bool) {
		failpoint.Point("noted." + strings.Fields(text)[0])
		n.post(func() {
			n.ifCurrent(task, executor, func() {
				fields := task.auditFields(text)
				fields["ok"] = recorded
				n.settings.AuditLog.Add("noted", fields)
				executor.StepRecorded(recorded)
			})
		})
	})
}

// commandRouter sends a command to a router.
func (n *Node) commandRouter(task *switchoverTask, d switchover.Decision) {
	executor := task.executor
	sessions := n.leases.Sessions(routerKind)
	target := slices.IndexFunc(sessions, func(s leaseclient.Session) bool { return s.Name == d.Target })
	if target < 0 {
		executor.RouterAnswered(d.Target, d.Command, false, 0)
		return
	}
	order := n.newOrder(task.name, task.token)
	order.Hold = &fleetpb.Hold{
		Group:  int64(task.group),
		Number: task.number,
		MostMs: d.MaxHoldMs,
		Ends:   d.Command == switchover.ReleaseWrites,
		Looks:  d.Command == switchover.CountWrites,
	}
	n.sendOrder(sessions[target], order, func(verdict *fleetpb.Verdict, err error) {
		accepted := err == nil && isAccepted(verdict)
		running := 0
		if accepted {
			running = int(min(verdict.Running, math.MaxInt32))
		}
		n.ifCurrent(task, executor, func() { executor.RouterAnswered(d.Target, d.Command, accepted, running) })
	})
}

// commandMember executes a step at a member. A started step is not canceled when the lease ends; the member's guard row rejects it if it
// arrives too late.
func (n *Node) commandMember(task *switchoverTask, d switchover.Decision) {
	executor := task.executor
	address := ""
	var others []Member
	for _, member := range n.groups[task.group] {
		if member.ID == d.Target {
			address = member.Addr
		} else {
			others = append(others, member)
		}
	}
	go func() { // ends with Run's context, or the step's timeout
		failpoint.Point("step." + string(d.Step)) // between the check of the lease and the step
		outcome, err := switchover.Failed, fmt.Errorf("%s is not in the list", d.Target)
		if address != "" {
			ctx, cancel := context.WithTimeout(n.ctx, milliseconds(n.settings.Adapter.StepTimeoutMs))
			outcome, err = n.settings.Adapter.runStep(ctx, address, others, d, task.token)
			cancel()
			failpoint.Point("stepped." + string(d.Step))
		}
		reason := ""
		if err != nil {
			reason = d.Target + ": " + err.Error()
		}
		n.post(func() {
			n.logOutcome(task, d, outcome, reason)
			n.ifCurrent(task, executor, func() { executor.StepDone(outcome, reason) })
		})
	}()
}

// logOutcome writes the outcome of a step at a member to the audit log, and to the log if the step did not succeed.
func (n *Node) logOutcome(task *switchoverTask, d switchover.Decision, outcome switchover.Outcome, reason string) {
	fields := leaseFields(task.name, task.token)
	fields["member"], fields["step"], fields["how"], fields[reasonField] = d.Target, string(d.Step), int(outcome), reason
	n.settings.AuditLog.Add("done", fields)
	if outcome == switchover.Fenced {
		n.leases.RejectedOperations++ // counted here on behalf of the member, which reports nothing to the coordinator
	}
	if outcome != switchover.Succeeded {
		logrus.WithFields(logrus.Fields{"lease": task.name, "token": task.token, "member": d.Target, "step": string(d.Step), "error": reason}).
			Warn("switchover step did not succeed")
	}
}
