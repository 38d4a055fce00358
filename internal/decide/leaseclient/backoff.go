package leaseclient

import (
	"math"

	"wayloft/internal/decide/random"
)

const (
	firstRetryShare = 1.0 / 8 // of a session's timeout until the first retry of what failed
	maxRetryShare   = 2.0     // of it between two retries, after many: a fleet that waits for its coordinator must not overload it
	jitterShare     = 0.5     // of each wait, drawn: what came together must not stay together
)

// backoff is when something is asked next, until it is answered. The zero backoff is due at once.
type backoff struct {
	dueAt  float64
	waitMs float64 // before the draw; 0: nothing failed yet
}

// never returns a backoff that isn't due, while an answer is awaited or nothing is to be asked.
func never() backoff { return backoff{dueAt: math.Inf(1)} }

// retry puts the next attempt off, twice as far each time, by a part that is drawn.
func (b *backoff) retry(now, sessionTimeout float64, draw *random.Source) {
	b.waitMs = math.Min(math.Max(2*b.waitMs, sessionTimeout*firstRetryShare), sessionTimeout*maxRetryShare)
	b.dueAt = now + b.waitMs*(1-jitterShare*draw.Next())
}
