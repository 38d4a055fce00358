package fleet

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/prometheus/procfs"

	"wayloft/internal/decide/leaseclient"
	"wayloft/internal/decide/leasestate"
	client "wayloft/internal/fleet"
	"wayloft/internal/rpc"
)

// MeasureLeaseGaps plays what takes an owner away, so often each, on one fleet, and tells for how long nobody acted: from the event to the
// next owner's start, by the records.
func MeasureLeaseGaps(binary, dir string, plays int, session time.Duration, say func(string, *hdrhistogram.Histogram)) error {
	f, err := New(Options{Binary: binary, Dir: dir, Coordinators: 3, Routers: 3, Members: 3, Links: true, SessionTimeout: session, HealthShareInterval: 100 * time.Millisecond})
	if err != nil {
		return err
	}
	defer f.Close()
	if err := f.Start(); err != nil {
		return err
	}
	r := &run{f: f, client: client.NewClient(f.FleetName, f.CoordinatorAddresses(), nil), vars: map[string]string{}}
	defer r.client.Close()
	all := strings.Fields("c1 c2 c3")
	events := []struct {
		name string
		away func(p *Process)
		back func(p *Process) error
	}{
		{"owner killed", func(p *Process) { p.Kill() }, func(p *Process) error { return startServes(p) }},
		{"owner stopped", func(p *Process) { p.Stop() }, func(p *Process) error { p.Resume(); return nil }},
		{"owner cut off from the council", func(p *Process) { f.between(p.Name, all, func(s *Link) { s.Hole(true, true) }) },
			func(p *Process) error { f.between(p.Name, all, func(s *Link) { s.Heal() }); return nil }},
		{"owner told to end", func(p *Process) { p.Terminate() }, func(p *Process) error { p.WaitExit(WaitLimit); return startServes(p) }},
	}
	for _, e := range events {
		s := hdrhistogram.New(1, 60e6, 3)
		for range plays {
			if err := r.step([]string{"sessions", "3"}); err != nil {
				return err
			}
			if err := r.step([]string{"queue", "sight/0", "2"}); err != nil {
				return err
			}
			time.Sleep(time.Duration(rand.Float64() * float64(session) / 2)) // at no set moment between two beats
			name, fence, err := f.LeaseHolder("sight/0")
			if err != nil || name == "" {
				return fmt.Errorf("no owner: %w", err)
			}
			p := f.procs[name]
			at := float64(time.Now().UnixMicro()) / 1000
			e.away(p)
			next := 0.0
			if err := WaitUntil("the next owner", func() (bool, error) {
				for _, o := range f.kind("router") {
					lines, err := f.AuditEvents(o.Name)
					if err != nil {
						return false, err
					}
					for _, l := range lines {
						if t, _ := l["at"].(float64); l.Text("what") == "start" && t > at && l.Text("fence") != fence {
							next = t
						}
					}
				}
				return next > 0, nil
			}); err != nil {
				return err
			}
			s.RecordValue(int64(next - at))
			if err := e.back(p); err != nil {
				return err
			}
		}
		say(e.name, s)
	}
	s := hdrhistogram.New(1, 60e6, 3)
	for range plays {
		lead, err := r.leader()
		if err != nil {
			return err
		}
		p := f.procs[lead]
		at := float64(time.Now().UnixMicro()) / 1000
		p.Kill()
		next := 0.0
		if err := WaitUntil("the next leader", func() (bool, error) {
			for _, o := range f.kind("council") {
				lines, err := f.AuditEvents(o.Name)
				if err != nil {
					return false, err
				}
				for _, l := range lines {
					if t, _ := l["at"].(float64); l.Text("what") == "leads" && t > at && l.Text("leader") != "" && l.Text("leader") != lead {
						next = t
						return true, nil
					}
				}
			}
			return false, nil
		}); err != nil {
			return err
		}
		s.RecordValue(int64(next - at))
		if err := startServes(p); err != nil {
			return err
		}
		if err := r.step([]string{"sessions", "3"}); err != nil {
			return err
		}
	}
	say("council's leader killed", s)
	return nil
}

func startServes(p *Process) error {
	if err := p.Start(); err != nil {
		return err
	}
	return p.WaitReady()
}

func (f *Fleet) between(from string, to []string, do func(*Link)) {
	for _, name := range to {
		if s := f.Link(from, name); s != nil {
			do(s)
		}
	}
}

// CoordinatorCost is what a coordinator takes for so many sessions.
type CoordinatorCost struct {
	Sessions     int
	CPU          float64 // seconds a second, over its processes
	Bytes        float64 // a second, between sessions and coordinator, both ways
	Heartbeats   float64 // a second
	LostSessions int     // sessions that ended meanwhile
}

