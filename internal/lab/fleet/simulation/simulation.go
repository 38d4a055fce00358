// Package simulation plays a fleet in simulated time: the same coordinator, agents and receivers as the program's processes, over a
// network, disks and clocks of its own, without a process or a socket. One seed gives one run. It owns time and faults; it
// must never decide what the pure parts decide.
package simulation

import (
	"container/heap"
	crand "crypto/rand"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"

	"github.com/sirupsen/logrus"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"wayloft/internal/decide/lease"
	"wayloft/internal/decide/leaseclient"
	"wayloft/internal/decide/leasestate"
	"wayloft/internal/decide/policy"
	"wayloft/internal/decide/raftnode"
	"wayloft/internal/decide/switchover"
)

// Seeded are defects, each to be found by a checker; the program has none of them.
type SeededDefects struct {
	Coordinator        raftnode.SeededDefects
	SkipTokenCheck     bool // receivers take whatever comes
	ForgetTokens       bool // a receiver that restarted takes orders without having asked where their fencing tokens stand
	OvercountLease     bool // a lease is counted from the answer on, not from the request
	SameEpoch          bool // a coordinator that lost its state begins again in the same epoch
	IgnoreGuardRow     bool // members take steps whatever their guard rows say
	Policy             policy.SeededDefects
	SkipCompareAndSet  bool // a proposal is taken whatever is in force
	AcknowledgeUnsaved bool // a coordinator node answers before its disk does
}

// Options say what is played.
type Options struct {
	Seed          uint64
	Coordinators  int
	Routers       int
	Leases        int
	NoFaults      bool    // no faults
	FaultsMs      float64 // ms with faults
	RecoveryMs    float64 // ms without, after them; 0: as long again
	SeededDefects SeededDefects
	Schedule      func(*World)   // events of its own in place of drawn ones
	Switchover    bool           // planned changes of a group's primary, under writes
	Policy        *PolicyOptions // changes of the policy; nil: none
	MaxHolders    int            // of the routers, how many would hold leases; 0: all
}

// Lease and margin of the simulation's sessions, ms.
const (
	SessionTimeoutMs = 2000.0
	SafetyMarginMs   = 200.0
	tickMs           = 50.0
)

// Report is what a run came to.
type Report struct {
	Violations   []string
	Acts         int // taken by receivers
	StaleActs    int // refused for their fencing token
	Grants       int
	Elections    int
	Faults       map[string]int
	HolderGapsMs []float64 // ms without an owner after an owner stopped, was killed or cut off, each time
	Entries      uint64    // of the coordinator's log
	Bytes        int       // between all processes
	Messages     int
	Operations   []Operation
	EndedMs      float64
	PolicyResult
	StuckLeases []string // leases without an owner long after the last fault
}

// Operation is one request at the coordinator as its client saw it.
type Operation struct {
	Client, Number     int
	Lease, Session     string
	Kind               string // take or stand
	StartedMs, EndedMs float64
	Held               bool
	Token              lease.Token
}

type event struct {
	atMs float64
	seq  int
	do   func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].atMs < q[j].atMs || q[i].atMs == q[j].atMs && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

// Process is one process of the simulation.
type Process struct {
	Name          string
	world         *World
	incarnation   int  // grows with each start; what was meant for an earlier one is dropped
	up            bool // runs, or is stopped
	paused        bool // stopped: what comes waits
	deferred      []func()
	clockOffsetMs float64 // its clock against the world's

	node        *raftnode.Node // of a coordinator node
	disk        raftnode.Stored
	diskDelayMs float64 // ms that its disk takes beyond the usual
	dataLost    bool    // its folder is, for good
	joining     bool    // it takes another's place
	requesters  map[uint64]requester
	tokenReads  map[uint64][]string

	client       *leaseclient.Client
	leases       []string
	knownLeader  string
	openRequests map[uint64]openRequest // by the agent's numbers
	watchIndex   uint64
	heldLeases   map[string]lease.Token
	seenTokens   map[string]lease.Token // where Forgets is seeded
	starts       int

	ownRequests uint64 // requests of its own
	driver      *routerDriver
	writeHolds  *switchover.WriteHolds
	switchover  *switchoverLease
	orderState  switchover.OrderState
	member      *member

	policy         *policyRouter // a router's part in the policy, and its disk
	stored         storedPolicy
	storeTampered  bool
	watchers       []*watcher // of a coordinator node
	pushedIndex    uint64
	pushPending    bool
	corruptsChunks bool
	chunks         []policyChunk
}

