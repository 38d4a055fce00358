package rpc

import (
	"fmt"

	"wayloft/internal/decide/lease"
	"wayloft/internal/decide/leaseclient"
	"wayloft/internal/decide/leasestate"
	"wayloft/internal/decide/policy"
	"wayloft/internal/fleetpb"
)

// This file converts between the types of the decision packages and the protocol's messages. The messages keep the names with which they
// were first deployed: Fence is a fencing token, Duty a lease, Wish an order, Whole marks a complete update, and Told marks a policy version
// that is sent with its difference.

// EncodeToken converts a fencing token to its protocol message.
func EncodeToken(token lease.Token) *fleetpb.Fence {
	return &fleetpb.Fence{Epoch: token.Epoch, Count: token.Count}
}

// DecodeToken reverses EncodeToken. It returns the zero token for nil.
func DecodeToken(message *fleetpb.Fence) lease.Token {
	return lease.Token{Epoch: message.GetEpoch(), Count: message.GetCount()}
}

// EncodeUpdate converts an update of the lease state to its protocol message.
func EncodeUpdate(update leaseclient.Update) *fleetpb.Update {
	out := &fleetpb.Update{Whole: update.Complete, WithoutSessions: update.WithoutSessions}
	for _, p := range update.Policies {
		out.Policies = append(out.Policies, EncodePolicy(p.Version, p.Difference))
	}
	for _, s := range update.Sessions {
		out.Sessions = append(out.Sessions, &fleetpb.Session{
			Name:        s.Name,
			Kind:        s.Role,
			Address:     s.Address,
			Incarnation: s.Incarnation,
			Policy:      s.Policy,
			Ended:       s.Ended,
		})
	}
	for _, l := range update.Leases {
		out.Duties = append(out.Duties, encodeLease(l))
	}
	return out
}

func encodeLease(l leaseclient.Lease) *fleetpb.Duty {
	message := &fleetpb.Duty{
		Name:   l.Name,
		Holder: l.Holder,
		Fence:  EncodeToken(l.Token),
		Open:   encodeOrder(l.Open),
		Ended:  encodeOrder(l.Ended),
	}
	for _, step := range l.Steps {
		message.Steps = append(message.Steps, &fleetpb.Step{Fence: EncodeToken(step.Token), Text: step.Text})
	}
	return message
}

// DecodeUpdate reverses EncodeUpdate. It skips malformed policy versions.
func DecodeUpdate(in *fleetpb.Update) leaseclient.Update {
	update := leaseclient.Update{Complete: in.Whole, WithoutSessions: in.WithoutSessions}
	for _, p := range in.Policies {
		if version, difference, err := DecodePolicy(p); err == nil {
			update.Policies = append(update.Policies, leaseclient.Policy{Version: version, Difference: difference})
		}
	}
	for _, s := range in.Sessions {
		update.Sessions = append(update.Sessions, leaseclient.Session{
			Name:        s.Name,
			Role:        s.Kind,
			Address:     s.Address,
			Incarnation: s.Incarnation,
			Policy:      s.Policy,
			Ended:       s.Ended,
		})
	}
	for _, message := range in.Duties {
		update.Leases = append(update.Leases, decodeLease(message))
	}
	return update
}

func decodeLease(message *fleetpb.Duty) leaseclient.Lease {
	l := leaseclient.Lease{
		Name:   message.Name,
		Holder: message.Holder,
		Token:  DecodeToken(message.Fence),
		Open:   decodeOrder(message.Open),
		Ended:  decodeOrder(message.Ended),
	}
	for _, step := range message.Steps {
		l.Steps = append(l.Steps, leasestate.Step{Token: DecodeToken(step.Fence), Text: step.Text})
	}
	return l
}

func encodeOrder(order leasestate.Order) *fleetpb.Wish {
	return &fleetpb.Wish{Number: order.Number, Text: order.Text}
}

func decodeOrder(message *fleetpb.Wish) leasestate.Order {
	return leasestate.Order{Number: message.GetNumber(), Text: message.GetText()}
}

// EncodePolicy converts a policy version, and its difference from the previous version if that is not nil, to a protocol message.
func EncodePolicy(version policy.Version, difference *policy.Difference) *fleetpb.Policy {
	out := &fleetpb.Policy{
		Epoch:  version.Epoch,
		Number: version.Number,
		Hash:   version.Hash[:],
		Base:   version.Base,
		Size:   uint64(version.Size),
		Author: version.Author,
		Reason: version.Reason,
	}
	if difference != nil {
		out.Told, out.Difference = true, difference.Encode()
	}
	return out
}

// DecodePolicy reverses EncodePolicy. It returns an error if the hash has the wrong size, a field of the version is out of range or the
// difference can't be decoded.
func DecodePolicy(in *fleetpb.Policy) (version policy.Version, difference *policy.Difference, err error) {
	version = policy.Version{
		Epoch:  in.GetEpoch(),
		Number: in.GetNumber(),
		Base:   in.GetBase(),
		Size:   int(in.GetSize()),
		Author: in.GetAuthor(),
		Reason: in.GetReason(),
	}
	copy(version.Hash[:], in.GetHash())
	if len(in.GetHash()) != len(version.Hash) {
		return version, nil, fmt.Errorf("policy: hash has %d bytes, want %d", len(in.GetHash()), len(version.Hash))
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

// DecodeResult returns the result in an answer of the coordinator.
func DecodeResult(answer *fleetpb.Answer) leasestate.Result {
	return leasestate.Result{
		Held:      answer.Held,
		Token:     DecodeToken(answer.Fence),
		Rejection: leasestate.Rejection(answer.Why),
		Number:    answer.Number,
	}
}
