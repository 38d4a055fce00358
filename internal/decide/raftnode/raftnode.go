// Package raftnode is the state machine of one coordinator node. It replicates the entries of the lease state (package leasestate) with
// etcd's Raft implementation, and owns the in-memory log, the lease state, the membership of the coordinator cluster and the pending
// requests. It never does I/O or reads a clock, and it never responds to a request before what the response depends on is durable.
//
// The driver passes in the time (Advance), messages (Step) and requests (Propose, Read, ChangeMembership), pulls decisions (Next), and
// calls Saved once the contents of a Save decision are on disk. The simulation drives the same code over a simulated disk and network.
//
// Methods must not be called concurrently. Times are in ms.
package raftnode

import (
	"errors"
	"fmt"
	"slices"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"wayloft/internal/decide/leasestate"
)

const (
	electionTicks       = 10 // etcd's default ratio: a heartbeat each tick, an election after ten ticks without one
	trailingEntries     = 64 // log entries kept before a snapshot, so that a follower with a small lag needs no snapshot
	maxPendingRequests  = 10000
	maxInflightMessages = 64      // unacknowledged messages to one peer
	maxMessageSize      = 1 << 18 // bytes of entries in one message
	maxUncommittedSize  = 4 << 20 // bytes of entries that no quorum has acknowledged yet
)

// SeededDefects enables defects with which tests show that the checkers detect them. The program never sets any.
type SeededDefects struct {
	EarlyResponse bool // responds when an entry is proposed instead of when it is committed
	StaleRead     bool // as leader, responds to reads without confirming its leadership
}

// Settings configure a Node.
type Settings struct {
	Fleet, Name      string
	Peers            []Peer  // initial members including this node; empty if it joins an existing cluster
	Epoch            uint64  // of a new cluster; must be higher than those of previous clusters
	KnownEpoch       uint64  // a new cluster's epoch is also above this one, in case the wall clock was stepped back; 0 if none is known
	Tick             float64 // ms between heartbeats; an election begins after 10 to 20 ticks without one
	SnapshotInterval uint64  // entries between two snapshots; each compacts the log
	Logger           raft.Logger
	SeededDefects    SeededDefects
}

// Stored is what a node reads from its data directory at startup. HardState and Snapshot are nil on a new node.
type Stored struct {
	HardState *raftpb.HardState
	Entries   []*raftpb.Entry
	Snapshot  *raftpb.Snapshot
}

// Action is the kind of a Decision.
type Action int

// The actions, with what the driver must do for each.
const (
	Save          Action = iota // store and sync HardState, Entries (replacing stored ones from the first index on) and Snapshot; then call Saved
	Compact                     // store Snapshot and delete the entries before CompactBelow; nothing depends on its completion
	Send                        // send Message to another node
	Done                        // complete Request with Result
	Redirect                    // redirect Request to Leader, whose name is empty if no leader is known
	ResultUnknown               // complete Request with an unknown result: it may or may not have been applied
	LeaderChanged               // the leader is now Leader, whose name is empty if there is none
	Applied                     // Event was applied to the lease state
)

// Decision is one instruction to the driver. Only the fields that its Action uses are set.
type Decision struct {
	Action       Action
	HardState    *raftpb.HardState
	Entries      []*raftpb.Entry
	Snapshot     *raftpb.Snapshot
	CompactBelow uint64 // log index
	Message      *raftpb.Message
	Request      uint64
	Result       leasestate.Result
	Leader       Peer
	Event        leasestate.Event
}

// Node is the state machine of one coordinator node.
type Node struct {
	settings Settings
	id       uint64
	raftNode *raft.RawNode
	log      *raft.MemoryStorage
	state    *leasestate.State
	err      error // why the node can't continue; nil while it works

	peers          map[uint64]Peer
	removedPeers   []uint64
	confState      *raftpb.ConfState
	membersChanged bool // since the last snapshot

	applied       uint64 // index of the last applied entry
	snapshotIndex uint64 // last index in the latest snapshot
	eventIndex    uint64 // index up to which events were reported by decisions

	now                float64
	lastTick           float64 // time at which the last tick was due
	lastEntryTime      float64 // time up to which the Elapsed fields of this leader's entries have accounted
	advanceTimePending bool    // this leader has proposed an AdvanceTime entry that isn't applied yet

	isLeader bool
	leader   uint64

	ready           *raft.Ready // returned by a Save decision and not yet saved
	decisions       []Decision  // to be returned by Next
	pending         map[uint64]bool
	pendingReads    map[uint64]uint64  // index that must be applied before the read completes; 0 if not known yet
	heartbeats      []pendingHeartbeat // to be proposed in one batch at the next tick
	flushHeartbeats bool               // one of the heartbeats can't wait for the next tick
}