type requester struct {
	process     *Process
	incarnation int
	request     uint64
	onDecision  func(raftnode.Decision) // of a request that is not an agent's
}

// openRequest is a request without an answer yet.
type openRequest struct {
	operations []int                         // its places in the history, one for each lease that it asks about; none: not kept
	resend     func()                        // sends it once more, to who leads
	onResult   func(leasestate.Result, bool) // of one that is not the agent\'s
}

// World is one run.
type World struct {
	Report
	Now             float64
	options         Options
	rand            *rand.Rand
	queue           eventQueue
	seq             int
	Coordinators    []*Process
	Routers         []*Process
	processes       map[string]*Process
	cutLinks        map[[2]string]bool // from, to
	lossProbability float64
	lastRequest     uint64
	highestAccepted map[string]lease.Token // by receiver and scope: the highest ever accepted there
	tokenHolders    map[string]string      // by lease and fencing token: who acted under it
	grantedTo       map[string]string      // by lease and fencing token: to whom, as a leader applied it
	latestGranted   map[string]lease.Token // the highest of these
	activeHolder    map[string]string      // by lease: who acts, as the world sees it
	unheldSinceMs   map[string]float64     // when it last had none
	switchovers     *switchoverRun
	policyRun       *policyRun
	lastStream      int
	logger          *logrus.Logger
}

// Play runs one world to its end.
func Play(o Options) *World {
	w := &World{options: o, rand: rand.New(rand.NewPCG(o.Seed, 0x9e3779b97f4a7c15)), processes: map[string]*Process{}, cutLinks: map[[2]string]bool{},
		highestAccepted: map[string]lease.Token{}, tokenHolders: map[string]string{}, grantedTo: map[string]string{}, latestGranted: map[string]lease.Token{}, activeHolder: map[string]string{},
		unheldSinceMs: map[string]float64{}, lastRequest: 1 << 32}
	w.Faults = map[string]int{}
	w.logger = logrus.New()
	w.logger.SetOutput(io.Discard)
	w.logger.SetLevel(logrus.PanicLevel)
	// The engine draws its election time-outs from the system's source; here that must come from the seed.
	was := crand.Reader
	crand.Reader = rand.NewChaCha8(electionSeed(o.Seed))
	defer func() { crand.Reader = was }()

	for n := range o.Coordinators {
		p := &Process{Name: fmt.Sprint("c", n+1), world: w, clockOffsetMs: float64(n) * 1e6}
		w.Coordinators, w.processes[p.Name] = append(w.Coordinators, p), p
	}
	for _, p := range w.Coordinators {
		p.start()
	}
	for n := range o.Routers {
		p := &Process{Name: fmt.Sprint("r", n+1), world: w, clockOffsetMs: float64(n) * 1e5}
		if o.MaxHolders == 0 || n < o.MaxHolders {
			for d := range o.Leases {
				p.leases = append(p.leases, leaseName(d))
			}
			if o.Switchover {
				p.leases = append(p.leases, switchover.LeaseName(0))
			}
		}
		w.Routers, w.processes[p.Name] = append(w.Routers, p), p
	}
	for _, p := range w.Routers {
		w.After(w.rand.Float64()*200, p.start)
	}
	if o.Switchover {
		w.startSwitchovers()
	}
	if o.Policy != nil {
		w.startPolicyRun()
	}
	switch {
	case o.Schedule != nil:
		o.Schedule(w)
	case !o.NoFaults && o.Policy != nil:
		w.drawPolicyFaults()
	case !o.NoFaults:
		w.drawFaults()
	}
	end := 2 * o.FaultsMs
	if o.RecoveryMs > 0 {
		end = o.FaultsMs + o.RecoveryMs
	}
	w.After(end, func() {})
	for len(w.queue) > 0 && len(w.Violations) == 0 {
		e := heap.Pop(&w.queue).(event)
		if e.atMs > end {
			break
		}
		w.Now = e.atMs
		e.do()
	}
	w.checkEnd()
	return w
}

