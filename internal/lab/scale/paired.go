package scale

import (
	"errors"
	"fmt"
	"io"
	"path/filepath"
	"strings"
)

// PairResult compares the cost of the coordinator with hollow routers to that with the same number of real routers.
type PairResult struct {
	Routers     int                   `json:"routers"`
	Repetitions int                   `json:"plays"`
	Hollow      [][]float64           `json:"hollow"` // by figure, in the order of pairFigures: a value for each repetition
	Real        [][]float64           `json:"real"`
	Own         map[string][2]float64 `json:"own"` // by figure: the cost of a hollow and of a real router, in the last repetition
}

// pairFigures are the figures of the coordinator that are compared.
var pairFigures = []string{"coordinator cpu_percent", "coordinator bytes_per_s with routers", "coordinator messages_per_s with routers"}

// MeasurePair measures an installation of hollow routers and one of real routers alternately, repetitions times each.
func MeasurePair(options Options, repetitions int) (*PairResult, error) {
	if options.RealRouters > 0 && options.Routers > 0 && options.RealRouters != options.Routers {
		return nil, errors.New("--paired: --routers says how many of each kind, --real must not be given")
	}
	options.Holders = 0
	hollowOptions, realOptions := options, options
	hollowOptions.RealRouters = 0
	realOptions.Routers, realOptions.RealRouters = 0, options.Routers
	for _, o := range []Options{hollowOptions, realOptions} {
		if err := o.Check(); err != nil {
			return nil, err
		}
	}
	result := &PairResult{Routers: options.Routers, Repetitions: repetitions, Own: map[string][2]float64{},
		Hollow: make([][]float64, len(pairFigures)), Real: make([][]float64, len(pairFigures))}
	for repetition := range repetitions {
		for kind, o := range []Options{hollowOptions, realOptions} {
			o.Dir = filepath.Join(options.Dir, fmt.Sprint("pair-", repetition, "-", kind))
			values, own, err := measureCoordinatorCost(o)
			if err != nil {
				return nil, err
			}
			result.add(kind, values, own)
		}
	}
	return result, nil
}

// add adds the figures of a repetition; kind is 0 for hollow routers and 1 for real ones.
func (p *PairResult) add(kind int, values []float64, own Row) {
	repetitions := [][][]float64{p.Hollow, p.Real}[kind]
	for n, value := range values {
		repetitions[n] = append(repetitions[n], value)
	}
	for _, figure := range figures {
		pair := p.Own[figure.name]
		pair[kind] = figure.value(own)
		p.Own[figure.name] = pair
	}
}

// measureCoordinatorCost returns the cost of the coordinator, in the order of pairFigures, and the routers' own row.
func measureCoordinatorCost(options Options) (values []float64, own Row, err error) {
	in, err := Start(options)
	if err != nil {
		return nil, own, err
	}
	defer in.Close()
	i, _, err := in.measureUndisturbed()
	if err != nil {
		return nil, own, err
	}
	for _, row := range in.rows(i) {
		if row.Role == roleHollowRouter || row.Role == roleRealRouter {
			own = row
		}
	}
	routers := append(childPids(in.routers), processPids(in.realRouters())...)
	sessions := i.trafficTo(routers, in.coordinatorPorts())
	return []float64{
		i.cpuPercent(processPids(in.coordinatorNodes())...),
		float64(sessions.bytes()) / i.seconds,
		float64(sessions.segments()) / i.seconds,
	}, own, nil
}

// Difference returns the relative difference of a figure with hollow routers to that with real ones.
func (p *PairResult) Difference(figure int) float64 {
	hollow, _ := meanAndSpread(p.Hollow[figure])
	actual, _ := meanAndSpread(p.Real[figure])
	return (hollow - actual) / actual
}

// Print writes the result as a table.
func (p *PairResult) Print(w io.Writer) {
	printText(w, fmt.Sprintf("%d hollow against %d real routers, %d repetitions of each: mean ± half of the range\n", p.Routers, p.Routers, p.Repetitions))
	var table strings.Builder
	table.WriteString("figure\thollow\treal\tdifference\n")
	for n, name := range pairFigures {
		hollow, hollowSpread := meanAndSpread(p.Hollow[n])
		actual, actualSpread := meanAndSpread(p.Real[n])
		fmt.Fprintf(&table, "%s\t%.4g ± %.2g\t%.4g ± %.2g\t%+.1f%%\n", name, hollow, hollowSpread, actual, actualSpread, 100*p.Difference(n))
	}
	for _, figure := range figures {
		own := p.Own[figure.name]
		fmt.Fprintf(&table, "%s per router (last repetition)\t%.4g\t%.4g\t\n", figure.name, own[0], own[1])
	}
	printText(w, alignColumns(table.String()))
}
