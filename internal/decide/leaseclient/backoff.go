package leaseclient

import (
	"math"

	"wayloft/internal/decide/random"
)

const (
	initialDelayFactor = 1.0 / 8 // first retry delay, as a multiple of the session timeout
	maxDelayFactor     = 2.0     // longest retry delay, likewise: processes that wait for the coordinator must not overload it
	jitterFactor       = 0.5     // largest part of a delay that jitter takes off, so that processes that failed together don't retry together
)

// backoff schedules the attempts of a request until it is answered. The zero value is due at once.
type backoff struct {
	dueAt   float64
	delayMs float64 // before jitter; 0: no attempt has failed yet
}

// notScheduled returns a backoff that is never due: a response is awaited, or there is nothing to request.
func notScheduled() backoff { return backoff{dueAt: math.Inf(1)} }

// scheduleRetry schedules the next attempt after an exponential delay with jitter.
func (b *backoff) scheduleRetry(now, sessionTimeout float64, rng *random.Source) {
	b.delayMs = math.Min(math.Max(2*b.delayMs, sessionTimeout*initialDelayFactor), sessionTimeout*maxDelayFactor)
	b.dueAt = now + b.delayMs*(1-jitterFactor*rng.Next())
}
