package scale

import (
	"fmt"
	"math"
	"testing"
)

func TestSweepResult_Fit(t *testing.T) {
	s := &SweepResult{}
	for _, n := range SweepSizes(80) {
		s.Reports = append(s.Reports, &Report{Routers: n, RealRouters: 2, Rows: []Row{{Role: "a", CPU: 3 + 0.5*float64(n+2)}, {Role: fmt.Sprint("only ", n)}}})
	}
	if err := s.fit(); err != nil {
		t.Fatal(err)
	}
	if len(s.Slopes) != len(figures) {
		t.Fatalf("%d slopes; a role that is missing in a report must have none", len(s.Slopes))
	}
	if f := s.Slopes[0].Fit; math.Abs(f.Slope-0.5) > 1e-9 || math.Abs(f.Intercept-3) > 1e-9 || f.Points != 4 {
		t.Error(f)
	}
	if got := fmt.Sprint(SweepSizes(80), SweepSizes(3), SweepSizes(1)); got != "[10 20 40 80] [1 3] [1]" {
		t.Error(got)
	}
}
