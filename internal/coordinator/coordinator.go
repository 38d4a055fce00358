// Package coordinator is the process that keeps a share of the fleet's small state: it carries out what decide/raftnode decides, with
// a store for its disk and gRPC for the others. It owns the listener, the ways to the other processes and the clock; it must
// never see a request, decide who holds what, or answer before the store has what the answer rests on.
package coordinator

import (
	"context"
	"encoding/hex"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"
	"go.etcd.io/raft/v3/raftpb"
	"golang.org/x/net/netutil"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"wayloft/internal/audit"
	"wayloft/internal/decide/backoff"
	"wayloft/internal/decide/leaseclient"
	"wayloft/internal/decide/leasestate"
	"wayloft/internal/decide/policy"
	"wayloft/internal/decide/raftnode"
	"wayloft/internal/failpoint"
	"wayloft/internal/fleetpb"
	"wayloft/internal/rpc"
	"wayloft/internal/storage"
)

const (
	inbox     = 1024 // inputs that wait at most; whoever brings more waits instead
	perPeer   = 256  // messages that wait for one process; more are dropped, as a network would
	coalesce  = 5 * time.Millisecond
	alive     = time.Second     // an empty word to watchers, so that they can tell silence
	longest   = 4 << 20         // bytes of one message
	streams   = 256             // at once on one connection
	handshake = 5 * time.Second // for a connection to begin to speak the protocol
	ready     = 64              // pieces of the policy that are kept packed
	readyFor  = 4 << 20         // bytes of them
	mostPart  = 64 << 10        // bytes of one part
)

// Settings are given once.
type Settings struct {
	Fleet, Name   string
	Dir           string
	Address       string            // where others reach it
	Peers         []raftnode.Peer   // who begins the coordinator; empty: it joins one that has begun
	PeerAddresses           map[string]string // ways to others by name, in place of the addresses that the coordinator knows
	Tick          float64           // ms
	SnapshotInterval          uint64            // entries until the log is cut
	MaxConnections   int               // at once
	ClockOffset   float64           // ms that this process's clock is ahead, for tests
	KnownEpoch         uint64            // an epoch known to have been: a coordinator that begins takes a later one, whatever its wall clock says
	AuditLog        *audit.Log
	SeededDefects SeededDefects
}

// SeededDefects are defects that tests plant, to show that checkers find them; none is ever set in the program.
type SeededDefects struct {
	EarlyAcknowledge bool // sends and answers what rests on an entry before the entry is stored
}

// Server is one process.
type Server struct {
	fleetpb.UnimplementedCouncilServer
	settings     Settings
	node    *raftnode.Node // nil: suspended, until the storage works
	store    *storage.Store // nil: it could not be opened yet
	durable raftnode.Durable
	backoff backoff.Storage
	auditedIndex    uint64 // index up to which events were recorded before it was suspended
	incarnations     *raftnode.KnownIncarnations
	identity    raftnode.Identity
	inbox   chan func()
	ctx     context.Context
	lastRequest  uint64
	pending   map[uint64]func(raftnode.Decision)
	peerStreams    map[uint64]*way
	joiningPeers map[uint64]raftnode.Peer // who talked to this process while it knew of nobody
	mu      sync.Mutex
	stateChanged   chan struct{} // closed when the replicated state has changed
	watchedIndex   uint64
	policyCache  []packed            // what was lately asked for of the policy, the latest last
	policyBook    *fleetpb.PolicyBook // what was last told of all of it, packed once for each version
	policyVersion policy.Version      // of book
	err   error
}

// packed is something of the policy, ready to be given in parts.
type packed struct {
	have    uint64 // mark after which it leads on; whole: no matter
	whole   bool
	version policy.Version
	bytes   []byte
}

var stored = struct{ hard, snapshot, met string }{"hard", "snapshot", "met"}

