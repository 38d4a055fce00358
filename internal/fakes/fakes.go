// Package fakes provides fake members and clients for tests. They listen or connect on loopback and speak the PostgreSQL protocol as
// scripted by the test. The router does not use this package.
package fakes

import (
	"io"
	"testing"
	"time"
)

const (
	// waitTimeout bounds how long a test waits for an expected condition. It is long enough for a busy machine.
	waitTimeout  = 20 * time.Second
	pollInterval = time.Millisecond

	readBufferBytes = 1 << 16
	maxMessageBytes = 1 << 20
)

// WaitUntil polls until a condition holds and fails the test if it doesn't hold within the time limit.
func WaitUntil(t *testing.T, description string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(waitTimeout); !holds(); time.Sleep(pollInterval) {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting for condition: %s", description)
		}
	}
}

// closeSocket closes a fake's socket. The error is ignored because the peer sees the connection end in any case.
func closeSocket(c io.Closer) { _ = c.Close() }
