// Package raftnode decides what one coordinator node does: Raft, by etcd's state machine, over the entries of the replicated lease state.
// It has neither clock nor socket nor disk. It owns the part of the log that is in memory, the lease state, the coordinator cluster's
// membership and the requests that wait for an answer. It must never do I/O or read a clock, and it never answers before what the answer
// rests on is durable.
//
// The driver passes in the time (Advance), messages (Step) and requests (Propose, Read, ChangeMembership), pulls decisions (Next), and
// calls Saved once what a Save decision holds is on disk. The simulation drives the same code over a simulated disk and network.
//
// Methods must not be called at the same time. Times are in ms.
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
	electionTicks       = 10 // etcd's own ratio: a heartbeat each tick, an election after ten without
	trailingEntries     = 64 // kept behind a snapshot, so that a follower that lags a little needs no snapshot
	maxPendingRequests  = 10000
	maxInflightMessages = 64      // to one peer without an acknowledgement
	maxMessageSize      = 1 << 18 // bytes of entries
	maxUncommittedSize  = 4 << 20 // bytes of entries that wait for a quorum
)

// SeededDefects are defects that tests plant to show that checkers find them; the program sets none of them.
type SeededDefects struct {
	EarlyAnswer bool // answers when an entry is proposed, not when it is committed
	StaleRead   bool // a leader answers reads without confirming that it still leads
}

// Settings configure a Node.
type Settings struct {
	Fleet, Name      string
	Peers            []Peer  // the initial members, this node among them; empty: it joins a cluster that exists
	Epoch            uint64  // of a new cluster; it must be above those of earlier ones
	KnownEpoch       uint64  // a new cluster's epoch is above this one too; guards against a wall clock that was stepped back; 0: none
	Tick             float64 // ms between heartbeats; an election begins after ten to twenty without
	SnapshotInterval uint64  // entries between two snapshots, at which the log is compacted
	Logger           raft.Logger
	SeededDefects    SeededDefects
}

// Stored is what a node reads from its disk. HardState and Snapshot are nil on a new one.
type Stored struct {
	HardState *raftpb.HardState
	Entries   []*raftpb.Entry
	Snapshot  *raftpb.Snapshot
}

// Action is the kind of a Decision.
type Action int

// What a driver does for each kind of decision.
const (
	Save          Action = iota // store HardState, Entries (replacing what is stored from the first one on) and Snapshot, synced; then call Saved
	Compact                     // store Snapshot and delete the entries before CompactBelow; nothing waits for it
	Send                        // send Message to another node
	Done                        // answer Request with Result
	Redirect                    // Request must go to Leader; its name is empty if none is known
	ResultUnknown               // Request may have been carried out or not
	LeaderChanged               // Leader leads now; its name is empty if nobody does
	Applied                     // Event was applied to the lease state
)

// Decision is one thing for the driver to do. Only the fields that its Action names are set.
type Decision struct {
	Action       Action
	HardState    *raftpb.HardState
	Entries      []*raftpb.Entry
	Snapshot     *raftpb.Snapshot
	CompactBelow uint64 // index
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
	err      error // why it can't go on

	peers          map[uint64]Peer
	removedPeers   []uint64
	confState      *raftpb.ConfState
	membersChanged bool // since the last snapshot

	applied       uint64 // index
	snapshotIndex uint64
	eventIndex    uint64 // of the latest event that a decision has reported

	now                float64
	lastTick           float64 // when it was due
	lastEntryTime      float64 // time up to which this leader's entries have counted elapsed time
	advanceTimePending bool    // an AdvanceTime entry of this leader isn't applied yet

	isLeader bool
	leader   uint64

	ready           *raft.Ready // handed out by a Save decision and not yet saved
	decisions       []Decision  // to be pulled by Next
	pending         map[uint64]bool
	pendingReads    map[uint64]uint64  // index that must be applied before the read is answered; 0: not known yet
	heartbeats      []pendingHeartbeat // proposed together at the next tick
	flushHeartbeats bool               // one of heartbeats can't wait for the tick
}

// New returns a node that continues from what was stored. If nothing was stored and Settings.Peers are given, it is a member of a new
// cluster, and initial is a Save decision that must be on disk before the node is used; no call of Saved answers it. It returns an error
// for settings that contradict each other and for stored data that can't be decoded or lacks committed entries.
func New(settings Settings, stored Stored) (node *Node, initial *Decision, err error) {
	if settings.SnapshotInterval == 0 || settings.Tick <= 0 || settings.Name == "" {
		return nil, nil, errors.New("council: name, tick and keep must be given")
	}
	settings.Peers = slices.Clone(settings.Peers)
	for i := range settings.Peers {
		settings.Peers[i].ID = ID(settings.Peers[i].Name)
	}
	if err := CheckPeers(settings.Name, settings.Peers); err != nil {
		return nil, nil, fmt.Errorf("council: %w", err)
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

// load fills the log in memory, and the lease state, from what was stored.
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
		return fmt.Errorf("council: stored up to %d though %d was committed: the folder is not whole", last, committed)
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

// Err returns why this node can't go on: an entry or a snapshot that it doesn't know or that is malformed, or a data directory that has
// lost what the node acknowledged. It is nil while the node works.
func (n *Node) Err() error { return n.err }

// Applied returns the index of the latest entry that is applied here; all entries up to it are committed.
func (n *Node) Applied() uint64 { return n.applied }

// State returns the lease state as far as it is applied here. The caller must neither change nor keep it.
func (n *Node) State() *leasestate.State { return n.state }

// IsLeader returns whether this node leads, as far as it knows, and its term.
func (n *Node) IsLeader() (bool, uint64) { return n.isLeader, n.raftNode.BasicStatus().GetTerm() }

// Step passes in a message of another node. A message that no correct node sends is an error and changes nothing.
func (n *Node) Step(message *raftpb.Message) error {
	if n.err != nil {
		return n.err
	}
	if message.GetTo() != n.id {
		return fmt.Errorf("a message for %d, this is %d", message.GetTo(), n.id)
	}
	if message.GetType() == raftpb.MsgSnap { // one that can't be decoded must not replace the log
		if _, _, err := DecodeSnapshot(n.settings.Fleet, message.GetSnapshot()); err != nil {
			return err
		}
	}
	// Guards against a data directory that has lost entries: etcd's raft panics where a peer counts on what this node had acknowledged and
	// no longer has. It must end this node alone, and say why.
	defer func() {
		if cause := recover(); cause != nil {
			n.err = fmt.Errorf("%w: %v", ErrDataLoss, panicText(cause))
		}
	}()
	return n.raftNode.Step(message)
}

// panicText returns the text of a panic; a logger's panics with a log entry.
func panicText(cause any) any {
	if entry, ok := cause.(interface{ String() (string, error) }); ok {
		if text, err := entry.String(); err == nil {
			return text
		}
	}
	return cause
}

// Unreachable passes in that messages to a node can't be delivered.
func (n *Node) Unreachable(id uint64) { n.raftNode.ReportUnreachable(id) }

// SnapshotSent passes in whether a snapshot was delivered to a node.
func (n *Node) SnapshotSent(id uint64, delivered bool) {
	result := raft.SnapshotFailure
	if delivered {
		result = raft.SnapshotFinish
	}
	n.raftNode.ReportSnapshot(id, result)
}
