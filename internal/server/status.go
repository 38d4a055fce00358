package server

import (
	"github.com/sirupsen/logrus"

	"wayloft/internal/invariant"
)

// statusIntervalMs is the time between two status lines.
const statusIntervalMs = 60_000.

func (s *server) logPeriodicStatus() {
	s.logStatus("status")
	s.driver.After(statusIntervalMs, s.logPeriodicStatus)
}

// logMemory logs that memory for clients has become scarce, or is no longer.
func (s *server) logMemory(scarce bool) {
	sessions, active := s.frontend.SessionCounts()
	entry := logrus.WithFields(logrus.Fields{
		"held_bytes": s.memory.Held(), "held_limit": s.memory.Limit(), "sessions": sessions, "active_sessions": active,
		"rejected_requests": s.frontend.RejectedRequests, "slow_readers_closed": s.frontend.SlowReaders,
	})
	if scarce {
		entry.Warn("memory for clients is scarce; refusing large and pipelined requests")
		return
	}
	entry.Info("memory for clients is available again")
}

// logStatus logs the current numbers of sessions, connections and queued attempts, and counters since the start.
func (s *server) logStatus(event string) {
	sessions, active := s.frontend.SessionCounts()
	entry := logrus.WithFields(logrus.Fields{
		"sessions":                 sessions,
		"active_sessions":          active,
		"member_connections":       s.backend.Connections(),
		"queued":                   s.backend.Waiting(),
		"protocol_errors":          s.frontend.ProtocolErrors,
		"rejected_requests":        s.frontend.RejectedRequests,
		"timed_out_sessions":       s.frontend.TimedOut,
		"rejected_sessions":        s.frontend.RejectedSessions,
		"no_connection":            s.backend.NoConnection,
		"over_budget":              s.backend.OverBudget,
		"queue_timeouts":           s.backend.QueueTimeouts,
		"idle_transactions_closed": s.backend.IdleTransactions,
		"member_protocol_errors":   s.backend.ProtocolErrors,
		"slow_readers_closed":      s.frontend.SlowReaders,
		"held_bytes":               s.memory.Held(),
		"held_limit":               s.memory.Limit(),
	})
	if violations := invariant.Violations(); len(violations) > 0 {
		entry.WithField("invariant_violations", violations).Error(event)
		return
	}
	entry.Info(event)
}
