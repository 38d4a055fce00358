package frontend

import (
	"cmp"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// compareForEviction is the reference for the eviction order: it compares two evictable sessions by which must be evicted first.
func compareForEviction(a, b *session, now float64) int {
	rank := func(s *session) int {
		switch {
		case s.sentQuery:
			return 2
		case now < s.idleSince+newConnectionGraceMs:
			return 3
		}
		return 0
	}
	return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a.idleSince, b.idleSince))
}

// generatedSession is the state of a session as the property test draws it.
type generatedSession struct {
	idleStep, indexedStep int // when it became idle, and the earlier time under which the index has it; in steps of stepMs
	sentQuery, inactive   bool
	ending, busy          bool
}

func generateSession(t *rapid.T) generatedSession {
	idleStep := rapid.IntRange(0, 9).Draw(t, "idleStep")
	return generatedSession{
		idleStep:    idleStep,
		indexedStep: rapid.IntRange(0, idleStep).Draw(t, "indexedStep"),
		sentQuery:   rapid.Bool().Draw(t, "sentQuery"),
		inactive:    rapid.Bool().Draw(t, "inactive"),
		ending:      rapid.IntRange(0, 5).Draw(t, "ending") == 0,
		busy:        rapid.IntRange(0, 3).Draw(t, "busy") == 0,
	}
}

// apply brings a session into the drawn state, with the index entries that it would have in operation.
func (d generatedSession) apply(s *session, now float64) {
	const stepMs, earliestMs = 40.0, 800.0
	index := &s.frontend.sweepIndex
	index.remove(s)
	s.sentQuery, s.state, s.queue = d.sentQuery, sessionOpen, nil
	s.idleSince = now - earliestMs + stepMs*float64(d.indexedStep)
	if !d.sentQuery || !d.inactive {
		index.add(s) // one with a query has sent it since the last sweep
	} else {
		index.active[s] = true
		index.deactivateIfIdle(s)
	}
	s.idleSince = now - earliestMs + stepMs*float64(d.idleStep)
	if d.sentQuery && !d.inactive {
		s.idleSince += 400 // idle since the last sweep; inactive sessions became idle before it
	} else if !d.sentQuery && d.idleStep%2 == 0 {
		s.idleSince = min(s.idleSince+760, now) // a new connection; none is idle since a time to come
	}
	if d.ending {
		s.state = sessionEnding
	}
	if d.busy && (!d.sentQuery || !d.inactive) {
		s.queue = []queuedStatement{{}}
	}
}

// Guards against the index naming a session other than compareForEviction puts first, for any mix of active and inactive sessions, and
// of index entries whose time is earlier than the session's idleSince.
func TestEvictionCandidate_FollowsRule(t *testing.T) {
	f := newTestFrontend(t, 50)
	sessions := f.connectSilent(12)
	rapid.Check(t, func(t *rapid.T) {
		generated := make([]generatedSession, len(sessions))
		for n := range generated {
			generated[n] = generateSession(t)
		}
		var wrong bool
		f.runOnLoop(func() {
			now := f.driver.Now()
			for n, s := range sessions {
				generated[n].apply(s, now)
			}
			var want *session
			for _, s := range sessions {
				if s.evictable() && (want == nil || compareForEviction(s, want, now) < 0) {
					want = s
				}
			}
			differs := func(got, want *session) bool {
				return (got == nil) != (want == nil) || got != nil && compareForEviction(got, want, now) != 0
			}
			got := f.frontend.evictionCandidate(now)
			again := f.frontend.evictionCandidate(now)
			wrong = differs(got, want) || differs(again, got)
			for _, s := range sessions {
				s.state, s.queue = sessionOpen, nil
			}
		})
		if wrong {
			t.Fatalf("the candidate is not the first in eviction order, or differs between two calls: %+v", generated)
		}
	})
}

// Guards against clients that exhaust the session limit with idle sessions: those idle for longer than idleTimeoutMs are ended, and of the
// others at most a third of maxSessions is kept, the most recently idle ones.
func TestEndLongestIdle(t *testing.T) {
	const idle = 10
	for _, c := range []struct{ maxSessions, overdue, remaining int }{{30, 0, 10}, {30, 4, 6}, {15, 0, 5}, {15, 2, 5}, {15, 7, 3}} {
		f := newTestFrontend(t, c.maxSessions)
		sessions := f.connectSilent(idle)
		f.runOnLoop(func() {
			now := f.driver.Now()
			for n, s := range sessions {
				s.sentQuery, s.idleSince = true, now-1000+float64(n)
				if n < c.overdue {
					s.idleSince -= idleTimeoutMs
				}
			}
			slices.Reverse(sessions)
			f.frontend.sweepOnce()
			for n, s := range sessions {
				if ending := s.state >= sessionEnding; ending != (n >= c.remaining) {
					t.Errorf("%+v: session number %d, counted from the one idle most recently: ending %v", c, n+1, ending)
				}
			}
		})
	}
}
