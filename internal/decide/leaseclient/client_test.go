package leaseclient

import (
	"fmt"
	"testing"

	"wayloft/internal/decide/lease"
	"wayloft/internal/decide/leasestate"
)

// The client opens its session before it proposes anything else. It keeps its lease while the coordinator responds, loses it in an outage, and
// acquires it again afterwards.
func TestClient_HoldsLeaseAndRegainsItAfterOutage(t *testing.T) {
	h := newHarness(t, "d")
	starts, stops := h.runUntil(5000, true)
	if starts != 1 || stops != 0 || h.log[0] != leasestate.OpenSession || h.count(leasestate.OpenSession) != 1 {
		t.Fatalf("%d starts, %d stops, %v", starts, stops, h.log)
	}
	token, valid := h.client.Valid("d")
	if !valid || token != (lease.Token{Epoch: 1, Count: 1}) {
		t.Fatal(token, valid)
	}
	if starts, stops := h.runUntil(8000, false); starts != 0 || stops != 1 {
		t.Fatalf("during the outage: %d starts, %d stops", starts, stops)
	}
	h.log = nil
	if starts, _ := h.runUntil(14000, true); starts != 1 || h.client.SessionsReopened != 1 || h.count(leasestate.OpenSession) != 1 {
		t.Fatalf("after the outage: %d starts, reopened %d times, %v", starts, h.client.SessionsReopened, h.log)
	}
	if token, valid = h.client.Valid("d"); !valid || token.Count != 2 {
		t.Error("the session had expired, so the lease must be a new grant:", token, valid)
	}
}

// While the coordinator is unreachable the delay between session requests grows, up to a bound.
func TestClient_SessionRequestsBackOff(t *testing.T) {
	h := newHarness(t)
	h.runUntil(60000, false)
	if n := h.count(leasestate.OpenSession); n < 25 || n > 80 {
		t.Errorf("%d attempts in a minute", n)
	}
}

// A client that shuts down stops acting under its leases first, then closes its session, and has finished once that request is answered or
// has failed.
func TestShutdown_StopsFirstAndGivesBack(t *testing.T) {
	for _, respond := range []bool{true, false} {
		h := newHarness(t, "d")
		h.runUntil(500, true)
		h.client.Shutdown()
		_, stops := h.runUntil(600, respond)
		if _, valid := h.client.Valid("d"); valid || stops != 1 || !h.client.ShutdownComplete() {
			t.Errorf("responses %v: valid %v, %d stops, complete %v", respond, valid, stops, h.client.ShutdownComplete())
		}
		if _, open := h.state.Session("p"); open == respond {
			t.Errorf("responses %v: session open: %v", respond, open)
		}
	}
}

// Guards against a cost of Advance that grows with the number of leases held or requested, and not with the number of timers due.
func TestAdvance_TouchesOnlyDueHolders(t *testing.T) {
	var leases []string
	for n := range 200 {
		leases = append(leases, fmt.Sprint("sight/", n))
	}
	h := newHarness(t, leases...)
	if starts, _ := h.runUntil(10000, true); starts != len(leases) {
		t.Fatalf("%d leases of %d started", starts, len(leases))
	}
	if requests := h.count(leasestate.AcquireLease); h.client.holdersAdvanced > requests+len(leases) || requests < 20*len(leases) {
		t.Errorf("1,000 calls of Advance advanced holders %d times, for %d lease requests", h.client.holdersAdvanced, requests)
	}
	if _, stops := h.runUntil(12000, false); stops != len(leases) || h.client.NextDeadline() <= h.now-10 {
		t.Errorf("without the coordinator %d leases of %d ended in time; next deadline %v, now %v", stops, len(leases), h.client.NextDeadline(), h.now)
	}
}

// The policy version that a process has applied is reported at once by a heartbeat, and again when the session is reopened.
func TestPolicyApplied_ReportedAtOnceAndAfterReopening(t *testing.T) {
	h := newHarness(t)
	h.runUntil(500, true)
	version := h.propose("0.2")
	h.log = nil
	h.client.PolicyApplied(0, version.Packed(), "no memory")
	h.runUntil(h.now+11, true)
	session, _ := h.state.Session("p")
	if session.RejectedPolicy != version.Packed() || session.Reason != "no memory" || h.count(leasestate.KeepAlive) != 1 {
		t.Fatal(session, h.log)
	}
	h.client.PolicyApplied(version.Packed(), 0, "")
	h.runUntil(h.now+11, true)
	if session, _ := h.state.Session("p"); session.Policy != version.Packed() || session.RejectedPolicy != 0 || session.Reason != "" {
		t.Fatal(session)
	}
	h.runUntil(h.now+4000, false)
	if _, open := h.state.Session("p"); open {
		t.Fatal("the session must have expired")
	}
	h.runUntil(h.now+6000, true)
	if session, _ := h.state.Session("p"); session.Policy != version.Packed() || h.client.SessionsReopened != 1 {
		t.Error(session, h.client.SessionsReopened)
	}
}

// A client's behavior doesn't depend on its clock's origin: sessions and leases last as long on a machine that was booted years earlier.
func TestClient_IndependentOfClockOrigin(t *testing.T) {
	var log []string
	for _, bootedAt := range []float64{0, 1e11} {
		h := newHarness(t, "d")
		h.client.Advance(bootedAt)
		h.now = bootedAt
		starts, stops := h.runUntil(bootedAt+5000, true)
		_, valid := h.client.Valid("d")
		_, ended := h.runUntil(bootedAt+7000, false)
		log = append(log, fmt.Sprint(starts, stops, valid, ended, h.log))
	}
	if log[0] != log[1] {
		t.Errorf("%s\n%s", log[0], log[1])
	}
}