// ReadStored gives what a store holds of a coordinator node.
func ReadStored(l *storage.Store) (s raftnode.Stored, met *raftnode.KnownIncarnations, err error) {
	records, values, err := l.Read()
	if err != nil {
		return s, nil, err
	}
	met = raftnode.NewKnownIncarnations()
	if b := values[stored.met]; b != nil {
		if err := cbor.Unmarshal(b, &met.Known); err != nil {
			return s, nil, fmt.Errorf("met: %w", err)
		}
	}
	if b := values[stored.hard]; b != nil {
		s.HardState = &raftpb.HardState{}
		if err := proto.Unmarshal(b, s.HardState); err != nil {
			return s, nil, fmt.Errorf("state: %w", err)
		}
	}
	if b := values[stored.snapshot]; b != nil {
		s.Snapshot = &raftpb.Snapshot{}
		if err := proto.Unmarshal(b, s.Snapshot); err != nil {
			return s, nil, fmt.Errorf("snapshot: %w", err)
		}
	}
	for _, r := range records {
		e := &raftpb.Entry{}
		if err := proto.Unmarshal(r.Bytes, e); err != nil || e.GetIndex() != r.Number {
			return s, nil, fmt.Errorf("entry %d: not sound: %w", r.Number, err)
		}
		s.Entries = append(s.Entries, e)
	}
	return s, met, nil
}

// WriteDecision writes what a decision holds.
func WriteDecision(l *storage.Store, d raftnode.Decision) error {
	b := storage.Batch{Values: map[string][]byte{}, CompactBelow: d.CompactBelow}
	put := func(name string, m proto.Message) error {
		text, err := proto.Marshal(m)
		b.Values[name] = text
		return err
	}
	if d.HardState != nil {
		if err := put(stored.hard, d.HardState); err != nil {
			return err
		}
	}
	if d.Snapshot.GetMetadata().GetIndex() > 0 {
		if err := put(stored.snapshot, d.Snapshot); err != nil {
			return err
		}
		b.ReplaceLog = d.Action == raftnode.Save // another process's, or the first: what was there before is no part of it
	}
	for _, e := range d.Entries {
		text, err := proto.Marshal(e)
		if err != nil {
			return err
		}
		b.Records = append(b.Records, storage.Record{Number: e.GetIndex(), Bytes: text})
	}
	return l.Write(b)
}

// Open makes a process from its folder. It does nothing until Run. Where the disk refuses for now, Run tries again.
func Open(set Settings) (*Server, error) {
	c := &Server{settings: set, inbox: make(chan func(), inbox), pending: map[uint64]func(raftnode.Decision){}, peerStreams: map[uint64]*way{},
		joiningPeers: map[uint64]raftnode.Peer{}, stateChanged: make(chan struct{}), lastRequest: firstNumber()}
	err := c.load()
	if errors.Is(err, storage.ErrUnavailable) {
		c.suspend(err)
	} else if err != nil {
		c.closeStore()
		return nil, err
	}
	return c, nil
}

// build makes the node from what was stored.
func (c *Server) build(had raftnode.Stored) (*raftnode.Node, *raftnode.Decision, error) {
	// The engine's own lines are about its inner life; what it warns of may help on the day.
	log := logrus.New()
	log.SetOutput(logrus.StandardLogger().Out)
	log.SetFormatter(logrus.StandardLogger().Formatter)
	log.SetLevel(logrus.ErrorLevel)
	set := c.settings
	return raftnode.New(raftnode.Settings{Fleet: set.Fleet, Name: set.Name, Peers: set.Peers, Epoch: rpc.EpochAt(time.Now()),
		KnownEpoch: set.KnownEpoch, Tick: set.Tick, SnapshotInterval: set.SnapshotInterval, Logger: log}, had)
}

// identify notes what this process says of its folder.
func (c *Server) identify(had raftnode.Stored) {
	c.identity = raftnode.Identity{Name: c.settings.Name, StorageID: c.store.Identity.StorageID, Incarnations: c.store.Identity.Incarnations, Term: had.HardState.GetTerm(),
		LastIndex: had.Snapshot.GetMetadata().GetIndex()}
	if n := len(had.Entries); n > 0 {
		c.identity.LastIndex = had.Entries[n-1].GetIndex()
	}
}

// firstNumber draws the number after which this start counts its requests. An entry of an earlier start may still be applied; its
// number must not be that of a request which waits now. It leaves half of all numbers to count in.
func firstNumber() uint64 { return rpc.UniqueID() >> 1 }

