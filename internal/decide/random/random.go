// Package random provides a deterministic sequence of random numbers for decisions: the same seed and the same calls give the
// same decisions again, in tests and simulations. It reads neither a clock nor the system's randomness, and is not for secrets.
package random

import (
	"encoding/binary"
	"hash/fnv"
)

const (
	goldenRatio = 0x9e3779b97f4a7c15 // 2^64 divided by the golden ratio (Fibonacci hashing)
	mantissa    = 53                 // bits of a float64's mantissa
)

// Source is a sequence of random numbers. Each owner of decisions has its own; it is not safe for concurrent use.
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
	bits ^= bits >> 32 // FNV leaves its high bits poor on short inputs
	bits *= goldenRatio
	return float64(bits>>(64-mantissa)) / (1 << mantissa)
}
