package coordinator

import (
	"github.com/sirupsen/logrus"

	"wayloft/internal/audit"
	"wayloft/internal/decide/leasestate"
	"wayloft/internal/decide/raftnode"
	"wayloft/internal/failpoint"
)

// executeDecisions executes all pending decisions of the node. It returns early if the storage fails, since later decisions depend on data
// that could not be stored.
func (s *Server) executeDecisions() {
	var deferredSaves []raftnode.Decision // set only by the seeded defect EarlyAcknowledge
	for d, more := s.node.Next(); more; d, more = s.node.Next() {
		if d.Action == raftnode.Save && s.settings.SeededDefects.EarlyAcknowledge {
			failpoint.Point("coordinator.save")
			deferredSaves = append(deferredSaves, d)
			s.node.Saved()
			continue
		}
		if !s.execute(d) {
			return
		}
	}
	for _, d := range deferredSaves {
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
		s.notifyWatchers()
	}
}

// execute executes one decision. It returns false if the storage failed and the node is suspended.
func (s *Server) execute(d raftnode.Decision) bool {
	switch d.Action {
	case raftnode.Save:
		failpoint.Point("coordinator.save")
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
		s.auditEvent(d.Event)
	}
	return true
}

// auditEvent writes an event of the lease state to the audit log and the log, unless it did so before.
func (s *Server) auditEvent(event leasestate.Event) {
	leads, _ := s.node.IsLeader()
	switch {
	case leads && event.Lease != "" && !event.Ended:
		failpoint.Point("coordinator.granted") // committed but not yet answered
	case leads && event.Policy > 0:
		failpoint.Point("coordinator.policy_committed") // committed but not yet answered
	}
	if event.Index <= s.auditedIndex { // applied again after the data directory was reopened
		return
	}
	if event.Policy > 0 {
		s.auditPolicy(event, leads)
	} else {
		s.auditLease(event, leads)
	}
}
