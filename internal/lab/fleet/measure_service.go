package fleet

import (
	"sync"
	"time"
)

const (
	serviceWriters             = 12
	serviceWarmUpWrites        = 400
	serviceSettleTime          = 1500 * time.Millisecond // until sessions, leases and members' limits are found
	serviceHealthShareInterval = 250 * time.Millisecond
	coordinatorPause           = time.Second
	microsPerMs                = 1000
)

// Service is what clients had of a fleet over a while.
type Service struct {
	Rate, Declined float64 // writes that succeeded and that were rejected, a second
	P50, P99       float64 // ms
}

// Serve measures the writes of clients of a fleet for a while. Meanwhile something may be done to its coordinator, until done is closed.
func Serve(binary, directory string, standalone bool, duration time.Duration, meanwhile func(f *Fleet, done <-chan struct{})) (service Service, err error) {
	f, err := New(Options{Binary: binary, Dir: directory, Coordinators: measuredCoordinators, Routers: measuredRouters, Members: measuredMembers,
		Standalone: standalone, HealthShareInterval: serviceHealthShareInterval, Switchover: !standalone})
	if err != nil {
		return service, err
	}
	defer f.Close()
	if err := f.Start(); err != nil {
		return service, err
	}
	time.Sleep(serviceSettleTime)
	load := NewWriteLoad(f.routerAddresses(), serviceWriters)
	defer load.Stop()
	if err := load.WaitForWrites(serviceWarmUpWrites); err != nil {
		return service, err
	}
	load.Reset()
	done := make(chan struct{})
	var running sync.WaitGroup
	if meanwhile != nil {
		running.Go(func() { meanwhile(f, done) })
	}
	started := time.Now()
	time.Sleep(duration)
	close(done)
	took := time.Since(started)
	load.Stop()
	running.Wait()
	return load.service(took), nil
}

// service gives what clients had since Reset.
func (l *WriteLoad) service(took time.Duration) Service {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Service{
		Rate:     float64(len(l.Succeeded)) / took.Seconds(),
		Declined: float64(len(l.Rejected)) / took.Seconds(),
		P50:      float64(l.latencies.ValueAtQuantile(50)) / microsPerMs,
		P99:      float64(l.latencies.ValueAtQuantile(99)) / microsPerMs,
	}
}

// PauseCoordinators stops and resumes all coordinator nodes in turn, until done is closed.
func PauseCoordinators(f *Fleet, done <-chan struct{}) {
	for stopped := false; ; stopped = !stopped {
		for _, node := range f.ofKind(coordinatorKind) {
			if stopped {
				node.Resume()
			} else {
				node.Stop()
			}
		}
		select {
		case <-done:
			return
		case <-time.After(coordinatorPause):
		}
	}
}

// KillCoordinators kills all coordinator nodes.
func KillCoordinators(f *Fleet, _ <-chan struct{}) {
	for _, node := range f.ofKind(coordinatorKind) {
		node.Kill()
	}
}
