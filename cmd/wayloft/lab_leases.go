package main

import (
	"errors"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"wayloft/internal/lab/fleet"
	"wayloft/internal/lab/fleet/simulation"
)

type labLeasesCmd struct {
	Repetitions    int           `name:"plays" help:"Repetitions of each event that costs a holder its lease." default:"10"`
	SessionTimeout time.Duration `name:"session" help:"Session timeout." default:"2s"`
	SampleDuration time.Duration `name:"during" help:"Duration of each sample of coordinator cost and of writes." default:"8s"`
}

// sharedCheckPeriodMs is the interval of shared health checks of a member in the simulation.
const sharedCheckPeriodMs = 250

// Help implements kong.HelpProvider.
func (*labLeasesCmd) Help() string { return "Example: wayloft lab leases --plays 3 --during 4s" }

// Run makes all measurements in one run and prints them.
func (c *labLeasesCmd) Run(out *printer) (err error) {
	binary, err := os.Executable()
	if err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "wayloft-leases-")
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, os.RemoveAll(dir)) }()
	runs := &runDirs{binary: binary, dir: dir}
	if err := c.printLeaseGaps(out, runs); err != nil {
		return err
	}
	if err := c.printCoordinatorCost(out, runs); err != nil {
		return err
	}
	printHealthCheckCost(out)
	return c.printServiceImpact(out, runs)
}

// runDirs provides each fleet of a command with its own directory.
type runDirs struct {
	binary string
	dir    string
	count  int
}

func (r *runDirs) next() string {
	r.count++
	return filepath.Join(r.dir, strconv.Itoa(r.count))
}

func (c *labLeasesCmd) printLeaseGaps(out *printer, runs *runDirs) error {
	out.printf("ms without a lease holder, session timeout %s, %d repetitions each: median, max\n", c.SessionTimeout, c.Repetitions)
	return fleet.MeasureLeaseGaps(runs.binary, runs.next(), c.Repetitions, c.SessionTimeout, func(name string, gaps *hdrhistogram.Histogram) {
		out.printf("  %-32s %6d %6d\n", name, gaps.ValueAtQuantile(50), gaps.Max())
	})
}

func (c *labLeasesCmd) printCoordinatorCost(out *printer, runs *runDirs) error {
	out.println("three coordinator nodes, by number of sessions: CPU s/s, bytes/s, heartbeats/s, sessions lost")
	for _, sessions := range []int{10, 100, 600} {
		cost, err := fleet.MeasureCoordinatorCost(runs.binary, runs.next(), sessions, c.SessionTimeout, c.SampleDuration)
		if err != nil {
			return err
		}
		out.printf("  %4d %8.3f %10.0f %8.1f %3d\n", sessions, cost.CPU, cost.Bytes, cost.Heartbeats, cost.LostSessions)
	}
	return nil
}

func printHealthCheckCost(out *printer) {
	out.println("health checks, simulated: routers, checks per request without and with health sharing, p99 age of positions in ms without and with, " +
		"reads at the primary in % without and with")
	for _, routers := range []int{8, 40, 600} {
		without := simulation.RunHealthSharing(routers, 0, 1)
		with := simulation.RunHealthSharing(routers, sharedCheckPeriodMs, 1)
		out.printf("  %4d %8.3f %8.3f %8.0f %8.0f %6.1f %6.1f\n", routers, without.ChecksPerRequest, with.ChecksPerRequest,
			without.PositionAgeMs, with.PositionAgeMs, 100*without.PrimaryShare, 100*with.PrimaryShare)
	}
}

func (c *labLeasesCmd) printServiceImpact(out *printer, runs *runDirs) error {
	out.println("three routers, twelve writers: writes/s, rejected/s, p50 ms, p99 ms")
	for range 2 {
		for _, event := range []struct {
			name       string
			standalone bool
			do         func(*fleet.Fleet, <-chan struct{})
		}{
			{"no coordinator", true, nil},
			{"coordinator up", false, nil},
			{"coordinator killed", false, fleet.KillCoordinators},
			{"coordinator pauses", false, fleet.PauseCoordinators},
		} {
			got, err := fleet.MeasureService(runs.binary, runs.next(), event.standalone, c.SampleDuration, event.do)
			if err != nil {
				return err
			}
			out.printf("  %-18s %8.0f %6.1f %6.2f %6.2f\n", event.name, got.Rate, got.Rejected, got.P50, got.P99)
		}
	}
	return nil
}
