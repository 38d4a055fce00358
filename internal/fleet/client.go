package fleet

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"wayloft/internal/fleetpb"
	"wayloft/internal/rpc"
)

const (
	attemptTimeout = 600 * time.Millisecond // for a response, before another coordinator node is tried
	retryDelay     = 20 * time.Millisecond  // between two attempts, before jitter
	watchTimeout   = 4 * time.Second        // without an update before a watch counts as failed; nodes send an empty update every second

	// Connections to former leaders are closed once there are more connections than
	// connectionsPerConfigured per configured address plus spareConnections.
	spareConnections         = 16
	connectionsPerConfigured = 4
)

// Client sends requests to the leader of the coordinator cluster, to which the other nodes redirect it. It is safe for concurrent use.
type Client struct {
	fleet            string
	addresses        []string
	addressOverrides map[string]string

	mu             sync.Mutex
	conns          map[string]*grpc.ClientConn // by address
	leader         string                      // address of the leader; "" if unknown
	watchedAddress string                      // address of the node of the current or latest watch
}

// NewClient returns a Client of a fleet's coordinator. addressOverrides maps names of nodes to addresses that replace the announced ones.
func NewClient(fleet string, addresses []string, addressOverrides map[string]string) *Client {
	return &Client{fleet: fleet, addresses: addresses, addressOverrides: addressOverrides, conns: map[string]*grpc.ClientConn{}}
}

// Close closes all connections. Pending calls fail.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, conn := range c.conns {
		closeConnection(address, conn)
	}
	clear(c.conns)
}

// CoordinatorError describes a failed request to a coordinator node.
type CoordinatorError struct {
	Address string
	Err     error // usually a gRPC status
}

// Error returns the message shown to operators. It calls the coordinator "council", like the commands and settings.
func (e *CoordinatorError) Error() string {
	return fmt.Sprintf("council at %s: %s", e.Address, status.Convert(e.Err).Message())
}

// Unwrap returns the cause.
func (e *CoordinatorError) Unwrap() error { return e.Err }

var (
	// ErrNoLeader is returned if a coordinator node currently knows no leader.
	ErrNoLeader = errors.New("no known leader")
	// ErrMalformedResponse is returned for a response that no build of a coordinator node sends.
	ErrMalformedResponse = errors.New("malformed response")
)

// connection returns the connection to an address and creates it if necessary.
func (c *Client) connection(address string) (*grpc.ClientConn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn := c.conns[address]; conn != nil {
		return conn, nil
	}
	conn, err := rpc.Dial(address, c.fleet)
	if err != nil {
		return nil, err
	}
	if len(c.conns) > connectionsPerConfigured*len(c.addresses)+spareConnections {
		c.closeFormerLeaders()
	}
	c.conns[address] = conn
	return conn, nil
}

// closeFormerLeaders closes all connections to addresses that are neither configured nor the current leader's. The caller must hold mu.
func (c *Client) closeFormerLeaders() {
	for address, conn := range c.conns {
		if !slices.Contains(c.addresses, address) && address != c.leader {
			closeConnection(address, conn)
			delete(c.conns, address)
		}
	}
}

// nextAddress returns the address for the next attempt: the leader's, or a random one that has not failed recently. Entries in failed
// expire after attemptTimeout. Otherwise a leader that timed out once would never be tried again, because the followers, which don't fail,
// keep redirecting to it.
func (c *Client) nextAddress(failed map[string]time.Time) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, at := range failed {
		if time.Since(at) > attemptTimeout {
			delete(failed, address)
		}
	}
	if _, leaderFailed := failed[c.leader]; c.leader != "" && !leaderFailed {
		return c.leader
	}
	var candidates []string
	for _, address := range c.addresses {
		if _, found := failed[address]; !found {
			candidates = append(candidates, address)
		}
	}
	if len(candidates) == 0 {
		clear(failed)
		candidates = c.addresses
	}
	return candidates[rand.IntN(len(candidates))]
}

// setLeader records the leader's address, or its override if there is one, and returns it.
func (c *Client) setLeader(name, address string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if override := c.addressOverrides[name]; override != "" {
		address = override
	}
	c.leader = address
	return address
}

// isFinal reports whether an error is permanent: a retry or another node would return the same.
func isFinal(err error) bool {
	switch status.Code(err) {
	case codes.FailedPrecondition, codes.InvalidArgument, codes.Unimplemented, codes.ResourceExhausted:
		return true
	}
	return false
}

// redirect is the part of a response that names the leader.
type redirect interface {
	GetMoved() bool // the node is not the leader
	GetLeader() string
	GetAddress() string
}

// call sends a request to one node after another until one responds, ctx ends or an error is final.
func (c *Client) call(ctx context.Context, send func(context.Context, fleetpb.CouncilClient) (redirect, error)) error {
	failed := map[string]time.Time{}
	var last error
	for attempts := 1; ; attempts++ {
		address := c.nextAddress(failed)
		done, err := c.attempt(ctx, address, failed, send)
		if done {
			return nil
		}
		last = nil
		if err != nil {
			last = &CoordinatorError{Address: address, Err: err}
			if isFinal(err) {
				return last
			}
			failed[address] = time.Now()
			c.setLeader("", "")
		}
		if ctx.Err() == nil && (attempts > len(c.addresses) || last != nil) {
			select {
			case <-ctx.Done():
			case <-time.After(rpc.Jitter(retryDelay)):
			}
		}
		if ctx.Err() != nil {
			if last == nil {
				last = ctx.Err()
			}
			return last
		}
	}
}

// attempt sends a request to one node. It returns done if the node has responded, and neither done nor an error if it has redirected the
// client to another leader.
func (c *Client) attempt(ctx context.Context, address string, failed map[string]time.Time,
	send func(context.Context, fleetpb.CouncilClient) (redirect, error)) (done bool, err error) {
	conn, err := c.connection(address)
	if err != nil {
		return false, err
	}
	attemptCtx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	response, err := send(attemptCtx, fleetpb.NewCouncilClient(conn))
	if err != nil {
		return false, err
	}
	if !response.GetMoved() {
		c.setLeader("", address)
		return true, nil
	}
	if response.GetLeader() == "" {
		return false, ErrNoLeader
	}
	leader := c.setLeader(response.GetLeader(), response.GetAddress())
	if leader == address { // the node redirects to itself
		c.setLeader("", "")
	}
	delete(failed, leader) // otherwise a leader that timed out once would be skipped although the other nodes redirect to it
	return false, nil
}
