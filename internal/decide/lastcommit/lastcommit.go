// Package lastcommit remembers each session's last commit, where tokens are the router's own memory. It owns that memory and its
// bound; it must never decide which member has what.
package lastcommit

import "maps"

const minPruneSize = 1000 // sessions, before any are looked at to be dropped

// Commits is by session; its zero remembers nothing.
type Commits struct {
	positions    map[string]float64
	pruneAbove int
}

// Position gives a session's last commit, 0 for none.
func (m *Commits) Position(session string) float64 { return m.positions[session] }

// PruneDue tells whether Drop should be called: it has doubled since the last time.
func (m *Commits) PruneDue() bool { return len(m.positions) > m.pruneAbove }

// Record notes a commit at a position.
func (m *Commits) Record(session string, at float64) {
	if m.positions == nil {
		m.positions = map[string]float64{}
	}
	m.positions[session] = max(m.positions[session], at)
}

// Prune forgets commits that every member has by now.
func (m *Commits) Prune(upTo float64) {
	maps.DeleteFunc(m.positions, func(_ string, at float64) bool { return at <= upTo })
	m.pruneAbove = 2*len(m.positions) + minPruneSize
}