// Run serves on a listener until ctx ends or the process can't go on.
func (c *Server) Run(ctx context.Context, listener net.Listener) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer c.closeStore()
	c.ctx = ctx
	checks := rpc.NewInterceptors(c.settings.Fleet)
	server := grpc.NewServer(grpc.MaxRecvMsgSize(longest), grpc.MaxConcurrentStreams(streams), grpc.ConnectionTimeout(handshake),
		grpc.ChainUnaryInterceptor(checks.Unary), grpc.ChainStreamInterceptor(checks.Stream),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: alive / 2, PermitWithoutStream: true}),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: 5 * time.Second, Timeout: 5 * time.Second}))
	fleetpb.RegisterCouncilServer(server, c)
	go server.Serve(netutil.LimitListener(listener, c.settings.MaxConnections))
	defer server.Stop()
	var applied, epoch uint64
	if !c.suspended() {
		applied, epoch = c.node.Applied(), c.node.State().Epoch()
	}
	logrus.WithFields(logrus.Fields{"name": c.settings.Name, "listen": listener.Addr().String(), "fleet": c.settings.Fleet, "folder": c.settings.Dir,
		"applied": applied, "epoch": epoch}).Info("council")
	c.settings.AuditLog.Add("up", audit.Fields{"applied": applied, "epoch": epoch})
	timer := time.NewTimer(0)
	defer timer.Stop()
	for c.err == nil {
		select {
		case <-ctx.Done():
			return nil
		case f := <-c.inbox:
			f()
			for n := len(c.inbox); n > 0; n-- { // what is there already is stored together
				(<-c.inbox)()
			}
		case <-timer.C:
		}
		timer.Reset(time.Duration((c.turn() - c.now()) * float64(time.Millisecond)))
	}
	return c.err
}

// turn carries out what is due and gives when it must be called again at the latest.
func (c *Server) turn() (due float64) {
	if c.suspended() && c.backoff.Due() <= c.now() {
		c.err = c.resume()
	}
	if !c.suspended() && c.err == nil {
		c.node.Advance(c.now())
		c.carryOutDecisions()
	}
	if c.suspended() {
		return c.backoff.Due()
	}
	return c.node.NextDeadline()
}

func (c *Server) now() float64 { return rpc.Boottime() + c.settings.ClockOffset }

// carryOutDecisions carries out what the node decides.
func (c *Server) carryOutDecisions() {
	var late []raftnode.Decision // the seeded defect's
	for d, more := c.node.Next(); more; d, more = c.node.Next() {
		switch d.Action {
		case raftnode.Save:
			failpoint.Point("council.save")
			if c.settings.SeededDefects.EarlyAcknowledge {
				late = append(late, d)
				c.node.Saved()
				continue
			}
			if !c.save(d) { // what it would say next rests on this: it must say nothing more
				return
			}
			c.node.Saved()
		case raftnode.Compact:
			if !c.save(d) {
				return
			}
		case raftnode.Send:
			c.send(d.Message)
		case raftnode.Done, raftnode.Redirect, raftnode.ResultUnknown:
			if f := c.pending[d.Request]; f != nil {
				delete(c.pending, d.Request)
				f(d)
			}
		case raftnode.LeaderChanged:
			_, term := c.node.IsLeader()
			logrus.WithFields(logrus.Fields{"leader": d.Leader.Name, "term": term}).Info("leads")
			c.settings.AuditLog.Add("leads", audit.Fields{"leader": d.Leader.Name, "term": term})
		case raftnode.Applied:
			if leads, _ := c.node.IsLeader(); leads && d.Event.Lease != "" && !d.Event.Ended {
				failpoint.Point("council.granted") // agreed, and not yet answered
			} else if leads && d.Event.Policy > 0 {
				failpoint.Point("council.policy") // the same
			}
			if d.Event.Index > c.auditedIndex { // else it is replayed from the folder that was opened anew
				c.auditEvent(d.Event)
			}
		}
	}
	for _, d := range late {
		if !c.save(d) {
			return
		}
	}
	if err := c.node.Err(); err != nil {
		c.err = err
		return
	}
	if at := c.node.State().Index(); at != c.watchedIndex {
		c.watchedIndex = at
		c.wakeWatchers()
	}
}

// wakeWatchers has watchers look at the replicated state again.
func (c *Server) wakeWatchers() {
	c.mu.Lock()
	close(c.stateChanged)
	c.stateChanged = make(chan struct{})
	c.mu.Unlock()
}

