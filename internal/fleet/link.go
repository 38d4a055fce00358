// Package fleet is a process's way to its fleet: its session with the coordinator, the leases it holds, the orders it takes of
// others'. It carries out what decide/leaseclient, decide/healthshare and decide/switchover decide. It owns a goroutine, a listener and
// connections of its own; it must never have a request wait, and whatever becomes of it the router serves on.
package fleet

import (
	"context"
	"fmt"
	"hash/fnv"
	"maps"
	"math"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/net/netutil"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"

	"wayloft/internal/audit"
	"wayloft/internal/decide/healthshare"
	"wayloft/internal/decide/lease"
	"wayloft/internal/decide/leaseclient"
	"wayloft/internal/decide/leasestate"
	"wayloft/internal/decide/policy"
	"wayloft/internal/decide/switchover"
	"wayloft/internal/failpoint"
	"wayloft/internal/fleetpb"
	"wayloft/internal/invariant"
	"wayloft/internal/rpc"
)

const (
	inbox       = 1024
	longest     = 1 << 20         // bytes of one order
	connections = 1024            // of those who give orders
	handshake   = 5 * time.Second // for one of them to begin to speak the protocol
	again       = 500.0           // ms until the router is asked again which groups there are, where too much waited for it
	farewell    = time.Second     // to tell the coordinator that this process leaves
)

// Router is what the fleet's part asks of a router. All but Post are called on the router's own loop.
type Router interface {
	Post(f func())
	Now() float64                            // Unix ms
	Groups() map[int][]Member                // as the list has them; asked at the start and after Changed
	HealthCheck(member string)               // check it
	PeerReported(r healthshare.Report)       // what another's check told
	HoldWrites(group int, until float64)     // writes wait until then, Unix ms; 0: they don't
	Writes(group int) (running, waiting int) // of a group

	// Policy has the router go by a document from now on, in place of the one before: what it doesn't name is the router's own
	// file's to say. An error: it can't, for this reason, and goes on as it was; operators are shown it.
	ApplyPolicy(v policy.Version, d policy.Document) error
}

// Member is one of a group's.
type Member struct {
	ID, Addr string
	Started  float64 // Unix ms; 0: long ago
}

// Settings are given once. Times are ms.
type Settings struct {
	Fleet, Name, Kind            string
	Coordinators                 []string
	Via                          map[string]string // other ways to processes, by name
	Listen                       string            // for orders; Address is what others are told, Listen where it is empty
	Address                      string
	SessionTimeout, SafetyMargin float64
	HealthSharePeriod            float64 // between two looks at a member, for who owns health sharing; 0: this process would not
	SwitchoverEnabled            bool    // this process would carry switchovers out
	Switchover                   switchover.Settings
	Adapter                      *Adapter
	MaxHold                      float64 // the most that writes wait here for one switchover
	ClockOffset                  float64 // ms that this process's clock is ahead, for tests
	Record                       *audit.Log
	PolicyRate                   float64 // bytes a second that fetching the policy may take; 0: 2560
	Store                        Store   // of the policy; nil: none
}

// Node is one process's way to its fleet.
type Node struct {
	fleetpb.UnimplementedReceiverServer
	set     Settings
	router  Router
	client  *Client
	agent   *leaseclient.Client
	inbox   chan func()
	ctx     context.Context
	ended   chan struct{}
	follow  *following
	owns    atomic.Bool        // a lease: it needs the sessions of those whom it gives orders
	rewatch context.CancelFunc // ends the watch that leaves them out; under mu
	mu      sync.Mutex
	groups  map[int][]Member
	lookAt  float64                           // when the router is asked which groups there are
	changed chan struct{}                     // they have changed
	asked   int                               // how often it was asked
	heard   int                               // the latest of these that it has answered
	wanted  map[string]bool                   // leases that it would own, of groups that are listed
	desks   map[string]*switchover.OrderState // by lease, while it is wanted
	looks   map[string]*looker                // by lease, while it is held
	hands   map[string]*handing               // by lease, while it is held
	guests  *switchover.WriteHolds
	ways    map[string]*grpc.ClientConn // to other processes, by address
	hosted  chan func()                 // what the router's loop is to do, in order
	dropped atomic.Int64                // reports for which there was no room
	seen    atomic.Int64                // positions heard of from others
}

