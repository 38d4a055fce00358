// Package slowstart limits what one of many routers sends to a member in slow start, so that all routers together stay within the
// member's budget though they know nothing of each other. It is a token bucket that reads no clock and knows no requests.
package slowstart

import "math"

const (
	sharesPerWindow = 4.0  // unused tokens expire after one part of so many of the window
	deviations      = 3.8  // standard deviations between the mean and the rule's limit: one full window in ten thousand is over
	smallBudget     = 30.0 // calls; a budget below it has the wider tolerance
)

// Bucket holds the tokens for one member. The zero value is for a member that has just started.
type Bucket struct {
	tokens, filledAt float64
	started          bool
}

// allowed is the most calls of mean size in a window that keep the rule, where the settings have a budget of so many calls.
func allowed(budget float64) float64 {
	if budget < smallBudget {
		return budget + 3*math.Sqrt(budget) + 3
	}
	return budget + 2*math.Sqrt(budget) + 2
}

// planned is the mean number of calls in a window with which all routers together stay within what is allowed. None knows
// when the others send, so that their sum varies: its variance is at most its mean, and at most a quarter for each
// router, since each evens out its own part but for one call. The last term is for the skew of such a sum.
func planned(budget, routers float64) float64 {
	limit := allowed(budget) - (deviations*deviations-1)/6
	root := (math.Sqrt(deviations*deviations+4*limit) - deviations) / 2
	return math.Min(budget, math.Max(root*root, limit-deviations*math.Sqrt(routers)/2))
}

// Allows tells whether one more call of this size may be sent now. The budget of all routers together over a window (in ms) is
// rate*routers*window; rate is this router's part, in units of size for each ms. random returns numbers in [0, 1).
//
// The bucket starts at a random level, since a part is often far less than one call: so routers take turns. Tokens expire,
// since all routers would spend in one burst what they had saved up: no window sees more than the rate over it and over the
// lifetime of a token, and both together are its whole budget.
func (b *Bucket) Allows(now, rate, size, window, routers float64, random func() float64) bool {
	if !b.started {
		b.started, b.tokens, b.filledAt = true, size*random(), now
	}
	if budget := rate * routers * window / size; budget > 0 {
		rate *= planned(budget, routers) / budget
	}
	lifetime := window / sharesPerWindow
	rate *= sharesPerWindow / (sharesPerWindow + 1)
	b.tokens, b.filledAt = b.tokens+rate*(now-b.filledAt), now
	if expired := b.tokens - rate*lifetime - size; expired > 0 {
		b.tokens -= size * math.Ceil(expired/size)
	}
	return b.tokens >= size
}

// Spend takes the tokens of a call that was sent; a negative size gives them back.
func (b *Bucket) Spend(size float64) { b.tokens -= size }
