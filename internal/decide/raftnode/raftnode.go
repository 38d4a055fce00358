// Package raftnode decides what one coordinator node does: Raft over the replicated state's entries, by etcd's state machine,
// which has neither clock nor socket nor disk. It owns the log as far as it is in memory, the replicated state, the coordinator's own
// members and who waits for what; it must never do I/O, read a clock, or answer before what it answers is durable.
//
// The host feeds it time, messages and requests, pulls decisions, and calls Saved once what a Save holds is on disk. The
// stepped twin runs the same code over a disk and a network of its own.
package raftnode

import (
	"cmp"
	"errors"
	"fmt"
	"hash/fnv"
	"maps"
	"slices"
	"strings"

	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"wayloft/internal/decide/leasestate"
)

const (
	electionTicks = 10 // etcd's own ratio: a heartbeat each tick, an election after ten without
	tail          = 64 // entries kept behind a snapshot, so that who is a little behind needs none
	mostPending   = 10000
	mostBeats     = 512     // names in one entry
	waitPart      = 16      // a beat waits for the tick only where that is less than this part of its session's length: its asker waits a quarter
	mostPassed    = 60000   // ms in one entry, the replicated state's own bound
	inFlight      = 64      // messages to one process without an answer
	sizePerMsg    = 1 << 18 // bytes
	uncommitted   = 4 << 20 // bytes of entries that wait for a majority
	mostGone      = 1000
	mostFindings  = 50         // told of one proposal
	mostPeers     = 9          // of a coordinator: more only make it slower
	format        = uint64(1)  // of the snapshot
	catchUp       = uint64(64) // entries that a process may lack and still be called level
)

// Peer is a coordinator node.
type Peer struct {
	ID   uint64 `cbor:"1,keyasint"`
	Name string `cbor:"2,keyasint"`
	Addr string `cbor:"3,keyasint"`
}

// ID gives a process's number from its name.
func ID(name string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(name))
	return cmp.Or(h.Sum64(), 1)
}

// SeededDefects are defects that tests plant, to show that checkers find them; none is ever set in the program.
type SeededDefects struct {
	EarlyAnswer bool // answers when an entry is taken in, not when it is committed
	StaleRead   bool // a leader answers reads without asking whether it still is one
}

// Settings are given once. Times are ms.
type Settings struct {
	Fleet, Name   string
	Peers         []Peer  // who begins the coordinator, this process among them; empty: it joins one that has begun
	Epoch         uint64  // in which a coordinator begins that never had a leader: Unix seconds, so that it is above those before it
	Above         uint64  // an epoch known to have been: the first one is above it also where the wall clock was stepped back; 0: none
	Tick          float64 // heartbeat; elections come after ten to twenty of them
	Keep          uint64  // entries until a snapshot is taken and the log is cut
	Log           raft.Logger
	SeededDefects SeededDefects
}

// Stored is what a process had on its disk.
type Stored struct {
	HardState *raftpb.HardState
	Entries   []*raftpb.Entry
	Snapshot  *raftpb.Snapshot
}

// Action tells what the host is to do.
type Action int

const (
	Save          Action = iota // store Hard, Entries (in place of what is stored from the first of them on) and Snapshot, synced; then Saved
	Compact                     // store Snapshot, and drop what is stored before Below; no answer waits for it
	Send                        // Message to another process
	Done                        // request Number has its Answer
	Redirect                    // request Number must go to the process Leader; empty: none is known
	ResultUnknown               // request Number may have been taken or not
	LeaderChanged               // Leader leads, or nobody does
	Applied                     // Event has become so
)

// Decision is one thing for the host to do; only the fields of its verb are set.
type Decision struct {
	Action       Action
	HardState    *raftpb.HardState
	Entries      []*raftpb.Entry
	Snapshot     *raftpb.Snapshot
	CompactBelow uint64
	Message      *raftpb.Message
	Request      uint64
	Result       leasestate.Result
	Leader       Peer
	Event        leasestate.Event
}

