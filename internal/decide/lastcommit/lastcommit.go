// Package lastcommit stores the position of each session's last commit, for the mode in which the router itself keeps session
// tokens. Prune bounds the memory used; the caller tracks which positions the members have applied.
package lastcommit

import (
	"maps"
	"math"
	"slices"
)

const (
	minPruneSize = 1000 // sessions, added to the threshold for the next Prune

	// maxSessions is the largest number of sessions whose commits are kept, some MiB of memory. Beyond it the older half is dropped.
	maxSessions = 100_000
)

// Commits maps sessions to positions. The zero value is empty.
type Commits struct {
	positions       map[string]float64
	pruneThreshold  int
	hasDropped      bool
	droppedPosition float64 // the latest position that was dropped; only if hasDropped
}

// RequiredPosition returns a position at which the session's last commit is visible, -Inf if there is none. A session of which none is
// kept may have had one that was dropped, and that a member need not have that joined later.
func (c *Commits) RequiredPosition(session string) float64 {
	required := math.Inf(-1)
	if position, found := c.positions[session]; found {
		required = position
	}
	if c.hasDropped {
		required = max(required, c.droppedPosition)
	}
	return required
}

// PruneDue reports whether Prune should be called. After a call it is due again when the number of sessions
// exceeds twice the number that the call left, plus minPruneSize, or else maxSessions.
func (c *Commits) PruneDue() bool { return len(c.positions) > c.pruneThreshold }

// Record records a commit of the session. A session's position never goes back.
func (c *Commits) Record(session string, position float64) {
	if c.positions == nil {
		c.positions = map[string]float64{}
	}
	c.positions[session] = max(c.positions[session], position)
}

// Prune drops the commits up to a position that every member has applied. If too many are left, because some member is far behind or
// was never checked, it drops the older half of them as well: what is required of reads then rises, never falls.
func (c *Commits) Prune(appliedByAll float64) {
	c.drop(appliedByAll)
	if len(c.positions) > maxSessions {
		positions := slices.Sorted(maps.Values(c.positions))
		c.drop(positions[len(positions)/2])
	}
	c.pruneThreshold = min(2*len(c.positions)+minPruneSize, maxSessions)
}

// drop drops the commits up to a position.
func (c *Commits) drop(upTo float64) {
	maps.DeleteFunc(c.positions, func(_ string, position float64) bool {
		if position > upTo {
			return false
		}
		c.droppedPosition = max(c.droppedPosition, position)
		c.hasDropped = true
		return true
	})
}
