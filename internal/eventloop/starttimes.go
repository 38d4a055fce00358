package eventloop

import (
	"maps"

	"wayloft/router"
)

// StartTimes converts the last start times of members to the loop's clock. Each start time is converted only once, so that a
// correction of the clock estimate is not mistaken for a restart.
type StartTimes struct {
	loop      *Loop
	converted map[string]startTime // by member
}

// startTime is a member's start time, as reported on the cluster's clock and on the loop's clock.
type startTime struct{ reported, onLoop float64 }

// NewStartTimes returns a converter to a loop's clock.
func NewStartTimes(l *Loop) *StartTimes {
	return &StartTimes{loop: l, converted: map[string]startTime{}}
}

// Convert converts a member's reported start time to the loop's clock. router.Never, as argument and as result, means long ago.
func (s *StartTimes) Convert(member string, reported float64) float64 {
	if reported == router.Never {
		delete(s.converted, member)
		return reported
	}
	if known, ok := s.converted[member]; ok && known.reported == reported {
		return known.onLoop
	}
	// A member whose listed start time is in the future must have started by now.
	at := min(s.loop.ToLoop(reported), s.loop.Now())
	if s.loop.clusterClock.Settled(s.loop.Clock()) {
		s.converted[member] = startTime{reported, at}
	}
	return at
}

// ConvertPeer converts a start time reported by another router (0: long ago), so that it can be compared with results of
// Convert.
func (s *StartTimes) ConvertPeer(member string, reported float64) float64 {
	if reported == 0 {
		return router.Never
	}
	if known, ok := s.converted[member]; ok && known.reported == reported {
		return known.onLoop
	}
	return s.loop.ToLoop(reported)
}

// Retain forgets all members except the given ones.
func (s *StartTimes) Retain(members map[string]bool) {
	maps.DeleteFunc(s.converted, func(id string, _ startTime) bool { return !members[id] })
}

// ForgetMember drops the start time of a member that was removed.
func (s *StartTimes) ForgetMember(member string) { delete(s.converted, member) }
