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

// Store keeps a policy at a router from one start to the next. Its methods are called off the event loops, one call at a time.
type Store interface {
	// Load returns what was saved last. Nothing, or nothing that can be trusted, is the zero Version and no error. An error is logged, and
	// counts as nothing.
	Load() (policy.Version, policy.Document, error)
	// Save keeps a version in place of the one before, completely or not at all. After an error it is called again with this version or a
	// later one; the router applies the version all the same.
	Save(policy.Version, policy.Document) error
}

// policyState is how a router follows the policy. It belongs to the event loop.
type policyState struct {
	follower    *policy.Follower
	toApply     *policy.Decision // for which the router's loop had no room yet
	toSave      *policy.Decision // to be saved next
	saving      bool             // a save is under way
	saveRetry   backoff.Storage  // of saves, while the store fails
	fetchFailed bool             // the latest request: the next goes to any node
}

func newPolicyState(settings Settings, seed uint64) *policyState {
	return &policyState{follower: policy.NewFollower(policy.Settings{Rate: settings.PolicyBytesPerSecond, Seed: seed, Decompress: rpc.Decompress})}
}

// loadPolicy starts with the stored version.
func (n *Node) loadPolicy() {
	n.policies.follower.Advance(n.now())
	if n.settings.Store == nil {
		return
	}
	version, document, err := n.settings.Store.Load()
	if err != nil {
		logrus.WithError(err).Warn("stored policy not loaded")
	}
	n.settings.AuditLog.Add("begins with", audit.Fields{"version": version.String()})
	if version.Number > 0 {
		n.policies.follower.Stored(version, document)
	}
}

// advancePolicy carries out what the follower decides.
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

// savePolicy has the latest version saved off the loop, one at a time. A save that fails is retried until a later version takes its place.
func (n *Node) savePolicy(now float64) {
	state := n.policies
	if state.toSave == nil || state.saving || n.settings.Store == nil || state.saveRetry.Failing() && state.saveRetry.Due() > now {
		return
	}
	d := state.toSave
	state.toSave, state.saving = nil, true
	go func() { // not waited for: a disk may hang
		err := n.settings.Store.Save(d.Version, d.Document)
		n.post(func() { n.policySaved(d, err) })
	}()
}

// policySaved records what became of a save.
func (n *Node) policySaved(d *policy.Decision, err error) {
	state := n.policies
	state.saving = false
	if err == nil {
		if state.saveRetry.Succeed(n.now()) {
			logrus.WithField("version", d.Version).Info("policy stored again")
		}
		n.settings.AuditLog.Add("stored", audit.Fields{"version": d.Version.String()})
		return
	}
	if state.toSave == nil {
		state.toSave = d
	}
	if state.saveRetry.Fail(n.now()) {
		logrus.WithError(err).WithField("version", d.Version).Error("policy not stored: retrying")
		n.settings.AuditLog.Add("unsaved", audit.Fields{"version": d.Version.String(), reasonField: err.Error()})
	}
}

// applyPolicy has the router apply a version, on its event loop.
func (n *Node) applyPolicy(d policy.Decision) {
	failpoint.Point("policy.adopt")
	err := n.router.ApplyPolicy(d.Version, d.Document)
	go n.post(func() { n.policyApplied(d.Version, err) }) // the router's loop never waits for this one
}

// policyApplied records whether the router has applied a version.
func (n *Node) policyApplied(version policy.Version, err error) {
	n.policies.follower.Advance(n.now())
	line := logrus.WithFields(logrus.Fields{"version": version, "author": version.Author, "reason": version.Reason})
	if err != nil {
		line.WithError(err).Error("policy can't be applied")
		n.policies.follower.ApplyFailed(version, err.Error())
		return
	}
	line.Info("policy applied")
	n.policies.follower.Applied(version)
}

// fetchPolicyPart asks a coordinator node for a part of the policy.
func (n *Node) fetchPolicyPart(request policy.Request, preferWatched bool) {
	ctx, cancel := context.WithTimeout(n.ctx, milliseconds(n.settings.SessionTimeoutMs/2))
	defer cancel()
	part, err := n.client.fetchPolicyPart(ctx, request, preferWatched)
	n.post(func() {
		n.policies.follower.Advance(n.now())
		n.policies.fetchFailed = err != nil
		if err != nil {
			logrus.WithError(err).Debug("policy part not fetched")
			n.policies.follower.FetchFailed()
			return
		}
		n.policies.follower.PartReceived(part)
	})
}
