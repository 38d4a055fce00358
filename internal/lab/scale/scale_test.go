package scale

import (
	"strings"
	"testing"
	"time"
)

// Each unit is in exactly one zone, and zone sizes differ by at most one.
func TestZoneShare(t *testing.T) {
	for _, of := range []int{1, 3, 8, 76, 610, 820} {
		at, least, most := 0, of, 0
		for z := range zones {
			from, to := zoneShare(z, of)
			if from == to {
				least = 0
				continue
			}
			if from != at {
				t.Fatalf("%d: zone %d begins at %d, not %d", of, z, from, at)
			}
			at, least, most = to, min(least, to-from), max(most, to-from)
		}
		if at != of || most-least > 1 {
			t.Errorf("%d: %d in zones, from %d to %d each", of, at, least, most)
		}
	}
}

func validOptions() Options {
	return Options{Routers: 16, RealRouters: 1, Members: 16, GroupSize: 4, Holders: 1, HealthShareInterval: 250 * time.Millisecond, SampleDuration: time.Second, SessionTimeout: 12 * time.Second}
}

// Options out of bounds are rejected before anything is started, and the error names the flag.
func TestOptions_OutOfBounds(t *testing.T) {
	if err := validOptions().Check(); err != nil {
		t.Fatal(err)
	}
	for want, change := range map[string]func(*Options){
		"--routers: from 0 to 2000, not -1":           func(o *Options) { o.Routers = -1 },
		"--real: from 0 to 300, not 301":              func(o *Options) { o.RealRouters = 301 },
		"--members: from 1 to 4000, not 0":            func(o *Options) { o.Members = 0 },
		"--group: from 1 to 1000, not 0":              func(o *Options) { o.GroupSize = 0 },
		"--owners: from 0 to 64, not 65":              func(o *Options) { o.Holders = 65 },
		"--owners: 5, but there are 4 groups":         func(o *Options) { o.Holders = 5 },
		"--sight: from 10ms to 1m0s, not 0s":          func(o *Options) { o.HealthShareInterval = 0 },
		"--for: from 1s to 1h0m0s, not 10ms":          func(o *Options) { o.SampleDuration = 10 * time.Millisecond },
		"--session: from 200ms to 1m0s, not 2h0m0s":   func(o *Options) { o.SessionTimeout = 2 * time.Hour },
		"--pace: from 0s to 10s, not -1s":             func(o *Options) { o.StartInterval = -time.Second },
		"--routers, --real: one router at least":      func(o *Options) { o.Routers, o.RealRouters = 0, 0 },
		"--real: 321 processes in all, 300 at most":   func(o *Options) { o.RealRouters = 299 },
		"--routers, --real, --members: would take 15": func(o *Options) { o.Routers = 2000 },
		"--routers, --real, --members: would take 14": func(o *Options) { o.RealRouters, o.Members, o.Routers = 80, 4000, 0 },
	} {
		o := validOptions()
		change(&o)
		if err := o.Check(); err == nil || !strings.HasPrefix(err.Error(), want) {
			t.Errorf("%v, not %s", err, want)
		}
	}
	if _, err := RunEvent("nothing", validOptions()); err == nil || !strings.Contains(err.Error(), "--event: change, cut-regions, primary, restart-zone") {
		t.Error(err)
	}
	o := validOptions()
	o.Routers = 15
	if _, err := RunEvent("restart-zone", o); err == nil || !strings.Contains(err.Error(), "takes 16 hollow routers") {
		t.Error(err)
	}
	if _, err := Sweep(validOptions(), []int{1, 2}, nil); err == nil || !strings.HasPrefix(err.Error(), "--sizes: 3 at least") {
		t.Error(err)
	}
	if _, err := MeasurePair(validOptions(), 1); err == nil || !strings.HasPrefix(err.Error(), "--paired") {
		t.Error(err)
	}
	// The largest installation that is measured is within the limits.
	o = Options{Routers: 610, RealRouters: 10, Members: 820, GroupSize: 5, Holders: 1, HealthShareInterval: 250 * time.Millisecond, SampleDuration: 10 * time.Second, SessionTimeout: 2 * time.Second}
	if err := o.Check(); err != nil {
		t.Error(err)
	}
}
