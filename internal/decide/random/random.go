// Package random provides a deterministic pseudo-random number generator for decisions: with the same seed and the same calls, tests
// and simulations reproduce the same decisions. It reads neither a clock nor the system's entropy, and must not be used for secrets.
package random

import (
	"encoding/binary"
	"hash/fnv"
)

const (
	fibonacciMultiplier = 0x9e3779b97f4a7c15 // 2^64 divided by the golden ratio
	mantissaBits        = 53                 // precision of a float64
)

// Source generates pseudo-random numbers. Each component that makes decisions has its own; it is not safe for concurrent use.
type Source struct {
	Seed  uint64
	draws uint64
}

// Next returns the next number, uniformly distributed in [0, 1).
func (s *Source) Next() float64 {
	s.draws++
	hash := fnv.New64a()
	hash.Write(binary.LittleEndian.AppendUint64(binary.LittleEndian.AppendUint64(nil, s.Seed), s.draws))
	bits := hash.Sum64()
	bits ^= bits >> 32 // FNV-1a mixes short inputs poorly into its high bits
	bits *= fibonacciMultiplier
	return float64(bits>>(64-mantissaBits)) / (1 << mantissaBits)
}
