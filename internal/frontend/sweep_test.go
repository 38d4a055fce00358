package frontend

import (
	"net"
	"testing"

	"wayloft/internal/pg"
)

// countVisits returns how many sessions are visited by so many sweeps.
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

// The cost of a sweep does not grow with the number of idle sessions.
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
	f.countVisits(1) // sessions that came since the last sweep
	if n := f.countVisits(10); n != 0 {
		t.Errorf("ten sweeps over %d idle sessions took %d visits, not none", len(clients), n)
	}
	for _, client := range clients[:2] { // one in each mode
		f.exchange(client, pg.AppendQuery(nil, ""), 1)
		f.runOnLoop(func() {
			if n := len(f.frontend.sweepIndex.active); n > 1 {
				t.Errorf("%d sessions are active, one has sent a query", n)
			}
		})
		if f.countVisits(1); f.countVisits(10) != 0 {
			t.Error("a session that has been answered is not idle again")
		}
	}
	for _, client := range clients {
		if err := client.Close(); err != nil {
			t.Error(err)
		}
	}
	f.waitUntil("all sessions are gone", func() bool { return len(f.frontend.sessions) == 0 })
	f.runOnLoop(func() {
		index := &f.frontend.sweepIndex
		if len(index.active)+index.awaitingFirstQuery.Len()+index.idle.Len() > 0 {
			t.Errorf("of sessions that are gone %d are active, %d await a first query, %d are idle", len(index.active), index.awaitingFirstQuery.Len(), index.idle.Len())
		}
	})
}

// No sweep is scheduled while all sessions are idle, and one is for the first session that has something to be swept.
func TestSweep_NotScheduledWhileAllIdle(t *testing.T) {
	f := newTestFrontend(t, 30)
	var clients []net.Conn
	for range 10 {
		clients = append(clients, f.dial(pooledDatabase, false))
	}
	f.waitUntil("no sweep is scheduled", func() bool { return !f.frontend.sweepScheduled })
	f.runOnLoop(func() {
		if n := len(f.frontend.sweepIndex.active); n > 0 {
			t.Errorf("no sweep is scheduled, %d sessions are active", n)
		}
	})
	client := clients[3]
	f.write(client, pg.AppendQuery(nil, "")[:3]) // the rest of the message does not come
	f.waitUntil("a sweep is scheduled", func() bool { return f.frontend.sweepScheduled })
	buffer := make([]byte, 1<<12)
	for err := error(nil); err == nil; { // until the session is ended
		_, err = client.Read(buffer)
	}
	f.runOnLoop(func() {
		if f.frontend.TimedOut != 1 {
			t.Errorf("%d sessions timed out, not 1", f.frontend.TimedOut)
		}
	})
}
