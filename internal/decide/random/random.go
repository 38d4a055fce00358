// Package random draws what decisions leave to chance, from a seed and a counter, so that the same inputs give the same
// decisions again. It owns the sequence; it must never read a clock or the system's randomness.
package random

import (
	"encoding/binary"
	"hash/fnv"
)

// Source is a sequence of draws; each owner of decisions has its own.
type Source struct {
	Seed  uint64
	draws uint64
}

// Next draws a number from 0 up to, but not including, 1.
func (s *Source) Next() float64 {
	s.draws++
	h := fnv.New64a()
	h.Write(binary.LittleEndian.AppendUint64(binary.LittleEndian.AppendUint64(nil, s.Seed), s.draws))
	x := h.Sum64()
	x ^= x >> 32 // FNV leaves its high bits poor on short inputs
	x *= 0x9e3779b97f4a7c15
	return float64(x>>11) / (1 << 53)
}
