package lab

import (
	"fmt"

	"wayloft/internal/pg"
)

// sessionReadyCount is how many ReadyForQuery the requests of an idle session get: of SET and of the prepared query.
const sessionReadyCount = 2

// WithIdleSessions opens so many sessions, each of which sets a parameter, prepares a statement and executes it once, and runs f while all
// are idle.
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

// WithIdlePoolSessions opens so many sessions that send nothing, and runs f while all are idle.
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
