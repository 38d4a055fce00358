package fleet

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/grpc"

	"wayloft/internal/decide/register"
	"wayloft/internal/fleetpb"
	"wayloft/internal/wire"
)

// answering is a process of the council that answers by a function.
type answering struct {
	fleetpb.UnimplementedCouncilServer
	do func(context.Context) (*fleetpb.Answer, error)
}

func (a *answering) Do(ctx context.Context, _ *fleetpb.Request) (*fleetpb.Answer, error) {
	return a.do(ctx)
}

func serves(t *testing.T, do func(context.Context) (*fleetpb.Answer, error)) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	checks := wire.Server("lab")
	s := grpc.NewServer(grpc.ChainUnaryInterceptor(checks.Unary))
	fleetpb.RegisterCouncilServer(s, &answering{do: do})
	go s.Serve(l)
	t.Cleanup(s.Stop)
	return l.Addr().String()
}

// Who leads is asked again though it was silent once, as long as the others say that it leads.
func TestAsksTheLeaderAgain(t *testing.T) {
	calls, leader := atomic.Int32{}, ""
	leader = serves(t, func(ctx context.Context) (*fleetpb.Answer, error) {
		if calls.Add(1) == 1 {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		return &fleetpb.Answer{Held: true, Number: 7}, nil
	})
	addrs := []string{leader}
	for range 2 {
		addrs = append(addrs, serves(t, func(context.Context) (*fleetpb.Answer, error) {
			return &fleetpb.Answer{Moved: true, Leader: "c1", Address: leader}, nil
		}))
	}
	c := NewClient("lab", addrs, nil)
	defer c.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	a, err := c.Do(ctx, register.Entry{Kind: register.Beat, Session: "r1"})
	if err != nil || a.Number != 7 || calls.Load() != 2 {
		t.Errorf("got %+v, %v after %d calls", a, err, calls.Load())
	}
}
