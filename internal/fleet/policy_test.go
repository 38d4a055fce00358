package fleet_test

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"google.golang.org/grpc"

	"wayloft/internal/coordinator"
	"wayloft/internal/decide/healthshare"
	"wayloft/internal/decide/policy"
	decide "wayloft/internal/decide/raftnode"
	"wayloft/internal/fleet"
	"wayloft/internal/fleetpb"
)

// testTimeout limits each wait for an expected event. It is not an expectation of how long the event takes.
const testTimeout = 60 * time.Second

// testCoordinator is a coordinator cluster of three nodes that communicate over sockets.
type testCoordinator struct {
	t         *testing.T
	addresses []string
	stops     []func()
}

// startCoordinator starts a coordinator cluster, which runs until the test ends.
func startCoordinator(t *testing.T) *testCoordinator {
	t.Helper()
	h := &testCoordinator{t: t}
	var peers []decide.Peer
	var listeners []net.Listener
	for n := range 3 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		listeners, h.addresses = append(listeners, l), append(h.addresses, l.Addr().String())
		peers = append(peers, decide.Peer{Name: fmt.Sprint("c", n+1), Addr: l.Addr().String()})
	}
	for n, p := range peers {
		c, err := coordinator.Open(coordinator.Settings{
			Fleet:            "f",
			Name:             p.Name,
			Dir:              t.TempDir(),
			Address:          p.Addr,
			Peers:            peers,
			TickMs:           20,
			SnapshotInterval: 1000,
			MaxConnections:   100,
		})
		if err != nil {
			t.Fatal(err)
		}
		h.stops = append(h.stops, runInBackground(func(ctx context.Context) {
			if err := c.Run(ctx, listeners[n]); err != nil {
				t.Error(err)
			}
		}))
	}
	t.Cleanup(func() {
		for _, stop := range h.stops {
			stop()
		}
	})
	return h
}

// runInBackground runs f on a goroutine. The returned function cancels f's context and waits until f has returned.
func runInBackground(f func(context.Context)) func() {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		f(ctx)
	}()
	return sync.OnceFunc(func() {
		cancel()
		<-ended
	})
}

// policyRouter is a router without groups that applies policies.
type policyRouter struct {
	loop     chan func()
	applied  chan policy.Version
	mu       sync.Mutex
	document policy.Document
	failure  error // of ApplyPolicy
}

func (p *policyRouter) Post(f func())                     { p.loop <- f }
func (p *policyRouter) Now() float64                      { return 0 }
func (p *policyRouter) Groups() map[int][]fleet.Member    { return nil }
func (p *policyRouter) HealthCheck(string)                {}
func (p *policyRouter) PeerReported(healthshare.Report)   {}
func (p *policyRouter) HoldWrites(int, float64)           {}
func (p *policyRouter) Writes(int) (running, waiting int) { return 0, 0 }
func (p *policyRouter) setFailure(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failure = err
}
func (p *policyRouter) ApplyPolicy(v policy.Version, d policy.Document) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.failure != nil {
		return p.failure
	}
	p.document = d
	p.applied <- v
	return nil
}

// memoryStore is an in-memory Store.
type memoryStore struct {
	mu       sync.Mutex
	version  policy.Version
	document policy.Document
	saved    chan policy.Version
}

func (s *memoryStore) Load() (policy.Version, policy.Document, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version, maps.Clone(s.document), nil
}

func (s *memoryStore) Save(v policy.Version, d policy.Document) error {
	s.mu.Lock()
	s.version, s.document = v, d
	s.mu.Unlock()
	s.saved <- v
	return nil
}

// startRouter starts a router and returns a function that stops it.
func (h *testCoordinator) startRouter(name string, s fleet.Store) (*policyRouter, func()) {
	p := &policyRouter{loop: make(chan func(), 100), applied: make(chan policy.Version, 1000)}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		h.t.Fatal(err)
	}
	node := fleet.New(fleet.Settings{Fleet: "f", Name: name, Kind: "router", Coordinators: h.addresses, Address: l.Addr().String(), SessionTimeoutMs: 2000, SafetyMarginMs: 200,
		PolicyBytesPerSecond: 1 << 20, Store: s}, p)
	loop := runInBackground(func(ctx context.Context) {
		for {
			select {
			case f := <-p.loop:
				f()
			case <-ctx.Done():
				return
			}
		}
	})
	work := runInBackground(func(ctx context.Context) { node.Run(ctx, l) })
	end := sync.OnceFunc(func() { work(); loop() })
	h.t.Cleanup(end)
	return p, end
}

// waitForVersion waits until the router has applied this version or a later one.
func (p *policyRouter) waitForVersion(t *testing.T, v policy.Version) {
	t.Helper()
	timeout := time.After(testTimeout)
	for {
		select {
		case got := <-p.applied:
			if got.Packed() >= v.Packed() {
				return
			}
		case <-timeout:
			t.Fatalf("timed out waiting for version %s to be applied", v)
		}
	}
}

// propose proposes a change of the policy and returns the resulting version. It fails the test unless the change is accepted.
func propose(ctx context.Context, t *testing.T, c *fleet.Client, change func(policy.Document)) policy.Version {
	t.Helper()
	current, err := c.Policy(ctx)
	if err != nil {
		t.Fatal(err)
	}
	next := maps.Clone(current.Document)
	change(next)
	a, err := c.Propose(ctx, policy.Propose(current.Version, current.Document, next, "tester", "a reason"))
	if err != nil || !a.Held {
		t.Fatal(a, err)
	}
	after, err := c.Policy(ctx)
	if err != nil || after.Version.Number != a.Number || after.Version.Hash != next.Hash() || after.Version.Author != "tester" ||
		after.History[len(after.History)-1].Version != after.Version {
		t.Fatalf("%+v, %v, %v", after.Version, a, err)
	}
	return after.Version
}