// looker is health sharing, held for a group.
type looker struct {
	group int
	fence lease.Token
	owner *healthshare.Prober
	busy  map[string]bool // routers that have yet to answer the word before
}

// New makes one; nothing happens until Run.
func New(set Settings, router Router) *Node { return newLink(set, router, time.Now()) }

// newLink is New by a wall clock that says started. Nothing but the number of the first session comes from it.
func newLink(set Settings, router Router, started time.Time) *Node {
	h := fnv.New64a()
	h.Write([]byte(set.Name))
	l := &Node{set: set, router: router, client: NewClient(set.Fleet, set.Coordinators, set.Via), inbox: make(chan func(), inbox),
		ended: make(chan struct{}), groups: map[int][]Member{}, wanted: map[string]bool{}, desks: map[string]*switchover.OrderState{}, looks: map[string]*looker{},
		hands: map[string]*handing{}, guests: switchover.NewWriteHolds(set.MaxHold), ways: map[string]*grpc.ClientConn{}, hosted: make(chan func(), inbox),
		changed: make(chan struct{}, 1)}
	seed := h.Sum64() ^ rpc.UniqueID()
	l.follow = follow(set, seed)
	l.agent = leaseclient.New(leaseclient.Settings{Name: set.Name, Role: set.Kind, Address: set.Address, SessionTimeout: set.SessionTimeout, SafetyMargin: set.SafetyMargin,
		Incarnation: uint64(max(0, started.UnixMilli())), Seed: seed})
	l.agent.Advance(l.now())
	return l
}

// Run is the process's part in the fleet until ctx ends; then it gives back what it holds.
func (l *Node) Run(ctx context.Context, listener net.Listener) {
	defer close(l.ended)
	on, cancel := context.WithCancel(context.Background())
	defer cancel()
	l.ctx = on
	checks := rpc.NewInterceptors(l.set.Fleet)
	server := grpc.NewServer(grpc.MaxRecvMsgSize(longest), grpc.MaxConcurrentStreams(64), grpc.ConnectionTimeout(handshake),
		grpc.ChainUnaryInterceptor(checks.Unary), grpc.ChainStreamInterceptor(checks.Stream),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: 5 * time.Second, PermitWithoutStream: true}))
	fleetpb.RegisterReceiverServer(server, l)
	go server.Serve(netutil.LimitListener(listener, connections))
	defer server.Stop()
	defer l.client.Close()
	defer func() {
		for _, w := range l.ways {
			w.Close()
		}
	}()
	l.remember()
	go l.watch()
	go func() {
		for {
			select {
			case f := <-l.hosted:
				l.router.Post(f)
			case <-on.Done():
				return
			}
		}
	}()
	logrus.WithFields(logrus.Fields{"name": l.set.Name, "orders": listener.Addr().String(), "fleet": l.set.Fleet}).Info("fleet")
	l.set.Record.Add("up", audit.Fields{"kind": l.set.Kind})
	timer := time.NewTimer(0)
	defer timer.Stop()
	left := ctx.Done()
	var late <-chan time.Time
	for !l.agent.ShutdownComplete() {
		select {
		case f := <-l.inbox:
			f()
			for n := len(l.inbox); n > 0; n-- {
				(<-l.inbox)()
			}
		case <-timer.C:
		case <-l.changed:
			l.lookAt = 0
		case <-left:
			left = nil
			late = time.After(farewell)
			l.agent.Advance(l.now())
			l.agent.Shutdown()
		case <-late:
			return
		}
		l.turn()
		timer.Reset(time.Duration(max(1, min(l.due()-l.now(), 1000)) * float64(time.Millisecond)))
	}
}

// Ended is closed once Run has returned.
func (l *Node) Ended() <-chan struct{} { return l.ended }

// Changed says that the router's list has changed. It never waits, and may be called on the router's loop.
func (l *Node) Changed() {
	select {
	case l.changed <- struct{}{}:
	default: // it is yet to be looked at
	}
}

