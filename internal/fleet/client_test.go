package fleet

import (
	"context"
	"fmt"
	"net"
	"slices"
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

// answering is a coordinator node that answers by a function.
type answering struct {
	fleetpb.UnimplementedCouncilServer
	do func(context.Context, *fleetpb.Request) (*fleetpb.Answer, error)
}

func (a *answering) Do(ctx context.Context, q *fleetpb.Request) (*fleetpb.Answer, error) {
	return a.do(ctx, q)
}

func serves(t *testing.T, do func(context.Context, *fleetpb.Request) (*fleetpb.Answer, error)) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	checks := rpc.NewInterceptors("lab")
	s := grpc.NewServer(grpc.ChainUnaryInterceptor(checks.Unary))
	fleetpb.RegisterCouncilServer(s, &answering{do: do})
	go s.Serve(l)
	t.Cleanup(s.Stop)
	return l.Addr().String()
}

// Who leads is asked again though it was silent once, as long as the others say that it leads.
func TestAsksTheLeaderAgain(t *testing.T) {
	calls, leader := atomic.Int32{}, ""
	leader = serves(t, func(ctx context.Context, _ *fleetpb.Request) (*fleetpb.Answer, error) {
		if calls.Add(1) == 1 {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		return &fleetpb.Answer{Held: true, Number: 7}, nil
	})
	addrs := []string{leader}
	for range 2 {
		addrs = append(addrs, serves(t, func(context.Context, *fleetpb.Request) (*fleetpb.Answer, error) {
			return &fleetpb.Answer{Moved: true, Leader: "c1", Address: leader}, nil
		}))
	}
	c := NewClient("lab", addrs, nil)
	defer c.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	a, err := c.ProposeEntry(ctx, leasestate.Entry{Kind: leasestate.KeepAlive, Session: "r1"})
	if err != nil || a.Number != 7 || calls.Load() != 2 {
		t.Errorf("got %+v, %v after %d calls", a, err, calls.Load())
	}
}

// One call asks where many leases stand, and again as a whole where another process leads; what says less than that is no answer.
func TestStandsInOneCall(t *testing.T) {
	calls := atomic.Int32{}
	leader := serves(t, func(_ context.Context, q *fleetpb.Request) (*fleetpb.Answer, error) {
		calls.Add(1)
		a := &fleetpb.Answer{}
		for _, duty := range q.Stands {
			a.Fences = append(a.Fences, &fleetpb.Fence{Epoch: 1, Count: uint64(len(duty))})
		}
		return a, nil
	})
	other := serves(t, func(context.Context, *fleetpb.Request) (*fleetpb.Answer, error) {
		return &fleetpb.Answer{Moved: true, Leader: "c1", Address: leader}, nil
	})
	// Processes that don't know the question: one finds no entry in it, the other would answer as for nothing.
	older := serves(t, func(_ context.Context, q *fleetpb.Request) (*fleetpb.Answer, error) {
		_, err := leasestate.Decode(q.Entry)
		return nil, status.Error(codes.InvalidArgument, err.Error())
	})
	empty := serves(t, func(context.Context, *fleetpb.Request) (*fleetpb.Answer, error) { return &fleetpb.Answer{}, nil })
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	for _, addr := range []string{leader, other, older, empty} {
		c := NewClient("lab", []string{addr}, nil)
		defer c.Close()
		calls.Store(0)
		fences, err := c.LatestTokens(ctx, []string{"ccc", "a", "bb"})
		if addr == older || addr == empty {
			if err == nil || fences != nil {
				t.Errorf("took %v for an answer", fences)
			}
			continue
		}
		if err != nil || calls.Load() != 1 || !slices.Equal(fences, []lease.Token{{Epoch: 1, Count: 3}, {Epoch: 1, Count: 1}, {Epoch: 1, Count: 2}}) {
			t.Errorf("%v, %v after %d calls", fences, err, calls.Load())
		}
	}
}

// A process that starts where there are 164 groups asks the coordinator where their leases stand in two calls, and goes by the answer.
func TestAStartAsksInTwoCalls(t *testing.T) {
	asked := make(chan []string, 400)
	council := serves(t, func(_ context.Context, q *fleetpb.Request) (*fleetpb.Answer, error) {
		if len(q.Stands) == 0 && q.Stand == "" {
			return &fleetpb.Answer{Held: true}, nil
		}
		a := &fleetpb.Answer{}
		for _, duty := range q.Stands {
			var group uint64
			fmt.Sscanf(duty[strings.Index(duty, "/")+1:], "%d", &group)
			a.Fences = append(a.Fences, &fleetpb.Fence{Epoch: 1, Count: 1000 + group})
		}
		asked <- q.Stands
		return a, nil
	})
	r := &listing{groups: map[int][]Member{}, asked: make(chan bool, 100)}
	for group := range 164 {
		r.groups[group] = nil
	}
	// Its length is such that no call is given up while the machine is busy.
	l := New(Settings{Fleet: "lab", Name: "r", Kind: "router", Coordinators: []string{council}, SessionTimeout: 100000, SafetyMargin: 200}, r)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	go l.Run(ctx, listener)
	defer func() { cancel(); <-l.Ended() }()
	duties, calls := map[string]bool{}, 0
	for ; len(duties) < 328; calls++ {
		for _, duty := range <-asked {
			duties[duty] = true
		}
	}
	took := make(chan lease.Verdict)
	for group := range 164 {
		for _, duty := range []string{healthshare.LeaseName(group), switchover.LeaseName(group)} {
			if !duties[duty] {
				t.Fatal("not asked:", duty)
			}
			for v := lease.NotLearned; v == lease.NotLearned; { // until the answer is in
				l.post(func() {
					v, _ := l.agent.Check(lease.Scope{Lease: duty, Subject: "x"}, "q", lease.Token{Epoch: 1, Count: 999 + uint64(group)})
					took <- v
				})
				if v = <-took; v != lease.Stale && v != lease.NotLearned {
					t.Fatalf("%s: an act below where it stands was %v", duty, v)
				}
			}
		}
	}
	l.post(func() {
		v, _ := l.agent.Check(lease.Scope{Lease: healthshare.LeaseName(163), Subject: "x"}, "q", lease.Token{Epoch: 1, Count: 1163})
		took <- v
	})
	if v := <-took; v != lease.Accepted {
		t.Error("an act under where its duty stands was", v)
	}
	if calls += len(asked); calls != 2 {
		t.Errorf("asked in %d calls, not two", calls)
	}
}
