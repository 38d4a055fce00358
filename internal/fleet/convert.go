package fleet

import (
	"wayloft/internal/audit"
	"wayloft/internal/decide/healthshare"
	"wayloft/internal/decide/lease"
	"wayloft/internal/fleetpb"
	"wayloft/internal/rpc"
)

// The protocol messages and the audit log keep the names from their first deployment: a lease is a duty, a fencing token a fence, a health
// report a sighting, and a rejected policy version is in the field "wont". This file translates orders and audit fields; package rpc
// translates the messages of coordinator nodes.

// Field names in the audit log.
const (
	leaseField            = "duty"
	tokenField            = "fence"
	higherTokenField      = "higher" // the higher token because of which an order was rejected
	subjectField          = "about"
	rejectedVersionField  = "wont"
	reasonField           = "why"
	coordinatorTokenField = "council"
)

// leaseFields returns the audit fields that identify a lease and its fencing token.
func leaseFields(leaseName string, token lease.Token) audit.Fields {
	return audit.Fields{leaseField: leaseName, tokenField: token.String()}
}

// orderHeader identifies the lease, subject and lease holder of an order.
type orderHeader struct {
	scope  lease.Scope
	holder string
	token  lease.Token
}

func decodeHeader(order *fleetpb.Order) orderHeader {
	return orderHeader{
		scope:  lease.Scope{Lease: order.Duty, Subject: order.About},
		holder: order.Holder,
		token:  rpc.DecodeToken(order.Fence),
	}
}

// newOrder returns an order of this process as holder of a lease. Its subject is the lease itself.
func (n *Node) newOrder(leaseName string, token lease.Token) *fleetpb.Order {
	return &fleetpb.Order{Duty: leaseName, About: leaseName, Holder: n.settings.Name, Fence: rpc.EncodeToken(token)}
}

func encodeReports(reports []healthshare.Report) []*fleetpb.Sighting {
	var messages []*fleetpb.Sighting
	for _, report := range reports {
		messages = append(messages, &fleetpb.Sighting{Member: report.Member, Started: report.Started, Position: report.Position,
			Primary: report.Primary, Replica: report.Replica, At: report.At})
	}
	return messages
}

func decodeReport(message *fleetpb.Sighting) healthshare.Report {
	return healthshare.Report{Member: message.Member, Started: message.Started, Position: message.Position, Primary: message.Primary,
		Replica: message.Replica, At: message.At}
}

var verdictKinds = map[lease.Verdict]fleetpb.Verdict_Kind{
	lease.Accepted:    fleetpb.Verdict_TAKEN,
	lease.Stale:       fleetpb.Verdict_OLD,
	lease.NotLearned:  fleetpb.Verdict_UNKNOWN,
	lease.Conflicting: fleetpb.Verdict_BROKEN,
}

// isAccepted reports whether the receiver accepted the order.
func isAccepted(verdict *fleetpb.Verdict) bool { return verdict.Kind == fleetpb.Verdict_TAKEN }

// isStale reports whether the receiver has seen a higher fencing token than the order's.
func isStale(verdict *fleetpb.Verdict) bool { return verdict.Kind == fleetpb.Verdict_OLD }

// markMalformed records in a verdict that a part of the order was ignored as malformed, and why.
func markMalformed(verdict *fleetpb.Verdict, reason string) {
	verdict.Kind, verdict.Why = fleetpb.Verdict_UNSOUND, reason
}
