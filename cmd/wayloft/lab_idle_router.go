package main

import (
	"fmt"
	"os"
	"slices"
	"time"

	"wayloft/internal/lab"
)

type labStillCmd struct {
	Members  []int         `help:"Members listed, one router after the other." default:"3,100,400,820"`
	Sessions []int         `help:"Sessions that rest, one router after the other, with as many members as --with." default:"0,1000,3500,7050"`
	With     int           `help:"Members while the sessions are varied." default:"3"`
	Fleet    []int         `help:"Members, each a group of its own, of a router that has a council." default:"3,100,400,820"`
	Looks    int           `help:"Looks at each." default:"3"`
	For      time.Duration `help:"Of one look." default:"10s"`
	Settle   time.Duration `help:"Until the first look." default:"3s"`
	Memory   string        `help:"The routers' limits.memory." default:"512MiB"`
	Program  string        `help:"The wayloft to be measured, if not this one." type:"existingfile" placeholder:"FILE"`
}

func (c *labStillCmd) Run() error {
	if c.Looks < 1 || c.For < time.Second || c.Settle < 0 || c.With < 0 {
		return fmt.Errorf("--looks of 1 and --for of 1s are the least, --settle and --with must not be negative")
	}
	for _, n := range slices.Concat(c.Members, c.Sessions, c.Fleet) {
		if n < 0 {
			return fmt.Errorf("%d: counts must not be negative", n)
		}
	}
	if c.Program == "" {
		self, err := os.Executable()
		if err != nil {
			return err
		}
		c.Program = self
	}
	sweep := func(name string, of []int, make func(n int) lab.IdleRouter) error {
		var cpu, mem line
		for _, n := range of {
			s := make(n)
			s.Program, s.Memory, s.SettleTime, s.SampleDuration, s.Samples = c.Program, c.Memory, c.Settle, c.For, c.Looks
			stood, err := s.Run()
			if err != nil {
				return fmt.Errorf("%s %d: %w", name, n, err)
			}
			fmt.Printf("%s %5d: cpu_percent", name, n)
			for _, x := range stood.CPU {
				fmt.Printf(" %6.3f", x)
				cpu.add(float64(n), x)
			}
			mem.add(float64(n), stood.Resident)
			fmt.Printf("  bytes_per_s %6.0f..%.0f  memory_mb %6.1f (peak %.1f)  descriptors %d\n", slices.Min(stood.Bytes), slices.Max(stood.Bytes),
				stood.Resident, stood.Peak, stood.Descriptors)
		}
		if len(of) > 1 {
			fmt.Printf("%s slopes: cpu_percent %s; memory_mb %s\n", name, cpu, mem)
		}
		return nil
	}
	if err := sweep("members ", c.Members, func(n int) lab.IdleRouter { return lab.IdleRouter{Members: n, Groups: (n + 3) / 4} }); err != nil {
		return err
	}
	if err := sweep("sessions", c.Sessions, func(n int) lab.IdleRouter { return lab.IdleRouter{Members: c.With, Groups: 1, Sessions: n} }); err != nil {
		return err
	}
	return sweep("fleet   ", c.Fleet, func(n int) lab.IdleRouter { return lab.IdleRouter{Members: n, Groups: n, Fleet: true} })
}

// line is the straight line through points by least squares.
type line struct{ n, x, y, xx, xy float64 }

func (l *line) add(x, y float64) {
	l.n, l.x, l.y, l.xx, l.xy = l.n+1, l.x+x, l.y+y, l.xx+x*x, l.xy+x*y
}

func (l line) String() string {
	slope := (l.n*l.xy - l.x*l.y) / (l.n*l.xx - l.x*l.x)
	return fmt.Sprintf("%.3f + %.3f a thousand", (l.y-slope*l.x)/l.n, slope*1000)
}
