package scale

import (
	"fmt"
	"math"
)

// Fit is a straight line through measured points, by least squares.
type Fit struct {
	Slope     float64 `json:"slope"`
	Intercept float64 `json:"intercept"`
	Error     float64 `json:"slope_error"` // standard error of the slope; 0 where two points leave none
	Residual  float64 `json:"residual"`    // standard deviation of the points from the line
	Worst     float64 `json:"worst"`       // the largest distance of a point from it
	Points    int     `json:"points"`
}

// FitLine fits y over x. It takes two points at least, of different x.
func FitLine(x, y []float64) (Fit, error) {
	if len(x) != len(y) || len(x) < 2 {
		return Fit{}, fmt.Errorf("a line through %d and %d values", len(x), len(y))
	}
	n := float64(len(x))
	var mx, my, xx, xy float64
	for i := range x {
		mx += x[i] / n
		my += y[i] / n
	}
	for i := range x {
		xx += (x[i] - mx) * (x[i] - mx)
		xy += (x[i] - mx) * (y[i] - my)
	}
	if xx == 0 {
		return Fit{}, fmt.Errorf("a line through one place, %v", x[0])
	}
	f := Fit{Slope: xy / xx, Points: len(x)}
	f.Intercept = my - f.Slope*mx
	var left float64
	for i := range x {
		off := y[i] - f.Intercept - f.Slope*x[i]
		left += off * off
		f.Worst = math.Max(f.Worst, math.Abs(off))
	}
	if len(x) > 2 {
		f.Residual = math.Sqrt(left / (n - 2))
		f.Error = f.Residual / math.Sqrt(xx)
	}
	return f, nil
}

// quantile gives the value below which a part of sorted values lies; the nearest rank.
func quantile(sorted []float64, part float64) float64 {
	if len(sorted) == 0 {
		return math.NaN()
	}
	return sorted[min(len(sorted)-1, max(0, int(math.Ceil(part*float64(len(sorted))))-1))]
}
