package coordinator

import (
	"context"
	"fmt"
	"testing"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"wayloft/internal/decide/leaseclient"
	"wayloft/internal/decide/leasestate"
	"wayloft/internal/fleetpb"
	"wayloft/internal/rpc"
)

// A query for the latest tokens of several leases returns them in the order of the request. The older form of the query, for one lease, is
// still answered. A query for no lease, or for too many, is rejected.
func TestDo_LatestTokens(t *testing.T) {
	listener := loopback(t)
	c, err := Open(settings(t, t.TempDir(), listener))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), testDeadline)
	defer cancel()
	service := serve(t, c, listener)
	do := func(q *fleetpb.Request) *fleetpb.Answer {
		for {
			a, err := service.Do(ctx, q)
			if err != nil && status.Code(err) != codes.Aborted {
				t.Fatal(err)
			}
			if err == nil && !a.Moved { // otherwise it doesn't lead yet
				return a
			}
		}
	}
	entry := func(e leasestate.Entry) *fleetpb.Answer {
		e.Session, e.Incarnation = "r", 1
		return do(&fleetpb.Request{Entry: leasestate.Encode(e)})
	}
	entry(leasestate.Entry{Kind: leasestate.OpenSession, Role: "router", Timeout: 60000})
	a, b := entry(leasestate.Entry{Kind: leasestate.AcquireLease, Lease: "a"}).Fence, entry(leasestate.Entry{Kind: leasestate.AcquireLease, Lease: "b"}).Fence
	entry(leasestate.Entry{Kind: leasestate.ReleaseLease, Lease: "b", Token: rpc.DecodeToken(b)})
	b = entry(leasestate.Entry{Kind: leasestate.AcquireLease, Lease: "b"}).Fence
	if a.Count != 1 || b.Count != 2 {
		t.Fatal(a, b)
	}
	got := do(&fleetpb.Request{Stands: []string{"b", "none", "a"}})
	if len(got.Fences) != 3 || got.Fences[0].Count != 2 || got.Fences[1].Count != 0 || got.Fences[2].Count != 1 || got.Fences[1].Epoch != a.Epoch {
		t.Errorf("%v", got)
	}
	if one := do(&fleetpb.Request{Stand: "b"}); one.Fence.GetCount() != 2 || len(one.Fences) != 0 {
		t.Errorf("%v", one)
	}
	var many []string
	for i := range leaseclient.MaxTokenQuery + 1 {
		many = append(many, fmt.Sprint(i))
	}
	if got := do(&fleetpb.Request{Stands: many[1:]}); len(got.Fences) != leaseclient.MaxTokenQuery {
		t.Errorf("got %d tokens", len(got.Fences))
	}
	for _, q := range []*fleetpb.Request{{Stands: many}, {}} {
		if got, err := service.Do(ctx, q); status.Code(err) != codes.InvalidArgument {
			t.Errorf("query for %d leases: got %v, %v", len(q.Stands), got, err)
		}
	}
}
