package eventloop

import (
	"maps"
	"math"

	"wayloft/internal/decide/clockoffset"
	"wayloft/router"
)

// This file is the one edge between the cluster's clock, on which positions and starts are dated (Unix ms), and the
// loop's clock, on which the module runs.

// latestPosition bounds what can be a Unix time in ms at all.
const latestPosition = 1e15

// RecordPosition takes in a position that a member told, for the estimate of the cluster's clock. sent is when the member was
// asked, on the loop's clock; router.Never if it isn't known. It goes before Returned and Reported, which convey it.
func (l *Loop) RecordPosition(member string, role router.Role, position, sent float64) {
	l.clusterClock.Add(clockoffset.Sample{Member: member, Primary: role == router.Primary, Position: position, Sent: sent,
		Received: l.Clock()})
}

// Forget drops what a member that is gone has told.
func (l *Loop) Forget(member string) {
	l.clusterClock.Forget(member)
}

// Possible tells whether a position is one that a member can have by now.
func (l *Loop) Possible(position float64) bool {
	if !(position > 0 && position < latestPosition) {
		return false
	}
	return !l.clusterClock.Settled(l.Clock()) || position <= l.ClusterNow()+MaxPositionAhead
}

// ClusterNow is the cluster's present, as far as it is known.
func (l *Loop) ClusterNow() float64 { return l.now + l.clusterClock.Offset() }

// ToLoop translates a time on the cluster's clock, FromLoop one on the loop's.
func (l *Loop) ToLoop(at float64) float64   { return at - l.clusterClock.Offset() }
func (l *Loop) FromLoop(at float64) float64 { return at + l.clusterClock.Offset() }

// heldReport is a member's report that came before the cluster's clock was settled.
type heldReport struct {
	member   string
	role     router.Role
	position float64
}

// positionOnLoop translates a member's position for the module: Never where none was told or it can't be judged yet.
func (h *Driver) positionOnLoop(position float64) float64 {
	if position == router.Never || !h.clockSettled() {
		return router.Never
	}
	return h.ToLoop(position)
}

// clockSettled tells whether positions can be judged, and conveys what was held until they could.
func (h *Driver) clockSettled() bool {
	if !h.clusterClock.Settled(h.Clock()) {
		return false
	}
	if h.settledNotified {
		return true
	}
	h.settledNotified = true
	if h.onSettled != nil {
		h.onSettled()
	}
	held := h.heldReports
	h.heldReports = nil
	for _, r := range held {
		if h.Possible(r.position) {
			h.forwardReport(r)
		}
	}
	return true
}

// RecordPosition takes in a position as the loop does, and has its member checked again where that helps to settle the clock.
func (h *Driver) RecordPosition(member string, role router.Role, position, sent float64) {
	h.Loop.RecordPosition(member, role, position, sent)
	if wait, wanted := h.clusterClock.Confirm(member); wanted && h.confirmsPositions && !h.confirming[member] {
		h.confirming[member] = true
		h.After(wait, func() { h.confirmPosition(member) })
	}
}

func (h *Driver) confirmPosition(member string) {
	delete(h.confirming, member)
	if _, wanted := h.clusterClock.Confirm(member); wanted {
		h.backend.HealthCheck(member)
	}
}

// MembersCheckStaleness says that members themselves refuse a read, or have it wait, where they lag behind its position.
func (h *Driver) MembersCheckStaleness() { h.membersCheckStaleness = true }

// EnablePositionChecks allows checks of members on the host's own behalf; a check has to bring a report.
func (h *Driver) EnablePositionChecks() { h.confirmsPositions = true }

// OnClockSettled names who hears, once, that times on the cluster's clock can be translated.
func (h *Driver) OnClockSettled(f func()) { h.onSettled = f }

// holdReport keeps a member's latest report until it can be judged; there is one a member at most.
func (h *Driver) holdReport(r heldReport) {
	for n, old := range h.heldReports {
		if old.member == r.member {
			h.heldReports[n] = r
			return
		}
	}
	h.heldReports = append(h.heldReports, r)
	if len(h.heldReports) == 1 {
		h.recheckSettled()
	}
}

// recheckSettled looks again later: replicas alone may settle it by the time that has passed.
func (h *Driver) recheckSettled() {
	h.After(settleCheckInterval, func() {
		if !h.clockSettled() {
			h.recheckSettled()
		}
	})
}

// settleCheckInterval is how often, in ms, it is looked whether reports that are held can be judged.
const settleCheckInterval = 250.0

func (h *Driver) forwardReport(r heldReport) {
	h.routerInput().Reported(r.member, r.role, h.ToLoop(r.position))
	if h.onReport != nil {
		h.onReport(r.member, r.role, r.position)
	}
}

// positionAge is how old the position is that a session's read must see, as the module is told: 0 for none.
func (h *Driver) positionAge(after, now float64) float64 {
	if after == 0 {
		return 0
	}
	// Until positions can be judged, only what holds everything up to now will do, unless members judge.
	age := 0.0
	if h.clockSettled() || h.membersCheckStaleness {
		age = now - h.ToLoop(after)
	}
	if age == 0 { // the module reads 0 as no position, and now - age is exactly the position
		age = math.SmallestNonzeroFloat64
	}
	return age
}

// StartTimes translates when members last started. A start is translated once, so that a correction of the estimate
// doesn't pass for a restart.
type StartTimes struct {
	loop       *Loop
	translated map[string]startTime
}

type startTime struct{ told, at float64 }

// NewStartTimes makes one for a loop.
func NewStartTimes(l *Loop) *StartTimes {
	return &StartTimes{loop: l, translated: map[string]startTime{}}
}

// Of gives a member's start on the loop's clock; router.Never: long ago.
func (s *StartTimes) Of(member string, told float64) float64 {
	if told == router.Never {
		delete(s.translated, member)
		return told
	}
	if known, there := s.translated[member]; there && known.told == told {
		return known.at
	}
	// A member that the list has as started in the future has started by now.
	at := min(s.loop.ToLoop(told), s.loop.Now())
	if s.loop.clusterClock.Settled(s.loop.Clock()) {
		s.translated[member] = startTime{told, at}
	}
	return at
}

// Compare gives a start that another router has told (0: long ago), so that it compares with what Of gave.
func (s *StartTimes) Compare(member string, told float64) float64 {
	if told == 0 {
		return router.Never
	}
	if known, there := s.translated[member]; there && known.told == told {
		return known.at
	}
	return s.loop.ToLoop(told)
}

// Retain drops all members but those named.
func (s *StartTimes) Retain(members map[string]bool) {
	maps.DeleteFunc(s.translated, func(id string, _ startTime) bool { return !members[id] })
}

// Forget drops a member that is gone.
func (s *StartTimes) Forget(member string) { delete(s.translated, member) }
