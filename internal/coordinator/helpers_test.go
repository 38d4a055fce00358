package coordinator

import (
	"context"
	"errors"
	"io"
	"net"
	"testing"

	"google.golang.org/grpc"

	"wayloft/internal/audit"
	"wayloft/internal/decide/raftnode"
	"wayloft/internal/fleetpb"
	"wayloft/internal/rpc"
)

// settings returns the settings of a single-node cluster.
func settings(t *testing.T, dir string, listener net.Listener) Settings {
	t.Helper()
	return Settings{
		Fleet:            "lab",
		Name:             "c",
		Dir:              dir,
		Peers:            []raftnode.Peer{{Name: "c", Addr: listener.Addr().String()}},
		TickMs:           10,
		SnapshotInterval: 1000,
		MaxConnections:   8,
		AuditLog:         &audit.Log{},
	}
}

// loopback returns a listener on a free loopback port, which is closed when the test ends.
func loopback(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := listener.Close(); err != nil && !errors.Is(err, net.ErrClosed) { // a server closes its listener
			t.Error(err)
		}
	})
	return listener
}

// dial returns a connection to a node, which is closed when the test ends.
func dial(t *testing.T, address string) *grpc.ClientConn {
	t.Helper()
	conn, err := rpc.Dial(address, "lab")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { closeAndCheck(t, conn) })
	return conn
}

// closeAndCheck closes a resource of a test and reports a failure.
func closeAndCheck(t *testing.T, conn io.Closer) {
	t.Helper()
	if err := conn.Close(); err != nil {
		t.Errorf("close: %v", err)
	}
}

// serve runs a node on a listener until the test ends, and returns a client for it.
func serve(t *testing.T, node *Server, listener net.Listener) fleetpb.CouncilClient {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error)
	go func() { ended <- node.Run(ctx, listener) }()
	t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	return fleetpb.NewCouncilClient(dial(t, listener.Addr().String()))
}
