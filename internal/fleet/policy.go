package fleet

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/grpc/status"

	"wayloft/internal/audit"
	"wayloft/internal/decide/backoff"
	"wayloft/internal/decide/leasestate"
	"wayloft/internal/decide/policy"
	"wayloft/internal/failpoint"
	"wayloft/internal/fleetpb"
	"wayloft/internal/rpc"
)

// Store keeps a policy at a router from one start to the next. Both are called off the router's loop, one call at a time.
type Store interface {
	// Load gives what was saved last; nothing, or nothing that can be trusted, is the zero Version and no error. An error is
	// logged, and counts as nothing.
	Load() (policy.Version, policy.Document, error)
	// Save keeps a version in place of the one before, whole or not at all. After an error it is called again, with this version
	// or a later one; the router goes by the version all the same.
	Save(policy.Version, policy.Document) error
}

// Policies are what a coordinator keeps of the policy: the version in force with its document, and the latest changes, it last.
type Policies struct {
	Version  policy.Version // Number 0: nothing was ever proposed
	Document policy.Document
	History  []policy.Change
}

// Propose asks for a change of the policy: Held with the Number that it has, or Why not, one line for each reason. A proposal
// is taken only while the version that it was made from is in force. Asking again for the same is harmless.
func (c *Client) Propose(ctx context.Context, p policy.Proposal) (leasestate.Result, error) {
	if err := p.Check(); err != nil {
		return leasestate.Result{}, err
	}
	return c.ProposeEntry(ctx, leasestate.Entry{Kind: leasestate.ProposePolicy, Proposal: &p})
}

// Policy gives the policy in force and its history, by the word of a majority.
func (c *Client) Policy(ctx context.Context) (all Policies, err error) {
	var got *fleetpb.PolicyBook
	err = c.call(ctx, func(ctx context.Context, to fleetpb.CouncilClient) (bool, string, string, error) {
		var err error
		if got, err = to.Policies(ctx, &fleetpb.Empty{}); err != nil {
			return false, "", "", err
		}
		return got.Moved, got.Leader, got.Address, nil
	})
	if err != nil {
		return all, err
	}
	if all.Version, _, err = rpc.DecodePolicy(got.Version); err != nil {
		return all, err
	}
	text, err := rpc.Decompress(got.Document, policy.MaxDocumentBytes)
	if err != nil {
		return all, fmt.Errorf("policy: %w", err)
	}
	if all.Document, err = policy.Decode(text); err != nil {
		return all, err
	}
	if all.Version.Number > 0 && all.Document.Hash() != all.Version.Hash {
		return all, policy.ErrMismatch
	}
	if text, err = rpc.Decompress(got.History, policy.MaxHistoryBytes); err != nil {
		return all, fmt.Errorf("policy: history: %w", err)
	}
	all.History, err = policy.DecodeChanges(text)
	return all, err
}

// policyPart asks one coordinator node for a part of the policy: the one that is watched first, since what it told it has.
func (c *Client) policyPart(ctx context.Context, q policy.Request, first bool) (p policy.Part, err error) {
	c.mu.Lock()
	addr := c.watched
	if !first || addr == "" {
		addr = c.addrs[rand.IntN(len(c.addrs))]
	}
	c.mu.Unlock()
	conn, err := c.conn(addr)
	if err != nil {
		return p, err
	}
	a, err := fleetpb.NewCouncilClient(conn).Policy(ctx, &fleetpb.PolicyFrom{Have: q.Have, Hash: q.Hash[:], Want: q.Want, Whole: q.Full,
		Offset: uint64(q.Offset), Most: uint64(q.MaxBytes)})
	if err != nil {
		return p, fmt.Errorf("council at %s: %s", addr, status.Convert(err).Message())
	}
	v, _, err := rpc.DecodePolicy(a.Version)
	if err != nil {
		return p, fmt.Errorf("council at %s: %w", addr, err)
	}
	if a.Offset > 1<<30 || a.Total > 1<<30 {
		return p, errors.New("unsound")
	}
	return policy.Part{Version: v, Full: a.Whole, Offset: int(a.Offset), Total: int(a.Total), Bytes: a.Bytes}, nil
}

// policyState is a router's part in the policy.
type policyState struct {
	follower    *policy.Follower
	toApply     *policy.Decision // what the router's loop had no room for yet
	toSave      *policy.Decision // what is to be kept once the one before is
	saving      bool
	saveRetry   backoff.Storage // of save, where the folder refuses
	fetchFailed bool            // the latest request has: the next goes to any process
}

