package coordinator

import (
	"encoding/hex"

	"github.com/sirupsen/logrus"

	"wayloft/internal/audit"
	"wayloft/internal/decide/leasestate"
	"wayloft/internal/decide/policy"
)

// Events and fields of the audit log keep the names with which they were first written: a lease is a duty, and a fencing token a fence.
const (
	sessionEvent = "session"
	leaseEvent   = "duty"
	leaseField   = "duty"
	tokenField   = "fence"
)

// auditPolicy writes a policy version that came into force to the audit log. All nodes do, so that each audit log is complete, but only
// the leader also writes a log line.
func (s *Server) auditPolicy(event leasestate.Event, leads bool) {
	history := s.node.State().Policy()
	version := history.Version
	for _, change := range history.Changes { // a later version may be in force already
		if change.Version.Packed() == event.Policy {
			version = change.Version
		}
	}
	s.settings.AuditLog.Add("policy", audit.Fields{"index": event.Index, "version": policy.FormatPacked(event.Policy),
		"hash": hex.EncodeToString(version.Hash[:]), "author": version.Author, "reason": version.Reason})
	if leads {
		logrus.WithFields(logrus.Fields{"version": version, "author": version.Author, "reason": version.Reason}).Info("policy in force")
	}
}

// auditLease writes an event of a session or a lease to the audit log. The leader also writes a log line for lease events.
func (s *Server) auditLease(event leasestate.Event, leads bool) {
	eventName := sessionEvent
	if event.Lease != "" {
		eventName = leaseEvent
	}
	s.settings.AuditLog.Add(eventName, audit.Fields{"index": event.Index, "session": event.Session, leaseField: event.Lease,
		tokenField: event.Token.String(), "ended": event.Ended, "why": event.Reason})
	if !leads || event.Lease == "" {
		return
	}
	line := logrus.WithFields(logrus.Fields{"lease": event.Lease, "token": event.Token, "holder": event.Session})
	lease, _ := s.node.State().Lease(event.Lease)
	switch {
	case lease.ReportedToken.Epoch >= s.node.State().Epoch() && lease.Holder == "":
		line.WithField("receiver_token", lease.ReportedToken).
			Error("lease not granted: a receiver has seen a higher fencing token than the coordinator; begin a new epoch (council recover)")
	case event.Ended:
		line.Info("lease released")
	case event.Session != "":
		line.Info("lease granted")
	}
}
