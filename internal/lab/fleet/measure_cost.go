package fleet

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/procfs"

	"wayloft/internal/decide/leaseclient"
	"wayloft/internal/decide/leasestate"
	client "wayloft/internal/fleet"
	"wayloft/internal/rpc"
)

const (
	costSettleTime        = time.Second // from the last session's opening to the measurement
	sessionMailboxSize    = 64
	requestTimeoutDivisor = 4  // a request's timeout is this fraction of the session timeout
	safetyMarginDivisor   = 10 // the safety margin is this fraction of the session timeout
	maxSessionSleepMs     = 1000
	minSessionSleepMs     = 1
	simulatedSessionRole  = "router"
)

// CoordinatorCost is the cost of a coordinator of three nodes for a number of sessions.
type CoordinatorCost struct {
	Sessions     int
	CPU          float64 // CPU seconds per second, sum over all nodes
	Bytes        float64 // per second between sessions and coordinator, in both directions
	Heartbeats   float64 // per second
	LostSessions int     // sessions that ended during the measurement
}

// costSample holds the counters at one point in time.
type costSample struct {
	at         time.Time
	cpuSeconds float64
	bytes      int
	heartbeats int64
	reopened   int64
}

// costMeasurement is a coordinator with simulated sessions, which connect over links that count bytes.
type costMeasurement struct {
	fleet          *Fleet
	links          []*Link
	sessionTimeout time.Duration
	heartbeats     atomic.Int64
	reopened       atomic.Int64 // sessions that had ended and were reopened
}

// MeasureCoordinatorCost keeps this number of sessions open with a coordinator of three nodes and measures its cost over a duration.
func MeasureCoordinatorCost(binary, directory string, sessions int, sessionTimeout, duration time.Duration) (cost CoordinatorCost, err error) {
	f, err := New(Options{Binary: binary, Dir: directory, Coordinators: measuredCoordinators})
	if err != nil {
		return cost, err
	}
	defer f.Close()
	if err := f.Start(); err != nil {
		return cost, err
	}
	m := &costMeasurement{fleet: f, sessionTimeout: sessionTimeout}
	defer m.closeLinks()
	if err := m.openLinks(); err != nil {
		return cost, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	defer running.Wait()
	defer cancel()
	for n := range sessions {
		running.Go(func() { m.keepSession(ctx, fmt.Sprint("s", n)) })
	}
	c := f.newClient()
	defer c.Close()
	if err := waitForRouterSessions(c, sessions); err != nil {
		return cost, err
	}
	time.Sleep(costSettleTime)
	return m.measure(sessions, duration)
}

func (m *costMeasurement) openLinks() error {
	for _, node := range m.fleet.ofKind(coordinatorKind) {
		link, err := NewLink("sessions", node.Name, node.Addr)
		if err != nil {
			return err
		}
		m.links = append(m.links, link)
	}
	return nil
}

func (m *costMeasurement) closeLinks() {
	for _, link := range m.links {
		link.Close()
	}
}

// measure measures the cost over a duration.
func (m *costMeasurement) measure(sessions int, duration time.Duration) (CoordinatorCost, error) {
	before, err := m.sample()
	if err != nil {
		return CoordinatorCost{}, err
	}
	time.Sleep(duration)
	after, err := m.sample()
	if err != nil {
		return CoordinatorCost{}, err
	}
	seconds := after.at.Sub(before.at).Seconds()
	return CoordinatorCost{
		Sessions:     sessions,
		CPU:          (after.cpuSeconds - before.cpuSeconds) / seconds,
		Bytes:        float64(after.bytes-before.bytes) / seconds,
		Heartbeats:   float64(after.heartbeats-before.heartbeats) / seconds,
		LostSessions: int(after.reopened - before.reopened),
	}, nil
}

func (m *costMeasurement) sample() (costSample, error) {
	sample := costSample{at: time.Now(), heartbeats: m.heartbeats.Load(), reopened: m.reopened.Load()}
	for _, node := range m.fleet.ofKind(coordinatorKind) {
		seconds, err := cpuSeconds(node.Pid())
		if err != nil {
			return sample, fmt.Errorf("CPU time of %s: %w", node.Name, err)
		}
		sample.cpuSeconds += seconds
	}
	for _, link := range m.links {
		sample.bytes += link.relayedBytes()
	}
	return sample, nil
}

// cpuSeconds returns the CPU time that a process has used.
func cpuSeconds(pid int) (float64, error) {
	process, err := procfs.NewProc(pid)
	if err != nil {
		return 0, err
	}
	stat, err := process.Stat()
	if err != nil {
		return 0, err
	}
	return stat.CPUTime(), nil
}

// simulatedSession is one session with the coordinator, with the same lease client and requests as a router's. The lease client is not safe
// for concurrent use; only run uses it.
type simulatedSession struct {
	measurement *costMeasurement
	client      *client.Client
	leases      *leaseclient.Client
	mailbox     chan func()
}

// keepSession keeps a session open until ctx is done.
func (m *costMeasurement) keepSession(ctx context.Context, name string) {
	addresses, overrides := []string{}, map[string]string{}
	for _, link := range m.links {
		addresses = append(addresses, link.Addr)
		overrides[link.To] = link.Addr
	}
	c := client.NewClient(m.fleet.FleetName, addresses, overrides)
	defer c.Close()
	timeoutMs := float64(m.sessionTimeout.Milliseconds())
	s := &simulatedSession{measurement: m, client: c, mailbox: make(chan func(), sessionMailboxSize),
		leases: leaseclient.New(leaseclient.Settings{Name: name, Role: simulatedSessionRole, Incarnation: 1, SessionTimeout: timeoutMs,
			SafetyMargin: timeoutMs / safetyMarginDivisor, Seed: rand.Uint64()})}
	s.run(ctx)
}

// run is the session's event loop. It returns once ctx is done and all requests in flight have ended.
func (s *simulatedSession) run(ctx context.Context) {
	var requests sync.WaitGroup
	defer requests.Wait()
	for ctx.Err() == nil {
		s.leases.Advance(rpc.Boottime())
		for decision, more := s.leases.Next(); more; decision, more = s.leases.Next() {
			requests.Go(func() { s.send(ctx, decision) })
		}
		sleepMs := max(minSessionSleepMs, min(s.leases.NextDeadline()-rpc.Boottime(), maxSessionSleepMs))
		select {
		case event := <-s.mailbox:
			event()
		case <-time.After(time.Duration(sleepMs * float64(time.Millisecond))):
		case <-ctx.Done():
		}
	}
}

// send sends the request of a decision and posts the response to the event loop.
func (s *simulatedSession) send(ctx context.Context, decision leaseclient.Decision) {
	requestCtx, cancel := context.WithTimeout(ctx, s.measurement.sessionTimeout/requestTimeoutDivisor)
	defer cancel()
	result, err := s.client.ProposeEntry(requestCtx, decision.Entry)
	event := func() { s.handleResponse(decision, result, err) }
	select {
	case s.mailbox <- event:
	case <-ctx.Done():
	}
}

func (s *simulatedSession) handleResponse(decision leaseclient.Decision, result leasestate.Result, err error) {
	s.leases.Advance(rpc.Boottime())
	if err != nil {
		s.leases.RequestFailed(decision.Request)
		return
	}
	if decision.Entry.Kind == leasestate.KeepAlive {
		s.measurement.heartbeats.Add(1)
	}
	reopenedBefore := s.leases.SessionsReopened
	s.leases.ResponseReceived(decision.Request, result)
	s.measurement.reopened.Add(int64(s.leases.SessionsReopened - reopenedBefore))
}
