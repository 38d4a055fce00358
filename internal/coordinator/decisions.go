package coordinator

import (
	"github.com/sirupsen/logrus"

	"wayloft/internal/audit"
	"wayloft/internal/decide/leasestate"
	"wayloft/internal/decide/raftnode"
	"wayloft/internal/failpoint"
)

// carryOutDecisions carries out all that the node decides. It returns early if the storage fails: what the node would decide next rests on
// what could not be stored.
func (s *Server) carryOutDecisions() {
	var saveLate []raftnode.Decision // the seeded defect's
	for d, more := s.node.Next(); more; d, more = s.node.Next() {
		if d.Action == raftnode.Save && s.settings.SeededDefects.EarlyAcknowledge {
			failpoint.Point("coordinator.save")
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
		s.eventApplied(d.Event)
	}
	return true
}

// eventApplied writes an event of the lease state to the logs, unless that was done before.
func (s *Server) eventApplied(event leasestate.Event) {
	leads, _ := s.node.IsLeader()
	switch {
	case leads && event.Lease != "" && !event.Ended:
		failpoint.Point("coordinator.granted") // committed and not yet answered
	case leads && event.Policy > 0:
		failpoint.Point("coordinator.policy_committed") // the same
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
