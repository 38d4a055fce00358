package leaseclient

import "testing"

// A watch without sessions says nothing of which processes there are.
func TestSessionsComplete_FalseForWatchWithoutSessions(t *testing.T) {
	h := newHarness(t)
	h.client.UpdateReceived(Update{Complete: true, Sessions: []Session{{Name: "q", Role: "router"}}})
	if !h.client.SessionsComplete() || len(h.client.Sessions("router")) != 1 {
		t.Error("all sessions were in the update")
	}
	h.client.UpdateReceived(Update{Complete: true, WithoutSessions: true})
	if h.client.SessionsComplete() || len(h.client.Sessions("router")) != 0 {
		t.Error("no session was in the update")
	}
}
