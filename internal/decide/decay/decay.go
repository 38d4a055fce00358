// Package decay provides exponentially decaying sums and means, for measurements in which recent events count most. It reads no
// clock: callers pass the time. Times and spans are in ms, by convention of the callers.
package decay

import "math"

// Sum is a sum that decays exponentially. It is brought up to date when it is read; Value is the sum as of then. The zero value
// is an empty sum.
type Sum struct{ Value, at float64 }

// Read returns what is left of the sum. span is the time constant: the time in which the sum falls to 1/e. A time before
// the last one changes nothing.
func (s *Sum) Read(now, span float64) float64 {
	if now > s.at {
		s.Value *= math.Exp((s.at - now) / span)
		s.at = now
	}
	return s.Value
}

// Add adds x and returns the sum.
func (s *Sum) Add(now, span, x float64) float64 {
	s.Value = s.Read(now, span) + x
	return s.Value
}

// Max raises the sum to x if it has decayed below that: a decaying maximum.
func (s *Sum) Max(now, span, x float64) { s.Value = math.Max(s.Read(now, span), x) }

// Mean is a weighted mean whose samples decay exponentially. The zero value has no samples.
type Mean struct{ Total, Weight Sum }

// Add adds a sample, already multiplied by its weight.
func (m *Mean) Add(now, span, weightedSample, weight float64) {
	m.Total.Add(now, span, weightedSample)
	m.Weight.Add(now, span, weight)
}

// Estimate returns the mean, where a prior assumption counts as so many samples of weight 1.
func (m *Mean) Estimate(now, span, priorWeight, prior float64) float64 {
	return (m.Total.Read(now, span) + priorWeight*prior) / (m.Weight.Read(now, span) + priorWeight)
}
