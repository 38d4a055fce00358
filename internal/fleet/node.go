// Package fleet connects a process to its fleet. It keeps the session with the coordinator, acquires leases, sends and receives orders, and
// has the router apply the policy in force. It executes the decisions of the packages leaseclient, healthshare, switchover and policy in
// internal/decide.
//
// A router runs one Node; commands only use a Client. A Node has its own event loop, listener and connections. Client requests never wait
// for it, and the router keeps serving if the Node fails.
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
	queueSize     = 1024        // capacity of each queue of calls for an event loop
	groupsRetryMs = 500.0       // delay before the groups are requested again after the queue of the router's event loop was full
	busyPollMs    = 20.0        // between two iterations of the event loop while the node holds a switchover lease or has a policy to apply
	maxIdleMs     = 1000.0      // maximum time between two iterations of the event loop
	leaveTimeout  = time.Second // to end the session on shutdown
)

// Router is the interface of the router to its Node. All methods except Post are called on the router's event loop.
type Router interface {
	// Post schedules f on the router's event loop. It may block while the loop's queue is full.
	Post(f func())
	// Now returns the time in Unix ms by the cluster's clock.
	Now() float64
	// Groups returns the members of each group in the endpoint list. It is called at the start and after Node.GroupsChanged.
	Groups() map[int][]Member
	// HealthCheck starts a health check of a member. The result is passed to Node.HealthCheckReported.
	HealthCheck(member string)
	// PeerReported records the result of another process's health check.
	PeerReported(report healthshare.Report)
	// HoldWrites holds a group's writes until a time in Unix ms, or releases them if that is 0.
	HoldWrites(group int, until float64)
	// Writes returns the numbers of a group's running and held writes.
	Writes(group int) (running, waiting int)
	// ApplyPolicy replaces the policy document in force. Fields that the document doesn't set keep the values of the router's settings
	// file. If it returns an error, which is shown to operators, the router keeps the previous document.
	ApplyPolicy(v policy.Version, d policy.Document) error
}

// Member is a member of a group.
type Member struct {
	ID      string
	Addr    string
	Started float64 // Unix ms; 0 if it started long ago
}

// Settings configures a Node.
type Settings struct {
	Fleet                string
	Name                 string              // of this process, unique in the fleet
	Kind                 string              // of this process: "router"
	Coordinators         []string            // addresses of coordinator nodes
	AddressOverrides     map[string]string   // by process name: addresses that replace the announced ones
	ListenAddress        string              // for orders; Run gets the listener itself
	Address              string              // for orders, as announced to other processes by the session
	SessionTimeoutMs     float64             // without a heartbeat until the session ends
	SafetyMarginMs       float64             // a lease holder stops this long before its lease ends
	HealthSharePeriodMs  float64             // between two checks of a member as lease holder; 0: don't acquire leases for health checks
	SwitchoverEnabled    bool                // acquire switchover leases
	Switchover           switchover.Settings // used as lease holder
	Adapter              *Adapter            // used as lease holder of a switchover
	MaxHoldMs            float64             // longest time that this process holds writes for one switchover
	ClockOffsetMs        float64             // added to this process's clock in tests
	AuditLog             *audit.Log
	PolicyBytesPerSecond float64 // maximum rate of policy fetches; 0: 2560
	Store                Store   // of the policy; nil: none
}

// Node is a process's connection to its fleet. Unless stated otherwise, its fields are only accessed on its event loop, the goroutine of
// Run.
type Node struct {
	settings Settings
	router   Router
	client   *Client
	leases   *leaseclient.Client

	ctx        context.Context // canceled once the node has left the fleet
	mailbox    chan func()     // calls for the event loop
	stopped    chan struct{}   // closed once the event loop accepts no more calls
	ended      chan struct{}   // closed once Run has returned
	background sync.WaitGroup  // goroutines that Run waits for

	groups            map[int][]Member
	groupsChanged     chan struct{} // signals that the router's endpoint list has changed
	groupsDueAt       float64       // time of the next request for the router's groups
	groupRequests     int           // number of requests for the groups so far
	lastGroupResponse int           // number of the latest request that was answered
	routerCalls       chan func()   // calls for the router's event loop, in order

	wantedLeases  map[string]bool                   // leases of listed groups, which this process tries to acquire
	healthSharers map[string]*healthSharer          // by lease, while this process holds it
	switchovers   map[string]*switchoverTask        // by lease, while this process holds it
	orderStates   map[string]*switchover.OrderState // by lease; kept while wantedLeases has the lease, also between two grants
	connections   map[string]*grpc.ClientConn       // to other processes, by address
	policies      *policyState

	writeHolds *switchover.WriteHolds // of this process as a receiver of orders; accessed on the router's event loop only

	sendsOrders  atomic.Bool // this process holds a lease and must know the sessions of the receivers of its orders
	mu           sync.Mutex
	restartWatch context.CancelFunc // cancels a watch that omits other processes' sessions; guarded by mu
}

// New returns a Node. It does nothing until Run is called.
func New(settings Settings, router Router) *Node { return newNode(settings, router, time.Now()) }

// newNode is New with the given wall clock time as the start of the process. Only the incarnation of the first session depends on it.
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

// Run takes part in the fleet until ctx ends. It then releases its leases and ends its session, which takes up to leaveTimeout. The
// listener receives orders; Run closes it.
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
	go n.forwardRouterCalls() // not waited for: Post may block forever if the router's event loop has ended
	logrus.WithFields(logrus.Fields{"name": n.settings.Name, "address": listener.Addr().String(), "fleet": n.settings.Fleet}).
		Info("fleet node started")
	n.settings.AuditLog.Add("up", audit.Fields{"kind": n.settings.Kind})
	n.loop(ctx.Done())
}

// loop runs the event loop: it executes calls from the mailbox and decisions that are due. Once leave is closed, the node leaves the fleet
// and loop returns.
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

// Done returns a channel that is closed once Run has returned.
func (n *Node) Done() <-chan struct{} { return n.ended }

// now returns the time in ms by a monotonic clock.
func (n *Node) now() float64 { return rpc.Boottime() + n.settings.ClockOffsetMs }

// milliseconds converts a time in ms to a Duration.
func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// post schedules f on the event loop. It returns false if the loop has ended.
func (n *Node) post(f func()) bool {
	select {
	case n.mailbox <- f:
		return true
	case <-n.stopped:
		return false
	}
}

// callRouter schedules f on the router's event loop. Calls run in order. It returns false, without blocking, if the queue is full.
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

// nextDeadline returns the latest time at which advance must be called again if there is no input before.
func (n *Node) nextDeadline() float64 {
	deadline := min(n.leases.NextDeadline(), n.groupsDueAt, n.policies.follower.NextDeadline())
	if n.policies.toSave != nil {
		deadline = min(deadline, n.policies.saveRetry.RetryAt())
	}
	for _, sharer := range n.healthSharers {
		deadline = min(deadline, sharer.prober.NextDeadline())
	}
	if len(n.switchovers) > 0 || n.policies.toApply != nil {
		deadline = min(deadline, n.now()+busyPollMs)
	}
	return deadline
}

// advance executes all decisions that are due.
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