// New returns a node that continues from the stored data. If nothing is stored and Settings.Peers is not empty, the node is a member of a
// new cluster, and initial is a Save decision that must be on disk before the node is used; Saved isn't called for it. New returns an error
// for inconsistent settings, and for stored data that can't be decoded or lacks committed entries.
func New(settings Settings, stored Stored) (node *Node, initial *Decision, err error) {
	if settings.SnapshotInterval == 0 || settings.Tick <= 0 || settings.Name == "" {
		return nil, nil, errors.New("raftnode: Settings.Name, Tick and SnapshotInterval must be given")
	}
	settings.Peers = slices.Clone(settings.Peers)
	for i := range settings.Peers {
		settings.Peers[i].ID = ID(settings.Peers[i].Name)
	}
	if err := CheckPeers(settings.Name, settings.Peers); err != nil {
		return nil, nil, fmt.Errorf("council.peers: %w", err)
	}
	if stored.HardState == nil && stored.Snapshot == nil && len(settings.Peers) > 0 {
		stored.Snapshot = InitialSnapshot(settings.Fleet, settings.Peers)
		stored.HardState = &raftpb.HardState{Term: proto.Uint64(1), Vote: proto.Uint64(0), Commit: proto.Uint64(1)}
		initial = &Decision{Action: Save, HardState: stored.HardState, Snapshot: stored.Snapshot}
	}
	node = &Node{
		settings: settings, id: ID(settings.Name), log: raft.NewMemoryStorage(), state: leasestate.New(settings.Fleet),
		peers: map[uint64]Peer{}, confState: &raftpb.ConfState{}, pending: map[uint64]bool{}, pendingReads: map[uint64]uint64{},
	}
	if err := node.load(stored); err != nil {
		return nil, nil, err
	}
	node.raftNode, err = raft.NewRawNode(node.raftConfig())
	return node, initial, err
}

// load restores the in-memory log and the lease state from the stored data.
func (n *Node) load(stored Stored) error {
	if stored.Snapshot != nil {
		if err := n.restore(stored.Snapshot); err != nil {
			return err
		}
		if err := n.log.ApplySnapshot(stored.Snapshot); err != nil {
			return err
		}
	}
	if stored.HardState != nil {
		if err := n.log.SetHardState(stored.HardState); err != nil {
			return err
		}
	}
	if err := n.log.Append(stored.Entries); err != nil {
		return err
	}
	last, err := n.log.LastIndex()
	if err != nil {
		return err
	}
	if committed := stored.HardState.GetCommit(); committed > last {
		return fmt.Errorf("raft log ends at index %d, before commit index %d: the data directory is incomplete", last, committed)
	}
	return nil
}

func (n *Node) raftConfig() *raft.Config {
	return &raft.Config{
		ID:                        n.id,
		ElectionTick:              electionTicks,
		HeartbeatTick:             1,
		Storage:                   n.log,
		Applied:                   n.applied,
		MaxSizePerMsg:             maxMessageSize,
		MaxInflightMsgs:           maxInflightMessages,
		MaxUncommittedEntriesSize: maxUncommittedSize,
		CheckQuorum:               true,
		PreVote:                   true,
		ReadOnlyOption:            raft.ReadOnlySafe,
		Logger:                    n.settings.Logger,
		DisableProposalForwarding: true,
		StepDownOnRemoval:         true,
	}
}

// Err returns the error because of which this node can't continue: an entry or a snapshot that is malformed or was written by a later build,
// or a data directory that has lost what the node acknowledged. It returns nil while the node works.
func (n *Node) Err() error { return n.err }

// Applied returns the index of the last entry that this node has applied. All entries up to it are committed.
func (n *Node) Applied() uint64 { return n.applied }

// State returns the lease state after the entries that this node has applied. The caller must neither modify nor retain it.
func (n *Node) State() *leasestate.State { return n.state }

// IsLeader reports whether this node considers itself the leader, and returns its term.
func (n *Node) IsLeader() (bool, uint64) { return n.isLeader, n.raftNode.BasicStatus().GetTerm() }

// Step passes in a message from another node. A message that no correct node sends is an error and changes nothing.
func (n *Node) Step(message *raftpb.Message) error {
	if n.err != nil {
		return n.err
	}
	if message.GetTo() != n.id {
		return fmt.Errorf("message is addressed to node %d, this is node %d", message.GetTo(), n.id)
	}
	if message.GetType() == raftpb.MsgSnap { // a snapshot that can't be decoded must not replace the log
		if _, _, err := DecodeSnapshot(n.settings.Fleet, message.GetSnapshot()); err != nil {
			return err
		}
	}
	// etcd's raft panics if a peer relies on entries that this node acknowledged and its data directory has lost since. The node stops with
	// an error that says so.
	defer func() {
		if cause := recover(); cause != nil {
			n.err = fmt.Errorf("%w: %v", ErrDataLoss, panicText(cause))
		}
	}()
	return n.raftNode.Step(message)
}

// panicText returns the text of a panic value. A logger panics with a log entry, whose text is its String method's.
func panicText(cause any) any {
	if entry, ok := cause.(interface{ String() (string, error) }); ok {
		if text, err := entry.String(); err == nil {
			return text
		}
	}
	return cause
}

// Unreachable reports that messages to a node can't be delivered.
func (n *Node) Unreachable(id uint64) { n.raftNode.ReportUnreachable(id) }

// SnapshotSent reports whether a snapshot was delivered to a node.
func (n *Node) SnapshotSent(id uint64, delivered bool) {
	result := raft.SnapshotFailure
	if delivered {
		result = raft.SnapshotFinish
	}
	n.raftNode.ReportSnapshot(id, result)
}
