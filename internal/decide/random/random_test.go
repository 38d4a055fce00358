package random

import (
	"math"
	"testing"
)

// The same seed gives the same sequence, another seed another, and draws are spread evenly over 0 to 1.
func TestNext(t *testing.T) {
	a, b, c := Source{Seed: 1}, Source{Seed: 1}, Source{Seed: 2}
	var tenths [10]int
	same := 0
	for range 10000 {
		x := a.Next()
		if x < 0 || x >= 1 || x != b.Next() {
			t.Fatalf("drew %v", x)
		}
		if x == c.Next() {
			same++
		}
		tenths[int(x*10)]++
	}
	for n, drawn := range tenths {
		if math.Abs(float64(drawn)-1000) > 150 { // five standard deviations
			t.Errorf("%d of 10,000 in tenth %d", drawn, n)
		}
	}
	if same > 0 {
		t.Errorf("%d draws alike from two seeds", same)
	}
}
