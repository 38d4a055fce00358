package random

import (
	"math"
	"testing"
)

// The same seed reproduces the sequence, another seed gives another one, and the numbers are uniform over [0, 1).
func TestNext_IsReproducibleAndUniform(t *testing.T) {
	first, same, other := Source{Seed: 1}, Source{Seed: 1}, Source{Seed: 2}
	var bins [10]int
	equal := 0
	for range 10000 {
		x := first.Next()
		if x < 0 || x >= 1 || x != same.Next() {
			t.Fatalf("drew %v, out of range or not reproducible", x)
		}
		if x == other.Next() {
			equal++
		}
		bins[int(x*10)]++
	}
	for n, count := range bins {
		if math.Abs(float64(count)-1000) > 150 { // five standard deviations
			t.Errorf("%d of 10,000 numbers in bin %d of 10", count, n)
		}
	}
	if equal > 0 {
		t.Errorf("%d equal numbers from two seeds", equal)
	}
}
