// Package decay has sums that decay with time, for what decisions smooth. It owns the arithmetic; it must never know what is summed
// or read a clock.
package decay

import "math"

// Sum is a sum that decays; it is brought up to date when read. Its zero is empty. Times and spans are ms.
type Sum struct{ Value, at float64 }

// Read gives what is left of it, where span is the time in which all but e^-1 goes.
func (f *Sum) Read(now, span float64) float64 {
	if now > f.at {
		f.Value *= math.Exp((f.at - now) / span)
		f.at = now
	}
	return f.Value
}

// Add adds x, and gives the sum.
func (f *Sum) Add(now, span, x float64) float64 {
	f.Value = f.Read(now, span) + x
	return f.Value
}

// Max keeps the largest of what was added, fading.
func (f *Sum) Max(now, span, x float64) { f.Value = math.Max(f.Read(now, span), x) }

// Mean is a mean that fades: of what was added, each with a weight.
type Mean struct{ Total, Weight Sum }

// Add adds x, already times its weight.
func (m *Mean) Add(now, span, x, weight float64) {
	m.Total.Add(now, span, x)
	m.Weight.Add(now, span, weight)
}

// Estimate gives the mean, where what is supposed at first weighs as much as so many answers.
func (m *Mean) Estimate(now, span, answers, supposed float64) float64 {
	return (m.Total.Read(now, span) + answers*supposed) / (m.Weight.Read(now, span) + answers)
}