func (l *Node) now() float64 { return rpc.Boottime() + l.set.ClockOffset }

// post has the loop do something; it reports false where the loop has ended.
func (l *Node) post(f func()) bool {
	select {
	case l.inbox <- f:
		return true
	case <-l.ended:
		return false
	}
}

// host has the router's loop do something, in the order of these calls; false: too much waits there already.
func (l *Node) host(f func()) bool {
	select {
	case l.hosted <- f:
		return true
	default:
		l.dropped.Add(1)
		return false
	}
}

// due is when something may have to be done next if nothing comes in.
func (l *Node) due() float64 {
	due := min(l.agent.NextDeadline(), l.lookAt, l.follow.follower.NextDeadline())
	if l.follow.adopt != nil {
		due = min(due, l.now()+20)
	}
	if l.follow.save != nil {
		due = min(due, l.follow.retry.Due())
	}
	for _, k := range l.looks {
		due = min(due, k.owner.NextDeadline())
	}
	if len(l.hands) > 0 {
		due = min(due, l.now()+20)
	}
	return due
}

// turn carries out what is decided.
func (l *Node) turn() {
	now := l.now()
	l.agent.Advance(now)
	if l.lookAt <= now {
		l.asked++
		n := l.asked
		if l.lookAt = now + again; l.host(func() {
			g := l.router.Groups()
			go l.post(func() {
				if n > l.heard { // guards against a list that overtakes the one after it: nobody would ask again
					l.heard = n
					l.listed(g)
				}
			})
		}) {
			l.lookAt = math.Inf(1) // until they change
		}
	}
	l.goBy(now)
	for d, more := l.agent.Next(); more; d, more = l.agent.Next() {
		l.do(d)
	}
	for _, duty := range slices.Sorted(maps.Keys(l.looks)) {
		l.look(duty, now)
	}
	for _, duty := range slices.Sorted(maps.Keys(l.hands)) {
		l.hand(duty, now)
	}
}

// listed takes in which groups there are.
func (l *Node) listed(groups map[int][]Member) {
	l.groups = groups
	wanted := map[string]bool{}
	there := map[int]bool{}
	for group := range groups {
		there[group] = true
		if l.set.HealthSharePeriod > 0 {
			wanted[healthshare.LeaseName(group)] = true
		}
		if l.set.SwitchoverEnabled {
			wanted[switchover.LeaseName(group)] = true
		}
		for _, duty := range []string{healthshare.LeaseName(group), switchover.LeaseName(group)} {
			l.agent.LearnToken(duty)
		}
	}
	l.guests.Forget(there)
	for duty := range l.wanted {
		if !wanted[duty] {
			delete(l.desks, duty)
			l.agent.Release(duty)
		}
	}
	l.wanted = wanted
	for _, duty := range slices.Sorted(maps.Keys(wanted)) {
		l.agent.Acquire(duty)
	}
	for _, k := range l.looks {
		l.members(k)
	}
}

func (l *Node) members(k *looker) {
	var ids []string
	for _, m := range l.groups[k.group] {
		ids = append(ids, m.ID)
	}
	k.owner.Members(ids)
}

func (l *Node) do(d leaseclient.Decision) {
	switch d.Action {
	case leaseclient.Propose, leaseclient.QueryTokens:
		go l.ask(d)
	case leaseclient.Start:
		l.set.Record.Add("start", audit.Fields{"duty": d.Lease, "fence": d.Token.String()})
		logrus.WithFields(logrus.Fields{"duty": d.Lease, "fence": d.Token}).Info("owns")
		l.others()
		var group int
		if _, err := fmt.Sscanf(d.Lease, "sight/%d", &group); err == nil {
			k := &looker{group: group, fence: d.Token, owner: healthshare.NewProber(l.set.HealthSharePeriod), busy: map[string]bool{}}
			k.owner.Advance(l.now())
			l.members(k)
			l.looks[d.Lease] = k
		} else if _, err := fmt.Sscanf(d.Lease, "handover/%d", &group); err == nil {
			if l.desks[d.Lease] == nil {
				l.desks[d.Lease] = &switchover.OrderState{}
			}
			l.desks[d.Lease].BeginLease(d.Token)
			l.hands[d.Lease] = &handing{group: group, fence: d.Token, desk: l.desks[d.Lease]}
		}
	case leaseclient.Stop:
		l.set.Record.Add("stop", audit.Fields{"duty": d.Lease, "fence": d.Token.String()})
		logrus.WithFields(logrus.Fields{"duty": d.Lease, "fence": d.Token}).Info("owns no more")
		delete(l.looks, d.Lease)
		if h := l.hands[d.Lease]; h != nil && h.cancel != nil {
			h.cancel()
		}
		delete(l.hands, d.Lease)
		l.owns.Store(len(l.looks)+len(l.hands) > 0)
	}
}