// auditEvent writes what has become so; each coordinator node does, so that its record is whole.
func (c *Server) auditEvent(e leasestate.Event) {
	leads, _ := c.node.IsLeader()
	if e.Policy > 0 {
		b := c.node.State().Policy()
		v := b.Version
		for _, was := range b.Changes { // another may have followed by now
			if was.Version.Number64() == e.Policy {
				v = was.Version
			}
		}
		c.settings.AuditLog.Add("policy", audit.Fields{"index": e.Index, "version": policy.MarkString(e.Policy), "hash": hex.EncodeToString(v.Hash[:]),
			"author": v.Author, "reason": v.Reason})
		if leads {
			logrus.WithFields(logrus.Fields{"version": v, "author": v.Author, "reason": v.Reason}).Info("policy in force")
		}
		return
	}
	f := audit.Fields{"index": e.Index, "session": e.Session, "duty": e.Lease, "fence": e.Token.String(), "ended": e.Ended, "why": e.Reason}
	what := "session"
	if e.Lease != "" {
		what = "duty"
	}
	c.settings.AuditLog.Add(what, f)
	if !leads || e.Lease == "" {
		return
	}
	line := logrus.WithFields(logrus.Fields{"duty": e.Lease, "fence": e.Token, "holder": e.Session})
	d, _ := c.node.State().Lease(e.Lease)
	switch {
	case d.ForeignToken.Epoch >= c.node.State().Epoch() && d.Holder == "":
		line.WithField("seen", d.ForeignToken).Error("not granted: a receiver has seen a fence that this council never gave; begin a new epoch (council recover)")
	case e.Ended:
		line.Info("freed")
	case e.Session != "":
		line.Info("granted")
	}
}

// request has the loop do something that ends by a decision under a new number.
func (c *Server) request(ctx context.Context, begin func(number uint64)) (raftnode.Decision, error) {
	answer := make(chan raftnode.Decision, 1)
	suspended := make(chan struct{})
	var number uint64
	if err := c.post(ctx, func() {
		if c.suspended() {
			close(suspended)
			return
		}
		c.lastRequest++
		number = c.lastRequest
		c.pending[number] = func(d raftnode.Decision) { answer <- d }
		c.node.Advance(c.now())
		begin(number)
	}); err != nil {
		return raftnode.Decision{}, err
	}
	select {
	case d := <-answer:
		if d.Action == raftnode.ResultUnknown {
			return d, errUnknown
		}
		return d, nil
	case <-suspended:
		return raftnode.Decision{}, errStorage
	case <-ctx.Done():
		c.post(c.ctx, func() { delete(c.pending, number) })
		return raftnode.Decision{}, status.FromContextError(ctx.Err()).Err()
	case <-c.ctx.Done():
		return raftnode.Decision{}, status.Error(codes.Unavailable, "this process is ending")
	}
}

func (c *Server) post(ctx context.Context, f func()) error {
	select {
	case c.inbox <- f:
		return nil
	case <-ctx.Done():
		return status.FromContextError(ctx.Err()).Err()
	case <-c.ctx.Done():
		return status.Error(codes.Unavailable, "this process is ending")
	}
}

// asks are the kinds of entries that others may bring; time and leadership are the leader's alone to tell.
var asks = map[leasestate.Kind]bool{leasestate.OpenSession: true, leasestate.KeepAlive: true, leasestate.CloseSession: true, leasestate.AcquireLease: true, leasestate.ReleaseLease: true,
	leasestate.TransferLease: true, leasestate.RecordStep: true, leasestate.ReportToken: true, leasestate.PlaceOrder: true, leasestate.CompleteOrder: true, leasestate.BeginEpoch: true,
	leasestate.ProposePolicy: true}

