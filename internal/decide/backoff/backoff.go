// Package backoff schedules retries of failed storage operations with exponential backoff: the delay doubles with each
// consecutive failure, up to a maximum. It must never do I/O or read a clock.
package backoff

import "math"

// Delays in ms.
const (
	initialDelay = 100.0  // before the first retry
	maxDelay     = 5000.0 // upper bound of the delay between retries
)

// RetrySchedule schedules the retries of one store. The zero value represents a store that works.
type RetrySchedule struct {
	failing      bool
	delay        float64
	retryAt      float64
	recoveredAt  float64 // time of the latest recovery
	hasRecovered bool
}

// RecordFailure records a failure and reports whether it is the first since the store last worked. If the store fails again soon after
// it recovered, the delay keeps growing from the value that it had reached; otherwise a store that works intermittently would
// always be retried at the initial delay.
func (s *RetrySchedule) RecordFailure(now float64) (first bool) {
	first = !s.failing
	switch {
	case s.delay == 0, first && s.hasRecovered && now-s.recoveredAt > maxDelay:
		s.delay = initialDelay
	default:
		s.delay = math.Min(2*s.delay, maxDelay)
	}
	s.failing, s.retryAt = true, now+s.delay
	return first
}

// RecordSuccess records that the store works and reports whether it was failing before.
func (s *RetrySchedule) RecordSuccess(now float64) (recovered bool) {
	if !s.failing {
		return false
	}
	s.failing, s.hasRecovered, s.recoveredAt = false, true, now
	return true
}

// Failing reports whether the latest attempt failed.
func (s *RetrySchedule) Failing() bool { return s.failing }

// RetryAt returns when the store may be tried again, +Inf while it works.
func (s *RetrySchedule) RetryAt() float64 {
	if !s.failing {
		return math.Inf(1)
	}
	return s.retryAt
}