// MeasureCoordinatorCost holds so many sessions of the given length with a coordinator of three for some seconds.
func MeasureCoordinatorCost(binary, dir string, sessions int, session, during time.Duration) (c CoordinatorCost, err error) {
	f, err := New(Options{Binary: binary, Dir: dir, Coordinators: 3})
	if err != nil {
		return c, err
	}
	defer f.Close()
	if err := f.Start(); err != nil {
		return c, err
	}
	var addrs []string
	var switches []*Link
	via := map[string]string{}
	for _, p := range f.kind("council") {
		s, err := NewSwitch("sessions", p.Name, p.Addr)
		if err != nil {
			return c, err
		}
		defer s.Close()
		switches, addrs, via[p.Name] = append(switches, s), append(addrs, s.Addr), s.Addr
	}
	ctx, cancel := context.WithCancel(context.Background())
	var all sync.WaitGroup
	var beats, ended atomic.Int64
	defer all.Wait()
	defer cancel()
	for n := range sessions {
		all.Go(func() { hold(ctx, f.FleetName, addrs, via, fmt.Sprint("s", n), session, &beats, &ended) })
	}
	r := &run{f: f, client: client.NewClient(f.FleetName, f.CoordinatorAddresses(), nil)}
	defer r.client.Close()
	if err := r.step([]string{"sessions", strconv.Itoa(sessions)}); err != nil {
		return c, err
	}
	time.Sleep(time.Second)
	measure := func() (cpu float64, bytes int) {
		for _, p := range f.kind("council") {
			cpu += used(p.Pid())
		}
		for _, s := range switches {
			s.mu.Lock()
			bytes += s.Bytes[0] + s.Bytes[1]
			s.mu.Unlock()
		}
		return cpu, bytes
	}
	cpu, bytes := measure()
	from, gone, begun := beats.Load(), ended.Load(), time.Now()
	time.Sleep(during)
	took := time.Since(begun).Seconds()
	cpuAfter, bytesAfter := measure()
	return CoordinatorCost{Sessions: sessions, CPU: (cpuAfter - cpu) / took, Bytes: float64(bytesAfter-bytes) / took, Heartbeats: float64(beats.Load()-from) / took,
		LostSessions: int(ended.Load() - gone)}, nil
}

// used is the processor time that a process has had, in seconds.
func used(pid int) float64 {
	p, err := procfs.NewProc(pid)
	if err != nil {
		return 0
	}
	stat, err := p.Stat()
	if err != nil {
		return 0
	}
	return stat.CPUTime()
}

// hold is one session, as a router holds it: the same agent, the same calls and the watch.
func hold(ctx context.Context, fleet string, addrs []string, via map[string]string, name string, session time.Duration, beats, ended *atomic.Int64) {
	c := client.NewClient(fleet, addrs, via)
	defer c.Close()
	length := float64(session.Milliseconds())
	a := leaseclient.New(leaseclient.Settings{Name: name, Role: "router", Incarnation: 1, SessionTimeout: length, SafetyMargin: length / 10, Seed: rand.Uint64()})
	inbox := make(chan func(), 64)
	post := func(f func()) {
		select {
		case inbox <- f:
		case <-ctx.Done():
		}
	}
	for ctx.Err() == nil {
		a.Advance(rpc.Boottime())
		for d, more := a.Next(); more; d, more = a.Next() {
			go func() {
				one, cancel := context.WithTimeout(ctx, session/4)
				defer cancel()
				ans, err := c.ProposeEntry(one, d.Entry)
				post(func() {
					a.Advance(rpc.Boottime())
					if err != nil {
						a.Failed(d.Request)
						return
					}
					if d.Entry.Kind == leasestate.KeepAlive {
						beats.Add(1)
					}
					before := a.Reopened
					a.Answered(d.Request, ans)
					ended.Add(int64(a.Reopened - before))
				})
			}()
		}
		select {
		case f := <-inbox:
			f()
		case <-time.After(time.Duration(max(1, min(a.NextDeadline()-rpc.Boottime(), 1000)) * float64(time.Millisecond))):
		case <-ctx.Done():
		}
	}
}

// Service is what clients had of a fleet over a while.
type Service struct {
	Rate, Declined float64 // writes committed, and rejected, a second
	P50, P99       float64 // ms
}

// Serve has writers use a fleet for a while, with something done to its coordinator meanwhile.
func Serve(binary, dir string, alone bool, during time.Duration, meanwhile func(f *Fleet, ended <-chan struct{})) (s Service, err error) {
	f, err := New(Options{Binary: binary, Dir: dir, Coordinators: 3, Routers: 3, Members: 3, Standalone: alone, HealthShareInterval: 250 * time.Millisecond, Switchover: !alone})
	if err != nil {
		return s, err
	}
	defer f.Close()
	if err := f.Start(); err != nil {
		return s, err
	}
	var addrs []string
	for _, p := range f.kind("router") {
		addrs = append(addrs, p.Addr)
	}
	time.Sleep(1500 * time.Millisecond) // sessions and leases are there, limits are found
	l := NewWriteLoad(addrs, 12)
	if err := l.WaitForWrites(400); err != nil {
		return s, err
	}
	l.Reset()
	ended := make(chan struct{})
	var all sync.WaitGroup
	if meanwhile != nil {
		all.Go(func() { meanwhile(f, ended) })
	}
	begun := time.Now()
	time.Sleep(during)
	close(ended)
	took := time.Since(begun).Seconds()
	l.Stop()
	all.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	return Service{Rate: float64(len(l.Succeeded)) / took, Declined: float64(len(l.Rejected)) / took,
		P50: float64(l.times.ValueAtQuantile(50)) / 1000, P99: float64(l.times.ValueAtQuantile(99)) / 1000}, nil
}

// PauseCoordinators stops and wakes the whole coordinator, a second each.
func PauseCoordinators(f *Fleet, ended <-chan struct{}) {
	for on := false; ; on = !on {
		for _, p := range f.kind("council") {
			if on {
				p.Resume()
			} else {
				p.Stop()
			}
		}
		select {
		case <-ended:
			return
		case <-time.After(time.Second):
		}
	}
}

// KillCoordinators kills all of it.
func KillCoordinators(f *Fleet, _ <-chan struct{}) {
	for _, p := range f.kind("council") {
		p.Kill()
	}
}
