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

type labSizeCmd struct {
	Routers int           `help:"Hollow routers." default:"60"`
	Real    int           `help:"Real routers among them." default:"3"`
	Members int           `help:"Hollow databases." default:"100"`
	Group   int           `help:"Databases of one group." default:"5"`
	Owners  int           `help:"Owners of sight, one group each; 0: none." default:"1"`
	Sight   time.Duration `help:"Between two looks of an owner at a database." default:"250ms"`
	Session time.Duration `help:"Length of a router's session with the council." default:"2s"`
	Pace    time.Duration `help:"Between the starts of two routers; 0: by how much each asks of the council." default:"0s"`
	For     time.Duration `help:"Length of each look." default:"10s"`
	Sweep   bool          `help:"One size after the other, up to --routers, and a line through each figure." xor:"what"`
	Sizes   []int         `help:"Hollow routers of each size of the sweep." placeholder:"N,..."`
	Paired  bool          `help:"What hollow routers cost the council beside as many real ones." xor:"what"`
	Plays   int           `help:"Of each kind, with --paired." default:"3"`
	Event   string        `help:"Have one happen, and tell when it was known everywhere: restart-zone, cut-regions, change, primary." xor:"what"`
	JSON    bool          `help:"As JSON."`
	Dir     string        `help:"Folder for settings, logs and what the council stores; a temporary one if not given." type:"path"`
}

func (c *labSizeCmd) options() (o scale.Options, err error) {
	o = scale.Options{Dir: c.Dir, Routers: c.Routers, RealRouters: c.Real, Members: c.Members, GroupSize: c.Group, Holders: c.Owners, HealthShareInterval: c.Sight, SampleDuration: c.For,
		SessionTimeout: c.Session, StartInterval: c.Pace, Progress: func(text string) { logrus.Info(text) }}
	switch {
	case len(c.Sizes) > 0 && !c.Sweep:
		return o, errors.New("--sizes: goes with --sweep")
	case c.Plays < 1 || c.Plays > 100:
		return o, fmt.Errorf("--plays: from 1 to 100, not %d", c.Plays)
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

func (c *labSizeCmd) Run() error {
	o, err := c.options()
	if err != nil {
		return err
	}
	if o.Dir == "" {
		if o.Dir, err = os.MkdirTemp("", "wayloft-size-"); err != nil {
			return err
		}
		defer os.RemoveAll(o.Dir)
	}
	stop := make(chan struct{})
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-signals
		close(stop)
	}()
	o.Stop = stop
	switch {
	case c.Sweep:
		sizes := c.Sizes
		if len(sizes) == 0 {
			sizes = scale.SweepSizes(c.Routers)
		}
		s, err := scale.Sweep(o, sizes, func(r *scale.Report) {
			if !c.JSON {
				c.print(r)
			}
		})
		if s == nil {
			return err
		}
		return errors.Join(c.write(s, func(w io.Writer) { scale.PrintSlopes(w, s.Slopes) }), err) // what ran is told, whatever became of the rest
	case c.Paired:
		p, err := scale.MeasurePair(o, c.Plays)
		if err != nil {
			return err
		}
		return c.write(p, p.Print)
	case c.Event != "":
		h, err := scale.RunEvent(c.Event, o)
		if err != nil {
			return err
		}
		return c.write(h, h.Print)
	}
	r, err := scale.Measure(o)
	if err != nil {
		return err
	}
	return c.write(r, func(io.Writer) { c.print(r) })
}

// write prints what was measured, as the flag says.
func (c *labSizeCmd) write(v any, table func(io.Writer)) error {
	if c.JSON {
		return json.NewEncoder(os.Stdout).Encode(v)
	}
	table(os.Stdout)
	return nil
}

func (c *labSizeCmd) print(r *scale.Report) {
	fmt.Printf("%d hollow and %d real routers, %d databases in %d groups; settled after %.1f s, looked at for %.1f s, %d looks spoilt\n", r.Routers, r.RealRouters, r.Members,
		r.Groups, r.StartS, r.Seconds, r.DiscardedSamples)
	scale.PrintRows(os.Stdout, r.Rows)
}

type labHollowCmd struct{}

func (labHollowCmd) Run() error { return scale.RunHollow(os.Stdin, os.Stdout) }
