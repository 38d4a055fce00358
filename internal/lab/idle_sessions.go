package lab

import (
	"fmt"

	"wayloft/internal/pg"
)

// sessionReadyCount is the number of ReadyForQuery messages that an idle session's setup receives: one for SET, one for the prepared query.
const sessionReadyCount = 2

// WithIdleSessions opens the given number of sessions, each of which sets a parameter, prepares a statement and executes it once. It calls f
// while all sessions are idle.
func WithIdleSessions(address string, sessions int, f func()) error {
	for n := range sessions {
		client, err := Connect(address, pg.Setting{Name: "application_name", Value: "rest"})
		if err != nil {
			return fmt.Errorf("session %d: %w", n, err)
		}
		defer client.Close()
		requests := pg.AppendQuery(nil, fmt.Sprintf("SET app.client = '%d'", n))
		requests = append(requests, PreparedQuery(n, 0)...)
		failure, err := client.Send(requests, sessionReadyCount)
		if err != nil {
			return fmt.Errorf("session %d: %w", n, err)
		}
		if failure != nil {
			return fmt.Errorf("session %d: %w", n, failure)
		}
	}
	f()
	return nil
}

// WithIdlePoolSessions opens the given number of sessions, which send no requests, and calls f while all are idle.
func WithIdlePoolSessions(address string, sessions int, f func() error) error {
	for n := range sessions {
		client, err := Connect(address)
		if err != nil {
			return fmt.Errorf("session %d: %w", n, err)
		}
		defer client.Close()
	}
	return f()
}