// Do is the service's.
func (c *Server) Do(ctx context.Context, q *fleetpb.Request) (*fleetpb.Answer, error) {
	var d raftnode.Decision
	var err error
	var fences []*fleetpb.Fence
	stands := q.Stands
	if q.Stand != "" {
		stands = []string{q.Stand}
	}
	if len(stands) > leaseclient.MaxTokenQuery {
		return nil, status.Errorf(codes.InvalidArgument, "stands: %d duties, %d at most", len(stands), leaseclient.MaxTokenQuery)
	}
	if len(stands) > 0 {
		d, err = c.request(ctx, func(number uint64) {
			then := c.pending[number]
			c.pending[number] = func(d raftnode.Decision) {
				if d.Action == raftnode.Done { // all by the one word of a majority, under one state
					for _, duty := range stands {
						fences = append(fences, rpc.EncodeToken(c.node.State().LatestToken(duty)))
					}
				}
				then(d)
			}
			c.node.Read(number)
		})
	} else {
		e, bad := leasestate.Decode(q.Entry)
		if bad != nil {
			return nil, status.Error(codes.InvalidArgument, bad.Error())
		}
		if !asks[e.Kind] || e.Elapsed != 0 {
			return nil, status.Errorf(codes.InvalidArgument, "entry: %q is not for others to bring", e.Kind)
		}
		if e.Kind == leasestate.AcquireLease {
			failpoint.Point("council.asked") // not yet proposed
		} else if e.Kind == leasestate.ProposePolicy {
			failpoint.Point("policy.asked") // the same
		}
		if d, err = c.request(ctx, func(number uint64) { c.node.Propose(number, e) }); e.Kind == leasestate.ProposePolicy {
			failpoint.Point("policy.answers") // agreed and watchers told, and who asked not yet answered
		}
	}
	if err != nil {
		return nil, err
	}
	if d.Action == raftnode.Redirect {
		return &fleetpb.Answer{Moved: true, Leader: d.Leader.Name, Address: d.Leader.Addr}, nil
	}
	if len(q.Stands) > 0 {
		return &fleetpb.Answer{Fences: fences}, nil
	}
	if len(stands) > 0 {
		return &fleetpb.Answer{Fence: fences[0]}, nil
	}
	return &fleetpb.Answer{Held: d.Result.Held, Fence: rpc.EncodeToken(d.Result.Fence), Why: d.Result.Why, Number: d.Result.Number}, nil
}

// Watch is the service's.
func (c *Server) Watch(from *fleetpb.WatchFrom, stream grpc.ServerStreamingServer[fleetpb.Update]) error {
	since, first, said := from.Index, true, time.Now()
	for {
		c.mu.Lock()
		moved := c.stateChanged
		c.mu.Unlock()
		got := make(chan *fleetpb.Update, 1)
		if err := c.post(stream.Context(), func() {
			if c.suspended() {
				close(got)
				return
			}
			u, index := leaseclient.Changes(c.node.State(), since, from.WithoutSessions)
			out := rpc.EncodeUpdate(u)
			out.Index = index
			got <- out
		}); err != nil {
			return err
		}
		select {
		case u := <-got:
			if u == nil {
				return errStorage
			}
			if len(u.Sessions)+len(u.Duties)+len(u.Policies) > 0 || u.Whole || first {
				if err := stream.Send(u); err != nil {
					return err
				}
				said = time.Now()
			}
			since, first = u.Index, false
		case <-c.ctx.Done():
			return status.Error(codes.Unavailable, "this process is ending")
		}
		quiet := time.NewTimer(time.Until(said.Add(alive))) // beats move the replicated state all the time, and change nothing to tell
		select {
		case <-moved:
			time.Sleep(coalesce)
		case <-quiet.C:
			if err := stream.Send(&fleetpb.Update{Index: since}); err != nil {
				return err
			}
			said = time.Now()
		case <-stream.Context().Done():
			return nil
		case <-c.ctx.Done():
			return status.Error(codes.Unavailable, "this process is ending")
		}
		quiet.Stop()
	}
}

// Look is the service's.
func (c *Server) Look(ctx context.Context, _ *fleetpb.Empty) (*fleetpb.State, error) {
	var out *fleetpb.State
	d, err := c.request(ctx, func(number uint64) {
		then := c.pending[number]
		c.pending[number] = func(d raftnode.Decision) {
			if d.Action == raftnode.Done {
				out = c.state()
			}
			then(d)
		}
		c.node.Read(number)
	})
	if err != nil {
		return nil, err
	}
	if d.Action == raftnode.Redirect {
		return &fleetpb.State{Moved: true, Leader: d.Leader.Name, Address: d.Leader.Addr}, nil
	}
	return out, nil
}

func (c *Server) state() *fleetpb.State {
	r := c.node.State()
	u, index := leaseclient.Changes(r, 0, false)
	s := &fleetpb.State{State: rpc.EncodeUpdate(u), Epoch: r.Epoch(), Refused: r.RejectedActs()}
	s.State.Index = index
	for _, one := range s.State.Sessions {
		had, _ := r.Session(one.Name)
		one.SilentMs, one.Refused, one.Wont, one.Why = r.Now()-had.LastHeartbeat, had.RejectedActs, had.RejectedPolicy, had.Reason
	}
	for _, one := range s.State.Duties {
		d, _ := r.Lease(one.Name)
		one.SinceMs, one.Queue, one.Barred = r.Now()-d.Since, d.Queue, rpc.EncodeToken(d.ForeignToken)
	}
	for _, p := range c.node.Peers() {
		s.Council = append(s.Council, &fleetpb.Peer{Name: p.Name, Address: p.Addr, Leader: p.Leader, Applied: p.Applied, Level: p.CaughtUp, Known: p.Known})
	}
	return s
}

