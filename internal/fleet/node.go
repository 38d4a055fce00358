// Package fleet connects a process to its fleet: its session with the coordinator, the leases that it holds, the orders that it gives and
// receives, and the policy that its router follows. It carries out what decide/leaseclient, decide/healthshare, decide/switchover and
// decide/policy decide.
//
// A router runs one Node; commands use a Client alone. A Node has an event loop, a listener and connections of its own. No request of a
// client ever waits for it, and the router serves whatever becomes of it.
package fleet

import (
	"context"
	"hash/fnv"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"

	"wayloft/internal/audit"
	"wayloft/internal/decide/healthshare"
	"wayloft/internal/decide/leaseclient"
	"wayloft/internal/decide/policy"
	"wayloft/internal/decide/switchover"
	"wayloft/internal/rpc"
)

const (
	queueSize     = 1024        // calls that may wait for a loop
	groupsRetryMs = 500.0       // ms until the router is asked for its groups again, where too many calls waited for its loop
	busyPollMs    = 20.0        // ms between two turns of the loop while a switchover runs, or the router's loop has no room
	maxIdleMs     = 1000.0      // ms between two turns of the loop at the most
	leaveTimeout  = time.Second // to end the session when this process ends
)

// Router is what a Node needs of the router. All methods but Post are called on the router's event loop.
type Router interface {
	// Post has the router's event loop call f. It may wait while the loop has no room.
	Post(f func())
	// Now is the time in Unix ms, by the cluster's clock.
	Now() float64
	// Groups returns the members of each group, as the list has them. It is called at the start and after Node.Changed.
	Groups() map[int][]Member
	// HealthCheck has a member checked; the result comes by Node.Reported.
	HealthCheck(member string)
	// PeerReported records the result of another process's health check.
	PeerReported(report healthshare.Report)
	// HoldWrites has a group's writes held until a time in Unix ms; 0: no longer.
	HoldWrites(group int, until float64)
	// Writes returns how many of a group's writes are running, and how many are held.
	Writes(group int) (running, waiting int)
	// ApplyPolicy has the router apply a document in place of the one before. For what the document doesn't name, the router's own file
	// holds. After an error, which operators are shown, the router goes on as it was.
	ApplyPolicy(v policy.Version, d policy.Document) error
}

// Member is a member of a group.
type Member struct {
	ID      string
	Addr    string
	Started float64 // Unix ms; 0: long ago
}

// Settings of a Node.
type Settings struct {
	Fleet                string
	Name                 string              // of this process, unique in the fleet
	Kind                 string              // of this process: "router"
	Coordinators         []string            // addresses of coordinator nodes
	AddressOverrides     map[string]string   // addresses to reach processes by, by their names
	ListenAddress        string              // for orders; the listener itself is given to Run
	Address              string              // for orders, as the session announces it to other processes
	SessionTimeoutMs     float64             // after which a silent session ends
	SafetyMarginMs       float64             // by which a lease holder stops before its lease ends
	HealthSharePeriodMs  float64             // between two checks of a member as lease holder; 0: this process acquires no lease for it
	SwitchoverEnabled    bool                // this process acquires switchover leases
	Switchover           switchover.Settings // as lease holder
	Adapter              *Adapter            // as lease holder of a switchover
	MaxHoldMs            float64             // the longest that writes are held here for one switchover
	ClockOffsetMs        float64             // by which this process's clock is ahead, for tests
	AuditLog             *audit.Log
	PolicyBytesPerSecond float64 // bytes a second that fetching the policy may take; 0: 2560
	Store                Store   // of the policy; nil: none
}

// Node is a process's connection to its fleet. Its fields belong to its event loop, the goroutine of Run, unless they say otherwise.
type Node struct {
	settings Settings
	router   Router
	client   *Client
	leases   *leaseclient.Client

	ctx        context.Context // of Run, until the node has left the fleet
	mailbox    chan func()     // calls for the event loop
	stopped    chan struct{}   // closed once the event loop takes no more calls
	ended      chan struct{}   // closed once Run has returned
	background sync.WaitGroup  // goroutines that Run waits for

	groups            map[int][]Member
	groupsChanged     chan struct{} // the router's list has changed
	groupsDueAt       float64       // when the router is asked for its groups
	groupRequests     int           // how often it was
	lastGroupResponse int           // the latest of these that was answered
	routerCalls       chan func()   // calls for the router's event loop, in order

	wantedLeases  map[string]bool                   // leases to acquire, of groups that are listed
	healthSharers map[string]*healthSharer          // by lease, while it is held
	switchovers   map[string]*switchoverTask        // by lease, while it is held
	orderStates   map[string]*switchover.OrderState // by lease, while it is wanted
	connections   map[string]*grpc.ClientConn       // to other processes, by address
	policies      *policyState

	writeHolds *switchover.WriteHolds // of this process as a receiver of orders

	sendsOrders  atomic.Bool // a lease is held: the sessions of those who receive orders must be known
	mu           sync.Mutex
	restartWatch context.CancelFunc // ends the watch that leaves sessions out; under mu
}

// New returns a Node; nothing happens until Run.
func New(settings Settings, router Router) *Node { return newNode(settings, router, time.Now()) }

