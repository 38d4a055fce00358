// Package lastcommit stores the position of each session's last commit, for the mode in which the router itself keeps session
// tokens. Prune bounds the memory used; the caller tracks which positions the members have applied.
package lastcommit

import "maps"

const minPruneSize = 1000 // sessions, added to the threshold for the next Prune

// Commits maps sessions to positions. The zero value is empty.
type Commits struct {
	positions      map[string]float64
	pruneThreshold int
}

// Position returns the position of the session's last commit, 0 if none is known.
func (c *Commits) Position(session string) float64 { return c.positions[session] }

// PruneDue reports whether Prune should be called. After a call it is due again when the number of sessions
// exceeds twice the number that the call left, plus minPruneSize.
func (c *Commits) PruneDue() bool { return len(c.positions) > c.pruneThreshold }

// Record records a commit of the session. A session's position never goes back.
func (c *Commits) Record(session string, position float64) {
	if c.positions == nil {
		c.positions = map[string]float64{}
	}
	c.positions[session] = max(c.positions[session], position)
}

// Prune drops the commits up to a position that every member has applied.
func (c *Commits) Prune(appliedByAll float64) {
	maps.DeleteFunc(c.positions, func(_ string, position float64) bool { return position <= appliedByAll })
	c.pruneThreshold = 2*len(c.positions) + minPruneSize
}
