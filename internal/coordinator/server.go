// Package coordinator runs one coordinator node. It executes the decisions of decide/raftnode, using a store on disk, and gRPC to reach its
// peers and clients. It owns the listener, the streams to its peers and the clock. It is not on the path of database clients' requests, does
// not decide who holds a lease, and never answers before the data on which the answer depends is stored.
//
// The goroutine of Run owns the node and all other fields of Server that aren't marked as shared. gRPC handlers pass functions to it.
package coordinator

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/net/netutil"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"

	"wayloft/internal/audit"
	"wayloft/internal/decide/backoff"
	"wayloft/internal/decide/policy"
	"wayloft/internal/decide/raftnode"
	"wayloft/internal/fleetpb"
	"wayloft/internal/rpc"
	"wayloft/internal/storage"
)

const (
	inboxSize               = 1024 // functions queued for the loop; senders block when it is full
	maxStreamsPerConnection = 256  // concurrent
	connectionTimeout       = 5 * time.Second
	minClientPingInterval   = watchKeepalive / 2
	serverPingInterval      = 5 * time.Second
	serverPingTimeout       = 5 * time.Second
	maxJoiningPeers         = 16
)

// Settings configure a Server.
type Settings struct {
	Fleet, Name      string
	Dir              string            // data directory
	Address          string            // at which peers reach this node
	Peers            []raftnode.Peer   // initial members of the cluster; empty: the node joins an existing cluster
	PeerAddresses    map[string]string // by name; override the addresses that the cluster knows
	TickMs           float64           // ms between heartbeats
	SnapshotInterval uint64            // entries between snapshots; each snapshot compacts the log
	MaxConnections   int               // concurrent
	ClockOffsetMs    float64           // added to the clock, for tests
	KnownEpoch       uint64            // a new cluster takes a later epoch than this, whatever its wall clock; 0: none known
	AuditLog         *audit.Log
	SeededDefects    SeededDefects
}

// SeededDefects are deliberate defects with which tests verify that the checkers detect them. They are never set in production.
type SeededDefects struct {
	EarlyAcknowledge bool // sends messages and answers that depend on an entry before the entry is stored
}

// Server is one coordinator node. It implements the fleet's gRPC service.
type Server struct {
	fleetpb.UnimplementedCouncilServer
	settings   Settings
	ctx        context.Context // of Run; ends when the node shuts down
	inbox      chan func()     // functions for the loop to run; shared
	goroutines sync.WaitGroup
	err        error // fatal error, which ends the loop

	node         *raftnode.Node // nil: suspended until the storage recovers
	store        *storage.Store // nil: not opened yet
	durable      raftnode.Durable
	backoff      backoff.RetrySchedule
	auditedIndex uint64 // index up to which events were audited before the node was suspended

	incarnations *raftnode.KnownIncarnations
	identity     raftnode.Identity
	peerStreams  map[uint64]*peerStream
	joiningPeers map[uint64]raftnode.Peer // by ID; peers that connected while this node knew no members

	lastRequest uint64
	pending     map[uint64]func(raftnode.Decision) // by request number

	mu           sync.Mutex
	stateChanged chan struct{} // closed when the lease state has changed; guarded by mu
	watchedIndex uint64        // state index of the last notification of watchers

	policyCache   []policyContent     // most recently used last
	policyBook    *fleetpb.PolicyBook // cached message for policyVersion
	policyVersion policy.Version
}

// Errors that clients receive. Operators see their texts.
var (
	// errStorage means that the storage of this node fails. The request was not started; another node may be able to answer.
	errStorage = status.Error(codes.Unavailable, "the storage of this process fails: ask another, or ask again")
	// errResultUnknown means that the request was started, but this node can't determine its result.
	errResultUnknown = status.Error(codes.Aborted, "it may have been taken or not: ask again")
	errShuttingDown  = status.Error(codes.Unavailable, "this process is ending")
)

