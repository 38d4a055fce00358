package fleet

import (
	"context"
	"errors"
	"net"
	"strings"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/net/netutil"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"

	"wayloft/internal/decide/healthshare"
	"wayloft/internal/decide/lease"
	"wayloft/internal/decide/switchover"
	"wayloft/internal/fleetpb"
	"wayloft/internal/invariant"
	"wayloft/internal/rpc"
)

const (
	maxOrderBytes       = 1 << 20
	maxNameBytes        = 256  // of each name in an order
	maxSenders          = 1024 // connections of processes that send orders
	maxConcurrentOrders = 64   // on one connection
	handshakeTimeout    = 5 * time.Second
	minPingInterval     = 5 * time.Second // between two pings of a sender
)

// serveOrders starts the server that receives orders of lease holders. Run waits for its end.
func (n *Node) serveOrders(listener net.Listener) *grpc.Server {
	checks := rpc.NewInterceptors(n.settings.Fleet)
	server := grpc.NewServer(
		grpc.MaxRecvMsgSize(maxOrderBytes),
		grpc.MaxConcurrentStreams(maxConcurrentOrders),
		grpc.ConnectionTimeout(handshakeTimeout),
		grpc.ChainUnaryInterceptor(checks.Unary),
		grpc.ChainStreamInterceptor(checks.Stream),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: minPingInterval, PermitWithoutStream: true}),
	)
	fleetpb.RegisterReceiverServer(server, &receiverServer{node: n})
	n.background.Go(func() {
		if err := server.Serve(netutil.LimitListener(listener, maxSenders)); err != nil && !errors.Is(err, grpc.ErrServerStopped) {
			logrus.WithError(err).Warn("orders are no longer received")
		}
	})
	return server
}

// receiverServer is the gRPC service Receiver.
type receiverServer struct {
	fleetpb.UnimplementedReceiverServer
	node *Node
}

// Act implements the service Receiver.
func (s *receiverServer) Act(ctx context.Context, order *fleetpb.Order) (*fleetpb.Verdict, error) {
	return s.node.handleOrder(ctx, order)
}

// handleOrder handles an order of a lease holder. Its fencing token is checked and its content is passed to the router's event loop in one step, so
// that nothing under a lower token can come between. The errors are gRPC statuses.
func (n *Node) handleOrder(ctx context.Context, order *fleetpb.Order) (*fleetpb.Verdict, error) {
	if n.ctx == nil || ctx.Err() != nil {
		return nil, status.Error(codes.Unavailable, "not up")
	}
	if err := checkOrder(order); err != nil {
		return nil, err
	}
	result := make(chan *fleetpb.Verdict, 1)
	if !n.post(func() { n.fenceOrder(order, func(verdict *fleetpb.Verdict) { result <- verdict }) }) {
		return nil, errStopping
	}
	select {
	case verdict := <-result:
		return verdict, nil
	case <-ctx.Done():
		return nil, status.FromContextError(ctx.Err()).Err()
	case <-n.stopped:
		return nil, errStopping
	}
}

// errStopping is what senders of orders get while the process ends.
var errStopping = status.Error(codes.Unavailable, "this process is ending")

// checkOrder checks that an order is within the bounds, and of a lease that this build knows. The errors are gRPC statuses, whose texts
// operators of other processes see.
func checkOrder(order *fleetpb.Order) error {
	if len(order.Duty) > maxNameBytes || len(order.About) > maxNameBytes || len(order.Holder) > maxNameBytes ||
		len(order.Sightings) > healthshare.MaxReports {
		return status.Error(codes.InvalidArgument, "an order of unsound size")
	}
	if !strings.HasPrefix(order.Duty, healthshare.LeasePrefix) && !strings.HasPrefix(order.Duty, switchover.LeasePrefix) {
		return status.Errorf(codes.InvalidArgument, "the duty %.64q is none that this build knows", order.Duty)
	}
	return nil
}

// fenceOrder checks an order's fencing token, and has an order under a valid one applied. done is called once, on any goroutine.
func (n *Node) fenceOrder(order *fleetpb.Order, done func(*fleetpb.Verdict)) {
	n.leases.Advance(n.now())
	header := decodeHeader(order)
	judged, highest := n.leases.Check(header.scope, header.holder, header.token)
	verdict := &fleetpb.Verdict{Kind: verdictKinds[judged], Highest: rpc.EncodeToken(highest)}
	fields := leaseFields(header.scope.Lease, header.token)
	fields[subjectField], fields["holder"] = header.scope.Subject, header.holder
	switch judged {
	case lease.Accepted:
		n.settings.AuditLog.Add("taken", fields)
		n.applyOrder(order, header, verdict, done)
		return
	case lease.Stale:
		fields[higherTokenField] = highest.String()
		n.settings.AuditLog.Add("late", fields)
		logrus.WithFields(logrus.Fields{"lease": header.scope.Lease, "holder": header.holder, "token": header.token, "higher_token": highest}).
			Warn("rejected an order of a former lease holder")
	case lease.Conflicting:
		invariant.Check(false, "one fencing token, one holder")
	}
	done(verdict)
}

// applyOrder has the router's event loop do what an order says; what is malformed is passed over, and the verdict says so.
func (n *Node) applyOrder(order *fleetpb.Order, header orderHeader, verdict *fleetpb.Verdict, done func(*fleetpb.Verdict)) {
	accepted := n.callRouter(func() {
		now := n.router.Now()
		n.applyReports(order.Sightings, now, verdict)
		if order.Hold != nil {
			n.applyHold(order.Hold, header, now, verdict)
		}
		done(verdict)
	})
	if !accepted {
		verdict.Kind, verdict.Why = fleetpb.Verdict_UNKNOWN, "too busy"
		done(verdict)
	}
}

// applyReports passes reports of another process's health checks to the router, on its event loop.
func (n *Node) applyReports(messages []*fleetpb.Sighting, now float64, verdict *fleetpb.Verdict) {
	for _, message := range messages {
		report := decodeReport(message)
		if err := healthshare.CheckReport(report, now); err != nil {
			markMalformed(verdict, err.Error())
			continue
		}
		n.router.PeerReported(report)
	}
}

// applyHold holds or releases a group's writes for a switchover, on the router's event loop, and counts them.
func (n *Node) applyHold(hold *fleetpb.Hold, header orderHeader, now float64, verdict *fleetpb.Verdict) {
	group := int(hold.Group)
	if header.scope.Lease != switchover.LeaseName(group) {
		markMalformed(verdict, "an order about another group")
		return
	}
	switch {
	case hold.Looks: // writes are only counted
	case hold.Ends:
		n.writeHolds.Release(group, header.token, hold.Number)
		n.router.HoldWrites(group, 0)
	default:
		n.router.HoldWrites(group, n.writeHolds.Hold(group, header.token, hold.Number, hold.MostMs, now))
	}
	running, waiting := n.router.Writes(group)
	verdict.Running, verdict.Held = int64(running), int64(waiting)
}
