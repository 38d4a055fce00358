package fleet

import (
	"context"
	"fmt"
	"math/rand/v2"

	"wayloft/internal/decide/leasestate"
	"wayloft/internal/decide/policy"
	"wayloft/internal/fleetpb"
	"wayloft/internal/rpc"
)

// maxOffset limits offsets and sizes in a response so that they fit into an int on any platform.
const maxOffset = 1 << 30

// Policies is the policy state of a coordinator: the version in force, its document, and the latest changes.
type Policies struct {
	Version  policy.Version // its Number is 0 if no change was ever accepted
	Document policy.Document
	History  []policy.Change // in ascending order of versions
}

// Propose proposes a change of the policy. If it is accepted, the result is Held and has the version's Number. Otherwise its Rejection has
// the reasons, one per line. A proposal is only accepted while its base version is in force. Repeating it has no further effect.
func (c *Client) Propose(ctx context.Context, p policy.Proposal) (leasestate.Result, error) {
	if err := p.Check(); err != nil {
		return leasestate.Result{}, err
	}
	return c.ProposeEntry(ctx, leasestate.Entry{Kind: leasestate.ProposePolicy, Proposal: &p})
}

// Policy returns the policy in force and its history by a linearizable read.
func (c *Client) Policy(ctx context.Context) (Policies, error) {
	var response *fleetpb.PolicyBook
	err := c.call(ctx, func(ctx context.Context, node fleetpb.CouncilClient) (redirect, error) {
		var err error
		response, err = node.Policies(ctx, &fleetpb.Empty{})
		return response, err
	})
	if err != nil {
		return Policies{}, err
	}
	return decodePolicies(response)
}

// decodePolicies decodes and validates the policy in force and its history.
func decodePolicies(response *fleetpb.PolicyBook) (all Policies, err error) {
	if all.Version, _, err = rpc.DecodePolicy(response.Version); err != nil {
		return all, err
	}
	document, err := rpc.Decompress(response.Document, policy.MaxDocumentBytes)
	if err != nil {
		return all, fmt.Errorf("policy document: %w", err)
	}
	if all.Document, err = policy.Decode(document); err != nil {
		return all, err
	}
	if all.Version.Number > 0 && all.Document.Hash() != all.Version.Hash {
		return all, policy.ErrMismatch
	}
	history, err := rpc.Decompress(response.History, policy.MaxHistoryBytes)
	if err != nil {
		return all, fmt.Errorf("policy history: %w", err)
	}
	all.History, err = policy.DecodeChanges(history)
	return all, err
}

// fetchPolicyPart fetches a part of the policy from the watched coordinator node, which has every version that it announced, or from a
// random node.
func (c *Client) fetchPolicyPart(ctx context.Context, request policy.Request, preferWatched bool) (policy.Part, error) {
	address := c.policyPartAddress(preferWatched)
	conn, err := c.connection(address)
	if err != nil {
		return policy.Part{}, err
	}
	response, err := fleetpb.NewCouncilClient(conn).Policy(ctx, &fleetpb.PolicyFrom{Have: request.Have, Hash: request.Hash[:], Want: request.Want,
		Whole: request.Full, Offset: uint64(request.Offset), Most: uint64(request.MaxBytes)})
	if err != nil {
		return policy.Part{}, &CoordinatorError{Address: address, Err: err}
	}
	version, _, err := rpc.DecodePolicy(response.Version)
	if err != nil {
		return policy.Part{}, &CoordinatorError{Address: address, Err: err}
	}
	if response.Offset > maxOffset || response.Total > maxOffset {
		return policy.Part{}, &CoordinatorError{Address: address, Err: ErrMalformedResponse}
	}
	return policy.Part{Version: version, Full: response.Whole, Offset: int(response.Offset), Total: int(response.Total), Bytes: response.Bytes}, nil
}

// policyPartAddress returns the address of the node from which to fetch a part of the policy.
func (c *Client) policyPartAddress(preferWatched bool) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if preferWatched && c.watchedAddress != "" {
		return c.watchedAddress
	}
	return c.addresses[rand.IntN(len(c.addresses))]
}
