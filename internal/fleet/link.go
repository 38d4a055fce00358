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
	queueSize        = 1024
	maxOrderBytes    = 1 << 20         // bytes of one order
	maxConnections   = 1024            // of those who give orders
	handshakeTimeout = 5 * time.Second // for one of them to begin to speak the protocol
	groupsRetryMs    = 500.0           // ms until the router is asked again which groups there are, where too much waited for it
	leaveTimeout     = time.Second     // to tell the coordinator that this process leaves
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
	AddressOverrides             map[string]string // other ways to processes, by name
	ListenAddress                string            // for orders; Address is what others are told, Listen where it is empty
	Address                      string
	SessionTimeout, SafetyMargin float64
	HealthSharePeriod            float64 // between two looks at a member, for who owns health sharing; 0: this process would not
	SwitchoverEnabled            bool    // this process would carry switchovers out
	Switchover                   switchover.Settings
	Adapter                      *Adapter
	MaxHold                      float64 // the most that writes wait here for one switchover
	ClockOffset                  float64 // ms that this process's clock is ahead, for tests
	AuditLog                     *audit.Log
	PolicyRate                   float64 // bytes a second that fetching the policy may take; 0: 2560
	Store                        Store   // of the policy; nil: none
}

// Node is one process's way to its fleet.
type Node struct {
	fleetpb.UnimplementedReceiverServer
	settings       Settings
	router         Router
	client         *Client
	leases         *leaseclient.Client
	inbox          chan func()
	ctx            context.Context
	ended          chan struct{}
	policies       *policyState
	givesOrders    atomic.Bool        // a lease: it needs the sessions of those whom it gives orders
	restartWatch   context.CancelFunc // ends the watch that leaves them out; under mu
	mu             sync.Mutex
	groups         map[int][]Member
	nextGroups     float64                           // when the router is asked which groups there are
	groupsChanged  chan struct{}                     // they have changed
	groupsAsked    int                               // how often it was asked
	groupsReceived int                               // the latest of these that it has answered
	wantedLeases   map[string]bool                   // leases that it would own, of groups that are listed
	orderStates    map[string]*switchover.OrderState // by lease, while it is wanted
	healthSharers  map[string]*healthSharer          // by lease, while it is held
	switchovers    map[string]*switchoverTask        // by lease, while it is held
	writeHolds     *switchover.WriteHolds
	connections    map[string]*grpc.ClientConn // to other processes, by address
	routerCalls    chan func()                 // what the router's loop is to do, in order
	droppedCalls   atomic.Int64                // reports for which there was no room
	reportsApplied atomic.Int64                // positions heard of from others
}

// healthSharer is health sharing, held for a group.
type healthSharer struct {
	group      int
	token      lease.Token
	prober     *healthshare.Prober
	unanswered map[string]bool // routers that have yet to answer the word before
}

// New makes one; nothing happens until Run.
func New(set Settings, router Router) *Node { return newNode(set, router, time.Now()) }

// newNode is New by a wall clock that says started. Nothing but the number of the first session comes from it.
func newNode(set Settings, router Router, started time.Time) *Node {
	h := fnv.New64a()
	h.Write([]byte(set.Name))
	l := &Node{settings: set, router: router, client: NewClient(set.Fleet, set.Coordinators, set.AddressOverrides), inbox: make(chan func(), queueSize),
		ended: make(chan struct{}), groups: map[int][]Member{}, wantedLeases: map[string]bool{}, orderStates: map[string]*switchover.OrderState{}, healthSharers: map[string]*healthSharer{},
		switchovers: map[string]*switchoverTask{}, writeHolds: switchover.NewWriteHolds(set.MaxHold), connections: map[string]*grpc.ClientConn{}, routerCalls: make(chan func(), queueSize),
		groupsChanged: make(chan struct{}, 1)}
	seed := h.Sum64() ^ rpc.UniqueID()
	l.policies = newPolicyState(set, seed)
	l.leases = leaseclient.New(leaseclient.Settings{Name: set.Name, Kind: set.Kind, Address: set.Address, SessionTimeout: set.SessionTimeout, SafetyMargin: set.SafetyMargin,
		Incarnation: uint64(max(0, started.UnixMilli())), Seed: seed})
	l.leases.Advance(l.now())
	return l
}

