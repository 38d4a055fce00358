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
	attemptTimeout = 600 * time.Millisecond // for one coordinator node's response, before another is asked
	retryDelay     = 20 * time.Millisecond  // about, between two attempts
	watchTimeout   = 4 * time.Second        // after which a watch has failed: an empty update comes each second

	// Connections to addresses of former leaders are closed beyond this many.
	spareConnections         = 16
	connectionsPerConfigured = 4
)

// Client sends requests to the coordinator: to its leader, which any node names. It is safe for concurrent use.
type Client struct {
	fleet            string
	addresses        []string
	addressOverrides map[string]string

	mu             sync.Mutex
	conns          map[string]*grpc.ClientConn // by address
	leader         string                      // address of the leader, as far as is known
	watchedAddress string                      // address of the node that is watched, or was last
}

// NewClient returns a Client of a fleet's coordinator. The overrides are addresses to reach nodes by, by their names.
func NewClient(fleet string, addresses []string, addressOverrides map[string]string) *Client {
	return &Client{fleet: fleet, addresses: addresses, addressOverrides: addressOverrides, conns: map[string]*grpc.ClientConn{}}
}

// Close closes all connections. Calls in flight fail.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, conn := range c.conns {
		closeConnection(address, conn)
	}
	clear(c.conns)
}

// CoordinatorError is a failed request to a coordinator node.
type CoordinatorError struct {
	Address string
	Err     error // usually a gRPC status
}

// Error returns the text that operators see. It calls the coordinator "council", as the commands and settings do.
func (e *CoordinatorError) Error() string {
	return fmt.Sprintf("council at %s: %s", e.Address, status.Convert(e.Err).Message())
}

// Unwrap returns the cause.
func (e *CoordinatorError) Unwrap() error { return e.Err }

var (
	// ErrNoLeader means that a coordinator node knows no leader at the moment.
	ErrNoLeader = errors.New("it knows no leader")
	// ErrMalformedResponse means a response that no build of a coordinator node gives.
	ErrMalformedResponse = errors.New("malformed response")
)

// connection returns the connection to an address, which is made if there is none.
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

// closeFormerLeaders closes the connections to addresses that aren't configured, except the leader's. The caller holds mu.
func (c *Client) closeFormerLeaders() {
	for address, conn := range c.conns {
		if !slices.Contains(c.addresses, address) && address != c.leader {
			closeConnection(address, conn)
			delete(c.conns, address)
		}
	}
}

// nextAddress returns the address to ask: the leader's, or any of those that have not just failed. It guards against a leader that gave no
// response once and is passed over for good, since the others, which never fail, go on to name it.
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

// setLeader records which node leads, and returns the address to reach it by.
func (c *Client) setLeader(name, address string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if override := c.addressOverrides[name]; override != "" {
		address = override
	}
	c.leader = address
	return address
}

// isFinal reports whether neither a retry nor another node can give another response.
func isFinal(err error) bool {
	switch status.Code(err) {
	case codes.FailedPrecondition, codes.InvalidArgument, codes.Unimplemented, codes.ResourceExhausted:
		return true
	}
	return false
}

// redirect is the part of a response that says which node leads.
type redirect interface {
	GetMoved() bool // this node doesn't lead
	GetLeader() string
	GetAddress() string
}

// call sends a request to one node after the other until one has responded, or ctx ends. A final error ends it, too.
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

// attempt sends a request to one node; done: it has responded. Neither done nor an error: another node leads.
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
	if leader == address { // it names itself
		c.setLeader("", "")
	}
	delete(failed, leader) // else a leader that was slow once would not be asked as long as the others name it
	return false, nil
}
