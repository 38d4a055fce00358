// Package coordinator runs one coordinator node: it carries out what decide/raftnode decides, with a store for its disk and gRPC for its
// peers and clients. It owns the listener, the streams to its peers and the clock. It never sees a client's request, never decides who
// holds a lease, and never answers before the store has what the answer rests on.
//
// One goroutine, Run's, owns the node and everything else of Server that isn't said to be shared. Handlers of gRPC calls pass functions to
// it.
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
	inboxSize          = 1024 // functions that wait for the loop; whoever has one more waits instead
	maxStreams         = 256  // at once on one connection
	connectionTimeout  = 5 * time.Second
	minClientPing      = watchKeepalive / 2
	serverPingInterval = 5 * time.Second
	serverPingTimeout  = 5 * time.Second
	maxJoiningPeers    = 16
)

// Settings configure a Server.
type Settings struct {
	Fleet, Name      string
	Dir              string            // data directory
	Address          string            // where its peers reach it
	Peers            []raftnode.Peer   // the initial members of the cluster; empty: it joins one that exists
	PeerAddresses    map[string]string // by name, in place of the addresses that the cluster knows
	TickMs           float64           // ms between heartbeats
	SnapshotInterval uint64            // entries between two snapshots, at which the log is compacted
	MaxConnections   int               // at once
	ClockOffsetMs    float64           // ms that this process's clock is ahead, for tests
	KnownEpoch       uint64            // a new cluster takes a later epoch, whatever its wall clock says; 0: none is known
	AuditLog         *audit.Log
	SeededDefects    SeededDefects
}

// SeededDefects are defects by which tests show that checkers find them; the program sets none of them.
type SeededDefects struct {
	EarlyAcknowledge bool // sends and answers what rests on an entry before the entry is stored
}

// Server is one coordinator node. It implements the fleet's gRPC service.
type Server struct {
	fleetpb.UnimplementedCouncilServer
	settings   Settings
	ctx        context.Context // Run's; ends when the process does
	inbox      chan func()     // for the loop; shared
	goroutines sync.WaitGroup
	err        error // why it can't go on

	node         *raftnode.Node // nil: suspended until the storage works
	store        *storage.Store // nil: it could not be opened yet
	durable      raftnode.Durable
	backoff      backoff.Storage
	auditedIndex uint64 // events up to it were audited before it was suspended

	incarnations *raftnode.KnownIncarnations
	identity     raftnode.Identity
	peerStreams  map[uint64]*peerStream
	joiningPeers map[uint64]raftnode.Peer // that connected while this node knew no members

	lastRequest uint64
	pending     map[uint64]func(raftnode.Decision) // by request

	mu           sync.Mutex
	stateChanged chan struct{} // closed when the lease state has changed; guarded by mu
	watchedIndex uint64        // index of the state that watchers were last woken for

	policyCache   []policyContent     // what was served lately, the latest last
	policyBook    *fleetpb.PolicyBook // of policyVersion
	policyVersion policy.Version
}

// Errors that clients receive. Their texts are part of what operators see.
var (
	// errStorage: this node can't store. Nothing was begun here; another node may answer.
	errStorage = status.Error(codes.Unavailable, "the storage of this process fails: ask another, or ask again")
	// errUnknown: the request was begun, and its result can't be known here.
	errUnknown = status.Error(codes.Aborted, "it may have been taken or not: ask again")
	errEnding  = status.Error(codes.Unavailable, "this process is ending")
)

// Open returns a node with what its data directory holds. It does nothing until Run. If the storage is unavailable for now, Run tries again; other
// errors of the directory are returned.
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

// firstRequest draws the number after which this incarnation counts its requests. An entry of an earlier incarnation may still be applied,
// and its number must not be that of a request that waits now. Half of all numbers are left to count in.
func firstRequest() uint64 { return rpc.UniqueID() >> 1 }

// Run serves on a listener until ctx ends, which is no error, or the node can't go on. It closes the listener and the store, and returns
// once its goroutines have ended.
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

// newGRPCServer returns the server for peers and clients.
func (s *Server) newGRPCServer() *grpc.Server {
	interceptors := rpc.NewInterceptors(s.settings.Fleet)
	server := grpc.NewServer(
		grpc.MaxRecvMsgSize(rpc.MaxMessageBytes),
		grpc.MaxConcurrentStreams(maxStreams),
		grpc.ConnectionTimeout(connectionTimeout),
		grpc.ChainUnaryInterceptor(interceptors.Unary),
		grpc.ChainStreamInterceptor(interceptors.Stream),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: minClientPing, PermitWithoutStream: true}),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: serverPingInterval, Timeout: serverPingTimeout}))
	fleetpb.RegisterCouncilServer(server, s)
	return server
}

// logStart writes to the logs what the node starts with.
func (s *Server) logStart(listener net.Listener) {
	var applied, epoch uint64
	if !s.suspended() {
		applied, epoch = s.node.Applied(), s.node.State().Epoch()
	}
	logrus.WithFields(logrus.Fields{"name": s.settings.Name, "listen": listener.Addr().String(), "fleet": s.settings.Fleet,
		"directory": s.settings.Dir, "applied": applied, "epoch": epoch}).Info("coordinator started")
	s.settings.AuditLog.Add("up", audit.Fields{"applied": applied, "epoch": epoch})
}

// loop runs what the inbox brings and what is due by time. It is the only goroutine that touches the node.
func (s *Server) loop(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for s.err == nil {
		select {
		case <-ctx.Done():
			return nil
		case f := <-s.inbox:
			f()
			for n := len(s.inbox); n > 0; n-- { // what waits already is stored with one sync
				(<-s.inbox)()
			}
		case <-timer.C:
		}
		timer.Reset(time.Duration((s.advance() - s.now()) * float64(time.Millisecond)))
	}
	return s.err
}

// advance carries out what is due and returns the time at which it must be called again at the latest.
func (s *Server) advance() (deadline float64) {
	if s.suspended() && s.backoff.Due() <= s.now() {
		s.err = s.resume()
	}
	if !s.suspended() && s.err == nil {
		s.node.Advance(s.now())
		s.carryOutDecisions()
	}
	if s.suspended() {
		return s.backoff.Due()
	}
	return s.node.NextDeadline()
}

// now returns the time in ms on a monotonic clock that also runs while the machine sleeps.
func (s *Server) now() float64 { return rpc.Boottime() + s.settings.ClockOffsetMs }