// others has the watch tell the sessions of others from now on, since this process gives orders. The next watch leaves them out
// again, if it owns nothing by then.
func (l *Node) others() {
	if l.owns.Store(true); l.agent.SessionsComplete() {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.rewatch != nil {
		l.rewatch()
	}
}

// ask carries a request to the coordinator. A quarter of the session's length is enough for an answer, or for another try.
func (l *Node) ask(d leaseclient.Decision) {
	ctx, cancel := context.WithTimeout(l.ctx, time.Duration(l.set.SessionTimeout/4*float64(time.Millisecond)))
	defer cancel()
	var a leasestate.Result
	var fences []lease.Token
	var err error
	if d.Action == leaseclient.QueryTokens {
		fences, err = l.client.LatestTokens(ctx, d.Leases)
	} else {
		a, err = l.client.ProposeEntry(ctx, d.Entry)
	}
	l.post(func() {
		l.agent.Advance(l.now())
		if err != nil {
			logrus.WithError(err).Debug("no answer of the council")
			l.agent.Failed(d.Request)
			return
		}
		if d.Action == leaseclient.QueryTokens {
			l.agent.TokensLearned(d.Request, fences)
			return
		}
		if d.Action == leaseclient.Propose && d.Entry.Kind == leasestate.ReportToken && a.Refusal != "" {
			logrus.WithFields(logrus.Fields{"duty": d.Entry.Lease, "seen": d.Entry.Token, "council": a.Token}).Error(a.Refusal)
			l.set.Record.Add("behind", audit.Fields{"duty": d.Entry.Lease, "seen": d.Entry.Token.String(), "council": a.Token.String()})
		}
		if d.Action == leaseclient.Propose && d.Entry.Kind == leasestate.OpenSession {
			l.set.Record.Add("session", audit.Fields{"held": a.Held, "why": a.Refusal, "incarnation": d.Entry.Incarnation})
		}
		l.agent.Answered(d.Request, a)
	})
}

// watch hears of changes, and begins again whenever that ends.
func (l *Node) watch() {
	told := ""
	for l.ctx.Err() == nil {
		ctx, cancel := context.WithCancel(l.ctx)
		l.mu.Lock()
		without := !l.owns.Load()
		if l.rewatch = nil; without {
			l.rewatch = cancel
		}
		l.mu.Unlock()
		err := l.client.Watch(ctx, without, func(u *fleetpb.Update) {
			told = ""
			l.post(func() {
				l.agent.Advance(l.now())
				in := rpc.DecodeUpdate(u)
				l.agent.UpdateReceived(in)
				l.follow.follower.Advance(l.now())
				for _, p := range in.Policies {
					l.follow.follower.VersionAnnounced(p.Version, p.Difference)
				}
			})
		})
		ended := ctx.Err() != nil
		if cancel(); ended && l.ctx.Err() == nil { // by ourselves
			continue
		}
		if text := err.Error(); l.ctx.Err() == nil && text != told {
			told = text
			logrus.WithError(err).Warn("the council is out of reach; the router serves on, the fleet's duties may rest")
		}
		select {
		case <-l.ctx.Done():
		case <-time.After(rpc.Jitter(300 * time.Millisecond)):
		}
	}
}

// Reported says what a check of this process told, on the router's loop. It never waits.
func (l *Node) Reported(r healthshare.Report) {
	select {
	case l.inbox <- func() {
		for _, k := range l.looks {
			k.owner.Reported(r) // of another group's it takes none
		}
	}:
	default:
		l.dropped.Add(1)
	}
}

// look does what health sharing of a group decides.
func (l *Node) look(duty string, now float64) {
	k := l.looks[duty]
	k.owner.Advance(now)
	for d, more := k.owner.Next(); more; d, more = k.owner.Next() {
		switch d.Action {
		case healthshare.Probe:
			l.host(func() { l.router.HealthCheck(d.Member) })
		case healthshare.Share:
			l.spread(duty, k, d.Reports)
		}
	}
}

// spread sends reports to all other routers; one that has yet to answer the word before is passed over: the next will do.
func (l *Node) spread(duty string, k *looker, reports []healthshare.Report) {
	order := &fleetpb.Order{Duty: duty, About: duty, Holder: l.set.Name, Fence: rpc.EncodeToken(k.fence)}
	for _, r := range reports {
		order.Sightings = append(order.Sightings, &fleetpb.Sighting{Member: r.Member, Started: r.Started, Position: r.Position,
			Primary: r.Primary, Replica: r.Replica, At: r.At})
	}
	for _, s := range l.agent.Sessions("router") {
		if s.Name == l.set.Name || k.busy[s.Name] {
			continue
		}
		if fence, may := l.agent.Valid(duty); !may || fence != k.fence { // the last look before it goes out
			return
		}
		failpoint.Point("sight.looked") // between the look and the act
		k.busy[s.Name] = true
		l.order(s, order, func(v *fleetpb.Verdict, err error) { delete(k.busy, s.Name) })
	}
}

// order sends an act to another process; done hears of it on the loop, as does the agent where it was refused.
func (l *Node) order(to leaseclient.Session, o *fleetpb.Order, done func(*fleetpb.Verdict, error)) {
	if to.Name == l.set.Name { // this very process
		go func() {
			v, err := l.Act(l.ctx, o)
			l.post(func() { done(v, err) })
		}()
		return
	}
	addr := to.Address
	if via := l.set.Via[to.Name]; via != "" {
		addr = via
	}
	conn := l.ways[addr]
	if conn == nil {
		var err error
		if conn, err = rpc.Dial(addr, l.set.Fleet); err != nil {
			done(nil, err)
			return
		}
		l.clean()
		l.ways[addr] = conn
	}
	go func() {
		ctx, cancel := context.WithTimeout(l.ctx, failpoint.Duration("order.ends", time.Duration(l.set.SessionTimeout/2*float64(time.Millisecond))))
		defer cancel()
		v, err := fleetpb.NewReceiverClient(conn).Act(ctx, o)
		l.post(func() {
			if err == nil && v.Kind == fleetpb.Verdict_OLD {
				higher := rpc.DecodeToken(v.Highest)
				logrus.WithFields(logrus.Fields{"duty": o.Duty, "fence": rpc.DecodeToken(o.Fence), "higher": higher, "by": to.Name}).
					Warn("an act of ours was refused: the duty is another's")
				l.set.Record.Add("refused", audit.Fields{"duty": o.Duty, "fence": rpc.DecodeToken(o.Fence).String(), "higher": higher.String(), "by": to.Name})
				l.agent.Advance(l.now())
				l.agent.ActRejected(o.Duty, higher)
			}
			done(v, err)
		})
	}()
}

// clean ends the ways to processes that have no session any more.
func (l *Node) clean() {
	there := map[string]bool{}
	for _, s := range l.agent.Sessions("router") {
		there[s.Address] = true
		there[l.set.Via[s.Name]] = true
	}
	for addr, conn := range l.ways {
		if !there[addr] {
			conn.Close()
			delete(l.ways, addr)
		}
	}
}

// Act is the service's: an order of a lease's owner. Its fencing token is judged and what it says is handed to the router in one go, so
// that nothing under a lower fencing token can come in between.
func (l *Node) Act(ctx context.Context, o *fleetpb.Order) (*fleetpb.Verdict, error) {
	if l.ctx == nil || ctx.Err() != nil {
		return nil, status.Error(codes.Unavailable, "not up")
	}
	if len(o.Duty) > 256 || len(o.About) > 256 || len(o.Holder) > 256 || len(o.Sightings) > healthshare.MaxReports() {
		return nil, status.Error(codes.InvalidArgument, "an order of unsound size")
	}
	if !strings.HasPrefix(o.Duty, "sight/") && !strings.HasPrefix(o.Duty, "handover/") {
		return nil, status.Errorf(codes.InvalidArgument, "the duty %.64q is none that this build knows", o.Duty)
	}
	result := make(chan *fleetpb.Verdict, 1)
	if !l.post(func() { l.judge(o, func(v *fleetpb.Verdict) { result <- v }) }) {
		return nil, status.Error(codes.Unavailable, "this process is ending")
	}
	select {
	case v := <-result:
		return v, nil
	case <-ctx.Done():
		return nil, status.FromContextError(ctx.Err()).Err()
	case <-l.ended:
		return nil, status.Error(codes.Unavailable, "this process is ending")
	}
}

var verdicts = map[lease.Verdict]fleetpb.Verdict_Kind{lease.Accepted: fleetpb.Verdict_TAKEN, lease.Stale: fleetpb.Verdict_OLD,
	lease.NotLearned: fleetpb.Verdict_UNKNOWN, lease.Conflicting: fleetpb.Verdict_BROKEN}

func (l *Node) judge(o *fleetpb.Order, done func(*fleetpb.Verdict)) {
	l.agent.Advance(l.now())
	fence := rpc.DecodeToken(o.Fence)
	verdict, highest := l.agent.Check(lease.Scope{Lease: o.Duty, Subject: o.About}, o.Holder, fence)
	v := &fleetpb.Verdict{Kind: verdicts[verdict], Highest: rpc.EncodeToken(highest)}
	f := audit.Fields{"duty": o.Duty, "about": o.About, "holder": o.Holder, "fence": fence.String()}
	switch verdict {
	case lease.Accepted:
		l.set.Record.Add("taken", f)
		l.obey(o, fence, v, done)
		return
	case lease.Stale:
		f["higher"] = highest.String()
		l.set.Record.Add("late", f)
		logrus.WithFields(logrus.Fields{"duty": o.Duty, "holder": o.Holder, "fence": fence, "higher": highest}).Warn("refused an act of a former owner")
	case lease.Conflicting:
		invariant.Check(false, "one fence, one holder")
	}
	done(v)
}

// obey has the router do what an order says; what is unsound of it is passed over, with words.
func (l *Node) obey(o *fleetpb.Order, fence lease.Token, v *fleetpb.Verdict, done func(*fleetpb.Verdict)) {
	h := o.Hold
	took := l.host(func() {
		now := l.router.Now()
		for _, s := range o.Sightings {
			r := healthshare.Report{Member: s.Member, Started: s.Started, Position: s.Position, Primary: s.Primary, Replica: s.Replica, At: s.At}
			if err := healthshare.CheckReport(r, now); err != nil {
				v.Kind, v.Why = fleetpb.Verdict_UNSOUND, err.Error()
				continue
			}
			l.seen.Add(1)
			l.router.PeerReported(r)
		}
		if h == nil {
			done(v)
			return
		}
		group := int(h.Group)
		if o.Duty != switchover.LeaseName(group) {
			v.Kind, v.Why = fleetpb.Verdict_UNSOUND, "an order about another group"
			done(v)
			return
		}
		switch {
		case h.Looks:
		case h.Ends:
			l.guests.Release(group, fence, h.Number)
			l.router.HoldWrites(group, 0)
		default:
			l.router.HoldWrites(group, l.guests.Hold(group, fence, h.Number, h.MostMs, now))
		}
		running, waiting := l.router.Writes(group)
		v.Running, v.Held = int64(running), int64(waiting)
		done(v)
	})
	if !took {
		v.Kind, v.Why = fleetpb.Verdict_UNKNOWN, "too busy"
		done(v)
	}
}
