package backoff

import (
	"math"
	"testing"
)

func TestStorage_DelayDoublesUpToTheMaximum(t *testing.T) {
	var s RetrySchedule
	if s.Failing() || !math.IsInf(s.RetryAt(), 1) || s.RecordSuccess(1) {
		t.Fatal("a new schedule reports a failure")
	}
	now := 1000.0
	for n, want := range []float64{100, 200, 400, 800, 1600, 3200, 5000, 5000} {
		if first := s.RecordFailure(now); first != (n == 0) || s.RetryAt()-now != want {
			t.Errorf("failure %d: first %v, delay %v, want %v", n, first, s.RetryAt()-now, want)
		}
		now = s.RetryAt()
	}
	if !s.RecordSuccess(now) || s.Failing() || !math.IsInf(s.RetryAt(), 1) {
		t.Error("still failing after a success")
	}
}

func TestStorage_FlappingKeepsItsDelay(t *testing.T) {
	var s RetrySchedule
	for range 4 {
		s.RecordFailure(0)
	}
	s.RecordSuccess(100)
	if s.RecordFailure(200); s.RetryAt() != 200+1600 {
		t.Errorf("due at %v after a failure right after the recovery", s.RetryAt())
	}
	s.RecordSuccess(2000)
	if s.RecordFailure(2000 + maxDelay + 1); s.RetryAt() != 2000+maxDelay+1+initialDelay {
		t.Errorf("due at %v after a failure long after the recovery", s.RetryAt())
	}
}
