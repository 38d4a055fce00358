package fleet

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"wayloft/internal/audit"
	"wayloft/internal/decide/healthshare"
	"wayloft/internal/decide/lease"
	"wayloft/internal/decide/leaseclient"
	"wayloft/internal/decide/leasestate"
	"wayloft/internal/decide/switchover"
	"wayloft/internal/failpoint"
	"wayloft/internal/fleetpb"
	"wayloft/internal/rpc"
)

// watchRetryDelay is about how long after a watch has ended the next one starts.
const watchRetryDelay = 300 * time.Millisecond

// advanceLeases carries out what the lease client decides. Checkers read the names of audit events: they never change.
func (n *Node) advanceLeases() {
	for d, more := n.leases.Next(); more; d, more = n.leases.Next() {
		switch d.Action {
		case leaseclient.Propose, leaseclient.QueryTokens:
			n.background.Go(func() { n.sendRequest(d) })
		case leaseclient.Start:
			n.settings.AuditLog.Add("start", leaseFields(d.Lease, d.Token))
			logrus.WithFields(logrus.Fields{"lease": d.Lease, "token": d.Token}).Info("lease acquired")
			n.leaseAcquired(d.Lease, d.Token)
		case leaseclient.Stop:
			n.settings.AuditLog.Add("stop", leaseFields(d.Lease, d.Token))
			logrus.WithFields(logrus.Fields{"lease": d.Lease, "token": d.Token}).Info("lease ended")
			n.leaseEnded(d.Lease)
		}
	}
}

// leaseAcquired starts the work that a lease is for.
func (n *Node) leaseAcquired(name string, token lease.Token) {
	n.includeSessionsInWatch()
	if group, found := parseLeaseGroup(name, healthshare.LeasePrefix); found {
		n.startHealthSharing(name, token, group)
	} else if group, found := parseLeaseGroup(name, switchover.LeasePrefix); found {
		n.startSwitchovers(name, token, group)
	}
}

// parseLeaseGroup returns the group that a lease is of; false: its name has another prefix.
func parseLeaseGroup(name, prefix string) (group int, found bool) {
	text, found := strings.CutPrefix(name, prefix)
	if !found {
		return 0, false
	}
	group, err := strconv.Atoi(text)
	return group, err == nil
}

// leaseEnded ends the work that a lease was for.
func (n *Node) leaseEnded(name string) {
	delete(n.healthSharers, name)
	if task := n.switchovers[name]; task != nil && task.cancel != nil {
		task.cancel()
	}
	delete(n.switchovers, name)
	n.sendsOrders.Store(len(n.healthSharers)+len(n.switchovers) > 0)
}

// includeSessionsInWatch has the watch report other processes' sessions from now on, since this process gives orders. The next watch leaves them
// out again, if no lease is held by then.
func (n *Node) includeSessionsInWatch() {
	n.sendsOrders.Store(true)
	if n.leases.SessionsComplete() {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.restartWatch != nil {
		n.restartWatch()
	}
}

// sendRequest sends a sendRequest to the coordinator. A quarter of the session timeout leaves time for retries.
func (n *Node) sendRequest(d leaseclient.Decision) {
	ctx, cancel := context.WithTimeout(n.ctx, milliseconds(n.settings.SessionTimeoutMs/4))
	defer cancel()
	if d.Action == leaseclient.QueryTokens {
		tokens, err := n.client.LatestTokens(ctx, d.Leases)
		n.post(func() {
			if n.checkResponse(d, err) {
				n.leases.TokensLearned(d.Request, tokens)
			}
		})
		return
	}
	result, err := n.client.ProposeEntry(ctx, d.Entry)
	n.post(func() {
		if n.checkResponse(d, err) {
			n.logResult(d.Entry, result)
			n.leases.Answered(d.Request, result)
		}
	})
}

// checkResponse reports whether the coordinator has checkResponse to a request; if not, the lease client learns of it.
func (n *Node) checkResponse(d leaseclient.Decision, err error) bool {
	n.leases.Advance(n.now())
	if err != nil {
		logrus.WithError(err).Debug("no response from the coordinator")
		n.leases.Failed(d.Request)
	}
	return err == nil
}

// logResult writes to the logs what the coordinator has made of an entry.
func (n *Node) logResult(e leasestate.Entry, result leasestate.Result) {
	switch {
	case e.Kind == leasestate.ReportToken && result.Refusal != "":
		logrus.WithFields(logrus.Fields{"lease": e.Lease, "token": e.Token, "coordinator_token": result.Token, "reason": result.Refusal}).
			Error("the coordinator's state has regressed: a higher fencing token was seen")
		n.settings.AuditLog.Add("behind", audit.Fields{leaseField: e.Lease, "seen": e.Token.String(), coordinatorTokenField: result.Token.String()})
	case e.Kind == leasestate.OpenSession:
		n.settings.AuditLog.Add("session", audit.Fields{"held": result.Held, reasonField: result.Refusal, "incarnation": e.Incarnation})
	}
}

// watch follows the coordinator's changes, and starts again whenever a watch ends. A failure is logged once, until it is another one or an
// update has come.
func (n *Node) watch() {
	logged := ""
	for n.ctx.Err() == nil {
		ctx, cancel, withoutSessions := n.newWatchContext()
		err := n.client.Watch(ctx, withoutSessions, func(update *fleetpb.Update) {
			logged = ""
			failpoint.Hit("fleet.updated")
			n.post(func() { n.applyUpdate(update) })
		})
		restarted := ctx.Err() != nil
		cancel()
		if n.ctx.Err() != nil {
			return
		}
		if restarted {
			continue
		}
		if text := err.Error(); text != logged {
			logged = text
			logrus.WithError(err).Warn("coordinator unreachable")
		}
		select {
		case <-n.ctx.Done():
		case <-time.After(rpc.Jitter(watchRetryDelay)):
		}
	}
}

// newWatchContext returns the context of the next watch, and whether it leaves out other processes' sessions; if it does, watchSessions ends it.
func (n *Node) newWatchContext() (ctx context.Context, cancel context.CancelFunc, withoutSessions bool) {
	ctx, cancel = context.WithCancel(n.ctx)
	n.mu.Lock()
	defer n.mu.Unlock()
	withoutSessions = !n.sendsOrders.Load()
	n.restartWatch = nil
	if withoutSessions {
		n.restartWatch = cancel
	}
	return ctx, cancel, withoutSessions
}

// applyUpdate applies what a watch has reported.
func (n *Node) applyUpdate(message *fleetpb.Update) {
	n.leases.Advance(n.now())
	update := rpc.DecodeUpdate(message)
	n.leases.UpdateReceived(update)
	n.policies.follower.Advance(n.now())
	for _, p := range update.Policies {
		n.policies.follower.VersionAnnounced(p.Version, p.Difference)
	}
}
