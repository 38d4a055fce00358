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
	Routers             int           `help:"Hollow routers." default:"60"`
	RealRouters         int           `name:"real" help:"Real routers among them." default:"3"`
	Members             int           `help:"Hollow databases." default:"100"`
	GroupSize           int           `name:"group" help:"Databases of one group." default:"5"`
	Holders             int           `name:"owners" aliases:"holders" help:"Holders of health sharing leases, one group each; 0: none." default:"1"`
	HealthShareInterval time.Duration `name:"sight" aliases:"health-share-interval" help:"Between two shared health checks of a database." default:"250ms"`
	SessionTimeout      time.Duration `name:"session" help:"Timeout of a router's session with the coordinator." default:"2s"`
	StartInterval       time.Duration `name:"pace" help:"Between the starts of two routers; 0: by how much each asks of the coordinator." default:"0s"`
	SampleDuration      time.Duration `name:"for" help:"Length of each sample." default:"10s"`
	Sweep               bool          `help:"One size after the other, up to --routers, and a line through each figure." xor:"what"`
	Sizes               []int         `help:"Hollow routers of each size of the sweep." placeholder:"N,..."`
	Paired              bool          `help:"What hollow routers cost the coordinator beside as many real ones." xor:"what"`
	Repetitions         int           `name:"plays" help:"Of each kind, with --paired." default:"3"`
	Event               string        `help:"Have one happen, and tell when it was known everywhere: restart-zone, cut-regions, change, primary." xor:"what"`
	JSON                bool          `help:"As JSON."`
	Dir                 string        `help:"Directory for settings, logs and what the coordinator stores; a temporary one if not given." type:"path"`
}

// maxRepetitions limits --plays.
const maxRepetitions = 100

var errSizesWithoutSweep = errors.New("--sizes: goes with --sweep")

// Help gives an example.
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
		return o, fmt.Errorf("--plays: from 1 to %d, not %d", maxRepetitions, c.Repetitions)
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

// stopOnSignal gives a channel that is closed when the process is told to end.
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
	// What was measured is printed, whatever became of the rest.
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

// printResult gives a result as JSON or as a table, as the flag says.
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
