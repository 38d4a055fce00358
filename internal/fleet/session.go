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

// watchRetryDelay is the delay, before jitter, between the failure of a watch and the start of the next one.
const watchRetryDelay = 300 * time.Millisecond

// advanceLeases executes the lease client's decisions. Checkers depend on the names of the audit events, which must not change.
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

// leaseAcquired starts the work that requires a lease.
func (n *Node) leaseAcquired(name string, token lease.Token) {
	n.includeSessionsInWatch()
	if group, found := parseLeaseGroup(name, healthshare.LeasePrefix); found {
		n.startHealthSharing(name, token, group)
	} else if group, found := parseLeaseGroup(name, switchover.LeasePrefix); found {
		n.startSwitchovers(name, token, group)
	}
}

// parseLeaseGroup returns the group in a lease's name. It returns false if the name has another prefix or no group number.
func parseLeaseGroup(name, prefix string) (group int, found bool) {
	text, found := strings.CutPrefix(name, prefix)
	if !found {
		return 0, false
	}
	group, err := strconv.Atoi(text)
	return group, err == nil
}

// leaseEnded stops the work that requires a lease.
func (n *Node) leaseEnded(name string) {
	delete(n.healthSharers, name)
	if task := n.switchovers[name]; task != nil && task.cancel != nil {
		task.cancel()
	}
	delete(n.switchovers, name)
	n.sendsOrders.Store(len(n.healthSharers)+len(n.switchovers) > 0)
}

// includeSessionsInWatch makes the watch report other processes' sessions, which this process needs for sending orders. A running watch
// without them is restarted. Later watches omit them again once this process holds no lease.
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

// sendRequest sends a request to the coordinator and passes the response to the lease client. The timeout is a quarter of the session
// timeout, which leaves time for retries.
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
			n.leases.ResponseReceived(d.Request, result)
		}
	})
}

// checkResponse reports whether a request succeeded. If not, it notifies the lease client.
func (n *Node) checkResponse(d leaseclient.Decision, err error) bool {
	n.leases.Advance(n.now())
	if err != nil {
		logrus.WithError(err).Debug("coordinator request failed")
		n.leases.RequestFailed(d.Request)
	}
	return err == nil
}

// logResult writes the results of entries that matter to operators to the log and the audit log.
func (n *Node) logResult(e leasestate.Entry, result leasestate.Result) {
	switch {
	case e.Kind == leasestate.ReportToken && result.Rejection != "":
		logrus.WithFields(logrus.Fields{"lease": e.Lease, "token": e.Token, "coordinator_token": result.Token, "reason": result.Rejection}).
			Error("coordinator state has regressed: this process has seen a higher fencing token")
		n.settings.AuditLog.Add("behind", audit.Fields{leaseField: e.Lease, "seen": e.Token.String(), coordinatorTokenField: result.Token.String()})
	case e.Kind == leasestate.OpenSession:
		n.settings.AuditLog.Add("session", audit.Fields{"held": result.Held, reasonField: result.Rejection, "incarnation": e.Incarnation})
	}
}

// watch watches the coordinator and restarts the watch whenever it ends. A failure is logged again only if its text differs or an update
// was received since.
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
			logrus.WithError(err).Warn("watch of the coordinator failed; retrying")
		}
		select {
		case <-n.ctx.Done():
		case <-time.After(rpc.Jitter(watchRetryDelay)):
		}
	}
}

// newWatchContext returns the context of the next watch and whether that omits other processes' sessions. If it does,
// includeSessionsInWatch can cancel the context.
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

// applyUpdate passes an update of the watch to the lease client and the policy follower.
func (n *Node) applyUpdate(message *fleetpb.Update) {
	n.leases.Advance(n.now())
	update := rpc.DecodeUpdate(message)
	n.leases.UpdateReceived(update)
	n.policies.follower.Advance(n.now())
	for _, p := range update.Policies {
		n.policies.follower.VersionAnnounced(p.Version, p.Difference)
	}
}