// Run is the process's part in the fleet until ctx ends; then it gives back what it holds.
func (l *Node) Run(ctx context.Context, listener net.Listener) {
	defer close(l.ended)
	on, cancel := context.WithCancel(context.Background())
	defer cancel()
	l.ctx = on
	checks := rpc.Server(l.settings.Fleet)
	server := grpc.NewServer(grpc.MaxRecvMsgSize(maxOrderBytes), grpc.MaxConcurrentStreams(64), grpc.ConnectionTimeout(handshakeTimeout),
		grpc.ChainUnaryInterceptor(checks.Unary), grpc.ChainStreamInterceptor(checks.Stream),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: 5 * time.Second, PermitWithoutStream: true}))
	fleetpb.RegisterReceiverServer(server, l)
	go server.Serve(netutil.LimitListener(listener, maxConnections))
	defer server.Stop()
	defer l.client.Close()
	defer func() {
		for _, w := range l.connections {
			w.Close()
		}
	}()
	l.loadPolicy()
	go l.watch()
	go func() {
		for {
			select {
			case f := <-l.routerCalls:
				l.router.Post(f)
			case <-on.Done():
				return
			}
		}
	}()
	logrus.WithFields(logrus.Fields{"name": l.settings.Name, "orders": listener.Addr().String(), "fleet": l.settings.Fleet}).Info("fleet")
	l.settings.AuditLog.Add("up", audit.Fields{"kind": l.settings.Kind})
	timer := time.NewTimer(0)
	defer timer.Stop()
	left := ctx.Done()
	var late <-chan time.Time
	for !l.leases.Left() {
		select {
		case f := <-l.inbox:
			f()
			for n := len(l.inbox); n > 0; n-- {
				(<-l.inbox)()
			}
		case <-timer.C:
		case <-l.groupsChanged:
			l.nextGroups = 0
		case <-left:
			left = nil
			late = time.After(leaveTimeout)
			l.leases.Advance(l.now())
			l.leases.Leave()
		case <-late:
			return
		}
		l.advance()
		timer.Reset(time.Duration(max(1, min(l.nextDeadline()-l.now(), 1000)) * float64(time.Millisecond)))
	}
}

// Ended is closed once Run has returned.
func (l *Node) Ended() <-chan struct{} { return l.ended }

// Changed says that the router's list has changed. It never waits, and may be called on the router's loop.
func (l *Node) Changed() {
	select {
	case l.groupsChanged <- struct{}{}:
	default: // it is yet to be looked at
	}
}

func (l *Node) now() float64 { return rpc.Boottime() + l.settings.ClockOffset }

// post has the loop do something; it reports false where the loop has ended.
func (l *Node) post(f func()) bool {
	select {
	case l.inbox <- f:
		return true
	case <-l.ended:
		return false
	}
}

// callRouter has the router's loop do something, in the order of these calls; false: too much waits there already.
func (l *Node) callRouter(f func()) bool {
	select {
	case l.routerCalls <- f:
		return true
	default:
		l.droppedCalls.Add(1)
		return false
	}
}

// nextDeadline is when something may have to be done next if nothing comes in.
func (l *Node) nextDeadline() float64 {
	due := min(l.leases.NextDeadline(), l.nextGroups, l.policies.follower.NextDeadline())
	if l.policies.toApply != nil {
		due = min(due, l.now()+20)
	}
	if l.policies.toSave != nil {
		due = min(due, l.policies.saveRetry.Due())
	}
	for _, k := range l.healthSharers {
		due = min(due, k.prober.NextDeadline())
	}
	if len(l.switchovers) > 0 {
		due = min(due, l.now()+20)
	}
	return due
}

// advance carries out what is decided.
func (l *Node) advance() {
	now := l.now()
	l.leases.Advance(now)
	if l.nextGroups <= now {
		l.groupsAsked++
		n := l.groupsAsked
		if l.nextGroups = now + groupsRetryMs; l.callRouter(func() {
			g := l.router.Groups()
			go l.post(func() {
				if n > l.groupsReceived { // guards against a list that overtakes the one after it: nobody would ask again
					l.groupsReceived = n
					l.groupsListed(g)
				}
			})
		}) {
			l.nextGroups = math.Inf(1) // until they change
		}
	}
	l.advancePolicy(now)
	for d, more := l.leases.Next(); more; d, more = l.leases.Next() {
		l.carryOut(d)
	}
	for _, duty := range slices.Sorted(maps.Keys(l.healthSharers)) {
		l.shareHealth(duty, now)
	}
	for _, duty := range slices.Sorted(maps.Keys(l.switchovers)) {
		l.runSwitchover(duty, now)
	}
}

