package random

import (
	"math"
	"testing"
)

// The same seed gives the same sequence, another seed another, and numbers are spread evenly over 0 to 1.
func TestNext_IsReproducibleAndUniform(t *testing.T) {
	first, same, other := Source{Seed: 1}, Source{Seed: 1}, Source{Seed: 2}
	var tenths [10]int
	equal := 0
	for range 10000 {
		x := first.Next()
		if x < 0 || x >= 1 || x != same.Next() {
			t.Fatalf("drew %v", x)
		}
		if x == other.Next() {
			equal++
		}
		tenths[int(x*10)]++
	}
	for n, drawn := range tenths {
		if math.Abs(float64(drawn)-1000) > 150 { // five standard deviations
			t.Errorf("%d of 10,000 in tenth %d", drawn, n)
		}
	}
	if equal > 0 {
		t.Errorf("%d equal numbers from two seeds", equal)
	}
}
