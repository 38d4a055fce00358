package coordinator

import (
	"encoding/hex"

	"github.com/sirupsen/logrus"

	"wayloft/internal/audit"
	"wayloft/internal/decide/leasestate"
	"wayloft/internal/decide/policy"
	"wayloft/internal/decide/raftnode"
	"wayloft/internal/failpoint"
)

// carryOutDecisions carries out all that the node decides. It returns early if the storage fails: what the node would decide next rests on
// what could not be stored.
func (s *Server) carryOutDecisions() {
	var saveLate []raftnode.Decision // the seeded defect's
	for d, more := s.node.Next(); more; d, more = s.node.Next() {
		if d.Action == raftnode.Save && s.settings.SeededDefects.EarlyAcknowledge {
			failpoint.Point("council.save")
			saveLate = append(saveLate, d)
			s.node.Saved()
			continue
		}
		if !s.carryOut(d) {
			return
		}
	}
	for _, d := range saveLate {
		if !s.save(d) {
			return
		}
	}
	if err := s.node.Err(); err != nil {
		s.err = err
		return
	}
	if index := s.node.State().Index(); index != s.watchedIndex {
		s.watchedIndex = index
		s.wakeWatchers()
	}
}

// carryOut carries out one decision; false: the storage failed and the node is suspended.
func (s *Server) carryOut(d raftnode.Decision) bool {
	switch d.Action {
	case raftnode.Save:
		failpoint.Point("council.save")
		if !s.save(d) {
			return false
		}
		s.node.Saved()
	case raftnode.Compact:
		return s.save(d)
	case raftnode.Send:
		s.send(d.Message)
	case raftnode.Done, raftnode.Redirect, raftnode.ResultUnknown:
		if deliver := s.pending[d.Request]; deliver != nil {
			delete(s.pending, d.Request)
			deliver(d)
		}
	case raftnode.LeaderChanged:
		_, term := s.node.IsLeader()
		logrus.WithFields(logrus.Fields{"leader": d.Leader.Name, "term": term}).Info("leader changed")
		s.settings.AuditLog.Add("leads", audit.Fields{"leader": d.Leader.Name, "term": term})
	case raftnode.Applied:
		s.eventApplied(d.Event)
	}
	return true
}

func (s *Server) eventApplied(event leasestate.Event) {
	leads, _ := s.node.IsLeader()
	switch {
	case leads && event.Lease != "" && !event.Ended:
		failpoint.Point("council.granted") // committed and not yet answered
	case leads && event.Policy > 0:
		failpoint.Point("council.policy") // the same
	}
	if event.Index <= s.auditedIndex { // applied again from the data directory that was reopened
		return
	}
	if event.Policy > 0 {
		s.auditPolicy(event, leads)
	} else {
		s.auditLease(event, leads)
	}
}

// auditPolicy writes a policy version that is in force to the audit log; each node does, so that each log is complete. The leader logs it.
func (s *Server) auditPolicy(event leasestate.Event, leads bool) {
	history := s.node.State().Policy()
	version := history.Version
	for _, change := range history.Changes { // a later one may be in force by now
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

// auditLease writes what became of a session or a lease to the audit log, whose events and fields keep their first names: a lease is a duty
// there and a token a fence. The leader logs what became of a lease.
func (s *Server) auditLease(event leasestate.Event, leads bool) {
	eventName := "session"
	if event.Lease != "" {
		eventName = "duty"
	}
	s.settings.AuditLog.Add(eventName, audit.Fields{"index": event.Index, "session": event.Session, "duty": event.Lease,
		"fence": event.Token.String(), "ended": event.Ended, "why": event.Reason})
	if !leads || event.Lease == "" {
		return
	}
	line := logrus.WithFields(logrus.Fields{"lease": event.Lease, "token": event.Token, "holder": event.Session})
	lease, _ := s.node.State().Lease(event.Lease)
	switch {
	case lease.ForeignToken.Epoch >= s.node.State().Epoch() && lease.Holder == "":
		line.WithField("receiver_token", lease.ForeignToken).
			Error("lease not granted: a receiver knows a higher token than the coordinator; begin a new epoch (council recover)")
	case event.Ended:
		line.Info("lease released")
	case event.Session != "":
		line.Info("lease granted")
	}
}
