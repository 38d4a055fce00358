package leaseclient

import (
	"fmt"
	"testing"

	"wayloft/internal/decide/lease"
	"wayloft/internal/decide/leasestate"
)

// A session is opened before anything is asked for; a lease is held on, and lost and found again with the coordinator.
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
		t.Fatalf("without the coordinator: %d starts, %d stops", starts, stops)
	}
	h.log = nil
	if starts, _ := h.runUntil(14000, true); starts != 1 || h.client.Reopened != 1 || h.count(leasestate.OpenSession) != 1 {
		t.Fatalf("back: %d starts, reopened %d times, %v", starts, h.client.Reopened, h.log)
	}
	if token, valid = h.client.Valid("d"); !valid || token.Count != 2 {
		t.Error("its session had ended, the grant must be another:", token, valid)
	}
}

// While the coordinator is away each attempt comes later than the one before, up to a bound.
func TestClient_SessionRequestsBackOff(t *testing.T) {
	h := newHarness(t)
	h.runUntil(60000, false)
	if n := h.count(leasestate.OpenSession); n < 25 || n > 80 {
		t.Errorf("%d attempts in a minute", n)
	}
}

// A client that shuts down stops first, gives back what it holds, and is done once that is answered or can't be.
func TestShutdown_StopsFirstAndGivesBack(t *testing.T) {
	for _, answers := range []bool{true, false} {
		h := newHarness(t, "d")
		h.runUntil(500, true)
		h.client.Shutdown()
		_, stops := h.runUntil(600, answers)
		if _, valid := h.client.Valid("d"); valid || stops != 1 || !h.client.ShutdownComplete() {
			t.Errorf("answered %v: valid %v, %d stops, complete %v", answers, valid, stops, h.client.ShutdownComplete())
		}
		if _, open := h.state.Session("p"); open == answers {
			t.Errorf("answered %v: its session is there: %v", answers, open)
		}
	}
}

// Guards against a look at the time that costs by how many leases a process has or would have, and not by what is due.
func TestAdvance_TouchesOnlyDueHolders(t *testing.T) {
	var leases []string
	for n := range 200 {
		leases = append(leases, fmt.Sprint("sight/", n))
	}
	h := newHarness(t, leases...)
	if starts, _ := h.runUntil(10000, true); starts != len(leases) {
		t.Fatalf("%d leases of %d began", starts, len(leases))
	}
	if requests := h.count(leasestate.AcquireLease); h.client.holdersAdvanced > requests+len(leases) || requests < 20*len(leases) {
		t.Errorf("in 1,000 looks holders were gone over %d times; they asked %d times, which is what time had them do", h.client.holdersAdvanced, requests)
	}
	if _, stops := h.runUntil(12000, false); stops != len(leases) || h.client.NextDeadline() <= h.now-10 {
		t.Errorf("without the coordinator %d leases of %d ended in time; due at %v, it is %v", stops, len(leases), h.client.NextDeadline(), h.now)
	}
}

// The version that a process has applied is reported with the next heartbeat, at once, and again when its session is opened again.
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
		t.Fatal("its session was to end")
	}
	h.runUntil(h.now+6000, true)
	if session, _ := h.state.Session("p"); session.Policy != version.Packed() || h.client.Reopened != 1 {
		t.Error(session, h.client.Reopened)
	}
}

// A process's clock is its own: where one machine was booted years before another, its sessions and leases are as long.
func TestClient_IndependentOfClockOrigin(t *testing.T) {
	var log []string
	for _, booted := range []float64{0, 1e11} {
		h := newHarness(t, "d")
		h.client.Advance(booted)
		h.now = booted
		starts, stops := h.runUntil(booted+5000, true)
		_, valid := h.client.Valid("d")
		_, ended := h.runUntil(booted+7000, false)
		log = append(log, fmt.Sprint(starts, stops, valid, ended, h.log))
	}
	if log[0] != log[1] {
		t.Errorf("%s\n%s", log[0], log[1])
	}
}
