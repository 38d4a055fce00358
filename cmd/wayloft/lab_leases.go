package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"wayloft/internal/lab/fleet"
	"wayloft/internal/lab/fleet/simulation"
)

type labOwnersCmd struct {
	Plays   int           `help:"How often each thing that takes an owner away is played." default:"10"`
	Session time.Duration `help:"Length of a session." default:"2s"`
	During  time.Duration `help:"Length of each look at cost and service." default:"8s"`
}

// Run prints what owners cost and save, all in one run.
func (c *labOwnersCmd) Run() error {
	binary, err := os.Executable()
	if err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "wayloft-owners-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	at := 0
	next := func() string { at++; return filepath.Join(dir, strconv.Itoa(at)) }

	fmt.Printf("ms without an owner, a session of %s, %d plays each: median, worst\n", c.Session, c.Plays)
	if err := fleet.MeasureLeaseGaps(binary, next(), c.Plays, c.Session, func(name string, s *hdrhistogram.Histogram) {
		fmt.Printf("  %-32s %6d %6d\n", name, s.ValueAtQuantile(50), s.Max())
	}); err != nil {
		return err
	}
	fmt.Println("council of three, by sessions: CPU s/s, bytes/s, beats/s, sessions lost")
	for _, n := range []int{10, 100, 600} {
		cost, err := fleet.MeasureCoordinatorCost(binary, next(), n, c.Session, c.During)
		if err != nil {
			return err
		}
		fmt.Printf("  %4d %8.3f %10.0f %8.1f %3d\n", n, cost.CPU, cost.Bytes, cost.Heartbeats, cost.LostSessions)
	}
	fmt.Println("checks, stepped: routers, checks a txn without and with sight, p99 age of positions in ms without and with, reads at the primary in % without and with")
	for _, n := range []int{8, 40, 600} {
		without, with := simulation.RunHealthSharing(n, 0, 1), simulation.RunHealthSharing(n, 250, 1)
		fmt.Printf("  %4d %8.3f %8.3f %8.0f %8.0f %6.1f %6.1f\n", n, without.ChecksPerRequest, with.ChecksPerRequest, without.PositionAgeMs, with.PositionAgeMs, 100*without.PrimaryShare, 100*with.PrimaryShare)
	}
	fmt.Println("service of three routers, twelve writers: writes/s, declined/s, p50 ms, p99 ms")
	for range 2 {
		for _, s := range []struct {
			name  string
			alone bool
			do    func(*fleet.Fleet, <-chan struct{})
		}{{"no fleet", true, nil}, {"council there", false, nil}, {"council killed", false, fleet.KillCoordinators}, {"council flaps", false, fleet.PauseCoordinators}} {
			got, err := fleet.Serve(binary, next(), s.alone, c.During, s.do)
			if err != nil {
				return err
			}
			fmt.Printf("  %-16s %8.0f %6.1f %6.2f %6.2f\n", s.name, got.Rate, got.Declined, got.P50, got.P99)
		}
	}
	return nil
}
