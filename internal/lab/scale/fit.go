package scale

import (
	"errors"
	"fmt"
	"math"
)

// Fit is a least-squares line through measured points.
type Fit struct {
	Slope          float64 `json:"slope"`
	Intercept      float64 `json:"intercept"`
	SlopeError     float64 `json:"slope_error"` // standard error of the slope; 0 for two points
	ResidualStdDev float64 `json:"residual"`    // standard deviation of the residuals; 0 for two points
	MaxResidual    float64 `json:"worst"`       // largest absolute residual
	Points         int     `json:"points"`
}

// errSameX reports points that all have the same x, which have no least-squares line.
var errSameX = errors.New("fit a line: all points have the same x")

// FitLine fits a line to y as a function of x. It needs at least two points with different x.
func FitLine(x, y []float64) (Fit, error) {
	if len(x) != len(y) || len(x) < 2 {
		return Fit{}, fmt.Errorf("fit a line: %d values of x, %d of y", len(x), len(y))
	}
	count := float64(len(x))
	var meanX, meanY, sumXX, sumXY float64
	for i := range x {
		meanX += x[i] / count
		meanY += y[i] / count
	}
	for i := range x {
		sumXX += (x[i] - meanX) * (x[i] - meanX)
		sumXY += (x[i] - meanX) * (y[i] - meanY)
	}
	if sumXX == 0 {
		return Fit{}, errSameX
	}
	fit := Fit{Slope: sumXY / sumXX, Points: len(x)}
	fit.Intercept = meanY - fit.Slope*meanX
	var squares float64
	for i := range x {
		distance := y[i] - fit.Intercept - fit.Slope*x[i]
		squares += distance * distance
		fit.MaxResidual = math.Max(fit.MaxResidual, math.Abs(distance))
	}
	if len(x) > 2 {
		fit.ResidualStdDev = math.Sqrt(squares / (count - 2))
		fit.SlopeError = fit.ResidualStdDev / math.Sqrt(sumXX)
	}
	return fit, nil
}

// quantile returns a quantile of sorted values by the nearest-rank method, or NaN if there are no values.
func quantile(sorted []float64, part float64) float64 {
	if len(sorted) == 0 {
		return math.NaN()
	}
	rank := int(math.Ceil(part * float64(len(sorted))))
	return sorted[min(len(sorted)-1, max(0, rank-1))]
}

// meanAndSpread returns the mean of values and half of their range.
func meanAndSpread(values []float64) (mean, spread float64) {
	least, most := values[0], values[0]
	for _, v := range values {
		mean += v / float64(len(values))
		least, most = min(least, v), max(most, v)
	}
	return mean, (most - least) / 2
}
