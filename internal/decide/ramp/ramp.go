// Package ramp is a token bucket for what a cold member may be sent by one of many routers that know nothing of each other.
// It owns what has added up for one member; it must never know which txn it is for, or read a clock.
package ramp

import "math"

const lapse = 4.0 // parts of the window, for one of which a share may be sent once it has added up

// Bucket is what has added up. The zero value is of a member that has just started.
type Bucket struct {
	level, filled float64
	begun         bool
}

// Bears tells whether one more of this size may go now, where all routers together may send so much in a window and this
// one's part of it comes at rate a ms. It adds up from a start by chance, since a part is often far less than one txn:
// routers take turns. It lapses, since all would spend in one burst what they had saved up: no window sees more than
// the rate over it and over the time that a share lasts, and both together are its whole budget.
func (b *Bucket) Bears(now, rate, size, window float64, chance func() float64) bool {
	if !b.begun {
		b.begun, b.level, b.filled = true, size*chance(), now
	}
	lasts := window / lapse
	rate *= lapse / (lapse + 1)
	b.level, b.filled = b.level+rate*(now-b.filled), now
	if over := b.level - rate*lasts - size; over > 0 {
		b.level -= size * math.Ceil(over/size)
	}
	return b.level >= size
}

// Spend takes what was sent off.
func (b *Bucket) Spend(size float64) { b.level -= size }