// Node is one process's part.
type Node struct {
	set     Settings
	id      uint64
	raw     *raft.RawNode
	mem     *raft.MemoryStorage
	reg     *leasestate.State
	peers   map[uint64]Peer
	gone    []uint64
	conf    *raftpb.ConfState
	applied uint64
	snapAt  uint64
	now     float64
	tickAt  float64 // when the last tick was due
	stamped float64 // when the leader's latest entry was timed
	ticking bool    // a Tick of this leader's is not applied yet
	leads   bool
	leader  uint64
	ready   *raft.Ready // handed out by Save, not yet saved
	pending map[uint64]bool
	reads   map[uint64]uint64 // by the read's number: the index that must be applied; 0: not known yet
	beats   []beat            // wait for the tick
	hurry   bool              // one of beats can't
	out     []Decision
	changed bool   // the coordinator's members have, since the last snapshot
	events  uint64 // index of the latest that was told
	failed  error  // an entry that this build doesn't know
}

type beat struct {
	number uint64
	leasestate.Heartbeat
}

// record is one entry of the log: what becomes of the replicated state, and who waits for it.
type record struct {
	By     uint64   `cbor:"1,keyasint"` // the process that took it
	Number uint64   `cbor:"2,keyasint"`
	Entry  []byte   `cbor:"3,keyasint"`
	Also   []uint64 `cbor:"4,keyasint,omitempty"` // further requests that this one entry answers
}

// image is a snapshot.
type image struct {
	Format   uint64          `cbor:"1,keyasint"`
	Peers    map[uint64]Peer `cbor:"2,keyasint"`
	Register []byte          `cbor:"3,keyasint"`
	Gone     []uint64        `cbor:"4,keyasint"` // who left: their numbers are not given again
}

var coding = func() cbor.EncMode {
	m, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return m
}()

func encode(v any) []byte {
	b, err := coding.Marshal(v)
	if err != nil {
		panic(err) // numbers, strings and bytes alone
	}
	return b
}

// DecodeSnapshot reads a snapshot: the coordinator's own members, and the replicated state.
func DecodeSnapshot(fleet string, snapshot *raftpb.Snapshot) (map[uint64]Peer, *leasestate.State, error) {
	i, reg, err := unpack(fleet, snapshot)
	return i.Peers, reg, err
}

func unpack(fleet string, snapshot *raftpb.Snapshot) (i image, reg *leasestate.State, err error) {
	if err := cbor.Unmarshal(snapshot.GetData(), &i); err != nil {
		return i, nil, fmt.Errorf("snapshot: %w: %w", leasestate.ErrMalformed, err)
	}
	if i.Format > format {
		return i, nil, fmt.Errorf("snapshot: %w: format %d, this build knows %d", leasestate.ErrNewerVersion, i.Format, format)
	}
	reg, err = leasestate.Restore(fleet, i.Register)
	return i, reg, err
}

// EncodeSnapshot makes a snapshot's data.
func EncodeSnapshot(peers map[uint64]Peer, gone []uint64, reg *leasestate.State) []byte {
	return encode(image{Format: format, Peers: peers, Register: reg.Snapshot(), Gone: gone})
}

// InitialSnapshot is the snapshot with which a coordinator begins: the same at each of those who begin it. Its epoch is the first leader's
// to say.
func InitialSnapshot(fleet string, peers []Peer) *raftpb.Snapshot {
	conf := &raftpb.ConfState{}
	all := map[uint64]Peer{}
	for _, p := range peers {
		all[p.ID] = p
		conf.Voters = append(conf.Voters, p.ID)
	}
	slices.Sort(conf.Voters)
	return &raftpb.Snapshot{Data: EncodeSnapshot(all, nil, leasestate.NewUninitialized(fleet)),
		Metadata: &raftpb.SnapshotMetadata{ConfState: conf, Index: proto.Uint64(1), Term: proto.Uint64(1)}}
}

// CheckPeers says what is wrong with who begins a coordinator.
func CheckPeers(name string, peers []Peer) error {
	ids, names := map[uint64]string{}, map[string]bool{}
	for _, p := range peers {
		if other, taken := ids[p.ID]; taken {
			return fmt.Errorf("peers %q and %q have one number: rename one", other, p.Name)
		}
		ids[p.ID], names[p.Name] = p.Name, true
	}
	switch {
	case len(peers) > mostPeers:
		return fmt.Errorf("%d processes, %d at most", len(peers), mostPeers)
	case len(peers) > 0 && !names[name]:
		return fmt.Errorf("%q is not among those who begin the council", name)
	}
	return nil
}

