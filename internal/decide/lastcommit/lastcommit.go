// Package lastcommit remembers each session's last commit, where tokens are the router's own memory. It owns that memory and its
// bound; it must never decide which member has what.
package lastcommit

import "maps"

const least = 1000 // sessions, before any are looked at to be dropped

// Commits is by session; its zero remembers nothing.
type Commits struct {
	at    map[string]float64
	prune int
}

// Of gives a session's last commit, 0 for none.
func (m *Commits) Of(session string) float64 { return m.at[session] }

// Full tells whether Drop should be called: it has doubled since the last time.
func (m *Commits) Full() bool { return len(m.at) > m.prune }

// Add notes a commit at a position.
func (m *Commits) Add(session string, at float64) {
	if m.at == nil {
		m.at = map[string]float64{}
	}
	m.at[session] = max(m.at[session], at)
}

// Drop forgets commits that every member has by now.
func (m *Commits) Drop(upTo float64) {
	maps.DeleteFunc(m.at, func(_ string, at float64) bool { return at <= upTo })
	m.prune = 2*len(m.at) + least
}
