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
	maxNameBytes        = 256  // per name in an order
	maxSenders          = 1024 // connections of processes that send orders
	maxConcurrentOrders = 64   // per connection
	handshakeTimeout    = 5 * time.Second
	minPingInterval     = 5 * time.Second // between keepalive pings of a sender
)

// serveOrders starts the gRPC server that receives orders of lease holders. Run waits until it has stopped.
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
			logrus.WithError(err).Warn("order server failed; orders are no longer received")
		}
	})
	return server
}

// receiverServer implements the gRPC service Receiver.
type receiverServer struct {
	fleetpb.UnimplementedReceiverServer
	node *Node
}

// Act handles an order of a lease holder.
func (s *receiverServer) Act(ctx context.Context, order *fleetpb.Order) (*fleetpb.Verdict, error) {
	return s.node.handleOrder(ctx, order)
}

// handleOrder handles an order of a lease holder. One call on the node's event loop both checks the fencing token and queues the content for
// the router's event loop, so that no order with a lower token can be applied after one with a higher token. Errors are gRPC statuses.
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

// errStopping is returned to senders of orders during shutdown.
var errStopping = status.Error(codes.Unavailable, "this process is ending")

// checkOrder checks that an order is within the size limits and that this build knows the kind of its lease. Errors are gRPC statuses;
// operators see their messages at other processes.
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

// fenceOrder checks an order's fencing token and applies the order if the token is valid. done is called once, on any goroutine.
func (n *Node) fenceOrder(order *fleetpb.Order, done func(*fleetpb.Verdict)) {
	n.leases.Advance(n.now())
	header := decodeHeader(order)
	tokenVerdict, highest := n.leases.Check(header.scope, header.holder, header.token)
	verdict := &fleetpb.Verdict{Kind: verdictKinds[tokenVerdict], Highest: rpc.EncodeToken(highest)}
	fields := leaseFields(header.scope.Lease, header.token)
	fields[subjectField], fields["holder"] = header.scope.Subject, header.holder
	switch tokenVerdict {
	case lease.Accepted:
		n.settings.AuditLog.Add("taken", fields)
		n.applyOrder(order, header, verdict, done)
		return
	case lease.Stale:
		fields[higherTokenField] = highest.String()
		n.settings.AuditLog.Add("late", fields)
		logrus.WithFields(logrus.Fields{"lease": header.scope.Lease, "holder": header.holder, "token": header.token, "higher_token": highest}).
			Warn("rejected order of a former lease holder: stale fencing token")
	case lease.Conflicting:
		invariant.Check(false, "one fencing token, one holder")
	}
	done(verdict)
}

// applyOrder applies an order on the router's event loop. Malformed parts are ignored and reported in the verdict.
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

// applyReports passes the health reports of another process to the router. It runs on the router's event loop.
func (n *Node) applyReports(messages []*fleetpb.Sighting, now float64, verdict *fleetpb.Verdict) {
	for _, message := range messages {
		report := decodeReport(message)
		if err := healthshare.ValidateReport(report, now); err != nil {
			markMalformed(verdict, err.Error())
			continue
		}
		n.router.PeerReported(report)
	}
}

// applyHold holds, releases or only counts a group's writes for a switchover. It runs on the router's event loop.
func (n *Node) applyHold(hold *fleetpb.Hold, header orderHeader, now float64, verdict *fleetpb.Verdict) {
	group := int(hold.Group)
	if header.scope.Lease != switchover.LeaseName(group) {
		markMalformed(verdict, "an order about another group")
		return
	}
	switch {
	case hold.Looks: // only count
	case hold.Ends:
		n.writeHolds.Release(group, header.token, hold.Number)
		n.router.HoldWrites(group, 0)
	default:
		n.router.HoldWrites(group, n.writeHolds.Hold(group, header.token, hold.Number, hold.MostMs, now))
	}
	running, waiting := n.router.Writes(group)
	verdict.Running, verdict.Held = int64(running), int64(waiting)
}
