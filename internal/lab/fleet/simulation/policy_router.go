package simulation

import (
	"math"
	"slices"

	"wayloft/internal/decide/leaseclient"
	"wayloft/internal/decide/policy"
	"wayloft/internal/rpc"
)

const (
	// A watch that has received no message for watchTimeoutMs is replaced; this is checked at watchCheckMs intervals.
	watchTimeoutMs = 4000
	watchCheckMs   = 500
	// The delay before a watch with a gap in its messages is replaced, in ms: the minimum, and the maximum of a uniformly distributed extra.
	minResubscribeMs    = 150
	resubscribeJitterMs = 300
	fetchTimeoutMs      = 1000
	// How long a router takes to apply a version, and to store it, in ms: the minimum, and the mean of an exponentially distributed extra.
	minApplyMs       = 0.1
	meanExtraApplyMs = 3
	minStoreMs       = 1
	meanExtraStoreMs = 5
)

// policyState is the state of a router and of a coordinator node that policy distribution needs.
type policyState struct {
	policy        *policyRouter
	stored        storedPolicy // on the router's disk
	storeTampered bool         // a fault replaced the stored document
	policyServer
}

// policyRouter is a router's policy follower and its watch.
type policyRouter struct {
	follower         *policy.Follower
	version          policy.Version // latest that the router applied
	document         policy.Document
	coordinator      *Process // node that serves the watch
	stream           int      // of the watch
	sequence         int      // of the last message of the watch
	incompleteStream int      // the latest watch with a gap in its messages
	lastMessageMs    float64
	fetches          int     // number of the current fetch; responses to earlier ones are dropped
	nextWakeMs       float64 // when the follower's clock advances next
	lastApplyMs      float64 // when the latest scheduled version is applied
}

// storedPolicy is the policy version that a router has stored on its disk.
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

// subscribe starts a watch at a random coordinator node and ends the previous one.
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

// checkWatchTimeout periodically replaces a watch that has received no message for watchTimeoutMs.
func (p *Process) checkWatchTimeout() {
	p.later(watchCheckMs, func() {
		if p.world.Now-p.policy.lastMessageMs > watchTimeoutMs {
			p.subscribe()
		}
		p.checkWatchTimeout()
	})
}

// updateReceived handles a message of a watch. A gap in the sequence causes the watch to be replaced. Announced versions are
// passed to the follower in any order, including those of earlier watches.
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

// executePolicyDecisions executes the policy follower's pending decisions.
func (p *Process) executePolicyDecisions() {
	w, r := p.world, p.policy
	r.follower.Advance(p.clock())
	for d, more := r.follower.Next(); more; d, more = r.follower.Next() {
		switch d.Action {
		case policy.Apply:
			p.applyLater(d)
		case policy.Acknowledge:
			if d.Applied > r.version.Packed() {
				w.violation("%s acknowledged %s but has applied only %s", p.Name, policy.FormatPacked(d.Applied), r.version)
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

// applyLater applies a version after a delay. Versions are applied in the order of the decisions.
func (p *Process) applyLater(d policy.Decision) {
	w, r := p.world, p.policy
	r.lastApplyMs = max(r.lastApplyMs, w.Now+minApplyMs+w.rand.ExpFloat64()*meanExtraApplyMs)
	p.later(r.lastApplyMs-w.Now, func() {
		w.versionApplied(p, d.Version, d.Document)
		r.follower.Advance(p.clock())
		r.follower.Applied(d.Version)
	})
}

// scheduleWake schedules the follower's clock to advance at its next deadline.
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

// fetchPolicy requests a part from the coordinator node of the watch, or in a third of the cases from a random one.
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