// New makes a process from what it had stored. fresh is a Save that must be on disk before anything else, where nothing was.
func New(set Settings, stored Stored) (n *Node, fresh *Decision, err error) {
	if set.Keep == 0 || set.Tick <= 0 || set.Name == "" {
		return nil, nil, errors.New("council: name, tick and keep must be given")
	}
	set.Peers = slices.Clone(set.Peers)
	for i := range set.Peers {
		set.Peers[i].ID = ID(set.Peers[i].Name)
	}
	if err := CheckPeers(set.Name, set.Peers); err != nil {
		return nil, nil, fmt.Errorf("council: %w", err)
	}
	n = &Node{set: set, id: ID(set.Name), mem: raft.NewMemoryStorage(), reg: leasestate.New(set.Fleet), peers: map[uint64]Peer{},
		conf: &raftpb.ConfState{}, pending: map[uint64]bool{}, reads: map[uint64]uint64{}}
	if stored.HardState == nil && stored.Snapshot == nil && len(set.Peers) > 0 {
		stored.Snapshot = InitialSnapshot(set.Fleet, set.Peers)
		stored.HardState = &raftpb.HardState{Term: proto.Uint64(1), Vote: proto.Uint64(0), Commit: proto.Uint64(1)}
		fresh = &Decision{Action: Save, HardState: stored.HardState, Snapshot: stored.Snapshot}
	}
	if stored.Snapshot != nil {
		if err := n.restore(stored.Snapshot); err != nil {
			return nil, nil, err
		}
		if err := n.mem.ApplySnapshot(stored.Snapshot); err != nil {
			return nil, nil, err
		}
	}
	if stored.HardState != nil {
		if err := n.mem.SetHardState(stored.HardState); err != nil {
			return nil, nil, err
		}
	}
	if err := n.mem.Append(stored.Entries); err != nil {
		return nil, nil, err
	}
	last, _ := n.mem.LastIndex()
	if stored.HardState.GetCommit() > last {
		return nil, nil, fmt.Errorf("council: stored up to %d though %d was committed: the folder is not whole", last, stored.HardState.GetCommit())
	}
	n.raw, err = raft.NewRawNode(&raft.Config{ID: n.id, ElectionTick: electionTicks, HeartbeatTick: 1, Storage: n.mem,
		Applied: n.applied, MaxSizePerMsg: sizePerMsg, MaxInflightMsgs: inFlight, MaxUncommittedEntriesSize: uncommitted,
		CheckQuorum: true, PreVote: true, ReadOnlyOption: raft.ReadOnlySafe, Logger: set.Log, DisableProposalForwarding: true,
		StepDownOnRemoval: true})
	return n, fresh, err
}

func (n *Node) restore(s *raftpb.Snapshot) error {
	i, reg, err := unpack(n.set.Fleet, s)
	if err != nil {
		return err
	}
	n.peers, n.gone, n.reg, n.conf = i.Peers, i.Gone, reg, s.GetMetadata().GetConfState()
	n.applied, n.snapAt = s.GetMetadata().GetIndex(), s.GetMetadata().GetIndex()
	n.events = n.reg.Index()
	return nil
}

// Advance sets the time, in ms on a clock that also runs while the machine sleeps.
func (n *Node) Advance(now float64) {
	if n.tickAt == 0 {
		n.tickAt, n.now = now, now
	}
	n.now = max(n.now, now)
	// A process that stood still doesn't make up for all it missed: its peers' words, already waiting, must count first.
	stood := n.now-n.tickAt > 3*n.set.Tick
	if stood {
		n.tickAt = n.now - n.set.Tick
	}
	ticked := false
	for n.now-n.tickAt >= n.set.Tick {
		n.tickAt, ticked = n.tickAt+n.set.Tick, true
		n.raw.Tick()
	}
	if !n.leads {
		return
	}
	if stood { // it may have missed what sessions said meanwhile: as a new leader, it gives them their whole length
		n.lead()
	}
	left, any := n.reg.UntilExpiry()
	// A beat that came in time must not find its session ended by the time that passed while it waited. A tick beyond the next, for
	// what is proposed and not applied: it has passed time that left still counts.
	if ticked || n.hurry || any && n.NextDeadline()+n.set.Tick-n.stamped > float64(left) {
		n.flush()
	}
	if any && !n.ticking && n.now-n.stamped > float64(left) {
		n.ticking = n.propose(leasestate.Entry{Kind: leasestate.AdvanceTime}, 0, nil) == nil
	}
}

// NextDeadline is when At must be called again at the latest.
func (n *Node) NextDeadline() float64 { return n.tickAt + n.set.Tick }