// Policy is the service's. It is this process's own word, which may lag: who follows a policy never goes back.
func (c *Server) Policy(ctx context.Context, q *fleetpb.PolicyFrom) (*fleetpb.PolicyPart, error) {
	if len(q.Hash) > 64 || q.Most == 0 {
		return nil, status.Error(codes.InvalidArgument, "unsound")
	}
	got := make(chan packed, 1)
	if err := c.post(ctx, func() {
		if c.suspended() {
			close(got)
			return
		}
		p, known := c.pack(policy.Request{Have: q.Have, Want: q.Want, Whole: q.Whole, Offset: int(min(q.Offset, 1<<30))})
		if !known {
			p.version = policy.Version{}
		}
		got <- p
	}); err != nil {
		return nil, err
	}
	select {
	case p, answered := <-got:
		if !answered {
			return nil, errStorage
		}
		if p.version.Number == 0 {
			return nil, status.Error(codes.NotFound, "this process knows of no such version: it may lag, ask another")
		}
		at := min(q.Offset, uint64(len(p.bytes)))
		if p.version.Number64() != q.Want || at == uint64(len(p.bytes)) { // it is another than the one that was begun with
			at = 0
		}
		end := min(at+min(q.Most, mostPart), uint64(len(p.bytes)))
		return &fleetpb.PolicyPart{Version: rpc.EncodePolicy(p.version, nil), Whole: p.whole, Offset: at, Total: uint64(len(p.bytes)), Bytes: p.bytes[at:end]}, nil
	case <-c.ctx.Done():
		return nil, status.Error(codes.Unavailable, "this process is ending")
	}
}

// pack gives what is asked for of the policy: what was begun is read to its end though another version is in force by now, as
// long as it is kept.
func (c *Server) pack(q policy.Request) (packed, bool) {
	b := c.node.State().Policy()
	for n := len(c.policyCache) - 1; n >= 0; n-- {
		p := c.policyCache[n]
		if mark := p.version.Number64(); p.whole == q.Whole && (p.whole || p.have == q.Have) &&
			(mark == b.Version.Number64() && q.Want <= mark && q.Have <= mark || q.Offset > 0 && mark == q.Want) {
			c.policyCache = append(slices.Delete(c.policyCache, n, n+1), p)
			return p, true
		}
	}
	text, whole, known := b.Serve(q)
	if !known {
		return packed{}, false
	}
	if whole && !q.Whole {
		q.Whole, q.Offset = true, 0
		return c.pack(q)
	}
	p := packed{q.Have, whole, b.Version, rpc.Compress(text)}
	c.policyCache = append(c.policyCache, p)
	bytes := 0
	for n := len(c.policyCache) - 1; n >= 0; n-- {
		if bytes += len(c.policyCache[n].bytes); bytes > readyFor || len(c.policyCache)-n > ready {
			c.policyCache = slices.Delete(c.policyCache, 0, n+1)
			break
		}
	}
	return p, true
}

// Policies is the service's.
func (c *Server) Policies(ctx context.Context, _ *fleetpb.Empty) (*fleetpb.PolicyBook, error) {
	var out *fleetpb.PolicyBook
	d, err := c.request(ctx, func(number uint64) {
		then := c.pending[number]
		c.pending[number] = func(d raftnode.Decision) {
			if d.Action == raftnode.Done {
				out = c.encodePolicyBook()
			}
			then(d)
		}
		c.node.Read(number)
	})
	if err != nil {
		return nil, err
	}
	if d.Action == raftnode.Redirect {
		return &fleetpb.PolicyBook{Moved: true, Leader: d.Leader.Name, Address: d.Leader.Addr}, nil
	}
	return out, nil
}

// encodePolicyBook gives all of the policy, packed once for each version.
func (c *Server) encodePolicyBook() *fleetpb.PolicyBook {
	if b := c.node.State().Policy(); c.policyBook == nil || c.policyVersion != b.Version {
		c.policyVersion = b.Version
		c.policyBook = &fleetpb.PolicyBook{Version: rpc.EncodePolicy(b.Version, nil), Document: rpc.Compress(b.Document.Encode()),
			History: rpc.Compress(policy.EncodeChanges(b.Changes))}
	}
	return c.policyBook
}

