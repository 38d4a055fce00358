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
	})
	if violations := invariant.Violations(); len(violations) > 0 {
		entry.WithField("invariant_violations", violations).Error(event)
		return
	}
	entry.Info(event)
}
