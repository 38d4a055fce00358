package fleet

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"wayloft/internal/decide/lease"
	"wayloft/internal/decide/leasestate"
	"wayloft/internal/fleetpb"
	"wayloft/internal/rpc"
)

// ProposeEntry proposes an entry for the coordinator's log and returns its result.
func (c *Client) ProposeEntry(ctx context.Context, entry leasestate.Entry) (leasestate.Result, error) {
	answer, err := c.sendRequest(ctx, &fleetpb.Request{Entry: leasestate.Encode(entry)})
	if err != nil {
		return leasestate.Result{}, err
	}
	return rpc.DecodeResult(answer), nil
}

// LatestTokens returns the latest fencing tokens of leases, in the same order, by a linearizable read. It sends one request for all leases;
// the lease client limits their number. On the wire the leases are Stands and the tokens Fences.
//
// A node of an older build finds no entry in such a request and rejects it, so its response can't be mistaken for "no tokens".
// Coordinator nodes are therefore upgraded before routers.
func (c *Client) LatestTokens(ctx context.Context, leases []string) ([]lease.Token, error) {
	answer, err := c.sendRequest(ctx, &fleetpb.Request{Stands: leases})
	if err != nil {
		return nil, err
	}
	if len(answer.Fences) != len(leases) {
		return nil, fmt.Errorf("latest tokens: %w: %d tokens for %d leases", ErrMalformedResponse, len(answer.Fences), len(leases))
	}
	tokens := make([]lease.Token, 0, len(leases))
	for _, token := range answer.Fences {
		tokens = append(tokens, rpc.DecodeToken(token))
	}
	return tokens, nil
}

// sendRequest sends an entry or a token query.
func (c *Client) sendRequest(ctx context.Context, request *fleetpb.Request) (answer *fleetpb.Answer, err error) {
	err = c.call(ctx, func(ctx context.Context, node fleetpb.CouncilClient) (redirect, error) {
		var err error
		answer, err = node.Do(ctx, request)
		return answer, err
	})
	return answer, err
}

// State returns the coordinator's state by a linearizable read.
func (c *Client) State(ctx context.Context) (state *fleetpb.State, err error) {
	err = c.call(ctx, func(ctx context.Context, node fleetpb.CouncilClient) (redirect, error) {
		var err error
		state, err = node.Look(ctx, &fleetpb.Empty{})
		return state, err
	})
	return state, err
}

// ChangeMembership adds nodes to the coordinator cluster or removes them.
func (c *Client) ChangeMembership(ctx context.Context, members *fleetpb.Members) (leasestate.Result, error) {
	var answer *fleetpb.Answer
	err := c.call(ctx, func(ctx context.Context, node fleetpb.CouncilClient) (redirect, error) {
		var err error
		answer, err = node.Change(ctx, members)
		return answer, err
	})
	if answer == nil {
		return leasestate.Result{}, err
	}
	return rpc.DecodeResult(answer), err
}

// Watch delivers updates from a coordinator node until ctx ends or the watch fails. The error is never nil. The first update is the complete
// state. withoutSessions omits the sessions of other processes.
func (c *Client) Watch(ctx context.Context, withoutSessions bool, deliver func(*fleetpb.Update)) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	address := c.chooseWatchedNode()
	conn, err := c.connection(address)
	if err != nil {
		return err
	}
	silence := time.AfterFunc(watchTimeout, cancel)
	defer silence.Stop()
	stream, err := fleetpb.NewCouncilClient(conn).Watch(ctx, &fleetpb.WatchFrom{WithoutSessions: withoutSessions})
	for err == nil {
		var update *fleetpb.Update
		if update, err = stream.Recv(); err == nil {
			silence.Reset(watchTimeout)
			deliver(update)
		}
	}
	return &CoordinatorError{Address: address, Err: err}
}

// chooseWatchedNode chooses a random node to watch.
func (c *Client) chooseWatchedNode() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.watchedAddress = c.addresses[rand.IntN(len(c.addresses))]
	return c.watchedAddress
}
