package fleet

import (
	"context"
	"errors"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"wayloft/internal/decide/healthshare"
	"wayloft/internal/decide/lease"
	"wayloft/internal/decide/leasestate"
	"wayloft/internal/decide/switchover"
	"wayloft/internal/fleetpb"
	"wayloft/internal/rpc"
)

// fakeCoordinator is a coordinator node whose responses come from a function.
type fakeCoordinator struct {
	fleetpb.UnimplementedCouncilServer
	do func(context.Context, *fleetpb.Request) (*fleetpb.Answer, error)
}

func (c *fakeCoordinator) Do(ctx context.Context, request *fleetpb.Request) (*fleetpb.Answer, error) {
	return c.do(ctx, request)
}

// serveCoordinator serves a fakeCoordinator until the test ends, and returns its address.
func serveCoordinator(t *testing.T, do func(context.Context, *fleetpb.Request) (*fleetpb.Answer, error)) string {
	t.Helper()
	checks := rpc.NewInterceptors("lab")
	server := grpc.NewServer(grpc.ChainUnaryInterceptor(checks.Unary))
	fleetpb.RegisterCouncilServer(server, &fakeCoordinator{do: do})
	return serveGRPC(t, server)
}

// serveGRPC runs a gRPC server until the test ends, and returns its address.
func serveGRPC(t *testing.T, server *grpc.Server) string {
	t.Helper()
	listener := listen(t)
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(listener) }()
	t.Cleanup(func() {
		server.Stop()
		if err := <-ended; err != nil && !errors.Is(err, grpc.ErrServerStopped) {
			t.Error(err)
		}
	})
	return listener.Addr().String()
}

// testSettings returns the settings of a router in a fleet with a single coordinator node.
func testSettings(fleet, coordinator string) Settings {
	return Settings{Fleet: fleet, Name: "r", Kind: "router", Coordinators: []string{coordinator}, SessionTimeoutMs: 2000, SafetyMarginMs: 200}
}

// listen returns a listener on a free port.
func listen(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return listener
}

