package scale

import (
	"errors"
	"fmt"
	"io"
	"path/filepath"
	"slices"
	"strings"
)

// minSizes is the minimum number of sizes for a fit: a line through two points has no residual to judge linearity by.
const minSizes = 3

// Slope is the linear fit of a role's figure to the number of routers.
type Slope struct {
	Role   string    `json:"role"`
	Figure string    `json:"figure"`
	Fit    Fit       `json:"fit"`
	X      []float64 `json:"routers"` // number of hollow and real routers
	Y      []float64 `json:"values"`
}

// SweepResult is the result of Sweep.
type SweepResult struct {
	Reports []*Report `json:"reports"`
	Slopes  []Slope   `json:"slopes"`
	Failed  string    `json:"failed,omitempty"` // the size at which the sweep failed, and the error
}

// SweepSizes returns the default sizes of a sweep: an eighth, a quarter, half and all of the routers, without duplicates.
func SweepSizes(routers int) (sizes []int) {
	for _, part := range []int{8, 4, 2, 1} {
		if n := max(1, routers/part); !slices.Contains(sizes, n) {
			sizes = append(sizes, n)
		}
	}
	return sizes
}

// Sweep measures installations of the given sizes one after the other and passes each report to onReport. If one fails, the result has
// the reports before it, and the fits if there are enough reports.
func Sweep(options Options, sizes []int, onReport func(*Report)) (*SweepResult, error) {
	if len(sizes) < minSizes {
		return nil, fmt.Errorf("--sizes: %d at least, not %d", minSizes, len(sizes))
	}
	for _, routers := range sizes {
		options.Routers = routers
		if err := options.Check(); err != nil {
			return nil, err
		}
	}
	result := &SweepResult{}
	for n, routers := range sizes {
		sized := options
		sized.Routers, sized.Dir = routers, filepath.Join(options.Dir, fmt.Sprint("size-", n))
		report, err := Measure(sized)
		if err != nil {
			return result, result.fail(routers, err)
		}
		if onReport != nil {
			onReport(report)
		}
		result.Reports = append(result.Reports, report)
	}
	return result, result.fit()
}

// fail records the size that failed, and fits lines to the earlier reports if there are enough.
func (s *SweepResult) fail(routers int, cause error) error {
	failure := fmt.Errorf("%d routers: %w", routers, cause)
	s.Failed = failure.Error()
	if len(s.Reports) < minSizes {
		return failure
	}
	return errors.Join(failure, s.fit())
}

// figures are the figures of a row that lines are fitted to.
var figures = []struct {
	name  string
	value func(Row) float64
}{
	{"cpu_percent", func(r Row) float64 { return r.CPU }},
	{"bytes_per_s", func(r Row) float64 { return r.Bytes }},
	{"messages_per_s", func(r Row) float64 { return r.Messages }},
	{"memory_mb", func(r Row) float64 { return r.Memory }},
}

// fit fits a line to each figure of each role that is in all reports.
func (s *SweepResult) fit() error {
	for n, first := range s.Reports[0].Rows {
		for _, figure := range figures {
			slope := Slope{Role: first.Role, Figure: figure.name}
			for _, report := range s.Reports {
				if n < len(report.Rows) && report.Rows[n].Role == first.Role {
					slope.X = append(slope.X, float64(report.Routers+report.RealRouters))
					slope.Y = append(slope.Y, figure.value(report.Rows[n]))
				}
			}
			if len(slope.X) < len(s.Reports) {
				continue
			}
			var err error
			if slope.Fit, err = FitLine(slope.X, slope.Y); err != nil {
				return err
			}
			s.Slopes = append(s.Slopes, slope)
		}
	}
	return nil
}

// PrintSlopes writes slopes as a table.
func PrintSlopes(w io.Writer, slopes []Slope) {
	var table strings.Builder
	table.WriteString("role\tfigure\tintercept\tslope per router\tslope error\tresidual\tworst\tpoints\n")
	for _, s := range slopes {
		fmt.Fprintf(&table, "%s\t%s\t%.4g\t%.4g\t%.2g\t%.2g\t%.2g\t%d\n",
			s.Role, s.Figure, s.Fit.Intercept, s.Fit.Slope, s.Fit.SlopeError, s.Fit.ResidualStdDev, s.Fit.MaxResidual, s.Fit.Points)
	}
	printText(w, alignColumns(table.String()))
}
