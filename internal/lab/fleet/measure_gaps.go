package fleet

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	client "wayloft/internal/fleet"
)

// Parameters of the measured fleet.
const (
	measuredCoordinators        = 3
	measuredRouters             = 3
	measuredMembers             = 3
	measuredLease               = "sight/0"
	measuredHealthShareInterval = 100 * time.Millisecond
	maxGapMs                    = 60e3 // upper bound of the histogram
)

// errNoHolder means that no router acts for the measured lease.
var errNoHolder = errors.New("no router holds " + measuredLease)

// holderFailure is a kind of failure of a lease holder: how it is caused and how the holder recovers.
type holderFailure struct {
	name    string
	inject  func(*Fleet, *Process)
	recover func(*Fleet, *Process) error
}

// holderFailures are the measured failures. Their names are printed.
var holderFailures = []holderFailure{
	{"holder killed", func(_ *Fleet, p *Process) { p.Kill() }, restart},
	{"holder stopped", func(_ *Fleet, p *Process) { p.Stop() }, func(_ *Fleet, p *Process) error { p.Resume(); return nil }},
	{"holder cut off from coordinator", isolate, reconnect},
	{"holder terminated", func(_ *Fleet, p *Process) { p.Terminate() }, restart},
}

// restart waits for the end of a process and starts it again.
func restart(_ *Fleet, p *Process) error {
	if !p.WaitExit(WaitLimit) {
		return fmt.Errorf("%s: %w", p.Name, errStillRunning)
	}
	return p.startAndWait()
}

// isolate holds back all data between a router and the coordinator, in both directions.
func isolate(f *Fleet, p *Process) {
	for _, link := range f.coordinatorLinks(p) {
		link.Blackhole(true, true)
	}
}

func reconnect(f *Fleet, p *Process) error {
	for _, link := range f.coordinatorLinks(p) {
		link.Heal()
	}
	return nil
}

// coordinatorLinks returns the links from a process to the coordinator nodes.
func (f *Fleet) coordinatorLinks(p *Process) (links []*Link) {
	for _, node := range f.ofKind(coordinatorKind) {
		if link := f.Link(p.Name, node.Name); link != nil {
			links = append(links, link)
		}
	}
	return links
}

// gapMeasurement is a fleet in which failures are injected repeatedly.
type gapMeasurement struct {
	fleet          *Fleet
	client         *client.Client
	repeats        int
	sessionTimeout time.Duration
}

// MeasureLeaseGaps measures how long no router acts for a lease after each kind of failure of its holder, and how long the coordinator has
// no leader after its leader is killed. A gap lasts from the failure to the next holder's start, or the next election, in the audit logs. Each
// failure is repeated in one fleet, and report receives its name and the distribution of its gaps in ms.
func MeasureLeaseGaps(binary, directory string, repeats int, sessionTimeout time.Duration, report func(string, *hdrhistogram.Histogram)) error {
	f, err := New(Options{Binary: binary, Dir: directory, Coordinators: measuredCoordinators, Routers: measuredRouters, Members: measuredMembers,
		Links: true, SessionTimeout: sessionTimeout, HealthShareInterval: measuredHealthShareInterval})
	if err != nil {
		return err
	}
	defer f.Close()
	if err := f.Start(); err != nil {
		return err
	}
	m := &gapMeasurement{fleet: f, client: f.newClient(), repeats: repeats, sessionTimeout: sessionTimeout}
	defer m.client.Close()
	for _, failure := range holderFailures {
		if err := m.repeat(failure.name, func() (float64, error) { return m.holderGap(failure) }, report); err != nil {
			return err
		}
	}
	return m.repeat("coordinator's leader killed", m.leaderGap, report)
}

// repeat measures one kind of failure repeatedly and reports the distribution.
func (m *gapMeasurement) repeat(name string, measure func() (gapMs float64, err error), report func(string, *hdrhistogram.Histogram)) error {
	gaps := hdrhistogram.New(1, maxGapMs, latencyDigits)
	for range m.repeats {
		gapMs, err := measure()
		if err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
		recordValue(gaps, int64(gapMs))
	}
	report(name, gaps)
	return nil
}

// holderGap makes the lease holder fail once, at a random time between two heartbeats, and returns the time without a holder in ms.
func (m *gapMeasurement) holderGap(failure holderFailure) (float64, error) {
	if err := waitForRouterSessions(m.client, measuredRouters); err != nil {
		return 0, err
	}
	if err := waitForQueue(m.client, measuredLease, measuredRouters-1); err != nil {
		return 0, err
	}
	time.Sleep(time.Duration(rand.Float64() * float64(m.sessionTimeout) / 2))
	name, token, err := m.fleet.LeaseHolder(measuredLease)
	if err != nil {
		return 0, err
	}
	if name == "" {
		return 0, errNoHolder
	}
	holder, failedAt := m.fleet.Process(name), unixMs()
	failure.inject(m.fleet, holder)
	next, err := m.fleet.waitForEvent("the next holder", routerKind, func(e AuditEvent) bool {
		return e.event() == holderStarted && e.timeMs() > failedAt && e.Text(tokenField) != token
	})
	if err != nil {
		return 0, err
	}
	return next - failedAt, failure.recover(m.fleet, holder)
}

// leaderGap kills the coordinator's leader once and returns the time without a leader in ms.
func (m *gapMeasurement) leaderGap() (float64, error) {
	name, err := m.fleet.coordinatorLeader()
	if err != nil {
		return 0, err
	}
	leader, failedAt := m.fleet.Process(name), unixMs()
	leader.Kill()
	next, err := m.fleet.waitForEvent("the next leader", coordinatorKind, func(e AuditEvent) bool {
		elected := e.Text(leaderField)
		return e.event() == leaderElected && e.timeMs() > failedAt && elected != "" && elected != name
	})
	if err != nil {
		return 0, err
	}
	if err := leader.startAndWait(); err != nil {
		return 0, err
	}
	return next - failedAt, waitForRouterSessions(m.client, measuredRouters)
}

// unixMs returns the current time in the unit of audit logs.
func unixMs() float64 { return float64(time.Now().UnixMicro()) / 1000 }

// waitForEvent waits until the audit log of a process of this kind has a matching event, and returns the time of the first match.
func (f *Fleet) waitForEvent(what, kind string, matches func(AuditEvent) bool) (timeMs float64, err error) {
	err = WaitUntil(what, func() (bool, error) {
		for _, p := range f.ofKind(kind) {
			events, err := f.AuditEvents(p.Name)
			if err != nil {
				return false, err
			}
			if at := slices.IndexFunc(events, matches); at >= 0 {
				timeMs = events[at].timeMs()
				return true, nil
			}
		}
		return false, nil
	})
	return timeMs, err
}