func electionSeed(seed uint64) (b [32]byte) {
	for n := range b {
		b[n] = byte(seed >> (8 * (n % 8)))
	}
	return b
}

func leaseName(n int) string { return fmt.Sprint("sight/", n) }

// After has something happen in so many ms.
func (w *World) After(ms float64, do func()) {
	w.seq++
	heap.Push(&w.queue, event{w.Now + ms, w.seq, do})
}

func (w *World) violation(format string, args ...any) {
	if len(w.Violations) < 20 {
		w.Violations = append(w.Violations, fmt.Sprintf("%.0f ms: ", w.Now)+fmt.Sprintf(format, args...))
	}
}

// send carries something from one process to another, unless the way is cut or it is lost. What reaches a process that is
// stopped waits for it; what reaches one that is down, or another life of it, is gone.
func (w *World) send(from, to *Process, bytes int, do func()) {
	w.Messages++
	w.Bytes += bytes
	if w.policyRun != nil {
		w.countBytes(from, bytes)
		w.countBytes(to, bytes)
	}
	life := to.incarnation
	w.After(0.2+w.rand.ExpFloat64()*0.8, func() {
		if w.policyRun != nil && w.policyRun.partitioned[from] != w.policyRun.partitioned[to] {
			return
		}
		if w.cutLinks[[2]string{from.Name, to.Name}] || w.rand.Float64() < w.lossProbability || !to.up || to.incarnation != life {
			return
		}
		to.run(do)
	})
}

// run has a process do something, once it is awake.
func (p *Process) run(do func()) {
	if p.paused {
		p.deferred = append(p.deferred, do)
		return
	}
	do()
	p.carryOut()
}

// later has a process do something in so many ms, if it is still the same life.
func (p *Process) later(ms float64, do func()) {
	life := p.incarnation
	p.world.After(ms, func() {
		if p.up && p.incarnation == life {
			p.run(do)
		}
	})
}

func (p *Process) clock() float64 { return p.world.Now + p.clockOffsetMs + 1 }

func (p *Process) isCoordinator() bool { return p.Name[0] == 'c' }

func (p *Process) start() {
	if p.up || p.dataLost {
		return
	}
	p.incarnation++
	p.up, p.paused, p.deferred = true, false, nil
	if p.isCoordinator() {
		p.startCoordinator()
	} else if p.member != nil { // what it keeps is there
		return
	} else {
		p.startRouter()
	}
	p.carryOut()
	p.scheduleTick()
}

// scheduleTick looks at the clock whenever something is due.
func (p *Process) scheduleTick() {
	due := tickMs
	if p.client != nil {
		due = min(max(p.client.NextDeadline()-p.clock(), 1), 100)
		if p.policy != nil { // nothing else looks at the clock for it
			due = min(max(p.client.NextDeadline()-p.clock(), 1), 1000)
		}
	}
	p.later(due, func() {
		if p.node != nil {
			p.node.Advance(p.clock())
		} else {
			p.client.Advance(p.clock())
		}
		p.scheduleTick()
	})
}

func (p *Process) carryOut() {
	if p.node != nil {
		p.carryOutCoordinator()
	} else if p.client != nil {
		if p.policy != nil {
			p.carryOutPolicy()
		}
		if p.carryOutClient(); p.switchover != nil {
			p.continueSwitchover()
			p.carryOutClient()
		}
	}
}

// Kill ends a process at once.
func (p *Process) Kill() {
	p.up, p.paused, p.deferred, p.node, p.client, p.driver, p.switchover, p.policy = false, false, nil, nil, nil, nil, nil, nil
	p.orderState = switchover.OrderState{}
	for _, d := range p.leases {
		p.world.leaseStopped(p, d)
	}
}