// A leader that timed out once is tried again if the other nodes redirect the client to it.
func TestClient_AsksTheLeaderAgainAfterATimeout(t *testing.T) {
	calls, leader := atomic.Int32{}, ""
	leader = serveCoordinator(t, func(ctx context.Context, _ *fleetpb.Request) (*fleetpb.Answer, error) {
		if calls.Add(1) == 1 {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		return &fleetpb.Answer{Held: true, Number: 7}, nil
	})
	addresses := []string{leader}
	for range 2 {
		addresses = append(addresses, serveCoordinator(t, func(context.Context, *fleetpb.Request) (*fleetpb.Answer, error) {
			return &fleetpb.Answer{Moved: true, Leader: "c1", Address: leader}, nil
		}))
	}
	c := NewClient("lab", addresses, nil)
	defer c.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	a, err := c.ProposeEntry(ctx, leasestate.Entry{Kind: leasestate.KeepAlive, Session: "r1"})
	if err != nil || a.Number != 7 || calls.Load() != 2 {
		t.Errorf("got %+v, %v after %d calls", a, err, calls.Load())
	}
}

// The latest tokens of several leases are queried in one call, which follows redirects to the leader. A response without a token for each
// lease is an error.
func TestClient_LatestTokensTakesOneCall(t *testing.T) {
	calls := atomic.Int32{}
	leader := serveCoordinator(t, func(_ context.Context, request *fleetpb.Request) (*fleetpb.Answer, error) {
		calls.Add(1)
		a := &fleetpb.Answer{}
		for _, name := range request.Stands {
			a.Fences = append(a.Fences, &fleetpb.Fence{Epoch: 1, Count: uint64(len(name))})
		}
		return a, nil
	})
	other := serveCoordinator(t, func(context.Context, *fleetpb.Request) (*fleetpb.Answer, error) {
		return &fleetpb.Answer{Moved: true, Leader: "c1", Address: leader}, nil
	})
	// Nodes that don't know the request: the first rejects it because it has no entry, the second responds as to an empty request.
	older := serveCoordinator(t, func(_ context.Context, request *fleetpb.Request) (*fleetpb.Answer, error) {
		_, err := leasestate.Decode(request.Entry)
		return nil, status.Error(codes.InvalidArgument, err.Error())
	})
	empty := serveCoordinator(t, func(context.Context, *fleetpb.Request) (*fleetpb.Answer, error) { return &fleetpb.Answer{}, nil })
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	for _, addr := range []string{leader, other, older, empty} {
		c := NewClient("lab", []string{addr}, nil)
		defer c.Close()
		calls.Store(0)
		tokens, err := c.LatestTokens(ctx, []string{"ccc", "a", "bb"})
		if addr == older || addr == empty {
			if err == nil || tokens != nil {
				t.Errorf("accepted the response %v", tokens)
			}
			continue
		}
		if err != nil || calls.Load() != 1 || !slices.Equal(tokens, []lease.Token{{Epoch: 1, Count: 3}, {Epoch: 1, Count: 1}, {Epoch: 1, Count: 2}}) {
			t.Errorf("%v, %v after %d calls", tokens, err, calls.Load())
		}
	}
}

// In a fleet of 164 groups, a starting process queries the latest tokens of all leases in two calls and checks orders against them.
func TestNode_StartLearnsAllTokensInTwoCalls(t *testing.T) {
	asked := make(chan []string, 400)
	coordinator := serveCoordinator(t, func(_ context.Context, request *fleetpb.Request) (*fleetpb.Answer, error) {
		if len(request.Stands) == 0 && request.Stand == "" {
			return &fleetpb.Answer{Held: true}, nil
		}
		a := &fleetpb.Answer{}
		for _, name := range request.Stands {
			group, err := strconv.ParseUint(name[strings.Index(name, "/")+1:], 10, 64)
			if err != nil {
				return nil, err
			}
			a.Fences = append(a.Fences, &fleetpb.Fence{Epoch: 1, Count: 1000 + group})
		}
		asked <- request.Stands
		return a, nil
	})
	router := &fakeRouter{groups: map[int][]Member{}, asked: make(chan bool, 100)}
	for group := range 164 {
		router.groups[group] = nil
	}
	settings := testSettings("lab", coordinator)
	settings.SessionTimeoutMs = 100000 // no call times out on a busy machine
	node := New(settings, router)
	ctx, cancel := context.WithCancel(context.Background())
	go node.Run(ctx, listen(t))
	defer func() { cancel(); <-node.Done() }()
	leases, calls := map[string]bool{}, 0
	for ; len(leases) < 328; calls++ {
		for _, name := range <-asked {
			leases[name] = true
		}
	}
	verdicts := make(chan lease.Verdict)
	for group := range 164 {
		for _, name := range []string{healthshare.LeaseName(group), switchover.LeaseName(group)} {
			if !leases[name] {
				t.Fatal("token not queried:", name)
			}
			for v := lease.NotLearned; v == lease.NotLearned; { // until the response has come
				node.post(func() {
					v, _ := node.leases.Check(lease.Scope{Lease: name, Subject: "x"}, "q", lease.Token{Epoch: 1, Count: 999 + uint64(group)})
					verdicts <- v
				})
				if v = <-verdicts; v != lease.Stale && v != lease.NotLearned {
					t.Fatalf("%s: verdict %v for an order with a token below the latest", name, v)
				}
			}
		}
	}
	node.post(func() {
		v, _ := node.leases.Check(lease.Scope{Lease: healthshare.LeaseName(163), Subject: "x"}, "q", lease.Token{Epoch: 1, Count: 1163})
		verdicts <- v
	})
	if v := <-verdicts; v != lease.Accepted {
		t.Error("verdict for an order with the latest token:", v)
	}
	if calls += len(asked); calls != 2 {
		t.Errorf("queried in %d calls, want 2", calls)
	}
}
