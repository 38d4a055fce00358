package main

import (
	"errors"
	"fmt"
	"os"
	"slices"
	"time"

	"wayloft/internal/lab"
)

type labIdleRouterCmd struct {
	Members             []int         `help:"Numbers of listed members, each measured with a router of its own." default:"3,100,400,820"`
	Sessions            []int         `help:"Numbers of idle sessions, each measured with a router of its own and --with members." default:"0,1000,3500,7050"`
	SessionSweepMembers int           `name:"with" help:"Number of members in the --sessions measurements." default:"3"`
	Fleet               []int         `help:"Numbers of members, each a group of its own, of a router that uses a coordinator." default:"3,100,400,820"`
	Samples             int           `name:"looks" aliases:"samples" help:"Samples for each router." default:"3"`
	SampleDuration      time.Duration `name:"for" help:"Duration of one sample." default:"10s"`
	SettleTime          time.Duration `name:"settle" help:"Delay before the first sample." default:"3s"`
	Memory              string        `help:"Value of limits.memory of the routers." default:"512MiB"`
	Program             string        `help:"The wayloft binary to measure; by default this one." type:"existingfile" placeholder:"FILE"`
}

var errIdleRouterFlags = errors.New("--looks must be at least 1 and --for at least 1s; --settle and --with must not be negative")

// Help implements kong.HelpProvider.
func (*labIdleRouterCmd) Help() string {
	return "Example: wayloft lab idle-router --members 3,820 --sessions 0 --fleet 3"
}

func (c *labIdleRouterCmd) Run(out *printer) error {
	if err := c.validate(); err != nil {
		return err
	}
	if c.Program == "" {
		self, err := os.Executable()
		if err != nil {
			return err
		}
		c.Program = self
	}
	for _, sweep := range []struct {
		name   string
		sizes  []int
		router func(size int) lab.IdleRouter
	}{
		{"members ", c.Members, func(n int) lab.IdleRouter { return lab.IdleRouter{Members: n, Groups: (n + 3) / 4} }},
		{"sessions", c.Sessions, func(n int) lab.IdleRouter {
			return lab.IdleRouter{Members: c.SessionSweepMembers, Groups: 1, Sessions: n}
		}},
		{"fleet   ", c.Fleet, func(n int) lab.IdleRouter { return lab.IdleRouter{Members: n, Groups: n, Fleet: true} }},
	} {
		if err := c.sweep(out, sweep.name, sweep.sizes, sweep.router); err != nil {
			return err
		}
	}
	return nil
}

func (c *labIdleRouterCmd) validate() error {
	if c.Samples < 1 || c.SampleDuration < time.Second || c.SettleTime < 0 || c.SessionSweepMembers < 0 {
		return errIdleRouterFlags
	}
	for _, n := range slices.Concat(c.Members, c.Sessions, c.Fleet) {
		if n < 0 {
			return fmt.Errorf("%d: counts must not be negative", n)
		}
	}
	return nil
}

// sweep measures a router of each size and prints a line for each, then linear fits over all sizes.
func (c *labIdleRouterCmd) sweep(out *printer, name string, sizes []int, router func(size int) lab.IdleRouter) error {
	var cpu, memory linearFit
	for _, size := range sizes {
		r := router(size)
		r.Program, r.Memory, r.SettleTime, r.SampleDuration, r.Samples = c.Program, c.Memory, c.SettleTime, c.SampleDuration, c.Samples
		result, err := r.Run()
		if err != nil {
			return fmt.Errorf("%s %d: %w", name, size, err)
		}
		out.printf("%s %5d: cpu_percent", name, size)
		for _, percent := range result.CPU {
			out.printf(" %6.3f", percent)
			cpu.add(float64(size), percent)
		}
		memory.add(float64(size), result.Resident)
		out.printf("  bytes_per_s %6.0f..%.0f  memory_mb %6.1f (peak %.1f)  descriptors %d\n", slices.Min(result.Bytes), slices.Max(result.Bytes),
			result.Resident, result.Peak, result.Descriptors)
	}
	if len(sizes) > 1 {
		out.printf("%s slopes: cpu_percent %s; memory_mb %s\n", name, cpu, memory)
	}
	return nil
}

// linearFit accumulates the sums for a least-squares line through points.
type linearFit struct{ n, x, y, xx, xy float64 }

func (f *linearFit) add(x, y float64) {
	f.n++
	f.x += x
	f.y += y
	f.xx += x * x
	f.xy += x * y
}

// String returns the intercept and the slope per thousand.
func (f linearFit) String() string {
	slope := (f.n*f.xy - f.x*f.y) / (f.n*f.xx - f.x*f.x)
	return fmt.Sprintf("%.3f + %.3f per 1000", (f.y-slope*f.x)/f.n, slope*1000)
}
