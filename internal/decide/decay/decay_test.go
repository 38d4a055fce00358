package decay

import (
	"math"
	"testing"
)

func TestFades(t *testing.T) {
	var f Sum
	f.Add(1000, 100, 8)
	if got := f.Read(1100, 100); math.Abs(got-8/math.E) > 1e-9 {
		t.Errorf("after one span %v", got)
	}
	if again := f.Read(1050, 100); again != f.Value {
		t.Errorf("a clock that goes back changed it to %v", again)
	}
	f.Max(1100, 100, 2)
	f.Max(1100, 100, 5)
	if f.Value != 5 {
		t.Errorf("the most is %v", f.Value)
	}
}