// With processes that communicate over sockets: every router applies a change, which arrives with the watch if it is small and in parts if
// it is large. Each router acknowledges the version that it has applied. A router that fails to apply a version reports the reason. A
// router that was down starts with its stored version and then applies the version in force.
func TestPolicy_OverSockets(t *testing.T) {
	h := startCoordinator(t)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	client := fleet.NewClient("f", h.addresses, nil)
	defer client.Close()

	store := &memoryStore{saved: make(chan policy.Version, 1000)}
	var routers []*policyRouter
	var stops []func()
	for n := range 4 {
		var s fleet.Store
		if n == 0 {
			s = store
		}
		p, stop := h.startRouter(fmt.Sprint("r", n+1), s)
		routers, stops = append(routers, p), append(stops, stop)
	}
	first := propose(ctx, t, client, func(d policy.Document) { d["over_share_value"] = "0.2" })
	for _, p := range routers {
		p.waitForVersion(t, first)
	}
	large := propose(ctx, t, client, func(d policy.Document) {
		for n := range 2000 {
			d[fmt.Sprintf("tenants.customer-%05d.rate", n)] = policy.FormatNumber(float64(n*7919%100000) / 10)
		}
	})
	for n, p := range routers {
		p.waitForVersion(t, large)
		if p.mu.Lock(); p.document.Hash() != large.Hash {
			t.Errorf("router %d has applied a different document", n+1)
		}
		p.mu.Unlock()
	}
	waitForAcknowledgment := func(name string, expected func(*fleetpb.Session) bool) { // needs no pause: each request waits for a majority
		t.Helper()
		for {
			s, err := client.State(ctx)
			if err != nil {
				t.Fatal(err)
			}
			for _, one := range s.State.Sessions {
				if one.Name == name && expected(one) {
					return
				}
			}
		}
	}
	for n := range routers {
		waitForAcknowledgment(fmt.Sprint("r", n+1), func(s *fleetpb.Session) bool { return s.Policy == large.Packed() && s.Wont == 0 })
	}

	// Rejected proposals: one based on a version that is no longer in force, and one of fields that can't be changed.
	outdated := policy.Propose(first, policy.Document{"over_share_value": "0.2"}, policy.Document{"over_share_value": "0.3"}, "b", "")
	a, err := client.Propose(ctx, outdated)
	if err != nil || a.Held || !strings.Contains(string(a.Rejection), "is in force") {
		t.Error(a, err)
	}
	unchangeable := policy.Difference{Set: map[string]string{"txn_types.order.level": "stale", "listen": ":1"}}
	a, err = client.Propose(ctx, policy.Proposal{Base: large.Packed(), Difference: unchangeable})
	if err != nil || a.Held || !strings.Contains(string(a.Rejection), "txn_types.order.level: ") ||
		!strings.Contains(string(a.Rejection), "listen: ") {
		t.Error(a, err)
	}

	// One router is down during a change, and another fails to apply it.
	for v := range store.saved {
		if v == large {
			break
		}
	}
	stops[0]()
	routers[1].setFailure(errors.New("no memory for this"))
	next := propose(ctx, t, client, func(d policy.Document) { d["over_share_value"] = "0.4" })
	routers[2].waitForVersion(t, next)
	waitForAcknowledgment("r2", func(s *fleetpb.Session) bool {
		return s.Policy == large.Packed() && s.Wont == next.Packed() && s.Why == "no memory for this"
	})
	releaseUpdates := holdUpdates() // otherwise a newer version could be announced before the stored one is applied, and replace it
	restarted, _ := h.startRouter("r1", store)
	if v := <-restarted.applied; v != large {
		t.Errorf("started with version %s, want the stored version %s", v, large)
	}
	releaseUpdates()
	restarted.waitForVersion(t, next)
	waitForAcknowledgment("r1", func(s *fleetpb.Session) bool { return s.Policy == next.Packed() })
}

// slowLeader is the leader of a coordinator cluster. It does not respond to the first request.
type slowLeader struct {
	fleetpb.UnimplementedCouncilServer
	asked chan bool
}

func (d *slowLeader) Look(ctx context.Context, _ *fleetpb.Empty) (*fleetpb.State, error) {
	select {
	case <-d.asked:
		return &fleetpb.State{Epoch: 7}, nil
	default:
		close(d.asked)
		<-ctx.Done()
		return nil, ctx.Err()
	}
}

// follower is a node that redirects all requests to the leader.
type follower struct {
	fleetpb.UnimplementedCouncilServer
	leader string
}

func (f *follower) Look(context.Context, *fleetpb.Empty) (*fleetpb.State, error) {
	return &fleetpb.State{Moved: true, Leader: "c1", Address: f.leader}, nil
}

// A leader that timed out once is tried again if the other nodes redirect the client to it.
func TestClient_StateAsksTheLeaderAgainAfterATimeout(t *testing.T) {
	serve := func(c fleetpb.CouncilServer) string {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		server := grpc.NewServer()
		fleetpb.RegisterCouncilServer(server, c)
		stop := runInBackground(func(context.Context) {
			if err := server.Serve(l); err != nil && !errors.Is(err, grpc.ErrServerStopped) {
				t.Error(err)
			}
		})
		t.Cleanup(func() {
			server.Stop()
			stop()
		})
		return l.Addr().String()
	}
	leader := serve(&slowLeader{asked: make(chan bool)})
	client := fleet.NewClient("f", []string{leader, serve(&follower{leader: leader}), serve(&follower{leader: leader})}, nil)
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	if s, err := client.State(ctx); err != nil || s.Epoch != 7 {
		t.Error(s, err)
	}
}