// Change is the service's.
func (c *Server) Change(ctx context.Context, m *fleetpb.Members) (*fleetpb.Answer, error) {
	var add []raftnode.Peer
	for _, p := range m.Add {
		if _, _, err := net.SplitHostPort(p.Address); err != nil || p.Name == "" {
			return nil, status.Errorf(codes.InvalidArgument, "a process needs a name and an address, not %q and %q", p.Name, p.Address)
		}
		add = append(add, raftnode.Peer{Name: p.Name, Addr: p.Address})
	}
	d, err := c.request(ctx, func(number uint64) { c.node.ChangeMembership(number, add, m.Remove) })
	if err != nil {
		return nil, err
	}
	if d.Action == raftnode.Redirect {
		return &fleetpb.Answer{Moved: true, Leader: d.Leader.Name, Address: d.Leader.Addr}, nil
	}
	return &fleetpb.Answer{Held: d.Result.Held, Why: d.Result.Why}, nil
}

// Carry is the service's: what another coordinator node says, for as long as it goes on.
func (c *Server) Carry(stream grpc.ClientStreamingServer[fleetpb.Parcel, fleetpb.Empty]) error {
	var from string
	for first := true; ; first = false {
		p, err := stream.Recv()
		if err != nil {
			return nil
		}
		if first && p.From == nil {
			return status.Error(codes.InvalidArgument, "the first parcel must say who sends")
		}
		if p.From != nil {
			if err := c.hello(stream.Context(), p.From); err != nil {
				return err
			}
			from = p.From.Name
		}
		if len(p.Message) == 0 {
			continue
		}
		m := &raftpb.Message{}
		if err := proto.Unmarshal(p.Message, m); err != nil {
			return status.Errorf(codes.InvalidArgument, "message of %s: %v", from, err)
		}
		if m.GetFrom() != raftnode.ID(from) {
			return status.Errorf(codes.InvalidArgument, "message of %d on the way of %s", m.GetFrom(), from)
		}
		if err := c.post(stream.Context(), func() {
			if c.suspended() { // as if the network had dropped it
				return
			}
			c.incarnations.MessageReceived(from, m, c.node.Applied())
			if err := c.node.Step(m); err != nil {
				logrus.WithError(err).WithField("from", from).Debug("message passed over")
			}
		}); err != nil {
			return err
		}
	}
}

// hello judges another process's folder, and stores what is new of it before anything else of it is taken.
func (c *Server) hello(ctx context.Context, p *fleetpb.Identity) error {
	result := make(chan error, 1)
	if err := c.post(ctx, func() {
		if c.suspended() {
			result <- errStorage
			return
		}
		news, err := c.incarnations.Handshake(raftnode.Identity{Name: p.Name, StorageID: p.Folder, Incarnations: p.Starts, Term: p.Term, LastIndex: p.Last})
		if err != nil {
			logrus.WithField("from", p.Name).WithError(err).Error("not taken")
			c.settings.AuditLog.Add("stranger", audit.Fields{"from": p.Name, "why": err.Error()})
			result <- status.Error(codes.FailedPrecondition, err.Error())
			return
		}
		if id := raftnode.ID(p.Name); len(c.node.Peers()) == 0 && len(c.joiningPeers) < 16 {
			c.joiningPeers[id] = raftnode.Peer{ID: id, Name: p.Name, Addr: p.Address}
		} else if len(c.node.Peers()) > 0 {
			clear(c.joiningPeers)
		}
		if news {
			in := map[string]bool{p.Name: true}
			for _, o := range c.node.Peers() {
				in[o.Name] = true
			}
			for _, o := range c.settings.Peers {
				in[o.Name] = true
			}
			c.incarnations.Retain(in)
			b, err := cbor.Marshal(c.incarnations.Known)
			if err == nil {
				err = c.store.Write(storage.Batch{Values: map[string][]byte{stored.met: b}})
			}
			if err != nil {
				c.suspend(err)
				result <- errStorage
				return
			}
			c.storageWorks()
		}
		result <- nil
	}); err != nil {
		return err
	}
	select {
	case err := <-result:
		return err
	case <-c.ctx.Done():
		return status.Error(codes.Unavailable, "this process is ending")
	}
}

