package scale

import (
	"math"
	"testing"
)

func TestFitLine(t *testing.T) {
	for _, c := range []struct {
		name string
		x, y []float64
		want Fit
	}{
		{"straight", []float64{1, 2, 3, 4}, []float64{5, 7, 9, 11}, Fit{Slope: 2, Intercept: 3, Points: 4}},
		{"level", []float64{1, 2, 3}, []float64{4, 4, 4}, Fit{Intercept: 4, Points: 3}},
		{"two points", []float64{0, 10}, []float64{0, 5}, Fit{Slope: 0.5, Points: 2}},
		// The residuals are 1, -2 and 1: their sum of squares is 6, with one degree of freedom; the sum of squares of x is 2.
		{"bent", []float64{0, 1, 2}, []float64{1, -2, 1}, Fit{Intercept: 0, Points: 3, ResidualStdDev: math.Sqrt(6), SlopeError: math.Sqrt(3), MaxResidual: 2}},
	} {
		got, err := FitLine(c.x, c.y)
		if err != nil {
			t.Errorf("%s: %v", c.name, err)
			continue
		}
		for _, pair := range [][2]float64{{got.Slope, c.want.Slope}, {got.Intercept, c.want.Intercept}, {got.ResidualStdDev, c.want.ResidualStdDev}, {got.SlopeError, c.want.SlopeError},
			{got.MaxResidual, c.want.MaxResidual}} {
			if math.Abs(pair[0]-pair[1]) > 1e-9 {
				t.Errorf("%s: %+v, not %+v", c.name, got, c.want)
			}
		}
		if got.Points != c.want.Points {
			t.Errorf("%s: %d points", c.name, got.Points)
		}
	}
	for name, c := range map[string][2][]float64{"one point": {{1}, {1}}, "same x": {{2, 2}, {1, 3}}, "unequal": {{1, 2}, {1}}} {
		if _, err := FitLine(c[0], c[1]); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
}

func TestQuantile(t *testing.T) {
	x := []float64{1, 2, 3, 4}
	if a, b, c := quantile(x, 0.5), quantile(x, 1), quantile(x, 0); a != 2 || b != 4 || c != 1 {
		t.Error(a, b, c)
	}
	if !math.IsNaN(quantile(nil, 0.5)) {
		t.Error("quantile of no values")
	}
}
