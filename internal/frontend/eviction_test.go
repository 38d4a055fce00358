package frontend

import (
	"cmp"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// compareForEviction is the rule itself: it orders two sessions that can be ended by which must be ended first.
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

// generatedSession is what the property draws for a session.
type generatedSession struct {
	idleStep, indexedStep int // steps: when it became idle, and the earlier time at which the index has it
	sentQuery, inactive   bool
	ending, busy          bool
}

func generateSession(t *rapid.T) generatedSession {
	since := rapid.IntRange(0, 9).Draw(t, "since")
	return generatedSession{
		idleStep:    since,
		indexedStep: rapid.IntRange(0, since).Draw(t, "noted"),
		sentQuery:   rapid.Bool().Draw(t, "sentQuery"),
		inactive:    rapid.Bool().Draw(t, "inactive"),
		ending:      rapid.IntRange(0, 5).Draw(t, "ending") == 0,
		busy:        rapid.IntRange(0, 3).Draw(t, "busy") == 0,
	}
}

// apply puts a session into the drawn state, as it would have come there.
func (d generatedSession) apply(s *session, now float64) {
	const stepMs, earliestMs = 40.0, 800.0
	index := &s.frontend.sweepIndex
	index.remove(s)
	s.sentQuery, s.state, s.queue = d.sentQuery, sessionOpen, nil
	s.idleSince = now - earliestMs + stepMs*float64(d.indexedStep)
	if !d.sentQuery || !d.inactive {
		index.add(s) // if it has sent a query, it did so since
	} else {
		index.active[s] = true
		index.deactivateIfIdle(s)
	}
	s.idleSince = now - earliestMs + stepMs*float64(d.idleStep)
	if d.sentQuery && !d.inactive {
		s.idleSince += 400 // idle since the last sweep; inactive sessions became idle before it
	} else if !d.sentQuery && d.idleStep%2 == 0 {
		s.idleSince += 760 // a new connection
	}
	if d.ending {
		s.state = sessionEnding
	}
	if d.busy && (!d.sentQuery || !d.inactive) {
		s.queue = []queuedMessage{{}}
	}
}

// Whatever sessions there are, whichever of them are inactive, and however early the index has them: the candidate is the session that
// the rule names among all.
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
			t.Fatalf("not the first: %+v", generated)
		}
	})
}

// Of the idle sessions all but the latest third of what there is room for are ended, and those that have been idle for too long.
func TestEndLongestIdle(t *testing.T) {
	const idle = 10
	for _, c := range []struct{ maxSessions, overdue, left int }{{30, 0, 10}, {30, 4, 6}, {15, 0, 5}, {15, 2, 5}, {15, 7, 3}} {
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
				if ending := s.state >= sessionEnding; ending != (n >= c.left) {
					t.Errorf("%+v: the session that became idle as the %dth from the last: ending %v", c, n+1, ending)
				}
			}
		})
	}
}