// Open loads a node from its data directory. The node is inactive until Run is called. If the storage is temporarily unavailable, Run
// retries; other errors are returned.
func Open(settings Settings) (*Server, error) {
	s := &Server{
		settings:     settings,
		inbox:        make(chan func(), inboxSize),
		peerStreams:  map[uint64]*peerStream{},
		joiningPeers: map[uint64]raftnode.Peer{},
		lastRequest:  firstRequest(),
		pending:      map[uint64]func(raftnode.Decision){},
		stateChanged: make(chan struct{}),
	}
	err := s.load()
	if errors.Is(err, storage.ErrUnavailable) {
		s.suspend(err)
	} else if err != nil {
		s.closeStore()
		return nil, err
	}
	return s, nil
}

// firstRequest returns a random number after which this incarnation numbers its requests. Entries of an earlier incarnation may still be
// applied, and their request numbers must not match a pending request of this one. The shift leaves at least half of the range to count in.
func firstRequest() uint64 { return rpc.UniqueID() >> 1 }

// Run serves on a listener until ctx ends, in which case it returns nil, or until a fatal error. It closes the listener and the store, and
// waits for its goroutines to end.
func (s *Server) Run(ctx context.Context, listener net.Listener) error {
	ctx, cancel := context.WithCancel(ctx)
	s.ctx = ctx
	defer s.closeStore()
	defer s.goroutines.Wait()
	defer cancel()
	server := s.newGRPCServer()
	s.goroutines.Go(func() {
		if err := server.Serve(netutil.LimitListener(listener, s.settings.MaxConnections)); err != nil && !errors.Is(err, grpc.ErrServerStopped) {
			logrus.WithError(err).WithField("listen", listener.Addr().String()).Error("listener failed")
		}
	})
	defer server.Stop()
	s.logStart(listener)
	return s.loop(ctx)
}

// newGRPCServer returns the gRPC server for peers and clients.
func (s *Server) newGRPCServer() *grpc.Server {
	interceptors := rpc.NewInterceptors(s.settings.Fleet)
	server := grpc.NewServer(
		grpc.MaxRecvMsgSize(rpc.MaxMessageBytes),
		grpc.MaxConcurrentStreams(maxStreamsPerConnection),
		grpc.ConnectionTimeout(connectionTimeout),
		grpc.ChainUnaryInterceptor(interceptors.Unary),
		grpc.ChainStreamInterceptor(interceptors.Stream),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: minClientPingInterval, PermitWithoutStream: true}),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: serverPingInterval, Timeout: serverPingTimeout}))
	fleetpb.RegisterCouncilServer(server, s)
	return server
}

// logStart writes the start of the node to the log and the audit log.
func (s *Server) logStart(listener net.Listener) {
	var applied, epoch uint64
	if !s.suspended() {
		applied, epoch = s.node.Applied(), s.node.State().Epoch()
	}
	logrus.WithFields(logrus.Fields{"name": s.settings.Name, "listen": listener.Addr().String(), "fleet": s.settings.Fleet,
		"directory": s.settings.Dir, "applied": applied, "epoch": epoch}).Info("coordinator started")
	s.settings.AuditLog.Add("up", audit.Fields{"applied": applied, "epoch": epoch})
}

// loop runs the functions from the inbox and time-driven work. Its goroutine is the only one that accesses the node.
func (s *Server) loop(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for s.err == nil {
		select {
		case <-ctx.Done():
			return nil
		case f := <-s.inbox:
			f()
			for n := len(s.inbox); n > 0; n-- { // run the whole batch, so that it is stored with one sync
				(<-s.inbox)()
			}
		case <-timer.C:
		}
		timer.Reset(time.Duration((s.advance() - s.now()) * float64(time.Millisecond)))
	}
	return s.err
}

// advance executes the work that is due, and returns the time by which it must be called again.
func (s *Server) advance() (deadline float64) {
	if s.suspended() && s.backoff.RetryAt() <= s.now() {
		s.err = s.resume()
	}
	if !s.suspended() && s.err == nil {
		s.node.Advance(s.now())
		s.executeDecisions()
	}
	if s.suspended() {
		return s.backoff.RetryAt()
	}
	return s.node.NextDeadline()
}

// now returns the time in ms on a monotonic clock that includes time the machine spent suspended.
func (s *Server) now() float64 { return rpc.Boottime() + s.settings.ClockOffsetMs }
