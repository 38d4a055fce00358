package fleet

import (
	"sync"
	"time"
)

const (
	serviceWriters             = 12
	serviceWarmUpWrites        = 400
	serviceSettleTime          = 1500 * time.Millisecond // until sessions are open, leases are held and members' limits are known
	serviceHealthShareInterval = 250 * time.Millisecond
	coordinatorPause           = time.Second
	microsPerMs                = 1000
)

// Service is the throughput and latency that clients observed.
type Service struct {
	Rate, Rejected float64 // successful and rejected writes per second
	P50, P99       float64 // ms
}

// MeasureService measures the writes of clients of a fleet over a duration. A non-nil meanwhile runs during the measurement, for instance to
// inject faults into the coordinator, and must return once done is closed.
func MeasureService(binary, directory string, standalone bool, duration time.Duration, meanwhile func(f *Fleet, done <-chan struct{})) (service Service, err error) {
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
	elapsed := time.Since(started)
	load.Stop()
	running.Wait()
	return load.summary(elapsed), nil
}

// summary returns the service since Reset, which was the given time ago.
func (l *WriteLoad) summary(elapsed time.Duration) Service {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Service{
		Rate:     float64(len(l.Succeeded)) / elapsed.Seconds(),
		Rejected: float64(len(l.Rejected)) / elapsed.Seconds(),
		P50:      float64(l.latencies.ValueAtQuantile(50)) / microsPerMs,
		P99:      float64(l.latencies.ValueAtQuantile(99)) / microsPerMs,
	}
}

// PauseCoordinators alternately stops and resumes all coordinator nodes together, until done is closed.
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