// Pause has a process stand still; Wake goes on with it.
func (p *Process) Pause() { p.paused = p.up }

func (p *Process) Resume() {
	if !p.paused {
		return
	}
	p.paused = false
	waits := p.deferred
	p.deferred = nil
	for _, do := range waits {
		if !p.up {
			return
		}
		do()
		p.carryOut()
	}
}

func (p *Process) startCoordinator() {
	p.requesters, p.tokenReads = map[uint64]requester{}, map[uint64][]string{}
	p.watchers, p.pushedIndex, p.pushPending, p.chunks = nil, 0, false, nil
	var peers []raftnode.Peer
	for _, o := range p.world.Coordinators {
		if !o.joining && !p.joining {
			peers = append(peers, raftnode.Peer{Name: o.Name})
		}
	}
	node, fresh, err := raftnode.New(raftnode.Settings{Fleet: "f", Name: p.Name, Peers: peers, Epoch: p.world.epoch(), Tick: tickMs, SnapshotInterval: 200, Logger: p.world.logger,
		SeededDefects: p.world.options.SeededDefects.Coordinator}, p.disk)
	if err != nil {
		p.world.violation("%s does not start: %v", p.Name, err)
		p.up = false
		return
	}
	if fresh != nil {
		p.save(*fresh)
	}
	p.node = node
	if node.Advance(p.clock()); p.world.options.Policy != nil {
		p.later(1000, p.sendKeepalives)
	}
}

// epoch is the time at which a coordinator would begin, as the program takes it; a defect has it stand still.
func (w *World) epoch() uint64 {
	if w.options.SeededDefects.SameEpoch {
		return 1
	}
	return 1 + uint64(w.Now/1000)
}

// save is the process's disk; what it is given is copied, as a disk would.
func (p *Process) save(d raftnode.Decision) {
	clone := func(m proto.Message) proto.Message { return proto.Clone(m) }
	if d.Snapshot != nil && d.Snapshot.GetMetadata().GetIndex() > 0 {
		p.disk.Snapshot = clone(d.Snapshot).(*raftpb.Snapshot)
		at := d.Snapshot.GetMetadata().GetIndex()
		if d.Action == raftnode.Compact {
			at = d.CompactBelow - 1
		}
		p.disk.Entries = slices.DeleteFunc(p.disk.Entries, func(e *raftpb.Entry) bool { return e.GetIndex() <= at })
	}
	if len(d.Entries) > 0 {
		first := d.Entries[0].GetIndex()
		p.disk.Entries = slices.DeleteFunc(p.disk.Entries, func(e *raftpb.Entry) bool { return e.GetIndex() >= first })
		for _, e := range d.Entries {
			p.disk.Entries = append(p.disk.Entries, clone(e).(*raftpb.Entry))
		}
	}
	if d.HardState != nil {
		p.disk.HardState = clone(d.HardState).(*raftpb.HardState)
	}
}