// Step takes in a message of another process. One that no sound process sends is an error and changes nothing.
func (n *Node) Step(m *raftpb.Message) error {
	if n.failed != nil {
		return n.failed
	}
	if m.GetTo() != n.id {
		return fmt.Errorf("a message for %d, this is %d", m.GetTo(), n.id)
	}
	if m.GetType() == raftpb.MsgSnap { // what can't be read must not come between a log and its state
		if _, _, err := DecodeSnapshot(n.set.Fleet, m.GetSnapshot()); err != nil {
			return err
		}
	}
	// The engine panics where a peer counts on what this process had acknowledged and no longer has: its folder has lost
	// something. That must end this process, with words, and no other.
	defer func() {
		if p := recover(); p != nil {
			n.failed = fmt.Errorf("council: the folder has lost what was acknowledged: %v", words(p))
		}
	}()
	return n.raw.Step(m)
}

func words(p any) any {
	if s, is := p.(interface{ String() (string, error) }); is { // a logger's entry
		text, _ := s.String()
		return text
	}
	return p
}

// Unreachable says that messages to a process don't get there.
func (n *Node) Unreachable(id uint64) { n.raw.ReportUnreachable(id) }

// SnapshotSent says whether a snapshot got there.
func (n *Node) SnapshotSent(id uint64, arrived bool) {
	n.raw.ReportSnapshot(id, map[bool]raft.SnapshotStatus{true: raft.SnapshotFinish, false: raft.SnapshotFailure}[arrived])
}

// Propose has an entry proposed for request number, which no other has had. Each request ends by Done, Moved or Lost, once.
func (n *Node) Propose(number uint64, e leasestate.Entry) {
	switch {
	case !n.leads:
		n.moved(number)
	case len(n.pending) >= mostPending:
		n.out = append(n.out, Decision{Action: ResultUnknown, Request: number}) // a refusal would say that somebody else holds what was asked for
	case e.Kind == leasestate.KeepAlive:
		n.pending[number] = true
		n.beats = append(n.beats, beat{number, leasestate.Heartbeat{Session: e.Session, Incarnation: e.Incarnation, RejectedActs: e.RejectedActs,
			Policy: e.Policy, RejectedPolicy: e.RejectedPolicy, Reason: e.Reason}})
		if s, open := n.reg.Session(e.Session); !open || float64(s.Timeout) < waitPart*n.set.Tick {
			n.hurry = true
		}
	case e.Kind == leasestate.ProposePolicy && refused(e) != "":
		n.out = append(n.out, Decision{Action: Done, Request: number, Result: leasestate.Result{Refusal: leasestate.Refusal(refused(e))}})
	default:
		n.flush() // what came before it counts before it
		n.pending[number] = true
		if err := n.propose(e, number, nil); err != nil {
			delete(n.pending, number)
			n.out = append(n.out, Decision{Action: ResultUnknown, Request: number})
		} else if n.set.SeededDefects.EarlyAnswer {
			delete(n.pending, number)
			n.out = append(n.out, Decision{Action: Done, Request: number, Result: n.preview(e)})
		}
	}
}

// refused tells all that keeps a proposal's fields from being changed. It is asked before the proposal gets into the log: there
// each build must make the same of it, whatever it knows of fields.
func refused(e leasestate.Entry) string {
	var all []string
	for _, f := range e.Proposal.Difference.Judge() {
		if all = append(all, f.Field+": "+f.Reason); len(all) == mostFindings {
			all = append(all, "and more")
			break
		}
	}
	return strings.Join(all, "\n")
}

// preview answers an entry as if it were committed; a seeded defect.
func (n *Node) preview(e leasestate.Entry) leasestate.Result {
	r, err := leasestate.Restore(n.set.Fleet, n.reg.Snapshot())
	if err != nil {
		return leasestate.Result{Refusal: leasestate.Refusal(err.Error())}
	}
	return r.Apply(r.Index()+1, e)
}

// flush proposes the beats that came since the last tick as entries of many: each of its own would have a coordinator of three
// write hundreds of entries a second for a fleet of hundreds. A host asks At at each input, so that At must not flush each time.
func (n *Node) flush() {
	n.hurry = false
	for len(n.beats) > 0 {
		some := n.beats[:min(len(n.beats), mostBeats)]
		n.beats = n.beats[len(some):]
		e := leasestate.Entry{Kind: leasestate.KeepAliveAll}
		var also []uint64
		for _, b := range some {
			e.Heartbeats, also = append(e.Heartbeats, b.Heartbeat), append(also, b.number)
		}
		if n.propose(e, 0, also) != nil {
			for _, b := range also {
				n.lose(b)
			}
		}
	}
}

