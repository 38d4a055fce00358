package decay

import (
	"math"
	"testing"
)

func TestSum_Decays(t *testing.T) {
	var sum Sum
	sum.Add(1000, 100, 8)
	if got := sum.Read(1100, 100); math.Abs(got-8/math.E) > 1e-9 {
		t.Errorf("after one time constant: %v", got)
	}
	if again := sum.Read(1050, 100); again != sum.Value {
		t.Errorf("a time that went back changed the sum to %v", again)
	}
	sum.Max(1100, 100, 2)
	sum.Max(1100, 100, 5)
	if sum.Value != 5 {
		t.Errorf("the maximum is %v", sum.Value)
	}
}
