package fleet

import (
	"context"

	"github.com/sirupsen/logrus"

	"wayloft/internal/audit"
	"wayloft/internal/decide/backoff"
	"wayloft/internal/decide/policy"
	"wayloft/internal/failpoint"
	"wayloft/internal/rpc"
)

// Store persists a router's policy across restarts. Its methods are called one at a time. Save is never called on an event loop.
type Store interface {
	// Load returns the version saved last, or the zero Version and no error if there is no valid one. The caller logs an error and
	// continues without a stored policy.
	Load() (policy.Version, policy.Document, error)
	// Save atomically replaces the stored version. After an error it is called again with this version or a later one. The router applies
	// a version whether or not it can be saved.
	Save(policy.Version, policy.Document) error
}

// policyState is a router's state in following the policy. It is only accessed on the node's event loop.
type policyState struct {
	follower    *policy.Follower
	toApply     *policy.Decision      // not yet passed on, because the queue of the router's event loop was full
	toSave      *policy.Decision      // to be saved next
	saving      bool                  // a save is in progress
	saveRetry   backoff.RetrySchedule // of failed saves
	fetchFailed bool                  // the latest fetch failed, so the next one goes to a random node
}

func newPolicyState(settings Settings, seed uint64) *policyState {
	return &policyState{follower: policy.NewFollower(policy.Settings{Rate: settings.PolicyBytesPerSecond, Seed: seed, Decompress: rpc.Decompress})}
}

// loadPolicy loads the stored version and passes it to the follower.
func (n *Node) loadPolicy() {
	n.policies.follower.Advance(n.now())
	if n.settings.Store == nil {
		return
	}
	version, document, err := n.settings.Store.Load()
	if err != nil {
		logrus.WithError(err).Warn("failed to load stored policy")
	}
	n.settings.AuditLog.Add("begins with", audit.Fields{"version": version.String()})
	if version.Number > 0 {
		n.policies.follower.Stored(version, document)
	}
}

// advancePolicy executes the follower's decisions.
func (n *Node) advancePolicy(now float64) {
	state := n.policies
	state.follower.Advance(now)
	for d, more := state.follower.Next(); more; d, more = state.follower.Next() {
		switch d.Action {
		case policy.Fetch:
			preferWatched := !state.fetchFailed
			n.background.Go(func() { n.fetchPolicyPart(d.Request, preferWatched) })
		case policy.Apply:
			state.toApply = &d
		case policy.Acknowledge:
			n.settings.AuditLog.Add("goes by", audit.Fields{"version": policy.FormatPacked(d.Applied),
				rejectedVersionField: policy.FormatPacked(d.Rejected), reasonField: d.Reason})
			n.leases.PolicyApplied(d.Applied, d.Rejected, d.Reason)
		case policy.Store:
			state.toSave = &d
		}
	}
	if d := state.toApply; d != nil && n.callRouter(func() { n.applyPolicy(*d) }) {
		state.toApply = nil
	}
	n.savePolicy(now)
}

// savePolicy saves the latest version on a goroutine of its own, one version at a time. A failed save is retried until it succeeds or a
// later version replaces it.
func (n *Node) savePolicy(now float64) {
	state := n.policies
	if state.toSave == nil || state.saving || n.settings.Store == nil || state.saveRetry.Failing() && state.saveRetry.RetryAt() > now {
		return
	}
	d := state.toSave
	state.toSave, state.saving = nil, true
	go func() { // not waited for on shutdown: the disk may hang
		err := n.settings.Store.Save(d.Version, d.Document)
		n.post(func() { n.policySaved(d, err) })
	}()
}

// policySaved handles the result of a save.
func (n *Node) policySaved(d *policy.Decision, err error) {
	state := n.policies
	state.saving = false
	if err == nil {
		if state.saveRetry.RecordSuccess(n.now()) {
			logrus.WithField("version", d.Version).Info("policy stored after earlier failures")
		}
		n.settings.AuditLog.Add("stored", audit.Fields{"version": d.Version.String()})
		return
	}
	if state.toSave == nil {
		state.toSave = d
	}
	if state.saveRetry.RecordFailure(n.now()) {
		logrus.WithError(err).WithField("version", d.Version).Error("failed to store policy; retrying")
		n.settings.AuditLog.Add("unsaved", audit.Fields{"version": d.Version.String(), reasonField: err.Error()})
	}
}

// applyPolicy applies a version to the router. It runs on the router's event loop.
func (n *Node) applyPolicy(d policy.Decision) {
	failpoint.Point("policy.adopt")
	err := n.router.ApplyPolicy(d.Version, d.Document)
	go n.post(func() { n.policyApplied(d.Version, err) }) // on a goroutine: the router's event loop must not wait for this one
}

// policyApplied handles the router's result of applying a version.
func (n *Node) policyApplied(version policy.Version, err error) {
	n.policies.follower.Advance(n.now())
	line := logrus.WithFields(logrus.Fields{"version": version, "author": version.Author, "reason": version.Reason})
	if err != nil {
		line.WithError(err).Error("failed to apply policy")
		n.policies.follower.ApplyFailed(version, err.Error())
		return
	}
	line.Info("policy applied")
	n.policies.follower.Applied(version)
}

// fetchPolicyPart fetches a part of the policy from a coordinator node and passes it to the follower.
func (n *Node) fetchPolicyPart(request policy.Request, preferWatched bool) {
	ctx, cancel := context.WithTimeout(n.ctx, milliseconds(n.settings.SessionTimeoutMs/2))
	defer cancel()
	part, err := n.client.fetchPolicyPart(ctx, request, preferWatched)
	n.post(func() {
		n.policies.follower.Advance(n.now())
		n.policies.fetchFailed = err != nil
		if err != nil {
			logrus.WithError(err).Debug("failed to fetch policy part")
			n.policies.follower.FetchFailed()
			return
		}
		n.policies.follower.PartReceived(part)
	})
}