// propose times an entry by this leader's clock and hands it to Raft.
func (n *Node) propose(e leasestate.Entry, number uint64, also []uint64) error {
	passed := min(max(0, n.now-n.stamped), mostPassed)
	e.Elapsed = uint64(passed)
	err := n.raw.Propose(encode(record{By: n.id, Number: number, Entry: leasestate.Encode(e), Also: also}))
	if err == nil {
		n.stamped += float64(e.Elapsed)
		if passed == mostPassed {
			n.stamped = n.now
		}
	}
	return err
}

// Read asks for the state as it is now, for request number: Done comes once all that was answered before Read is applied
// here, and this process is known to have led meanwhile.
func (n *Node) Read(number uint64) {
	switch {
	case !n.leads:
		n.moved(number)
	case len(n.reads) >= mostPending:
		n.out = append(n.out, Decision{Action: ResultUnknown, Request: number})
	case n.set.SeededDefects.StaleRead:
		n.out = append(n.out, Decision{Action: Done, Request: number})
	default:
		n.reads[number] = 0
		n.raw.ReadIndex(encode(number))
	}
}

// ChangeMembership has processes join or leave the coordinator, through a joint configuration.
func (n *Node) ChangeMembership(number uint64, add []Peer, remove []string) {
	if !n.leads {
		n.moved(number)
		return
	}
	var why string
	cc := &raftpb.ConfChangeV2{Transition: raftpb.ConfChangeTransitionJointImplicit.Enum()}
	left := len(n.peers)
	for _, p := range add {
		p.ID = ID(p.Name)
		if old, taken := n.peers[p.ID]; taken && old.Name != p.Name {
			why = fmt.Sprintf("%q and %q have one number: rename one", old.Name, p.Name)
		} else if slices.Contains(n.gone, p.ID) {
			why = fmt.Sprintf("%q was of this council before: its votes may still be on their way, take another name", p.Name)
		}
		cc.Changes = append(cc.Changes, &raftpb.ConfChangeSingle{Type: raftpb.ConfChangeAddNode.Enum(), NodeId: proto.Uint64(p.ID)})
		left++
	}
	for _, name := range remove {
		if n.peers[ID(name)].Name != name {
			why = fmt.Sprintf("%q is not of this council", name)
		}
		cc.Changes = append(cc.Changes, &raftpb.ConfChangeSingle{Type: raftpb.ConfChangeRemoveNode.Enum(), NodeId: proto.Uint64(ID(name))})
		left--
	}
	switch {
	case len(cc.Changes) == 0:
		why = "nothing to change"
	case left < 1 || left > mostPeers:
		why = fmt.Sprintf("%d processes would be left, 1 to %d may be", left, mostPeers)
	case len(n.conf.GetVotersOutgoing()) > 0:
		why = "a change is on"
	}
	if why == "" {
		cc.Context = encode(struct {
			By, Number uint64
			Add        []Peer
		}{n.id, number, add})
		if err := n.raw.ProposeConfChange(cc); err != nil {
			why = err.Error()
		}
	}
	if why != "" {
		n.out = append(n.out, Decision{Action: Done, Request: number, Result: leasestate.Result{Refusal: leasestate.Refusal(why)}})
		return
	}
	n.pending[number] = true
}

func (n *Node) moved(number uint64) {
	n.out = append(n.out, Decision{Action: Redirect, Request: number, Leader: n.peers[n.leader]})
}

func (n *Node) lose(number uint64) {
	if n.pending[number] {
		delete(n.pending, number)
		n.out = append(n.out, Decision{Action: ResultUnknown, Request: number})
	}
}

