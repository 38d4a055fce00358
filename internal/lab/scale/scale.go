// Package scale measures what each role of an installation costs at a size, on one machine. It starts the real coordinator and some
// real routers as processes of the program, and around them hollow routers, hollow databases and a discovery service, many to a
// process: these run the real session, watch, lease client, list and health sharing code over real sockets, without clients.
//
// `wayloft lab scale` calls Measure, Sweep, MeasurePair and RunEvent; its child processes call RunHollow. Costs are read from the
// kernel, and message counts from the gRPC codec, so that the measured code runs as it is. An Installation owns the processes that
// it started and ends all of them in Close. The package never exceeds the bounds that Options.Check sets, and no router uses it.
package scale

import (
	"errors"
	"fmt"
	"time"

	"wayloft/internal/decide/leaseclient"
)

// Bounds of an installation.
const (
	zones                = 8 // hollow routers and databases are spread over them, a process each
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

// The memory that a process of each kind takes at most, for the bound on all of them.
const (
	coordinatorMiB       = 300
	realRouterMiB        = 100
	hollowProcessMiB     = 40
	hollowRouterMiB      = 6
	memberKiB            = 512
	discoveryKiB         = 512 // for each watch
	healthShareReportKiB = 256 // for each holder and each router that it notifies
)

// What routers that start may ask of the coordinator. It is several times less than the coordinator answers, since a late response
// is asked for again.
const (
	maxStartCallsPerSecond = 2500 // each router opens a session and asks for the latest tokens of each group's leases
	// Each start is announced to all other routers.
	maxStartAnnouncementsPerSecond = 5000
	leasesPerGroup                 = 2
)

var errInterrupted = errors.New("interrupted")

// Options configure an installation.
type Options struct {
	Binary              string // the program
	Dir                 string // for settings, logs and the coordinator's data
	Routers             int    // hollow
	RealRouters         int    // a process each
	Members             int    // hollow databases
	GroupSize           int    // members of a group
	Holders             int    // of health-share leases, one group each; 0: health sharing is not measured
	HealthShareInterval time.Duration
	SampleDuration      time.Duration
	SessionTimeout      time.Duration // of routers with the coordinator
	StartInterval       time.Duration // between the starts of two routers; 0: by what the coordinator can answer
	Regions             bool          // two regions, with a link that can be cut between each two processes of different ones
	Progress            func(string)  // receives the progress of the start; nil: nobody does
	Stop                <-chan struct{}
}

// Check reports what is wrong with the options, by the flag of the command that sets it.
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

func checkRange[T int | time.Duration](flag string, value, least, most T) error {
	if value < least || value > most {
		return fmt.Errorf("--%s: from %v to %v, not %v", flag, least, most, value)
	}
	return nil
}

// Processes is how many processes the installation has, this one among them.
func (o Options) Processes() int {
	const thisAndDiscovery = 2
	return thisAndDiscovery + coordinators + min(zones, o.Routers) + min(zones, o.Members) + o.RealRouters + o.Holders
}

// Memory is what they take at most, in MiB.
func (o Options) Memory() int {
	kib := o.Members*memberKiB + (o.Routers+o.RealRouters+o.Holders)*discoveryKiB + o.Routers*o.Holders*healthShareReportKiB
	return coordinators*coordinatorMiB + o.RealRouters*realRouterMiB + o.Processes()*hollowProcessMiB + o.Routers*hollowRouterMiB + kib>>10
}

func (o Options) groups() int { return (o.Members + o.GroupSize - 1) / o.GroupSize }

// tokenQueries is how many calls a router that starts needs to ask for the latest tokens of all leases.
func (o Options) tokenQueries() int {
	return (leasesPerGroup*o.groups() + leaseclient.MaxTokenQuery - 1) / leaseclient.MaxTokenQuery
}

// startInterval is the time between the starts of two routers.
func (o Options) startInterval() time.Duration {
	if o.StartInterval > 0 {
		return o.StartInterval
	}
	forCalls := time.Duration(1+o.tokenQueries()) * time.Second / maxStartCallsPerSecond
	forAnnouncements := time.Duration(o.Routers+o.RealRouters) * time.Second / maxStartAnnouncementsPerSecond
	return max(forCalls, forAnnouncements)
}

// wait waits for a time, or until Stop is closed.
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

// zoneOf returns the zone of one of so many.
func zoneOf(n, count int) int { return n * zones / max(count, 1) }

// zoneShare returns which of so many a zone has: those from first on, before end.
func zoneShare(zone, count int) (first, end int) {
	for first < count && zoneOf(first, count) < zone {
		first++
	}
	for end = first; end < count && zoneOf(end, count) == zone; end++ {
	}
	return first, end
}
