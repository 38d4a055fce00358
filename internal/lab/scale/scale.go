// Package scale measures the cost of each role of an installation of a given size, on one machine. It starts the real coordinator and
// some real routers as processes of the program, and simulates the rest: hollow routers, hollow databases and a discovery service, with
// many routers or databases in one process. Hollow routers run the real session, watch, lease client, endpoint list and health sharing
// code over real sockets, but serve no clients.
//
// `wayloft lab scale` calls Measure, Sweep, MeasurePair and RunEvent; its child processes call RunHollow. Costs are read from the
// kernel, and message counts from the gRPC codec, so that the measured code runs unchanged. An Installation owns the processes that
// it started and stops all of them in Close. Options.Check limits the size of an installation before anything is started. Routers don't
// use this package.
package scale

import (
	"errors"
	"fmt"
	"time"

	"wayloft/internal/decide/leaseclient"
)

// Limits of an installation.
const (
	zones                = 8 // each has a process for its hollow routers and one for its databases
	coordinators         = 3
	maxProcesses         = 300
	maxMemoryMiB         = 12 << 10
	maxRouters           = 2000 // hollow ones
	maxMembers           = 4000
	maxHolders           = 64
	maxGroupSize         = 1000
	maxSampleDuration    = time.Hour
	minSessionTimeout    = 200 * time.Millisecond
	maxSessionTimeout    = time.Minute
	maxStartInterval     = 10 * time.Second
	minHealthSharePeriod = 10 * time.Millisecond
	maxHealthSharePeriod = time.Minute
)

// Upper estimates of memory use, for Options.Memory.
const (
	coordinatorMiB       = 300
	realRouterMiB        = 100
	hollowProcessMiB     = 40
	hollowRouterMiB      = 6
	memberKiB            = 512
	discoveryKiB         = 512 // per watch
	healthShareReportKiB = 256 // per holder and router that it notifies
)

// Limits on the load that starting routers put on the coordinator. They are several times below its capacity, since calls whose response
// is late are repeated.
const (
	maxStartCallsPerSecond = 2500 // each router opens a session and queries the latest tokens of each group's leases
	// Each start is announced to all other routers.
	maxStartAnnouncementsPerSecond = 5000
	leasesPerGroup                 = 2
)

var errInterrupted = errors.New("interrupted")

// Options configure an installation.
type Options struct {
	Binary              string // path of the wayloft program
	Dir                 string // for settings, logs and the coordinator's data
	Routers             int    // hollow
	RealRouters         int    // each in its own process
	Members             int    // hollow databases
	GroupSize           int    // members of a group
	Holders             int    // of health-share leases, each for one group; 0: health sharing is not measured
	HealthShareInterval time.Duration
	SampleDuration      time.Duration
	SessionTimeout      time.Duration // of routers with the coordinator
	StartInterval       time.Duration // delay between the starts of two routers; 0: derived from the coordinator's capacity
	Regions             bool          // two regions; connections to coordinator nodes of the other region go through links that can be cut
	Progress            func(string)  // receives progress messages; may be nil
	Stop                <-chan struct{}
}

// Check validates the options. Its errors name the command-line flag that sets the invalid option.
func (o Options) Check() error {
	if err := errors.Join(
		checkRange("routers", o.Routers, 0, maxRouters),
		checkRange("real", o.RealRouters, 0, maxProcesses),
		checkRange("members", o.Members, 1, maxMembers),
		checkRange("group", o.GroupSize, 1, maxGroupSize),
		checkRange("owners", o.Holders, 0, maxHolders),
		checkRange("for", o.SampleDuration, time.Second, maxSampleDuration),
		checkRange("session", o.SessionTimeout, minSessionTimeout, maxSessionTimeout),
		checkRange("pace", o.StartInterval, 0, maxStartInterval),
	); err != nil {
		return err
	}
	if o.Routers+o.RealRouters == 0 {
		return errors.New("--routers, --real: one router at least, of either kind")
	}
	if o.Holders > 0 {
		if err := checkRange("sight", o.HealthShareInterval, minHealthSharePeriod, maxHealthSharePeriod); err != nil {
			return err
		}
	}
	if groups := o.groups(); o.Holders > groups {
		return fmt.Errorf("--owners: %d, but there are %d groups", o.Holders, groups)
	}
	if n := o.Processes(); n > maxProcesses {
		return fmt.Errorf("--real: %d processes in all, %d at most", n, maxProcesses)
	}
	if mib := o.Memory(); mib > maxMemoryMiB {
		return fmt.Errorf("--routers, --real, --members: would take %d MiB, %d at most", mib, maxMemoryMiB)
	}
	return nil
}

func checkRange[T int | time.Duration](flag string, value, lowest, highest T) error {
	if value < lowest || value > highest {
		return fmt.Errorf("--%s: from %v to %v, not %v", flag, lowest, highest, value)
	}
	return nil
}

// Processes returns the number of processes of the installation, including this one.
func (o Options) Processes() int {
	const thisAndDiscovery = 2
	return thisAndDiscovery + coordinators + min(zones, o.Routers) + min(zones, o.Members) + o.RealRouters + o.Holders
}

// Memory returns an upper estimate of the installation's memory use in MiB.
func (o Options) Memory() int {
	kib := o.Members*memberKiB + (o.Routers+o.RealRouters+o.Holders)*discoveryKiB + o.Routers*o.Holders*healthShareReportKiB
	return coordinators*coordinatorMiB + o.RealRouters*realRouterMiB + o.Processes()*hollowProcessMiB + o.Routers*hollowRouterMiB + kib>>10
}

func (o Options) groups() int { return (o.Members + o.GroupSize - 1) / o.GroupSize }

// tokenQueries returns how many calls a starting router needs to query the latest tokens of all leases.
func (o Options) tokenQueries() int {
	return (leasesPerGroup*o.groups() + leaseclient.MaxTokenQuery - 1) / leaseclient.MaxTokenQuery
}

// startInterval returns the delay between the starts of two routers.
func (o Options) startInterval() time.Duration {
	if o.StartInterval > 0 {
		return o.StartInterval
	}
	forCalls := time.Duration(1+o.tokenQueries()) * time.Second / maxStartCallsPerSecond
	forAnnouncements := time.Duration(o.Routers+o.RealRouters) * time.Second / maxStartAnnouncementsPerSecond
	return max(forCalls, forAnnouncements)
}

// wait waits for a duration. It returns errInterrupted if Stop is closed before.
func (o Options) wait(duration time.Duration) error {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-o.Stop:
		return errInterrupted
	}
}

// zoneOf returns the zone of the n-th of count units.
func zoneOf(n, count int) int { return n * zones / max(count, 1) }

// zoneShare returns the units of a zone, out of count: those from first to end-1.
func zoneShare(zone, count int) (first, end int) {
	for first < count && zoneOf(first, count) < zone {
		first++
	}
	for end = first; end < count && zoneOf(end, count) == zone; end++ {
	}
	return first, end
}
