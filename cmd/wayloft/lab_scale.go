package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"wayloft/internal/lab/scale"
)

type labScaleCmd struct {
	Routers             int           `help:"Number of hollow routers." default:"60"`
	RealRouters         int           `name:"real" help:"Number of real routers, in addition." default:"3"`
	Members             int           `help:"Number of hollow databases." default:"100"`
	GroupSize           int           `name:"group" help:"Databases per group." default:"5"`
	Holders             int           `name:"owners" aliases:"holders" help:"Number of health-share lease holders, one group each; 0: none." default:"1"`
	HealthShareInterval time.Duration `name:"sight" aliases:"health-share-interval" help:"Interval of shared health checks of a database." default:"250ms"`
	SessionTimeout      time.Duration `name:"session" help:"Timeout of router sessions with the coordinator." default:"2s"`
	StartInterval       time.Duration `name:"pace" help:"Interval between router starts; 0: paced by the load that a start puts on the coordinator." default:"0s"`
	SampleDuration      time.Duration `name:"for" help:"Duration of each sample." default:"10s"`
	Sweep               bool          `help:"Measure several sizes, up to --routers, and fit a line to each figure." xor:"what"`
	Sizes               []int         `help:"Numbers of hollow routers in the sweep." placeholder:"N,..."`
	Paired              bool          `help:"Compare the coordinator's cost of hollow routers with that of as many real ones." xor:"what"`
	Repetitions         int           `name:"plays" help:"Repetitions of each kind, with --paired." default:"3"`
	Event               string        `help:"Run one event and print how long it took to reach all processes: restart-zone, cut-regions, change, primary." xor:"what"`
	JSON                bool          `help:"Print JSON."`
	Dir                 string        `help:"Directory for settings, logs and the coordinator's data; by default a temporary one." type:"path"`
}

// maxRepetitions limits --plays.
const maxRepetitions = 100

var errSizesWithoutSweep = errors.New("--sizes requires --sweep")

// Help implements kong.HelpProvider.
func (*labScaleCmd) Help() string { return "Example: wayloft lab scale --routers 60 --sweep" }

func (c *labScaleCmd) Run(out *printer) (err error) {
	o, err := c.options()
	if err != nil {
		return err
	}
	if o.Dir == "" {
		if o.Dir, err = os.MkdirTemp("", "wayloft-scale-"); err != nil {
			return err
		}
		defer func() { err = errors.Join(err, os.RemoveAll(o.Dir)) }()
	}
	o.Stop = stopOnSignal()
	switch {
	case c.Sweep:
		return c.sweep(out, o)
	case c.Paired:
		return c.measurePair(out, o)
	case c.Event != "":
		return c.runEvent(out, o)
	}
	return c.measure(out, o)
}

func (c *labScaleCmd) options() (o scale.Options, err error) {
	switch {
	case len(c.Sizes) > 0 && !c.Sweep:
		return o, errSizesWithoutSweep
	case c.Repetitions < 1 || c.Repetitions > maxRepetitions:
		return o, fmt.Errorf("--plays: must be from 1 to %d, not %d", maxRepetitions, c.Repetitions)
	}
	o = scale.Options{
		Dir:                 c.Dir,
		Routers:             c.Routers,
		RealRouters:         c.RealRouters,
		Members:             c.Members,
		GroupSize:           c.GroupSize,
		Holders:             c.Holders,
		HealthShareInterval: c.HealthShareInterval,
		SampleDuration:      c.SampleDuration,
		SessionTimeout:      c.SessionTimeout,
		StartInterval:       c.StartInterval,
		Progress:            func(text string) { logrus.Info(text) },
	}
	if c.Paired {
		o.RealRouters = 0
	}
	if err := o.Check(); err != nil {
		return o, err
	}
	o.Binary, err = os.Executable()
	return o, err
}

// stopOnSignal returns a channel that is closed on SIGTERM or an interrupt.
func stopOnSignal() <-chan struct{} {
	stop := make(chan struct{})
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-signals
		close(stop)
	}()
	return stop
}

func (c *labScaleCmd) sweep(out *printer, o scale.Options) error {
	sizes := c.Sizes
	if len(sizes) == 0 {
		sizes = scale.SweepSizes(c.Routers)
	}
	result, err := scale.Sweep(o, sizes, func(r *scale.Report) {
		if !c.JSON {
			printScaleReport(out, r)
		}
	})
	if result == nil {
		return err
	}
	// Sizes that were measured before a failure are still printed.
	return errors.Join(c.printResult(out, result, func(w io.Writer) { scale.PrintSlopes(w, result.Slopes) }), err)
}

func (c *labScaleCmd) measurePair(out *printer, o scale.Options) error {
	result, err := scale.MeasurePair(o, c.Repetitions)
	if err != nil {
		return err
	}
	return c.printResult(out, result, result.Print)
}

func (c *labScaleCmd) runEvent(out *printer, o scale.Options) error {
	result, err := scale.RunEvent(c.Event, o)
	if err != nil {
		return err
	}
	return c.printResult(out, result, result.Print)
}

func (c *labScaleCmd) measure(out *printer, o scale.Options) error {
	report, err := scale.Measure(o)
	if err != nil {
		return err
	}
	return c.printResult(out, report, func(io.Writer) { printScaleReport(out, report) })
}

// printResult prints a result as JSON with --json, otherwise as a table.
func (c *labScaleCmd) printResult(out *printer, result any, table func(io.Writer)) error {
	if c.JSON {
		return json.NewEncoder(out.out).Encode(result)
	}
	table(out.out)
	return nil
}

func printScaleReport(out *printer, r *scale.Report) {
	out.printf("%d hollow and %d real routers, %d databases in %d groups; settled after %.1f s, sampled for %.1f s, %d samples discarded\n",
		r.Routers, r.RealRouters, r.Members, r.Groups, r.StartS, r.Seconds, r.DiscardedSamples)
	scale.PrintRows(out.out, r.Rows)
}

type labHollowCmd struct{}

func (labHollowCmd) Run() error { return scale.RunHollow(os.Stdin, os.Stdout) }