// Saved says that what the last Save held is on disk.
func (n *Node) Saved() {
	rd := n.ready
	if rd == nil {
		return
	}
	n.ready = nil
	if !raft.IsEmptySnap(rd.Snapshot) {
		if err := n.restore(rd.Snapshot); err != nil {
			n.failed = err
			return
		}
	}
	for _, m := range rd.Messages {
		n.out = append(n.out, Decision{Action: Send, Message: m})
	}
	for _, e := range rd.CommittedEntries {
		if err := n.apply(e); err != nil {
			n.failed = err
			return
		}
	}
	for _, rs := range rd.ReadStates {
		var number uint64
		if cbor.Unmarshal(rs.RequestCtx, &number) == nil {
			if _, waits := n.reads[number]; waits {
				n.reads[number] = rs.Index
			}
		}
	}
	n.raw.Advance(*rd)
	if rd.SoftState != nil {
		n.led(rd.SoftState)
	}
	for _, number := range slices.Sorted(maps.Keys(n.reads)) {
		if at := n.reads[number]; at > 0 && at <= n.applied {
			delete(n.reads, number)
			n.out = append(n.out, Decision{Action: Done, Request: number})
		}
	}
	if n.applied-n.snapAt >= n.set.Keep || n.changed {
		n.cut()
	}
}

// led takes in who leads. What waited at a process that no longer does may have been taken or not.
func (n *Node) led(s *raft.SoftState) {
	if n.leader != s.Lead {
		n.leader = s.Lead
		n.out = append(n.out, Decision{Action: LeaderChanged, Leader: n.peers[s.Lead]})
	}
	leads := s.RaftState == raft.StateLeader
	if leads == n.leads {
		return
	}
	n.leads, n.ticking = leads, false
	if leads {
		n.lead()
		return
	}
	n.beats, n.hurry = nil, false
	for _, number := range slices.Sorted(maps.Keys(n.pending)) {
		n.lose(number)
	}
	for _, number := range slices.Sorted(maps.Keys(n.reads)) {
		delete(n.reads, number)
		n.out = append(n.out, Decision{Action: ResultUnknown, Request: number})
	}
}

// lead begins a leader's account of time.
func (n *Node) lead() {
	n.stamped = n.now
	n.propose(leasestate.Entry{Kind: leasestate.BeginTerm, Epoch: max(n.set.Epoch, n.set.Above+1)}, 0, nil)
}

func (n *Node) apply(e *raftpb.Entry) error {
	n.applied = e.GetIndex()
	switch e.GetType() {
	case raftpb.EntryConfChange, raftpb.EntryConfChangeV2:
		return n.reconfigure(e)
	}
	if len(e.GetData()) == 0 {
		return nil
	}
	var r record
	if err := cbor.Unmarshal(e.GetData(), &r); err != nil {
		return fmt.Errorf("entry %d: %w", e.GetIndex(), err)
	}
	entry, err := leasestate.Decode(r.Entry)
	if err != nil { // all of them stop at it, rather than go different ways
		return fmt.Errorf("entry %d: %w", e.GetIndex(), err)
	}
	answer := n.reg.Apply(e.GetIndex(), entry)
	if r.By == n.id {
		if entry.Kind == leasestate.AdvanceTime {
			n.ticking = false
		}
		n.done(r.Number, answer)
		for _, number := range r.Also {
			if n.pending[number] {
				n.done(number, n.beaten(entry, r.Also, number))
			}
		}
	}
	events, _ := n.reg.Since(n.events)
	for _, ev := range events {
		n.out = append(n.out, Decision{Action: Applied, Event: ev})
	}
	n.events = n.reg.Index()
	return nil
}

// beaten answers one beat of many.
func (n *Node) beaten(e leasestate.Entry, also []uint64, number uint64) leasestate.Result {
	name := e.Heartbeats[slices.Index(also, number)]
	if s, open := n.reg.Session(name.Session); open && s.Incarnation == name.Incarnation {
		return leasestate.Result{Held: true}
	}
	return leasestate.Result{Refusal: leasestate.RefusedNoSession}
}

func (n *Node) done(number uint64, a leasestate.Result) {
	if n.pending[number] {
		delete(n.pending, number)
		n.out = append(n.out, Decision{Action: Done, Request: number, Result: a})
	}
}

