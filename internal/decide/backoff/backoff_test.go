package backoff

import (
	"math"
	"testing"
)

func TestStorage_DelayDoublesUpToTheMaximum(t *testing.T) {
	var s Storage
	if s.Failing() || !math.IsInf(s.Due(), 1) || s.Succeed(1) {
		t.Fatal("a new schedule reports a failure")
	}
	now := 1000.0
	for n, want := range []float64{100, 200, 400, 800, 1600, 3200, 5000, 5000} {
		if first := s.Fail(now); first != (n == 0) || s.Due()-now != want {
			t.Errorf("failure %d: first %v, delay %v, want %v", n, first, s.Due()-now, want)
		}
		now = s.Due()
	}
	if !s.Succeed(now) || s.Failing() || !math.IsInf(s.Due(), 1) {
		t.Error("still failing after a success")
	}
}

func TestStorage_FlappingKeepsItsDelay(t *testing.T) {
	var s Storage
	for range 4 {
		s.Fail(0)
	}
	s.Succeed(100)
	if s.Fail(200); s.Due() != 200+1600 {
		t.Errorf("due at %v after a failure right after the recovery", s.Due())
	}
	s.Succeed(2000)
	if s.Fail(2000 + maxDelay + 1); s.Due() != 2000+maxDelay+1+initialDelay {
		t.Errorf("due at %v after a failure long after the recovery", s.Due())
	}
}
