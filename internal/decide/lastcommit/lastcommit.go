// Package lastcommit remembers the position of each session's last commit, where session tokens are the router's own memory. It
// bounds that memory with Prune; which member has which position is for its caller to know.
package lastcommit

import "maps"

const minPruneSize = 1000 // sessions up to which nothing is pruned

// Commits holds positions by session. The zero value is empty.
type Commits struct {
	positions  map[string]float64
	pruneAbove int
}

// Position returns the position of a session's last commit, 0 for none.
func (c *Commits) Position(session string) float64 { return c.positions[session] }

// PruneDue tells whether Prune should be called: the sessions have doubled since the last time.
func (c *Commits) PruneDue() bool { return len(c.positions) > c.pruneAbove }

// Record takes in a commit of the session. A session's position never goes back.
func (c *Commits) Record(session string, position float64) {
	if c.positions == nil {
		c.positions = map[string]float64{}
	}
	c.positions[session] = max(c.positions[session], position)
}

// Prune forgets commits up to a position that every member has applied.
func (c *Commits) Prune(appliedByAll float64) {
	maps.DeleteFunc(c.positions, func(_ string, position float64) bool { return position <= appliedByAll })
	c.pruneAbove = 2*len(c.positions) + minPruneSize
}