func (n *Node) reconfigure(e *raftpb.Entry) error {
	cc := &raftpb.ConfChangeV2{}
	if err := proto.Unmarshal(e.GetData(), cc); err != nil {
		return fmt.Errorf("entry %d: %w", e.GetIndex(), err)
	}
	n.conf = n.raw.ApplyConfChange(cc)
	n.changed = true // who joins takes no snapshot in which it is not
	var who struct {
		By, Number uint64
		Add        []Peer
	}
	if len(cc.GetContext()) > 0 {
		if err := cbor.Unmarshal(cc.GetContext(), &who); err != nil {
			return fmt.Errorf("entry %d: %w", e.GetIndex(), err)
		}
	}
	for _, p := range who.Add {
		p.ID = ID(p.Name)
		n.peers[p.ID] = p
	}
	in := func(id uint64) bool {
		return slices.Contains(n.conf.GetVoters(), id) || slices.Contains(n.conf.GetVotersOutgoing(), id)
	}
	for _, id := range slices.Sorted(maps.Keys(n.peers)) {
		if !in(id) {
			delete(n.peers, id)
			if n.gone = append(n.gone, id); len(n.gone) > mostGone {
				n.gone = n.gone[1:]
			}
		}
	}
	if who.By == n.id {
		n.done(who.Number, leasestate.Result{Held: true})
	}
	return nil
}

// cut takes a snapshot and drops what lies behind it, but for a tail.
func (n *Node) cut() {
	s, err := n.mem.CreateSnapshot(n.applied, n.conf, EncodeSnapshot(n.peers, n.gone, n.reg))
	if err != nil {
		n.failed = err
		return
	}
	first, _ := n.mem.FirstIndex()
	below := max(n.applied, tail) - min(tail, n.set.Keep/2)
	if below >= first {
		if err := n.mem.Compact(below); err != nil {
			n.failed = err
			return
		}
	} else {
		below = first - 1
	}
	n.snapAt, n.changed = n.applied, false
	n.out = append(n.out, Decision{Action: Compact, Snapshot: s, CompactBelow: below + 1})
}

// Next gives the next decision; false: none is left, or a Save has not been answered by Saved.
func (n *Node) Next() (Decision, bool) {
	for {
		if len(n.out) > 0 {
			d := n.out[0]
			n.out = n.out[1:]
			return d, true
		}
		if n.ready != nil || n.failed != nil || !n.raw.HasReady() {
			return Decision{}, false
		}
		rd := n.raw.Ready()
		n.ready = &rd
		if !raft.IsEmptySnap(rd.Snapshot) {
			if err := n.mem.ApplySnapshot(rd.Snapshot); err != nil {
				n.failed = err
				return Decision{}, false
			}
		}
		if err := n.mem.Append(rd.Entries); err != nil {
			n.failed = err
			return Decision{}, false
		}
		if !raft.IsEmptyHardState(rd.HardState) {
			n.mem.SetHardState(rd.HardState)
		}
		if rd.HardState != nil || len(rd.Entries) > 0 || !raft.IsEmptySnap(rd.Snapshot) {
			return Decision{Action: Save, HardState: rd.HardState, Entries: rd.Entries, Snapshot: rd.Snapshot}, true
		}
		n.Saved() // nothing to store
	}
}

// Err tells why this process can't go on: an entry or a snapshot that it doesn't know, or that is unsound.
func (n *Node) Err() error { return n.failed }

// Applied is the index up to which entries are known to be agreed, and are applied here.
func (n *Node) Applied() uint64 { return n.applied }

// State gives the state as far as it is applied here; it must not be changed, nor kept.
func (n *Node) State() *leasestate.State { return n.reg }

// PeerStatus is how one coordinator node stands, as this one sees it.
type PeerStatus struct {
	Peer
	Leader  bool
	Applied uint64 // for others than this one: what the leader knows that they have
	Level   bool   // it lacks little
	Known   bool   // Applied and Level are
}

// Peers gives the coordinator's members as this process knows them, by name.
func (n *Node) Peers() (all []PeerStatus) {
	for _, id := range slices.Sorted(maps.Keys(n.peers)) {
		all = append(all, PeerStatus{Peer: n.peers[id], Leader: id == n.leader})
	}
	status := n.raw.Status()
	for i := range all {
		if s := &all[i]; s.ID == n.id {
			s.Applied, s.Level, s.Known = n.applied, true, true
		} else if pr, ok := status.Progress[s.ID]; ok && n.leads {
			s.Applied, s.Known = pr.Match, true
			s.Level = pr.RecentActive && pr.Match+catchUp >= n.applied
		}
	}
	slices.SortFunc(all, func(a, b PeerStatus) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

// Peer gives a member of the coordinator by its number.
func (n *Node) Peer(id uint64) (Peer, bool) { p, ok := n.peers[id]; return p, ok }

// IsLeader tells whether this process leads, as far as it knows, and in which term.
func (n *Node) IsLeader() (bool, uint64) { return n.leads, n.raw.BasicStatus().HardState.GetTerm() }
