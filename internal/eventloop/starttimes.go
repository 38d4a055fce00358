package eventloop

import (
	"maps"

	"wayloft/router"
)

// StartTimes translates the times at which members last started to the loop's clock. Each start is translated once, so that a
// correction of the clock's estimate isn't taken for a restart.
type StartTimes struct {
	loop       *Loop
	translated map[string]startTime // by member
}

// startTime is one start: as it was reported on the cluster's clock, and on the loop's clock.
type startTime struct{ reported, onLoop float64 }

// NewStartTimes returns a translator for a loop.
func NewStartTimes(l *Loop) *StartTimes {
	return &StartTimes{loop: l, translated: map[string]startTime{}}
}

// Of returns a member's start on the loop's clock. router.Never stands for a start long ago, in reported too.
func (s *StartTimes) Of(member string, reported float64) float64 {
	if reported == router.Never {
		delete(s.translated, member)
		return reported
	}
	if known, ok := s.translated[member]; ok && known.reported == reported {
		return known.onLoop
	}
	// A member that the list shows as started in the future has started by now.
	at := min(s.loop.ToLoop(reported), s.loop.Now())
	if s.loop.clusterClock.Settled(s.loop.Clock()) {
		s.translated[member] = startTime{reported, at}
	}
	return at
}

// Compare translates a start that another router has reported (0: long ago), so that it compares with the result of Of.
func (s *StartTimes) Compare(member string, reported float64) float64 {
	if reported == 0 {
		return router.Never
	}
	if known, ok := s.translated[member]; ok && known.reported == reported {
		return known.onLoop
	}
	return s.loop.ToLoop(reported)
}

// Retain drops all members but these.
func (s *StartTimes) Retain(members map[string]bool) {
	maps.DeleteFunc(s.translated, func(id string, _ startTime) bool { return !members[id] })
}

// Forget drops a member that is gone.
func (s *StartTimes) Forget(member string) { delete(s.translated, member) }