func newPolicyState(set Settings, seed uint64) *policyState {
	return &policyState{follower: policy.NewFollower(policy.Settings{Rate: set.PolicyRate, Seed: seed, Decompress: rpc.Decompress})}
}

// loadPolicy begins with what was kept.
func (l *Node) loadPolicy() {
	l.policies.follower.Advance(l.now())
	if l.settings.Store == nil {
		return
	}
	v, d, err := l.settings.Store.Load()
	if err != nil {
		logrus.WithError(err).Warn("no policy of an earlier start")
	}
	if l.settings.AuditLog.Add("begins with", audit.Fields{"version": v.String()}); v.Number == 0 {
		return
	}
	l.policies.follower.Stored(v, d)
}

// advancePolicy does what is decided of the policy.
func (l *Node) advancePolicy(now float64) {
	f := l.policies
	f.follower.Advance(now)
	for d, more := f.follower.Next(); more; d, more = f.follower.Next() {
		switch d.Action {
		case policy.Fetch:
			go l.fetchPolicyPart(d.Request, !f.fetchFailed)
		case policy.Apply:
			f.toApply = &d
		case policy.Acknowledge:
			l.settings.AuditLog.Add("goes by", audit.Fields{"version": policy.FormatPacked(d.Applied), "wont": policy.FormatPacked(d.Rejected), "why": d.Reason})
			l.leases.PolicyApplied(d.Applied, d.Rejected, d.Reason)
		case policy.Store:
			f.toSave = &d
		}
	}
	if d := f.toApply; d != nil && l.callRouter(func() { l.applyPolicy(*d) }) {
		f.toApply = nil
	}
	l.savePolicy(now)
}

// savePolicy has the latest version saved, off the loop, one call at a time; what fails is tried again until a later one takes its place.
func (l *Node) savePolicy(now float64) {
	f := l.policies
	if f.toSave == nil || f.saving || l.settings.Store == nil || f.saveRetry.Failing() && f.saveRetry.Due() > now {
		return
	}
	d := f.toSave
	f.toSave, f.saving = nil, true
	go func() {
		err := l.settings.Store.Save(d.Version, d.Document)
		l.post(func() { l.policySaved(d, err) })
	}()
}

// policySaved takes in what became of a version that was to be saved.
func (l *Node) policySaved(d *policy.Decision, err error) {
	f := l.policies
	f.saving = false
	if err == nil {
		if f.saveRetry.Succeed(l.now()) {
			logrus.WithField("version", d.Version).Info("the policy is kept for the next start again")
		}
		l.settings.AuditLog.Add("stored", audit.Fields{"version": d.Version.String()})
		return
	}
	if f.toSave == nil {
		f.toSave = d
	}
	if f.saveRetry.Fail(l.now()) {
		logrus.WithError(err).WithField("version", d.Version).Error("the policy is not kept for the next start: trying again")
		l.settings.AuditLog.Add("unsaved", audit.Fields{"version": d.Version.String(), "why": err.Error()})
	}
}

// applyPolicy has the router go by a version, on its loop.
func (l *Node) applyPolicy(d policy.Decision) {
	failpoint.Point("policy.adopt")
	err := l.router.ApplyPolicy(d.Version, d.Document)
	go l.post(func() {
		l.policies.follower.Advance(l.now())
		line := logrus.WithFields(logrus.Fields{"version": d.Version, "author": d.Version.Author, "reason": d.Version.Reason})
		if err != nil {
			line.WithError(err).Error("a policy that this router can't take")
			l.policies.follower.ApplyFailed(d.Version, err.Error())
			return
		}
		line.Info("goes by policy")
		l.policies.follower.Applied(d.Version)
	})
}

func (l *Node) fetchPolicyPart(q policy.Request, first bool) {
	ctx, cancel := context.WithTimeout(l.ctx, time.Duration(l.settings.SessionTimeout/2*float64(time.Millisecond)))
	defer cancel()
	p, err := l.client.policyPart(ctx, q, first)
	l.post(func() {
		f := l.policies
		f.follower.Advance(l.now())
		if f.fetchFailed = err != nil; err != nil {
			logrus.WithError(err).Debug("no part of the policy")
			f.follower.FetchFailed()
			return
		}
		f.follower.PartReceived(p)
	})
}
