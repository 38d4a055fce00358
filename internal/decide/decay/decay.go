// Package decay provides exponentially decaying sums and means, for measurements in which recent events count most. It reads no
// clock: callers pass the time. By convention, times and time constants are in ms.
package decay

import "math"

// Sum is a sum that decays exponentially. Its decay is applied by the methods that take the time; Value is the sum as of the
// latest such call. The zero value is an empty sum.
type Sum struct{ Value, updatedAt float64 }

// Read applies the decay up to now and returns the sum. timeConstant is the time in which the sum falls to 1/e. A time before
// that of the previous call has no effect.
func (s *Sum) Read(now, timeConstant float64) float64 {
	if now > s.updatedAt {
		s.Value *= math.Exp((s.updatedAt - now) / timeConstant)
		s.updatedAt = now
	}
	return s.Value
}

// Add adds x and returns the sum.
func (s *Sum) Add(now, timeConstant, x float64) float64 {
	s.Value = s.Read(now, timeConstant) + x
	return s.Value
}

// Max raises the sum to x if it has decayed below that: a decaying maximum.
func (s *Sum) Max(now, timeConstant, x float64) { s.Value = math.Max(s.Read(now, timeConstant), x) }

// Mean is a weighted mean whose samples decay exponentially. The zero value has no samples.
type Mean struct{ Total, Weight Sum }

// Add adds a sample, already multiplied by its weight.
func (m *Mean) Add(now, timeConstant, weightedSample, weight float64) {
	m.Total.Add(now, timeConstant, weightedSample)
	m.Weight.Add(now, timeConstant, weight)
}

// Estimate returns the mean, with a prior that counts as priorWeight samples of weight 1.
func (m *Mean) Estimate(now, timeConstant, priorWeight, prior float64) float64 {
	return (m.Total.Read(now, timeConstant) + priorWeight*prior) / (m.Weight.Read(now, timeConstant) + priorWeight)
}