// groupsListed takes in which groups there are.
func (l *Node) groupsListed(groups map[int][]Member) {
	l.groups = groups
	wanted := map[string]bool{}
	there := map[int]bool{}
	for group := range groups {
		there[group] = true
		if l.settings.HealthSharePeriod > 0 {
			wanted[healthshare.LeaseName(group)] = true
		}
		if l.settings.SwitchoverEnabled {
			wanted[switchover.LeaseName(group)] = true
		}
		for _, duty := range []string{healthshare.LeaseName(group), switchover.LeaseName(group)} {
			l.leases.LearnToken(duty)
		}
	}
	l.writeHolds.RetainGroups(there)
	for duty := range l.wantedLeases {
		if !wanted[duty] {
			delete(l.orderStates, duty)
			l.leases.Release(duty)
		}
	}
	l.wantedLeases = wanted
	for _, duty := range slices.Sorted(maps.Keys(wanted)) {
		l.leases.Acquire(duty)
	}
	for _, k := range l.healthSharers {
		l.setMembers(k)
	}
}

func (l *Node) setMembers(k *healthSharer) {
	var ids []string
	for _, m := range l.groups[k.group] {
		ids = append(ids, m.ID)
	}
	k.prober.SetMembers(ids)
}

func (l *Node) carryOut(d leaseclient.Decision) {
	switch d.Action {
	case leaseclient.Propose, leaseclient.QueryTokens:
		go l.request(d)
	case leaseclient.Start:
		l.settings.AuditLog.Add("start", audit.Fields{"duty": d.Lease, "fence": d.Token.String()})
		logrus.WithFields(logrus.Fields{"duty": d.Lease, "fence": d.Token}).Info("owns")
		l.watchSessions()
		var group int
		if _, err := fmt.Sscanf(d.Lease, "sight/%d", &group); err == nil {
			k := &healthSharer{group: group, token: d.Token, prober: healthshare.NewProber(l.settings.HealthSharePeriod), unanswered: map[string]bool{}}
			k.prober.Advance(l.now())
			l.setMembers(k)
			l.healthSharers[d.Lease] = k
		} else if _, err := fmt.Sscanf(d.Lease, "handover/%d", &group); err == nil {
			if l.orderStates[d.Lease] == nil {
				l.orderStates[d.Lease] = &switchover.OrderState{}
			}
			l.orderStates[d.Lease].BeginLease(d.Token)
			l.switchovers[d.Lease] = &switchoverTask{group: group, token: d.Token, orders: l.orderStates[d.Lease]}
		}
	case leaseclient.Stop:
		l.settings.AuditLog.Add("stop", audit.Fields{"duty": d.Lease, "fence": d.Token.String()})
		logrus.WithFields(logrus.Fields{"duty": d.Lease, "fence": d.Token}).Info("owns no more")
		delete(l.healthSharers, d.Lease)
		if h := l.switchovers[d.Lease]; h != nil && h.cancel != nil {
			h.cancel()
		}
		delete(l.switchovers, d.Lease)
		l.givesOrders.Store(len(l.healthSharers)+len(l.switchovers) > 0)
	}
}

// watchSessions has the watch tell the sessions of others from now on, since this process gives orders. The next watch leaves them out
// again, if it owns nothing by then.
func (l *Node) watchSessions() {
	if l.givesOrders.Store(true); l.leases.SessionsComplete() {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.restartWatch != nil {
		l.restartWatch()
	}
}

// request carries a request to the coordinator. A quarter of the session's length is enough for an answer, or for another try.
func (l *Node) request(d leaseclient.Decision) {
	ctx, cancel := context.WithTimeout(l.ctx, time.Duration(l.settings.SessionTimeout/4*float64(time.Millisecond)))
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
		l.leases.Advance(l.now())
		if err != nil {
			logrus.WithError(err).Debug("no answer of the council")
			l.leases.Failed(d.Request)
			return
		}
		if d.Action == leaseclient.QueryTokens {
			l.leases.TokensLearned(d.Request, fences)
			return
		}
		if d.Action == leaseclient.Propose && d.Entry.Kind == leasestate.ReportToken && a.Why != "" {
			logrus.WithFields(logrus.Fields{"duty": d.Entry.Lease, "seen": d.Entry.Token, "council": a.Fence}).Error(a.Why)
			l.settings.AuditLog.Add("behind", audit.Fields{"duty": d.Entry.Lease, "seen": d.Entry.Token.String(), "council": a.Fence.String()})
		}
		if d.Action == leaseclient.Propose && d.Entry.Kind == leasestate.OpenSession {
			l.settings.AuditLog.Add("session", audit.Fields{"held": a.Held, "why": a.Why, "incarnation": d.Entry.Incarnation})
		}
		l.leases.Answered(d.Request, a)
	})
}

