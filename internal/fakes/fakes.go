// Package fakes has fake members and clients for tests: they listen or connect on loopback and speak the protocol as a test tells them
// to. Nothing of it is part of the program.
package fakes

import (
	"io"
	"testing"
	"time"
)

const (
	// waitLimit is how long a test waits for something that must happen, also on a busy machine.
	waitLimit    = 20 * time.Second
	pollInterval = time.Millisecond

	readSize   = 1 << 16
	maxMessage = 1 << 20
)

// Until waits until a condition holds, and fails the test if it doesn't in time.
func Until(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(waitLimit); !holds(); time.Sleep(pollInterval) {
		if time.Now().After(deadline) {
			t.Fatalf("never came true: %s", what)
		}
	}
}

// closeSocket closes a socket of a fake. Its error can't matter: the other end sees the end of the connection in any case.
func closeSocket(c io.Closer) { _ = c.Close() }
