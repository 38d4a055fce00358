package leaseclient

import (
	"math"

	"wayloft/internal/decide/random"
)

const (
	initialDelayFactor = 1.0 / 8 // of a session's timeout until the first retry of what failed
	maxDelayFactor     = 2.0     // of it between two retries, after many: a fleet that waits for its coordinator must not overload it
	jitterFactor       = 0.5     // of each wait, drawn: what came together must not stay together
)

// backoff is when something is asked next, until it is answered. The zero backoff is due at once.
type backoff struct {
	dueAt   float64
	delayMs float64 // before the draw; 0: nothing failed yet
}

// notScheduled returns a backoff that isn't due, while an answer is awaited or nothing is to be asked.
func notScheduled() backoff { return backoff{dueAt: math.Inf(1)} }

// scheduleRetry puts the next attempt off, twice as far each time, by a part that is drawn.
func (b *backoff) scheduleRetry(now, sessionTimeout float64, rng *random.Source) {
	b.delayMs = math.Min(math.Max(2*b.delayMs, sessionTimeout*initialDelayFactor), sessionTimeout*maxDelayFactor)
	b.dueAt = now + b.delayMs*(1-jitterFactor*rng.Next())
}