// way is how messages get to one other process.
type way struct {
	messages chan *raftpb.Message
	addr     string
	stop     context.CancelFunc
}

// send hands a message to the way to its process; one that is full drops it, as a network would.
func (c *Server) send(m *raftpb.Message) {
	peer, known := c.node.Peer(m.GetTo())
	if !known { // one that joins is talked to before it knows who there is
		if peer, known = c.joiningPeers[m.GetTo()]; !known {
			return
		}
	}
	addr := peer.Addr
	if via := c.settings.PeerAddresses[peer.Name]; via != "" {
		addr = via
	}
	w := c.peerStreams[peer.ID]
	if w != nil && w.addr != addr {
		w.stop()
		w = nil
	}
	if w == nil {
		ctx, cancel := context.WithCancel(c.ctx)
		w = &way{messages: make(chan *raftpb.Message, perPeer), addr: addr, stop: cancel}
		c.peerStreams[peer.ID] = w
		go c.carry(ctx, w, peer)
		for id, other := range c.peerStreams { // of those that left
			_, still := c.node.Peer(id)
			if _, calls := c.joiningPeers[id]; !still && !calls {
				other.stop()
				delete(c.peerStreams, id)
			}
		}
	}
	select {
	case w.messages <- m:
	default:
		c.sent(m, false)
	}
}

// sent tells the engine what became of a message, where it must know.
func (c *Server) sent(m *raftpb.Message, arrived bool) {
	report := func() {
		if c.suspended() {
			return
		}
		if m.GetType() == raftpb.MsgSnap {
			c.node.SnapshotSent(m.GetTo(), arrived)
		} else if !arrived {
			c.node.Unreachable(m.GetTo())
		}
	}
	if arrived && m.GetType() != raftpb.MsgSnap {
		return
	}
	go c.post(c.ctx, report)
}

// carry keeps a stream to one process and begins another whenever it ends.
func (c *Server) carry(ctx context.Context, w *way, peer raftnode.Peer) {
	conn, err := rpc.Dial(w.addr, c.settings.Fleet)
	if err != nil {
		logrus.WithError(err).WithField("to", peer.Name).Error("no way to another process of the council")
		return
	}
	defer conn.Close()
	told := ""
	for ctx.Err() == nil {
		err := c.stream(ctx, fleetpb.NewCouncilClient(conn), w, peer)
		if ctx.Err() != nil {
			return
		}
		if why := status.Convert(err).Message(); status.Code(err) == codes.FailedPrecondition && why != told {
			told = why
			logrus.WithField("to", peer.Name).Error(why)
			c.settings.AuditLog.Add("refused", audit.Fields{"by": peer.Name, "why": why})
		}
		select {
		case <-ctx.Done():
		case <-time.After(rpc.Jitter(time.Duration(c.settings.Tick * float64(time.Millisecond)))):
		}
	}
}

func (c *Server) stream(ctx context.Context, to fleetpb.CouncilClient, w *way, peer raftnode.Peer) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s, err := to.Carry(ctx)
	if err != nil {
		c.drain(w)
		return err
	}
	id := &fleetpb.Identity{Name: c.identity.Name, Folder: c.identity.StorageID, Starts: c.identity.Incarnations, Term: c.identity.Term, Last: c.identity.LastIndex,
		Address: c.settings.Address}
	for first := true; ; first = false {
		var m *raftpb.Message
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.Context().Done():
			return ended(s)
		case m = <-w.messages:
		}
		text, err := proto.Marshal(m)
		if err != nil {
			return err
		}
		p := &fleetpb.Parcel{Message: text}
		if first {
			p.From = id
		}
		if err := s.Send(p); err != nil {
			c.sent(m, false)
			return ended(s)
		}
		c.sent(m, true)
	}
}

// ended gives the reason that the other end gave.
func ended(s grpc.ClientStreamingClient[fleetpb.Parcel, fleetpb.Empty]) error {
	_, err := s.CloseAndRecv()
	if err == nil {
		err = errors.New("the other end ended it")
	}
	return err
}

// drain drops what waits for a process that is out of reach: when it is back, old messages are of no use to it.
func (c *Server) drain(w *way) {
	for {
		select {
		case m := <-w.messages:
			c.sent(m, false)
		default:
			return
		}
	}
}