// watch hears of changes, and begins again whenever that ends.
func (l *Node) watch() {
	told := ""
	for l.ctx.Err() == nil {
		ctx, cancel := context.WithCancel(l.ctx)
		l.mu.Lock()
		without := !l.givesOrders.Load()
		if l.restartWatch = nil; without {
			l.restartWatch = cancel
		}
		l.mu.Unlock()
		err := l.client.Watch(ctx, without, func(u *fleetpb.Update) {
			told = ""
			l.post(func() {
				l.leases.Advance(l.now())
				in := rpc.DecodeUpdate(u)
				l.leases.Watched(in)
				l.policies.follower.Advance(l.now())
				for _, p := range in.Policies {
					l.policies.follower.VersionAnnounced(p.Version, p.Difference)
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
		for _, k := range l.healthSharers {
			k.prober.Reported(r) // of another group's it takes none
		}
	}:
	default:
		l.droppedCalls.Add(1)
	}
}

// shareHealth does what health sharing of a group decides.
func (l *Node) shareHealth(duty string, now float64) {
	k := l.healthSharers[duty]
	k.prober.Advance(now)
	for d, more := k.prober.Next(); more; d, more = k.prober.Next() {
		switch d.Action {
		case healthshare.Probe:
			l.callRouter(func() { l.router.HealthCheck(d.Member) })
		case healthshare.Share:
			l.sendReports(duty, k, d.Reports)
		}
	}
}

// sendReports sends reports to all other routers; one that has yet to answer the word before is passed over: the next will do.
func (l *Node) sendReports(duty string, k *healthSharer, reports []healthshare.Report) {
	order := &fleetpb.Order{Duty: duty, About: duty, Holder: l.settings.Name, Fence: rpc.EncodeToken(k.token)}
	for _, r := range reports {
		order.Sightings = append(order.Sightings, &fleetpb.Sighting{Member: r.Member, Started: r.Started, Position: r.Position,
			Primary: r.Primary, Replica: r.Replica, At: r.At})
	}
	for _, s := range l.leases.Sessions("router") {
		if s.Name == l.settings.Name || k.unanswered[s.Name] {
			continue
		}
		if fence, may := l.leases.Valid(duty); !may || fence != k.token { // the last look before it goes out
			return
		}
		failpoint.Point("sight.looked") // between the look and the act
		k.unanswered[s.Name] = true
		l.sendOrder(s, order, func(v *fleetpb.Verdict, err error) { delete(k.unanswered, s.Name) })
	}
}

// sendOrder sends an act to another process; done hears of it on the loop, as does the agent where it was refused.
func (l *Node) sendOrder(to leaseclient.Session, o *fleetpb.Order, done func(*fleetpb.Verdict, error)) {
	if to.Name == l.settings.Name { // this very process
		go func() {
			v, err := l.Act(l.ctx, o)
			l.post(func() { done(v, err) })
		}()
		return
	}
	addr := to.Address
	if via := l.settings.AddressOverrides[to.Name]; via != "" {
		addr = via
	}
	conn := l.connections[addr]
	if conn == nil {
		var err error
		if conn, err = rpc.Dial(addr, l.settings.Fleet); err != nil {
			done(nil, err)
			return
		}
		l.closeUnusedConnections()
		l.connections[addr] = conn
	}
	go func() {
		ctx, cancel := context.WithTimeout(l.ctx, failpoint.Duration("order.ends", time.Duration(l.settings.SessionTimeout/2*float64(time.Millisecond))))
		defer cancel()
		v, err := fleetpb.NewReceiverClient(conn).Act(ctx, o)
		l.post(func() {
			if err == nil && v.Kind == fleetpb.Verdict_OLD {
				higher := rpc.DecodeToken(v.Highest)
				logrus.WithFields(logrus.Fields{"duty": o.Duty, "fence": rpc.DecodeToken(o.Fence), "higher": higher, "by": to.Name}).
					Warn("an act of ours was refused: the duty is another's")
				l.settings.AuditLog.Add("refused", audit.Fields{"duty": o.Duty, "fence": rpc.DecodeToken(o.Fence).String(), "higher": higher.String(), "by": to.Name})
				l.leases.Advance(l.now())
				l.leases.Rejected(o.Duty, higher)
			}
			done(v, err)
		})
	}()
}

// closeUnusedConnections ends the ways to processes that have no session any more.
func (l *Node) closeUnusedConnections() {
	there := map[string]bool{}
	for _, s := range l.leases.Sessions("router") {
		there[s.Address] = true
		there[l.settings.AddressOverrides[s.Name]] = true
	}
	for addr, conn := range l.connections {
		if !there[addr] {
			conn.Close()
			delete(l.connections, addr)
		}
	}
}

// Act is the service's: an order of a lease's owner. Its fencing token is judged and what it says is handed to the router in one go, so
// that nothing under a lower fencing token can come in between.
func (l *Node) Act(ctx context.Context, o *fleetpb.Order) (*fleetpb.Verdict, error) {
	if l.ctx == nil || ctx.Err() != nil {
		return nil, status.Error(codes.Unavailable, "not up")
	}
	if len(o.Duty) > 256 || len(o.About) > 256 || len(o.Holder) > 256 || len(o.Sightings) > healthshare.MaxReports {
		return nil, status.Error(codes.InvalidArgument, "an order of unsound size")
	}
	if !strings.HasPrefix(o.Duty, "sight/") && !strings.HasPrefix(o.Duty, "handover/") {
		return nil, status.Errorf(codes.InvalidArgument, "the duty %.64q is none that this build knows", o.Duty)
	}
	result := make(chan *fleetpb.Verdict, 1)
	if !l.post(func() { l.judgeOrder(o, func(v *fleetpb.Verdict) { result <- v }) }) {
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

var verdictKinds = map[lease.Verdict]fleetpb.Verdict_Kind{lease.Taken: fleetpb.Verdict_TAKEN, lease.Old: fleetpb.Verdict_OLD,
	lease.Unknown: fleetpb.Verdict_UNKNOWN, lease.Broken: fleetpb.Verdict_BROKEN}

func (l *Node) judgeOrder(o *fleetpb.Order, done func(*fleetpb.Verdict)) {
	l.leases.Advance(l.now())
	fence := rpc.DecodeToken(o.Fence)
	verdict, highest := l.leases.Check(lease.Scope{Lease: o.Duty, About: o.About}, o.Holder, fence)
	v := &fleetpb.Verdict{Kind: verdictKinds[verdict], Highest: rpc.EncodeToken(highest)}
	f := audit.Fields{"duty": o.Duty, "about": o.About, "holder": o.Holder, "fence": fence.String()}
	switch verdict {
	case lease.Taken:
		l.settings.AuditLog.Add("taken", f)
		l.applyOrder(o, fence, v, done)
		return
	case lease.Old:
		f["higher"] = highest.String()
		l.settings.AuditLog.Add("late", f)
		logrus.WithFields(logrus.Fields{"duty": o.Duty, "holder": o.Holder, "fence": fence, "higher": highest}).Warn("refused an act of a former owner")
	case lease.Broken:
		invariant.Check(false, "one fence, one holder")
	}
	done(v)
}

// applyOrder has the router do what an order says; what is unsound of it is passed over, with words.
func (l *Node) applyOrder(o *fleetpb.Order, fence lease.Token, v *fleetpb.Verdict, done func(*fleetpb.Verdict)) {
	h := o.Hold
	took := l.callRouter(func() {
		now := l.router.Now()
		for _, s := range o.Sightings {
			r := healthshare.Report{Member: s.Member, Started: s.Started, Position: s.Position, Primary: s.Primary, Replica: s.Replica, At: s.At}
			if err := healthshare.CheckReport(r, now); err != nil {
				v.Kind, v.Why = fleetpb.Verdict_UNSOUND, err.Error()
				continue
			}
			l.reportsApplied.Add(1)
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
			l.writeHolds.Release(group, fence, h.Number)
			l.router.HoldWrites(group, 0)
		default:
			l.router.HoldWrites(group, l.writeHolds.Hold(group, fence, h.Number, h.MostMs, now))
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
