// Package decay has sums that decay with time, for what decisions smooth. It owns the arithmetic; it must never know what is summed
// or read a clock.
package decay

import "math"

// Sum is a sum that decays; it is brought up to date when read. Its zero is empty. Times and spans are ms.
type Sum struct{ Sum, at float64 }

// Read gives what is left of it, where span is the time in which all but e^-1 goes.
func (f *Sum) Read(now, span float64) float64 {
	if now > f.at {
		f.Sum *= math.Exp((f.at - now) / span)
		f.at = now
	}
	return f.Sum
}

// Add adds x, and gives the sum.
func (f *Sum) Add(now, span, x float64) float64 {
	f.Sum = f.Read(now, span) + x
	return f.Sum
}

// Max keeps the largest of what was added, fading.
func (f *Sum) Max(now, span, x float64) { f.Sum = math.Max(f.Read(now, span), x) }

// Mean is a mean that fades: of what was added, each with a weight.
type Mean struct{ All, Weight Sum }

// Add adds x, already times its weight.
func (m *Mean) Add(now, span, x, weight float64) {
	m.All.Add(now, span, x)
	m.Weight.Add(now, span, weight)
}

// Value gives the mean, where what is supposed at first weighs as much as so many answers.
func (m *Mean) Value(now, span, answers, supposed float64) float64 {
	return (m.All.Read(now, span) + answers*supposed) / (m.Weight.Read(now, span) + answers)
}
