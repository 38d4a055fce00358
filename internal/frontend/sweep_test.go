package frontend

import (
	"net"
	"testing"

	"wayloft/internal/pg"
)

// countVisits runs a number of sweeps and returns how many session visits they make.
func (f *testFrontend) countVisits(sweeps int) (visits int) {
	f.runOnLoop(func() {
		before := f.frontend.sweepIndex.visits
		for range sweeps {
			f.frontend.sweepOnce()
		}
		visits = f.frontend.sweepIndex.visits - before
	})
	return visits
}

// Guards against sweeps whose cost grows with the number of idle sessions, and against idle sessions that each hold a copy of the default
// parameters.
func TestSweep_SkipsIdleSessions(t *testing.T) {
	f := newTestFrontend(t, 150)
	var clients []net.Conn
	for range 40 {
		clients = append(clients, f.dial(pooledDatabase, false), f.dial(statementDatabase, true))
	}
	f.runOnLoop(func() {
		for s := range f.frontend.sessions {
			if s.pooled != nil && s.pooled.reportedParameters != defaultParameters {
				t.Error("a session holds its own copy of the default parameters")
				return
			}
		}
	})
	f.countVisits(1) // visits the sessions that are new since the last sweep
	if n := f.countVisits(10); n != 0 {
		t.Errorf("ten sweeps with %d idle sessions made %d visits, want 0", len(clients), n)
	}
	for _, client := range clients[:2] { // one in each mode
		f.exchange(client, pg.AppendQuery(nil, ""), 1)
		f.runOnLoop(func() {
			if n := len(f.frontend.sweepIndex.active); n > 1 {
				t.Errorf("%d sessions are active, want at most the one that has sent a query", n)
			}
		})
		if f.countVisits(1); f.countVisits(10) != 0 {
			t.Error("a session is still visited after it has received its response")
		}
	}
	for _, client := range clients {
		if err := client.Close(); err != nil {
			t.Error(err)
		}
	}
	f.waitUntil("all sessions are removed", func() bool { return len(f.frontend.sessions) == 0 })
	f.runOnLoop(func() {
		index := &f.frontend.sweepIndex
		if len(index.active)+index.awaitingFirstQuery.Len()+index.idle.Len() > 0 {
			t.Errorf("removed sessions are left in the index: %d active, %d awaiting a first query, %d idle", len(index.active), index.awaitingFirstQuery.Len(), index.idle.Len())
		}
	})
}

// Guards against sweeps that run while all sessions are idle, and against a missing sweep once a session becomes active: the test sends a
// part of a message, and a sweep must end the session after the input timeout.
func TestSweep_NotScheduledWhileAllIdle(t *testing.T) {
	f := newTestFrontend(t, 30)
	var clients []net.Conn
	for range 10 {
		clients = append(clients, f.dial(pooledDatabase, false))
	}
	f.waitUntil("no sweep is scheduled", func() bool { return !f.frontend.sweepScheduled })
	f.runOnLoop(func() {
		if n := len(f.frontend.sweepIndex.active); n > 0 {
			t.Errorf("no sweep is scheduled although %d sessions are active", n)
		}
	})
	client := clients[3]
	f.write(client, pg.AppendQuery(nil, "")[:3]) // the rest of the message is never sent
	f.waitUntil("a sweep is scheduled", func() bool { return f.frontend.sweepScheduled })
	buffer := make([]byte, 1<<12)
	for err := error(nil); err == nil; { // until the router ends the session
		_, err = client.Read(buffer)
	}
	f.runOnLoop(func() {
		if f.frontend.TimedOut != 1 {
			t.Errorf("%d sessions timed out, want 1", f.frontend.TimedOut)
		}
	})
}
