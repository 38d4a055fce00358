package leaseclient

import "testing"

// After a complete update of a watch without sessions, the sessions are not known to be complete.
func TestSessionsComplete_FalseForWatchWithoutSessions(t *testing.T) {
	h := newHarness(t)
	h.client.UpdateReceived(Update{Complete: true, Sessions: []Session{{Name: "q", Role: "router"}}})
	if !h.client.SessionsComplete() || len(h.client.Sessions("router")) != 1 {
		t.Error("the update had all sessions")
	}
	h.client.UpdateReceived(Update{Complete: true, WithoutSessions: true})
	if h.client.SessionsComplete() || len(h.client.Sessions("router")) != 0 {
		t.Error("the update had no sessions")
	}
}