// newNode is New at a time by the wall clock. Nothing but the incarnation of the first session comes from it.
func newNode(settings Settings, router Router, started time.Time) *Node {
	nameHash := fnv.New64a()
	nameHash.Write([]byte(settings.Name))
	seed := nameHash.Sum64() ^ rpc.UniqueID()
	n := &Node{
		settings:      settings,
		router:        router,
		client:        NewClient(settings.Fleet, settings.Coordinators, settings.AddressOverrides),
		mailbox:       make(chan func(), queueSize),
		stopped:       make(chan struct{}),
		ended:         make(chan struct{}),
		groups:        map[int][]Member{},
		groupsChanged: make(chan struct{}, 1),
		routerCalls:   make(chan func(), queueSize),
		wantedLeases:  map[string]bool{},
		healthSharers: map[string]*healthSharer{},
		switchovers:   map[string]*switchoverTask{},
		orderStates:   map[string]*switchover.OrderState{},
		connections:   map[string]*grpc.ClientConn{},
		policies:      newPolicyState(settings, seed),
		writeHolds:    switchover.NewWriteHolds(settings.MaxHoldMs),
	}
	n.leases = leaseclient.New(leaseclient.Settings{
		Name:           settings.Name,
		Role:           settings.Kind,
		Address:        settings.Address,
		SessionTimeout: settings.SessionTimeoutMs,
		SafetyMargin:   settings.SafetyMarginMs,
		Incarnation:    uint64(max(0, started.UnixMilli())),
		Seed:           seed,
	})
	n.leases.Advance(n.now())
	return n
}

// Run is the process's part in the fleet until ctx ends; then it ends its session and releases its leases, within a second. The listener
// is for orders, and is closed.
func (n *Node) Run(ctx context.Context, listener net.Listener) {
	defer close(n.ended)
	running, cancel := context.WithCancel(context.Background())
	n.ctx = running
	defer n.background.Wait()
	defer cancel()
	server := n.serveOrders(listener)
	defer server.Stop()
	defer n.client.Close()
	defer n.closeConnections()
	defer close(n.stopped)
	n.loadPolicy()
	n.background.Go(n.watch)
	go n.forwardRouterCalls() // not waited for: Post may wait for a loop that has ended
	logrus.WithFields(logrus.Fields{"name": n.settings.Name, "address": listener.Addr().String(), "fleet": n.settings.Fleet}).
		Info("fleet node started")
	n.settings.AuditLog.Add("up", audit.Fields{"kind": n.settings.Kind})
	n.loop(ctx.Done())
}

// loop is the event loop: it carries out calls and decisions until the node has left the fleet, which it does once leave is closed.
func (n *Node) loop(leave <-chan struct{}) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	var leaveTimedOut <-chan time.Time
	for !n.leases.ShutdownComplete() {
		select {
		case f := <-n.mailbox:
			f()
			for waiting := len(n.mailbox); waiting > 0; waiting-- {
				(<-n.mailbox)()
			}
		case <-timer.C:
		case <-n.groupsChanged:
			n.groupsDueAt = 0
		case <-leave:
			leave = nil
			leaveTimedOut = time.After(leaveTimeout)
			n.leases.Advance(n.now())
			n.leases.Shutdown()
		case <-leaveTimedOut:
			return
		}
		n.advance()
		timer.Reset(milliseconds(max(1, min(n.nextDeadline()-n.now(), maxIdleMs))))
	}
}

// Ended is closed once Run has returned.
func (n *Node) Ended() <-chan struct{} { return n.ended }

// now is the time in ms by a clock that never goes back.
func (n *Node) now() float64 { return rpc.Boottime() + n.settings.ClockOffsetMs }

// milliseconds is a duration given in ms.
func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// post has the event loop call f; it reports false where the loop has ended.
func (n *Node) post(f func()) bool {
	select {
	case n.mailbox <- f:
		return true
	case <-n.stopped:
		return false
	}
}

// callRouter has the router's event loop call f, in the order of these calls; false: too many wait there already.
func (n *Node) callRouter(f func()) bool {
	select {
	case n.routerCalls <- f:
		return true
	default:
		return false
	}
}

func (n *Node) forwardRouterCalls() {
	for {
		select {
		case f := <-n.routerCalls:
			n.router.Post(f)
		case <-n.ctx.Done():
			return
		}
	}
}

// nextDeadline is when advance must be called next if nothing comes in.
func (n *Node) nextDeadline() float64 {
	deadline := min(n.leases.NextDeadline(), n.groupsDueAt, n.policies.follower.NextDeadline())
	if n.policies.toSave != nil {
		deadline = min(deadline, n.policies.saveRetry.Due())
	}
	for _, sharer := range n.healthSharers {
		deadline = min(deadline, sharer.prober.NextDeadline())
	}
	if len(n.switchovers) > 0 || n.policies.toApply != nil {
		deadline = min(deadline, n.now()+busyPollMs)
	}
	return deadline
}

// advance carries out what is decided.
func (n *Node) advance() {
	now := n.now()
	n.leases.Advance(now)
	if n.groupsDueAt <= now {
		n.requestGroups(now)
	}
	n.advancePolicy(now)
	n.advanceLeases()
	n.advanceHealthSharing(now)
	n.advanceSwitchovers(now)
}
