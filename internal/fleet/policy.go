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
	err = c.ask(ctx, func(ctx context.Context, to fleetpb.CouncilClient) (bool, string, string, error) {
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
	text, err := rpc.Decompress(got.Document, policy.MostBytes)
	if err != nil {
		return all, fmt.Errorf("policy: %w", err)
	}
	if all.Document, err = policy.Decode(text); err != nil {
		return all, err
	}
	if all.Version.Number > 0 && all.Document.Hash() != all.Version.Hash {
		return all, policy.ErrMismatch
	}
	if text, err = rpc.Decompress(got.History, policy.MostChanges); err != nil {
		return all, fmt.Errorf("policy: history: %w", err)
	}
	all.History, err = policy.DecodeChanges(text)
	return all, err
}

// part asks one coordinator node for a part of the policy: the one that is watched first, since what it told it has.
func (c *Client) part(ctx context.Context, q policy.Request, first bool) (p policy.Part, err error) {
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
	a, err := fleetpb.NewCouncilClient(conn).Policy(ctx, &fleetpb.PolicyFrom{Have: q.Have, Hash: q.Hash[:], Want: q.Want, Whole: q.Whole,
		Offset: uint64(q.Offset), Most: uint64(q.Most)})
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
	return policy.Part{Version: v, Whole: a.Whole, Offset: int(a.Offset), Total: int(a.Total), Bytes: a.Bytes}, nil
}

// following is a router's part in the policy.
type following struct {
	follower *policy.Follower
	adopt    *policy.Decision // what the router's loop had no room for yet
	save     *policy.Decision // what is to be kept once the one before is
	saving   bool
	retry    backoff.Storage // of save, where the folder refuses
	failed   bool            // the latest request has: the next goes to any process
}

func follow(set Settings, seed uint64) *following {
	return &following{follower: policy.NewFollower(policy.Settings{Rate: set.PolicyRate, Seed: seed, Unpack: rpc.Decompress})}
}

// remember begins with what was kept.
func (l *Node) remember() {
	l.follow.follower.Advance(l.now())
	if l.set.Store == nil {
		return
	}
	v, d, err := l.set.Store.Load()
	if err != nil {
		logrus.WithError(err).Warn("no policy of an earlier start")
	}
	if l.set.Record.Add("begins with", audit.Fields{"version": v.String()}); v.Number == 0 {
		return
	}
	l.follow.follower.Stored(v, d)
}

// goBy does what is decided of the policy.
func (l *Node) goBy(now float64) {
	f := l.follow
	f.follower.Advance(now)
	for d, more := f.follower.Next(); more; d, more = f.follower.Next() {
		switch d.Action {
		case policy.Fetch:
			go l.fetch(d.Request, !f.failed)
		case policy.Apply:
			f.adopt = &d
		case policy.Acknowledge:
			l.set.Record.Add("goes by", audit.Fields{"version": policy.MarkString(d.Applied), "wont": policy.MarkString(d.Rejected), "why": d.Reason})
			l.agent.PolicyApplied(d.Applied, d.Rejected, d.Reason)
		case policy.Store:
			f.save = &d
		}
	}
	if d := f.adopt; d != nil && l.host(func() { l.adopt(*d) }) {
		f.adopt = nil
	}
	l.keep(now)
}

// keep has the latest version saved, off the loop, one call at a time; what fails is tried again until a later one takes its place.
func (l *Node) keep(now float64) {
	f := l.follow
	if f.save == nil || f.saving || l.set.Store == nil || f.retry.Failing() && f.retry.Due() > now {
		return
	}
	d := f.save
	f.save, f.saving = nil, true
	go func() {
		err := l.set.Store.Save(d.Version, d.Document)
		l.post(func() { l.kept(d, err) })
	}()
}

// kept takes in what became of a version that was to be saved.
func (l *Node) kept(d *policy.Decision, err error) {
	f := l.follow
	f.saving = false
	if err == nil {
		if f.retry.Succeed(l.now()) {
			logrus.WithField("version", d.Version).Info("the policy is kept for the next start again")
		}
		l.set.Record.Add("stored", audit.Fields{"version": d.Version.String()})
		return
	}
	if f.save == nil {
		f.save = d
	}
	if f.retry.Fail(l.now()) {
		logrus.WithError(err).WithField("version", d.Version).Error("the policy is not kept for the next start: trying again")
		l.set.Record.Add("unsaved", audit.Fields{"version": d.Version.String(), "why": err.Error()})
	}
}

// adopt has the router go by a version, on its loop.
func (l *Node) adopt(d policy.Decision) {
	failpoint.Point("policy.adopt")
	err := l.router.ApplyPolicy(d.Version, d.Document)
	go l.post(func() {
		l.follow.follower.Advance(l.now())
		line := logrus.WithFields(logrus.Fields{"version": d.Version, "author": d.Version.Author, "reason": d.Version.Reason})
		if err != nil {
			line.WithError(err).Error("a policy that this router can't take")
			l.follow.follower.ApplyFailed(d.Version, err.Error())
			return
		}
		line.Info("goes by policy")
		l.follow.follower.Applied(d.Version)
	})
}

func (l *Node) fetch(q policy.Request, first bool) {
	ctx, cancel := context.WithTimeout(l.ctx, time.Duration(l.set.SessionTimeout/2*float64(time.Millisecond)))
	defer cancel()
	p, err := l.client.part(ctx, q, first)
	l.post(func() {
		f := l.follow
		f.follower.Advance(l.now())
		if f.failed = err != nil; err != nil {
			logrus.WithError(err).Debug("no part of the policy")
			f.follower.FetchFailed()
			return
		}
		f.follower.PartReceived(p)
	})
}
