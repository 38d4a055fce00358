// Package slowstart limits the rate at which a router sends requests to a member in slow start, so that all routers together
// stay within the member's budget without coordinating. It is a token bucket; it reads no clock, and its callers pass only the
// size of a request.
package slowstart

import "math"

const (
	tokenLifetimesPerWindow = 4.0  // a token's lifetime is the window divided by this
	standardDeviations      = 3.8  // from the mean to the limit: one fully used window in ten thousand exceeds it
	smallBudgetRequests     = 30.0 // budgets below this have the wider tolerance
)

// Bucket is the token bucket for one member. The zero value is ready for a member that has just started.
type Bucket struct {
	tokens, refilledAt float64
	initialized        bool
}

// maxRequestsPerWindow returns the highest number of mean-size requests per window that the slow start limit tolerates for a
// configured budget, also in requests: N + 2 sqrt(N) + 2, and N + 3 sqrt(N) + 3 for small budgets.
func maxRequestsPerWindow(budget float64) float64 {
	if budget < smallBudgetRequests {
		return budget + 3*math.Sqrt(budget) + 3
	}
	return budget + 2*math.Sqrt(budget) + 2
}

// targetMeanRequests returns the mean number of requests per window at which all routers together stay within
// maxRequestsPerWindow. Routers send independently of each other, so the total varies: its variance is at most its mean, and
// at most 1/4 per router, because a router's own count varies by one request only. The term (z^2-1)/6, with z standard
// deviations, corrects for the skewness of the total (Cornish-Fisher expansion).
func targetMeanRequests(budget, routers float64) float64 {
	limit := maxRequestsPerWindow(budget) - (standardDeviations*standardDeviations-1)/6
	meanRoot := (math.Sqrt(standardDeviations*standardDeviations+4*limit) - standardDeviations) / 2
	return math.Min(budget, math.Max(meanRoot*meanRoot, limit-standardDeviations*math.Sqrt(routers)/2))
}

// Allows reports whether one more request of this size may be sent now. The budget of all routers together over a window (in
// ms) is rate*routers*window; rate is this router's share, in units of size per ms. random returns numbers in [0, 1).
//
// The bucket starts at a random level because a router's share is often far less than one request: the routers then send at
// different times. Tokens expire because all routers could otherwise spend their accumulated tokens in one burst. The rate is
// reduced so that what accrues over a window and over one token lifetime together is the window's whole budget.
func (b *Bucket) Allows(now, rate, size, window, routers float64, random func() float64) bool {
	if !b.initialized {
		b.initialized, b.tokens, b.refilledAt = true, size*random(), now
	}
	if budget := rate * routers * window / size; budget > 0 {
		rate *= targetMeanRequests(budget, routers) / budget
	}
	lifetime := window / tokenLifetimesPerWindow
	rate *= tokenLifetimesPerWindow / (tokenLifetimesPerWindow + 1)
	b.tokens, b.refilledAt = b.tokens+rate*(now-b.refilledAt), now
	if expired := b.tokens - rate*lifetime - size; expired > 0 {
		b.tokens -= size * math.Ceil(expired/size)
	}
	return b.tokens >= size
}

// Spend removes the tokens of a request that was sent; a negative size returns them.
func (b *Bucket) Spend(size float64) { b.tokens -= size }
