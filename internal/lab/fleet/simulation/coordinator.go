package simulation

import (
	"slices"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"wayloft/internal/decide/lease"
	"wayloft/internal/decide/raftnode"
)

const (
	// How long a write to a coordinator node's disk takes, in ms: the minimum, and the mean of an exponentially distributed extra.
	minSaveMs       = 0.3
	meanExtraSaveMs = 0.5
	// unsavedWriteDelayMs is how long after the acknowledgement the disk write happens with the seeded defect AcknowledgeUnsaved.
	unsavedWriteDelayMs = 50
	// snapshotMs is how long it takes to send a snapshot.
	snapshotMs = 20
	// snapshotInterval is the number of log entries between two snapshots.
	snapshotInterval = 200
	// keepaliveIntervalMs is the time between two empty updates of a policy watch.
	keepaliveIntervalMs = 1000
)

// coordinatorState is the state that only coordinator nodes have.
type coordinatorState struct {
	node        *raftnode.Node
	disk        raftnode.Stored
	diskDelayMs float64 // extra latency of disk writes; 0: none
	dataLost    bool    // its data directory is lost permanently
	joining     bool    // it replaces another node
	requesters  map[uint64]requester
	tokenReads  map[uint64][]string // by request: the leases whose latest tokens are read
}

// requester is the process that is waiting for the response to a request.
type requester struct {
	process     *Process
	incarnation int
	request     uint64
	onDecision  func(raftnode.Decision) // handles the decision; nil: the lease client does
}

func (p *Process) startCoordinator() {
	p.requesters, p.tokenReads = map[uint64]requester{}, map[uint64][]string{}
	p.watchers, p.pushedIndex, p.pushPending, p.chunks = nil, 0, false, nil
	node, first, err := raftnode.New(raftnode.Settings{
		Fleet:            "f",
		Name:             p.Name,
		Peers:            p.initialPeers(),
		Epoch:            p.world.epoch(),
		Tick:             tickMs,
		SnapshotInterval: snapshotInterval,
		Logger:           p.world.logger,
		SeededDefects:    p.world.options.SeededDefects.Coordinator,
	}, p.disk)
	if err != nil {
		p.world.violation("%s failed to start: %v", p.Name, err)
		p.up = false
		return
	}
	if first != nil {
		p.save(*first)
	}
	p.node = node
	node.Advance(p.clock())
	if p.world.options.Policy != nil {
		p.later(keepaliveIntervalMs, p.sendKeepalives)
	}
}

// initialPeers returns the peers of a new cluster; a node that joins later starts without any.
func (p *Process) initialPeers() (peers []raftnode.Peer) {
	for _, other := range p.world.Coordinators {
		if !other.joining && !p.joining {
			peers = append(peers, raftnode.Peer{Name: other.Name})
		}
	}
	return peers
}

// epoch returns the epoch of a cluster that is created now.
func (w *World) epoch() uint64 {
	if w.options.SeededDefects.SameEpoch {
		return 1
	}
	return 1 + uint64(w.Now/1000)
}

// save writes a decision's snapshot, entries and hard state to the node's disk. It copies them, as a real disk would.
func (p *Process) save(d raftnode.Decision) {
	if d.Snapshot != nil && d.Snapshot.GetMetadata().GetIndex() > 0 {
		p.disk.Snapshot = proto.Clone(d.Snapshot).(*raftpb.Snapshot)
		last := d.Snapshot.GetMetadata().GetIndex()
		if d.Action == raftnode.Compact {
			last = d.CompactBelow - 1
		}
		p.disk.Entries = slices.DeleteFunc(p.disk.Entries, func(e *raftpb.Entry) bool { return e.GetIndex() <= last })
	}
	if len(d.Entries) > 0 {
		first := d.Entries[0].GetIndex()
		p.disk.Entries = slices.DeleteFunc(p.disk.Entries, func(e *raftpb.Entry) bool { return e.GetIndex() >= first })
		for _, e := range d.Entries {
			p.disk.Entries = append(p.disk.Entries, proto.Clone(e).(*raftpb.Entry))
		}
	}
	if d.HardState != nil {
		p.disk.HardState = proto.Clone(d.HardState).(*raftpb.HardState)
	}
}

// executeCoordinatorDecisions executes the Raft node's pending decisions.
func (p *Process) executeCoordinatorDecisions() {
	w := p.world
	for d, more := p.node.Next(); more; d, more = p.node.Next() {
		switch d.Action {
		case raftnode.Save:
			p.saveLater(d)
		case raftnode.Compact:
			p.save(d)
		case raftnode.Send:
			p.sendToPeer(d.Message)
		case raftnode.Done, raftnode.Redirect, raftnode.ResultUnknown:
			p.respond(d)
		case raftnode.LeaderChanged:
			if d.Leader.Name == p.Name {
				w.Elections++
			}
		case raftnode.Applied:
			if leads, _ := p.node.IsLeader(); leads {
				w.eventApplied(d.Event)
			}
		}
	}
	if err := p.node.Err(); err != nil {
		w.violation("%s: %v", p.Name, err)
		p.Kill()
		return
	}
	if w.policyRun != nil {
		p.pushChanges()
	}
}

func (p *Process) saveLater(d raftnode.Decision) {
	if p.world.options.SeededDefects.AcknowledgeUnsaved {
		p.node.Saved()
		p.later(unsavedWriteDelayMs, func() { p.save(d) })
		return
	}
	p.later(minSaveMs+p.world.rand.ExpFloat64()*meanExtraSaveMs+p.diskDelayMs, func() {
		p.save(d)
		p.node.Saved()
	})
}

func (p *Process) sendToPeer(message *raftpb.Message) {
	peer, _ := p.node.Peer(message.GetTo())
	to := p.world.processes[peer.Name]
	if to == nil {
		return
	}
	message = proto.Clone(message).(*raftpb.Message)
	p.world.send(p, to, proto.Size(message), func() {
		if to.node != nil {
			_ = to.node.Step(message) // rejects a response of a node that has been removed since
		}
	})
	if message.GetType() == raftpb.MsgSnap {
		p.later(snapshotMs, func() { p.node.SnapshotSent(message.GetTo(), true) })
	}
}

// respond sends the response to a request, with the tokens that it reads.
func (p *Process) respond(d raftnode.Decision) {
	to, waiting := p.requesters[d.Request]
	if !waiting {
		return
	}
	delete(p.requesters, d.Request)
	var tokens []lease.Token
	if names, read := p.tokenReads[d.Request]; read {
		delete(p.tokenReads, d.Request)
		if d.Action == raftnode.Done {
			for _, name := range names {
				tokens = append(tokens, p.node.State().LatestToken(name))
			}
		}
	}
	p.world.send(p, to.process, responseBytes, func() {
		if to.onDecision != nil {
			to.onDecision(d)
			return
		}
		if to.process.incarnation == to.incarnation && to.process.client != nil {
			to.process.responseReceived(to.request, d, tokens)
		}
	})
}