func (p *Process) carryOutCoordinator() {
	w := p.world
	for d, more := p.node.Next(); more; d, more = p.node.Next() {
		switch d.Action {
		case raftnode.Save:
			if w.options.SeededDefects.AcknowledgeUnsaved {
				p.node.Saved()
				p.later(50, func() { p.save(d) })
				continue
			}
			p.later(0.3+w.rand.ExpFloat64()*0.5+p.diskDelayMs, func() {
				p.save(d)
				p.node.Saved()
			})
		case raftnode.Compact:
			p.save(d)
		case raftnode.Send:
			peer, _ := p.node.Peer(d.Message.GetTo())
			to := w.processes[peer.Name]
			if to == nil {
				continue
			}
			m := proto.Clone(d.Message).(*raftpb.Message)
			w.send(p, to, proto.Size(m), func() {
				if to.node != nil {
					to.node.Step(m)
				}
			})
			if m.GetType() == raftpb.MsgSnap {
				p.later(20, func() { p.node.SnapshotSent(m.GetTo(), true) })
			}
		case raftnode.Done, raftnode.Redirect, raftnode.ResultUnknown:
			p.respond(d)
		case raftnode.LeaderChanged:
			if d.Leader.Name == p.Name {
				w.Elections++
			}
		case raftnode.Applied:
			if leads, _ := p.node.IsLeader(); leads && d.Event.Lease != "" && d.Event.Session != "" && !d.Event.Ended {
				key := d.Event.Lease + " " + d.Event.Token.String()
				if _, before := w.grantedTo[key]; !before {
					w.grantedTo[key] = d.Event.Session
					if d.Event.Token.Compare(w.latestGranted[d.Event.Lease]) > 0 {
						w.latestGranted[d.Event.Lease] = d.Event.Token
					}
					w.Grants++
				}
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

func (p *Process) respond(d raftnode.Decision) {
	who, waits := p.requesters[d.Request]
	if !waits {
		return
	}
	delete(p.requesters, d.Request)
	ans := d.Result
	var fences []lease.Token
	if duties, read := p.tokenReads[d.Request]; read {
		delete(p.tokenReads, d.Request)
		if d.Action == raftnode.Done {
			for _, duty := range duties {
				fences = append(fences, p.node.State().LatestToken(duty))
			}
		}
	}
	to := who.process
	p.world.send(p, to, 64, func() {
		if who.onDecision != nil {
			who.onDecision(d)
			return
		}
		if to.incarnation == who.incarnation && to.client != nil {
			to.responseReceived(who.request, d.Action, ans, fences, d.Leader.Name)
		}
	})
}

func (p *Process) startRouter() {
	p.starts++
	p.openRequests, p.heldLeases, p.seenTokens, p.watchIndex, p.knownLeader = map[uint64]openRequest{}, map[string]lease.Token{}, map[string]lease.Token{}, 0, ""
	margin := SafetyMarginMs
	if p.world.options.SeededDefects.OvercountLease {
		margin = -1000 // as if it were counted from a late answer
	}
	p.client = leaseclient.New(leaseclient.Settings{Name: p.Name, Role: "router", Address: p.Name, Incarnation: uint64(p.starts) * 1000, SessionTimeout: SessionTimeoutMs,
		SafetyMargin: margin, Leases: p.leases, Seed: p.world.options.Seed + uint64(len(p.Name)) + uint64(p.starts)<<8 + uint64(p.Name[len(p.Name)-1])<<16})
	p.client.Advance(p.clock())
	for d := range p.world.options.Leases {
		p.client.LearnToken(leaseName(d))
	}
	if p.world.options.Policy != nil {
		p.startPolicyRouter()
		return
	}
	if p.pollLeases(); p.world.switchovers != nil {
		p.client.LearnToken(switchover.LeaseName(0))
		p.startDriver()
	}
}

// pollLeases is the watch: it asks some coordinator node what has changed.
func (p *Process) pollLeases() {
	w := p.world
	c := w.Coordinators[w.rand.IntN(len(w.Coordinators))]
	life, since := p.incarnation, p.watchIndex
	w.send(p, c, 16, func() {
		u, index := leaseclient.Changes(c.node.State(), since, false)
		w.send(c, p, 16+48*(len(u.Sessions)+len(u.Leases)), func() {
			if p.incarnation == life && p.watchIndex == since {
				p.watchIndex = index
				p.client.UpdateReceived(u)
			}
		})
	})
	p.later(100+w.rand.Float64()*20, p.pollLeases)
}

func (p *Process) carryOutClient() {
	for d, more := p.client.Next(); more; d, more = p.client.Next() {
		switch d.Action {
		case leaseclient.Propose, leaseclient.QueryTokens:
			p.openRequests[d.Request] = openRequest{operations: p.recordOperations(d)}
			p.sendRequest(d, 0)
		case leaseclient.Start:
			p.heldLeases[d.Lease] = d.Token
			if p.world.leaseStarted(p, d.Lease); d.Lease == switchover.LeaseName(0) {
				p.orderState.BeginLease(d.Token)
				p.switchover = &switchoverLease{token: d.Token}
			} else {
				p.sendActs(d.Lease, d.Token)
			}
		case leaseclient.Stop:
			delete(p.heldLeases, d.Lease)
			if p.world.leaseStopped(p, d.Lease); d.Lease == switchover.LeaseName(0) {
				p.switchover = nil
			}
		}
	}
}

// recordOperations notes a request for the history that is checked; takes and reads alone are, and a read for each lease by itself.
func (p *Process) recordOperations(d leaseclient.Decision) (ops []int) {
	op, duties := Operation{Client: p.world.clientNumber(p), Kind: "stand", StartedMs: p.world.Now, EndedMs: -1}, d.Leases
	if d.Action == leaseclient.Propose {
		if d.Entry.Kind != leasestate.AcquireLease {
			return nil
		}
		op.Session, op.Kind, duties = d.Entry.Session, "take", []string{d.Entry.Lease}
	}
	for _, op.Lease = range duties {
		ops = append(ops, len(p.world.Operations))
		p.world.Operations = append(p.world.Operations, op)
	}
	return ops
}

// sendRequest sends a request to who is thought to lead, or to anybody; unanswered for 300 ms, it has failed.
func (p *Process) sendRequest(d leaseclient.Decision, tries int) {
	w := p.world
	open, waits := p.openRequests[d.Request]
	if !waits {
		return
	}
	if tries > 3 {
		p.failRequest(d.Request)
		return
	}
	c := w.processes[p.knownLeader]
	if c == nil {
		c = w.Coordinators[w.rand.IntN(len(w.Coordinators))]
	}
	open.resend = func() { p.sendRequest(d, tries+1) }
	p.openRequests[d.Request] = open
	life := p.incarnation
	w.send(p, c, 96, func() {
		w.lastRequest++
		c.requesters[w.lastRequest] = requester{process: p, incarnation: life, request: d.Request}
		c.node.Advance(c.clock())
		if d.Action == leaseclient.QueryTokens {
			c.tokenReads[w.lastRequest] = d.Leases
			c.node.Read(w.lastRequest)
		} else {
			c.node.Propose(w.lastRequest, d.Entry)
		}
	})
	p.later(300, func() {
		if _, waits := p.openRequests[d.Request]; waits {
			p.knownLeader = ""
			p.failRequest(d.Request)
		}
	})
}

func (p *Process) failRequest(number uint64) {
	c := p.openRequests[number]
	delete(p.openRequests, number)
	p.client.Advance(p.clock())
	if c.onResult != nil {
		c.onResult(leasestate.Result{}, false)
		return
	}
	p.client.Failed(number)
}

// responseReceived takes in how the coordinator answered.
func (p *Process) responseReceived(number uint64, how raftnode.Action, ans leasestate.Result, fences []lease.Token, leader string) {
	c, open := p.openRequests[number]
	if !open {
		return
	}
	switch how {
	case raftnode.Redirect:
		if p.knownLeader = leader; leader == "" {
			p.failRequest(number)
		} else {
			c.resend()
		}
	case raftnode.ResultUnknown:
		p.failRequest(number)
	default:
		delete(p.openRequests, number)
		for i, n := range c.operations {
			op := &p.world.Operations[n]
			if op.EndedMs, op.Held, op.Token = p.world.Now, ans.Held, ans.Token; fences != nil {
				op.Token = fences[i]
			}
		}
		p.client.Advance(p.clock())
		switch {
		case c.onResult != nil:
			c.onResult(ans, true)
		case fences != nil:
			p.client.TokensLearned(number, fences)
		default:
			p.client.Answered(number, ans)
		}
	}
}

// sendActs has an owner send acts for as long as it may. Between its look and its act it may be stopped.
func (p *Process) sendActs(duty string, as lease.Token) {
	w := p.world
	if now, still := p.heldLeases[duty]; !still || now != as {
		return
	}
	p.client.Advance(p.clock())
	if fence, may := p.client.Valid(duty); may {
		if holder, later := w.grantedAbove(duty, fence); later && w.Faults["wiped"] == 0 {
			w.violation("%s finds that it may act for %s under %v, which %s was granted", p.Name, duty, fence, holder)
		}
		for range 2 {
			to := w.Routers[w.rand.IntN(len(w.Routers))]
			p.later(w.rand.Float64()*30, func() { p.sendAct(to, duty, fence) })
		}
	}
	p.later(40+w.rand.Float64()*40, func() { p.sendActs(duty, as) })
}

// grantedAbove tells whether a higher fencing token of a lease has been granted, and to whom.
func (w *World) grantedAbove(duty string, fence lease.Token) (string, bool) {
	top := w.latestGranted[duty]
	return w.grantedTo[duty+" "+top.String()], top.Compare(fence) > 0
}

func (p *Process) sendAct(to *Process, duty string, fence lease.Token) {
	w := p.world
	life := p.incarnation
	w.send(p, to, 80, func() {
		verdict, highest := to.checkToken(lease.Scope{Lease: duty, Subject: "g"}, p.Name, fence)
		switch verdict {
		case lease.Accepted:
			w.actAccepted(to, duty, p.Name, fence)
		case lease.Stale:
			w.StaleActs++
		}
		w.send(to, p, 32, func() {
			if p.incarnation == life && verdict == lease.Stale {
				p.client.ActRejected(duty, highest)
			}
		})
	})
}

// checkToken is the receiver's own, or what is left of it where a defect is seeded.
func (p *Process) checkToken(s lease.Scope, holder string, fence lease.Token) (lease.Verdict, lease.Token) {
	switch {
	case p.world.options.SeededDefects.SkipTokenCheck:
		return lease.Accepted, fence
	case p.world.options.SeededDefects.ForgetTokens:
		if fence.Compare(p.seenTokens[s.Lease]) < 0 {
			return lease.Stale, p.seenTokens[s.Lease]
		}
		p.seenTokens[s.Lease] = fence
		return lease.Accepted, fence
	}
	return p.client.Check(s, holder, fence)
}

// actAccepted checks what a receiver took against all that was ever taken there, whatever it remembers.
func (w *World) actAccepted(at *Process, duty, holder string, fence lease.Token) {
	w.Acts++
	key := at.Name + " " + duty
	if fence.Compare(w.highestAccepted[key]) < 0 {
		w.violation("%s took an act of %s for %s under %v after one under %v", at.Name, holder, duty, fence, w.highestAccepted[key])
	}
	w.highestAccepted[key] = fence
	one := duty + " " + fence.String()
	if other := w.tokenHolders[one]; other != "" && other != holder {
		w.violation("%s: %v is both %s's and %s's", duty, fence, other, holder)
	}
	w.tokenHolders[one] = holder
}

func (w *World) clientNumber(p *Process) int { return slices.Index(w.Routers, p) }

// leaseStarted and stopped keep the time without an owner.
func (w *World) leaseStarted(p *Process, duty string) {
	if w.activeHolder[duty] == "" {
		if at, was := w.unheldSinceMs[duty]; was {
			w.HolderGapsMs = append(w.HolderGapsMs, w.Now-at)
		}
	}
	w.activeHolder[duty] = p.Name
}

func (w *World) leaseStopped(p *Process, duty string) {
	if w.activeHolder[duty] == p.Name {
		w.activeHolder[duty], w.unheldSinceMs[duty] = "", w.Now
	}
}

// checkEnd looks at what is left in the end: long after the last fault each lease has an owner.
func (w *World) checkEnd() {
	w.EndedMs = w.Now
	for n := range w.options.Leases {
		d := leaseName(n)
		if w.activeHolder[d] == "" {
			w.StuckLeases = append(w.StuckLeases, d)
		}
	}
	for _, p := range w.Coordinators {
		if p.node != nil {
			w.Entries = max(w.Entries, p.node.State().Index())
		}
	}
	if len(w.Violations) == 0 {
		w.Violations = Linear(w.Operations)
	}
	if w.switchovers != nil {
		w.Violations = append(w.Violations, w.checkWrites()...)
	}
	if w.policyRun != nil && len(w.Violations) == 0 {
		w.Violations = w.checkPolicies()
	}
}
