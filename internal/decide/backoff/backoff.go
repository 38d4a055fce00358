// Package backoff decides when storage that failed is tried again: soon at first, then at spans that double up to a bound. It
// owns the count of failures in a row; it must never do I/O or read a clock.
package backoff

import "math"

// Times are ms.
const (
	shortest = 100.0  // until the first retry
	longest  = 5000.0 // between two retries
)

// Storage is the retry schedule of one store. The zero value is of a store that works.
type Storage struct {
	failing bool
	wait    float64
	due     float64
	since   float64 // when it worked again last
	worked  bool
}

// Fail notes a failure at a time and gives whether it is the first of its run. A store that fails again soon after it came
// back goes on with the span that it had reached, so that one that works now and then isn't tried at the shortest span forever.
func (s *Storage) Fail(now float64) (first bool) {
	first = !s.failing
	switch {
	case s.wait == 0, first && s.worked && now-s.since > longest:
		s.wait = shortest
	default:
		s.wait = math.Min(2*s.wait, longest)
	}
	s.failing, s.due = true, now+s.wait
	return first
}

// Succeed notes that the store works and gives whether it failed before.
func (s *Storage) Succeed(now float64) (recovered bool) {
	if !s.failing {
		return false
	}
	s.failing, s.worked, s.since = false, true, now
	return true
}

// Failing tells whether the latest try failed.
func (s *Storage) Failing() bool { return s.failing }

// Due is when the store may be tried again; infinite while it works.
func (s *Storage) Due() float64 {
	if !s.failing {
		return math.Inf(1)
	}
	return s.due
}
