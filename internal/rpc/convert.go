package rpc

import (
	"fmt"

	"wayloft/internal/decide/lease"
	"wayloft/internal/decide/leaseclient"
	"wayloft/internal/decide/leasestate"
	"wayloft/internal/decide/policy"
	"wayloft/internal/fleetpb"
)

// The protocol's messages keep the names that they had when they were first deployed: a fencing token is a Fence there, a lease a Duty and
// an order a Wish. This file is where the two are translated.

// EncodeToken returns the protocol's form of a fencing token.
func EncodeToken(token lease.Token) *fleetpb.Fence {
	return &fleetpb.Fence{Epoch: token.Epoch, Count: token.Count}
}

// DecodeToken reverses EncodeToken; nil is the zero token.
func DecodeToken(fence *fleetpb.Fence) lease.Token {
	return lease.Token{Epoch: fence.GetEpoch(), Count: fence.GetCount()}
}

// EncodeUpdate returns the protocol's form of an update of the lease state.
func EncodeUpdate(update leaseclient.Update) *fleetpb.Update {
	out := &fleetpb.Update{Whole: update.Complete, WithoutSessions: update.WithoutSessions}
	for _, p := range update.Policies {
		out.Policies = append(out.Policies, EncodePolicy(p.Version, p.Difference))
	}
	for _, s := range update.Sessions {
		out.Sessions = append(out.Sessions, &fleetpb.Session{Name: s.Name, Kind: s.Role, Address: s.Address, Incarnation: s.Incarnation,
			Policy: s.Policy, Ended: s.Ended})
	}
	for _, l := range update.Leases {
		out.Duties = append(out.Duties, encodeLease(l))
	}
	return out
}

func encodeLease(l leaseclient.Lease) *fleetpb.Duty {
	duty := &fleetpb.Duty{Name: l.Name, Holder: l.Holder, Fence: EncodeToken(l.Token), Open: encodeOrder(l.Open), Ended: encodeOrder(l.Ended)}
	for _, step := range l.Steps {
		duty.Steps = append(duty.Steps, &fleetpb.Step{Fence: EncodeToken(step.Token), Text: step.Text})
	}
	return duty
}

// DecodeUpdate reverses EncodeUpdate. A policy version that is malformed is left out.
func DecodeUpdate(in *fleetpb.Update) leaseclient.Update {
	update := leaseclient.Update{Complete: in.Whole, WithoutSessions: in.WithoutSessions}
	for _, p := range in.Policies {
		if version, difference, err := DecodePolicy(p); err == nil {
			update.Policies = append(update.Policies, leaseclient.Policy{Version: version, Difference: difference})
		}
	}
	for _, s := range in.Sessions {
		update.Sessions = append(update.Sessions, leaseclient.Session{Name: s.Name, Role: s.Kind, Address: s.Address, Incarnation: s.Incarnation,
			Policy: s.Policy, Ended: s.Ended})
	}
	for _, duty := range in.Duties {
		update.Leases = append(update.Leases, decodeLease(duty))
	}
	return update
}

func decodeLease(duty *fleetpb.Duty) leaseclient.Lease {
	l := leaseclient.Lease{Name: duty.Name, Holder: duty.Holder, Token: DecodeToken(duty.Fence), Open: decodeOrder(duty.Open),
		Ended: decodeOrder(duty.Ended)}
	for _, step := range duty.Steps {
		l.Steps = append(l.Steps, leasestate.Step{Token: DecodeToken(step.Fence), Text: step.Text})
	}
	return l
}

func encodeOrder(order leasestate.Order) *fleetpb.Wish {
	return &fleetpb.Wish{Number: order.Number, Text: order.Text}
}

func decodeOrder(wish *fleetpb.Wish) leasestate.Order {
	return leasestate.Order{Number: wish.GetNumber(), Text: wish.GetText()}
}

// EncodePolicy returns the protocol's form of a policy version and of what changed in it; difference is nil where that isn't sent.
func EncodePolicy(version policy.Version, difference *policy.Difference) *fleetpb.Policy {
	out := &fleetpb.Policy{Epoch: version.Epoch, Number: version.Number, Hash: version.Hash[:], Base: version.Base, Size: uint64(version.Size),
		Author: version.Author, Reason: version.Reason}
	if difference != nil {
		out.Told, out.Difference = true, difference.Encode()
	}
	return out
}

// DecodePolicy reverses EncodePolicy. It returns an error for a hash of the wrong size, a version out of its bounds or a difference that
// can't be decoded.
func DecodePolicy(in *fleetpb.Policy) (version policy.Version, difference *policy.Difference, err error) {
	version = policy.Version{Epoch: in.GetEpoch(), Number: in.GetNumber(), Base: in.GetBase(), Size: int(in.GetSize()), Author: in.GetAuthor(),
		Reason: in.GetReason()}
	copy(version.Hash[:], in.GetHash())
	if len(in.GetHash()) != len(version.Hash) {
		return version, nil, fmt.Errorf("policy: a hash of %d bytes", len(in.GetHash()))
	}
	if err := version.Check(); err != nil {
		return version, nil, err
	}
	if in.GetTold() {
		decoded, err := policy.DecodeDifference(in.GetDifference())
		if err != nil {
			return version, nil, err
		}
		difference = &decoded
	}
	return version, difference, nil
}

// DecodeResult returns the result that an answer of the coordinator holds.
func DecodeResult(answer *fleetpb.Answer) leasestate.Result {
	return leasestate.Result{Held: answer.Held, Token: DecodeToken(answer.Fence), Refusal: leasestate.Refusal(answer.Why), Number: answer.Number}
}
