//go:build debug

package coordinator

import (
	"context"
	"fmt"
	"net"
	"path/filepath"
	"testing"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"wayloft/internal/audit"
	"wayloft/internal/decide/leasestate"
	"wayloft/internal/decide/raftnode"
	"wayloft/internal/fleetpb"
	"wayloft/internal/rpc"
)

const testTimeout = time.Minute // upper bound after which a test fails; no test waits for it to pass

// cluster is a coordinator cluster whose nodes all run in the test process.
type cluster struct {
	t     *testing.T
	dir   string
	peers []raftnode.Peer
	nodes map[string]*runningNode
}

type runningNode struct {
	*Server
	address   string
	cancel    context.CancelFunc
	runResult chan error
}

func newCluster(t *testing.T, names ...string) *cluster {
	t.Helper()
	c := &cluster{t: t, dir: t.TempDir(), nodes: map[string]*runningNode{}}
	for _, name := range names {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer closeAndCheck(t, l)
		c.peers = append(c.peers, raftnode.Peer{Name: name, Addr: l.Addr().String()})
	}
	t.Cleanup(func() {
		for name := range c.nodes {
			c.stop(name)
		}
	})
	return c
}

func (c *cluster) start(name string, defects SeededDefects) {
	c.t.Helper()
	var addr string
	for _, p := range c.peers {
		if p.Name == name {
			addr = p.Addr
		}
	}
	auditLog, err := audit.Open(filepath.Join(c.dir, name+".audit"), name)
	if err != nil {
		c.t.Fatal(err)
	}
	node, err := Open(Settings{
		Fleet:            "lab",
		Name:             name,
		Dir:              filepath.Join(c.dir, name),
		Address:          addr,
		Peers:            c.peers,
		TickMs:           20,
		SnapshotInterval: 1000,
		MaxConnections:   32,
		AuditLog:         auditLog,
		SeededDefects:    defects,
	})
	if err != nil {
		c.t.Fatal(err)
	}
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		c.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	p := &runningNode{Server: node, address: addr, cancel: cancel, runResult: make(chan error, 1)}
	go func() {
		p.runResult <- node.Run(ctx, listener)
		auditLog.Close()
	}()
	c.nodes[name] = p
}

func (c *cluster) stop(name string) {
	c.t.Helper()
	p := c.nodes[name]
	delete(c.nodes, name)
	p.cancel()
	if err := <-p.runResult; err != nil {
		c.t.Errorf("%s: %v", name, err)
	}
}

// try sends a request to one node. A redirect, a temporary rejection and an unknown result are errors.
func (c *cluster) try(ctx context.Context, p *runningNode, q *fleetpb.Request) (*fleetpb.Answer, error) {
	conn, err := rpc.Dial(p.address, "lab")
	if err != nil {
		return nil, err
	}
	defer closeAndCheck(c.t, conn)
	a, err := fleetpb.NewCouncilClient(conn).Do(ctx, q)
	if err != nil {
		return nil, err
	}
	if a.Moved {
		return nil, fmt.Errorf("redirected to %s", a.Leader)
	}
	return a, nil
}

// do sends a request to the nodes in turn until one answers.
func (c *cluster) do(q *fleetpb.Request) (answer *fleetpb.Answer, answeredBy *runningNode) {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	var lastErr error
	for ctx.Err() == nil {
		for _, p := range c.nodes {
			attempt, cancelAttempt := context.WithTimeout(ctx, time.Second)
			a, err := c.try(attempt, p, q)
			cancelAttempt()
			if err == nil {
				return a, p
			}
			switch lastErr = err; status.Code(err) {
			case codes.Aborted, codes.Unavailable, codes.DeadlineExceeded, codes.Unknown:
			default:
				c.t.Fatal(err)
			}
		}
	}
	c.t.Fatalf("no node answered: %v", lastErr)
	return nil, nil
}

// entry returns a request that proposes an entry of session r.
func entry(kind leasestate.Kind, lease string) *fleetpb.Request {
	return &fleetpb.Request{Entry: leasestate.Encode(leasestate.Entry{
		Kind:        kind,
		Session:     "r",
		Incarnation: 1,
		Role:        "router",
		Timeout:     60000,
		Lease:       lease,
	})}
}

// acquire acquires a lease and returns its fencing token, by which checkToken can tell whether the grant was lost.
func (c *cluster) acquire(lease string) (token *fleetpb.Fence, grantedBy *runningNode) {
	c.t.Helper()
	c.do(entry(leasestate.OpenSession, ""))
	a, grantedBy := c.do(entry(leasestate.AcquireLease, lease))
	if !a.Held {
		c.t.Fatalf("%s: %v", lease, a)
	}
	return a.Fence, grantedBy
}

// checkToken checks that the latest fencing token of a lease is the one with which it was granted.
func (c *cluster) checkToken(lease string, want *fleetpb.Fence) error {
	c.t.Helper()
	if a, _ := c.do(&fleetpb.Request{Stand: lease}); a.Fence.GetEpoch() != want.GetEpoch() || a.Fence.GetCount() != want.GetCount() {
		return fmt.Errorf("%s: got token %v, granted with %v", lease, a.Fence, want)
	}
	return nil
}

// crashAndRestart simulates a crash: it stops a node while its storage fails, so that nothing more is stored, and restarts it with working
// storage.
func (c *cluster) crashAndRestart(stores *failingStores, name string, defects SeededDefects) {
	c.t.Helper()
	c.stop(name)
	stores.set(nil, name)
	c.start(name, defects)
}
