// Package slowstart is a token bucket for what a cold member may be sent by one of many routers that know nothing of each other.
// It owns what has added up for one member; it must never know which request it is for, or read a clock.
package slowstart

import "math"

const (
	sharesPerWindow      = 4.0  // parts of the window, for one of which a share may be sent once it has added up
	deviations = 3.8  // standard deviations between the mean and what the rule allows: one full window in ten thousand is over
	smallBudget   = 30.0 // a budget under it has the wider tolerance
)

// Bucket is what has added up. The zero value is of a member that has just started.
type Bucket struct {
	level, filled float64
	begun         bool
}

// allowed is the most calls of mean work in a window that don't break the rule, where the settings allow budget of them.
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
	room := allowed(budget) - (deviations*deviations-1)/6
	root := (math.Sqrt(deviations*deviations+4*room) - deviations) / 2
	return math.Min(budget, math.Max(root*root, room-deviations*math.Sqrt(routers)/2))
}

// Allows tells whether one more of this size may go now, where so many routers together may send so much in a window and
// this one's part of it comes at rate a ms. It adds up from a start by chance, since a part is often far less than one request:
// routers take turns. It lapses, since all would spend in one burst what they had saved up: no window sees more than
// the rate over it and over the time that a share lasts, and both together are its whole budget.
func (b *Bucket) Allows(now, rate, size, window, routers float64, chance func() float64) bool {
	if !b.begun {
		b.begun, b.level, b.filled = true, size*chance(), now
	}
	if budget := rate * routers * window / size; budget > 0 {
		rate *= planned(budget, routers) / budget
	}
	lasts := window / sharesPerWindow
	rate *= sharesPerWindow / (sharesPerWindow + 1)
	b.level, b.filled = b.level+rate*(now-b.filled), now
	if over := b.level - rate*lasts - size; over > 0 {
		b.level -= size * math.Ceil(over/size)
	}
	return b.level >= size
}

// Spend takes what was sent off.
func (b *Bucket) Spend(size float64) { b.level -= size }
