package coordinator

import (
	"context"
	"net"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"wayloft/internal/decide/leaseclient"
	"wayloft/internal/decide/leasestate"
	"wayloft/internal/decide/raftnode"
	"wayloft/internal/failpoint"
	"wayloft/internal/fleetpb"
	"wayloft/internal/rpc"
)

// clientEntryKinds are the kinds of entries that clients may propose. Only the leader proposes entries about time and leadership.
var clientEntryKinds = map[leasestate.Kind]bool{
	leasestate.OpenSession:   true,
	leasestate.KeepAlive:     true,
	leasestate.CloseSession:  true,
	leasestate.AcquireLease:  true,
	leasestate.ReleaseLease:  true,
	leasestate.TransferLease: true,
	leasestate.RecordStep:    true,
	leasestate.ReportToken:   true,
	leasestate.PlaceOrder:    true,
	leasestate.CompleteOrder: true,
	leasestate.BeginEpoch:    true,
	leasestate.ProposePolicy: true,
}

// Do proposes an entry, or returns the latest tokens of leases. It implements the gRPC service. In the protocol, Stand and Stands name the
// leases to query, a Fence is a fencing token, and Wont is a policy version that a session rejected.
func (s *Server) Do(ctx context.Context, request *fleetpb.Request) (*fleetpb.Answer, error) {
	leases := request.Stands
	if request.Stand != "" {
		leases = []string{request.Stand}
	}
	if len(leases) > leaseclient.MaxTokenQuery {
		return nil, status.Errorf(codes.InvalidArgument, "stands: %d duties, %d at most", len(leases), leaseclient.MaxTokenQuery)
	}
	if len(leases) == 0 {
		return s.propose(ctx, request.Entry)
	}
	tokens, redirect, err := s.latestTokens(ctx, leases)
	switch {
	case err != nil:
		return nil, err
	case redirect != nil:
		return redirect, nil
	case len(request.Stands) > 0:
		return &fleetpb.Answer{Fences: tokens}, nil
	}
	return &fleetpb.Answer{Fence: tokens[0]}, nil
}

// propose proposes a client's entry and returns its result, or a redirect to the leader.
func (s *Server) propose(ctx context.Context, encoded []byte) (*fleetpb.Answer, error) {
	entry, err := leasestate.Decode(encoded)
	if err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	if !clientEntryKinds[entry.Kind] || entry.Elapsed != 0 {
		return nil, status.Errorf(codes.InvalidArgument, "entry: %q is not for others to bring", entry.Kind)
	}
	switch entry.Kind {
	case leasestate.AcquireLease:
		failpoint.Point("coordinator.requested") // received but not yet proposed
	case leasestate.ProposePolicy:
		failpoint.Point("policy.asked") // received but not yet proposed
	}
	d, err := s.request(ctx, func(number uint64) { s.node.Propose(number, entry) })
	if entry.Kind == leasestate.ProposePolicy {
		failpoint.Point("policy.answers") // committed and watchers notified, but not yet answered
	}
	if err != nil {
		return nil, err
	}
	if d.Action == raftnode.Redirect {
		return redirectAnswer(d), nil
	}
	return &fleetpb.Answer{
		Held:   d.Result.Held,
		Fence:  rpc.EncodeToken(d.Result.Token),
		Why:    string(d.Result.Rejection),
		Number: d.Result.Number,
	}, nil
}

// latestTokens returns the latest token of each lease by a single linearizable read, or a redirect to the leader.
func (s *Server) latestTokens(ctx context.Context, leases []string) (tokens []*fleetpb.Fence, redirect *fleetpb.Answer, err error) {
	d, err := s.read(ctx, func() {
		for _, lease := range leases {
			tokens = append(tokens, rpc.EncodeToken(s.node.State().LatestToken(lease)))
		}
	})
	if err != nil {
		return nil, nil, err
	}
	if d.Action == raftnode.Redirect {
		return nil, redirectAnswer(d), nil
	}
	return tokens, nil, nil
}

// redirectAnswer returns an answer that names the leader.
func redirectAnswer(d raftnode.Decision) *fleetpb.Answer {
	return &fleetpb.Answer{Moved: true, Leader: d.Leader.Name, Address: d.Leader.Addr}
}

// Look returns the complete lease state by a linearizable read. It implements the gRPC service.
func (s *Server) Look(ctx context.Context, _ *fleetpb.Empty) (*fleetpb.State, error) {
	var state *fleetpb.State
	d, err := s.read(ctx, func() { state = s.encodeState() })
	if err != nil {
		return nil, err
	}
	if d.Action == raftnode.Redirect {
		return &fleetpb.State{Moved: true, Leader: d.Leader.Name, Address: d.Leader.Addr}, nil
	}
	return state, nil
}

// encodeState converts the complete lease state and the cluster's members to a protocol message.
func (s *Server) encodeState() *fleetpb.State {
	state := s.node.State()
	update, index := leaseclient.Changes(state, 0, false)
	out := &fleetpb.State{State: rpc.EncodeUpdate(update), Epoch: state.Epoch(), Refused: state.RejectedOperations()}
	out.State.Index = index
	for _, encoded := range out.State.Sessions {
		session, _ := state.Session(encoded.Name)
		encoded.SilentMs = state.Now() - session.LastHeartbeat
		encoded.Refused = session.RejectedOperations
		encoded.Wont = session.RejectedPolicy
		encoded.Why = session.Reason
	}
	for _, encoded := range out.State.Duties {
		lease, _ := state.Lease(encoded.Name)
		encoded.SinceMs = state.Now() - lease.Since
		encoded.Queue = lease.Queue
		encoded.Barred = rpc.EncodeToken(lease.ReportedToken)
	}
	for _, peer := range s.node.Peers() {
		out.Council = append(out.Council, &fleetpb.Peer{
			Name:    peer.Name,
			Address: peer.Addr,
			Leader:  peer.Leader,
			Applied: peer.Applied,
			Level:   peer.CaughtUp,
			Known:   peer.Known,
		})
	}
	return out
}

// Change adds nodes to the cluster or removes them. It implements the gRPC service.
func (s *Server) Change(ctx context.Context, members *fleetpb.Members) (*fleetpb.Answer, error) {
	var add []raftnode.Peer
	for _, peer := range members.Add {
		if _, _, err := net.SplitHostPort(peer.Address); err != nil || peer.Name == "" {
			return nil, status.Errorf(codes.InvalidArgument, "a process needs a name and an address, not %q and %q", peer.Name, peer.Address)
		}
		add = append(add, raftnode.Peer{Name: peer.Name, Addr: peer.Address})
	}
	d, err := s.request(ctx, func(number uint64) { s.node.ChangeMembership(number, add, members.Remove) })
	if err != nil {
		return nil, err
	}
	if d.Action == raftnode.Redirect {
		return redirectAnswer(d), nil
	}
	return &fleetpb.Answer{Held: d.Result.Held, Why: string(d.Result.Rejection)}, nil
}
