package simulation

import (
	"math"
	"slices"

	"wayloft/internal/decide/leaseclient"
	"wayloft/internal/decide/policy"
	"wayloft/internal/rpc"
)

const (
	// A watch without a message for watchTimeoutMs is replaced; that is checked at watchCheckMs intervals.
	watchTimeoutMs = 4000
	watchCheckMs   = 500
	// A watch of which a message is missing is replaced after this time, ms: the least, and the most that is drawn on top.
	minResubscribeMs    = 150
	resubscribeJitterMs = 300
	fetchTimeoutMs      = 1000
	// How long a router takes to apply a version, ms: the least, and the mean of what is drawn on top. Storing it is the same.
	minApplyMs       = 0.1
	meanExtraApplyMs = 3
	minStoreMs       = 1
	meanExtraStoreMs = 5
)

// policyState is what the policy needs of a router, and of a coordinator node.
type policyState struct {
	policy        *policyRouter
	stored        storedPolicy // on the router's disk
	storeTampered bool         // a fault changed it
	policyServer
}

// policyRouter is a router's policy follower and its watch.
type policyRouter struct {
	follower         *policy.Follower
	version          policy.Version // that the router applied last
	document         policy.Document
	coordinator      *Process // of the watch
	stream           int      // of the watch
	sequence         int      // of the last message of the watch
	incompleteStream int      // the last watch of which a message was missing
	lastMessageMs    float64
	fetches          int     // numbers fetches; a response to an earlier one is dropped
	nextWakeMs       float64 // when the follower's clock is advanced next
	lastApplyMs      float64 // when the version that is being applied will be
}

// storedPolicy is what a router has on its disk.
type storedPolicy struct {
	version  policy.Version
	document policy.Document
}

func (p *Process) startPolicyRouter() {
	number := uint64(slices.Index(p.world.Routers, p))
	p.policy = &policyRouter{follower: policy.NewFollower(policy.Settings{
		Seed:          p.world.options.Seed<<20 ^ uint64(p.starts)<<12 ^ number,
		Decompress:    rpc.Decompress,
		SeededDefects: p.world.options.SeededDefects.Policy,
	})}
	p.policy.follower.Advance(p.clock())
	p.policy.follower.Stored(p.stored.version, p.stored.document)
	p.subscribe()
	p.checkWatchTimeout()
}

// subscribe starts a watch at some coordinator node and ends the one before.
func (p *Process) subscribe() {
	w, r := p.world, p.policy
	if old := r.coordinator; old != nil {
		stream := r.stream
		w.send(p, old, unsubscriptionBytes, func() {
			old.watchers = slices.DeleteFunc(old.watchers, func(one *watcher) bool { return one.process == p && one.stream == stream })
		})
	}
	w.lastStream++
	r.stream, r.sequence, r.lastMessageMs = w.lastStream, 0, w.Now
	coordinator := w.randomCoordinator()
	r.coordinator = coordinator
	added := &watcher{process: p, incarnation: p.incarnation, stream: r.stream}
	w.send(p, coordinator, watchBytes, func() {
		coordinator.watchers = slices.DeleteFunc(coordinator.watchers, func(old *watcher) bool { return old.process == p })
		coordinator.watchers = append(coordinator.watchers, added)
		coordinator.sendChanges(added)
	})
}

// checkWatchTimeout replaces a watch that no message came from.
func (p *Process) checkWatchTimeout() {
	p.later(watchCheckMs, func() {
		if p.world.Now-p.policy.lastMessageMs > watchTimeoutMs {
			p.subscribe()
		}
		p.checkWatchTimeout()
	})
}

// updateReceived handles a message of a watch. A missing one has the watch replaced; announcements count in any order.
func (p *Process) updateReceived(stream, sequence int, update leaseclient.Update) {
	r := p.policy
	if stream == r.stream {
		r.lastMessageMs = p.world.Now
		if sequence > r.sequence+1 && r.incompleteStream != stream {
			r.incompleteStream = stream
			p.later(minResubscribeMs+p.world.rand.Float64()*resubscribeJitterMs, p.subscribe)
		} else if sequence == r.sequence+1 {
			p.client.UpdateReceived(update)
		}
		r.sequence = max(r.sequence, sequence)
	}
	r.follower.Advance(p.clock())
	for _, announced := range update.Policies {
		r.follower.VersionAnnounced(announced.Version, announced.Difference)
	}
}

// executePolicyDecisions carries out what the follower decides.
func (p *Process) executePolicyDecisions() {
	w, r := p.world, p.policy
	r.follower.Advance(p.clock())
	for d, more := r.follower.Next(); more; d, more = r.follower.Next() {
		switch d.Action {
		case policy.Apply:
			p.applyLater(d)
		case policy.Acknowledge:
			if d.Applied > r.version.Packed() {
				w.violation("%s acknowledges %s and applied %s", p.Name, policy.FormatPacked(d.Applied), r.version)
			}
			p.client.PolicyApplied(d.Applied, d.Rejected, d.Reason)
		case policy.Store:
			p.later(minStoreMs+w.rand.ExpFloat64()*meanExtraStoreMs, func() {
				p.stored, p.storeTampered = storedPolicy{d.Version, d.Document}, false
			})
		case policy.Fetch:
			p.fetchPolicy(d.Request)
		}
	}
	p.scheduleWake()
}

// applyLater applies a version, in the order in which the follower decided so.
func (p *Process) applyLater(d policy.Decision) {
	w, r := p.world, p.policy
	r.lastApplyMs = max(r.lastApplyMs, w.Now+minApplyMs+w.rand.ExpFloat64()*meanExtraApplyMs)
	p.later(r.lastApplyMs-w.Now, func() {
		w.versionApplied(p, d.Version, d.Document)
		r.follower.Advance(p.clock())
		r.follower.Applied(d.Version)
	})
}

// scheduleWake advances the follower's clock at its next deadline.
func (p *Process) scheduleWake() {
	w, r := p.world, p.policy
	at := w.Now + max(r.follower.NextDeadline()-p.clock(), 1)
	if r.nextWakeMs > w.Now && at >= r.nextWakeMs {
		return
	}
	r.nextWakeMs = at
	if !math.IsInf(at, 1) {
		p.later(at-w.Now, func() {})
	}
}

// fetchPolicy asks for a part, mostly from the coordinator node of the watch.
func (p *Process) fetchPolicy(request policy.Request) {
	w, r := p.world, p.policy
	coordinator := r.coordinator
	if w.rand.IntN(3) == 0 {
		coordinator = w.randomCoordinator()
	}
	r.fetches++
	number := r.fetches
	ended := func() bool {
		if p.policy != r || r.fetches != number {
			return true
		}
		r.fetches++
		r.follower.Advance(p.clock())
		return false
	}
	w.send(p, coordinator, fetchBytes, func() {
		part, known := coordinator.servePart(request)
		w.send(coordinator, p, len(part.Bytes)+fetchBytes, func() {
			switch {
			case ended():
			case !known:
				r.follower.FetchFailed()
			default:
				w.Fetched++
				r.follower.PartReceived(part)
			}
		})
	})
	p.later(fetchTimeoutMs, func() {
		if !ended() {
			r.follower.FetchFailed()
		}
	})
}
