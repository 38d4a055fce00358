package fleet

import (
	"wayloft/internal/audit"
	"wayloft/internal/decide/healthshare"
	"wayloft/internal/decide/lease"
	"wayloft/internal/fleetpb"
	"wayloft/internal/rpc"
)

// The protocol's messages and the audit log keep the names that they had when they were first deployed: a lease is a duty there, a fencing
// token a fence, a health report a sighting, and a version that was rejected is one that a router won't apply. This file is where orders and
// audit fields are translated; package rpc has what coordinator nodes exchange.

// Fields of the audit log.
const (
	leaseField            = "duty"
	tokenField            = "fence"
	higherTokenField      = "higher" // the token for which one was rejected
	subjectField          = "about"
	rejectedVersionField  = "wont"
	reasonField           = "why"
	coordinatorTokenField = "council"
)

// leaseFields returns the fields of an audit event under a lease.
func leaseFields(leaseName string, token lease.Token) audit.Fields {
	return audit.Fields{leaseField: leaseName, tokenField: token.String()}
}

// orderHeader says under which lease an order is given, what it is about, and by which lease holder.
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

// newOrder returns an order of this process, as the holder of a lease, about the lease's whole matter.
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

// isAccepted reports whether a receiver has accepted an order.
func isAccepted(verdict *fleetpb.Verdict) bool { return verdict.Kind == fleetpb.Verdict_TAKEN }

// isStale reports whether a receiver has seen a higher fencing token than that of an order.
func isStale(verdict *fleetpb.Verdict) bool { return verdict.Kind == fleetpb.Verdict_OLD }

// markMalformed has a verdict say that a part of an order was passed over, and why.
func markMalformed(verdict *fleetpb.Verdict, reason string) {
	verdict.Kind, verdict.Why = fleetpb.Verdict_UNSOUND, reason
}
