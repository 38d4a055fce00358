package fleet

import (
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/sirupsen/logrus"

	"wayloft/internal/lab"
	"wayloft/internal/pg"
)

const (
	maxLatencyMicros = 60e6 // upper bound of the histogram
	latencyDigits    = 3    // significant digits of histograms
	reconnectDelay   = 20 * time.Millisecond
	thinkTime        = 3 * time.Millisecond // between two writes of a client, which leaves CPU time to the processes
)

// WriteLoad is a closed-loop load: each of its clients sends one write after the other, never retries one, and records the response.
type WriteLoad struct {
	mu         sync.Mutex
	Succeeded  []string
	Rejected   []string                // writes that did not take effect
	Unresolved []string                // writes that may have taken effect
	latencies  *hdrhistogram.Histogram // of successful writes, in microseconds
	stop       chan struct{}
	stopOnce   sync.Once
	writers    sync.WaitGroup
}

// NewWriteLoad starts this number of writers, spread over the routers.
func NewWriteLoad(routers []string, writers int) *WriteLoad {
	l := &WriteLoad{stop: make(chan struct{}), latencies: hdrhistogram.New(1, maxLatencyMicros, latencyDigits)}
	for n := range writers {
		l.writers.Go(func() { l.write(routers, n) })
	}
	return l
}

// Stop stops the writers. Each waits for the response to its request in flight.
func (l *WriteLoad) Stop() {
	l.stopOnce.Do(func() { close(l.stop) })
	l.writers.Wait()
}

// Reset discards all recorded responses, before a measurement.
func (l *WriteLoad) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.Succeeded, l.Rejected, l.Unresolved = nil, nil, nil
	l.latencies.Reset()
}

// WaitForWrites waits until this number of further writes have succeeded.
func (l *WriteLoad) WaitForWrites(more int) error {
	wanted := l.succeeded() + more
	return WaitUntil(fmt.Sprint(more, " more writes"), func() (bool, error) { return l.succeeded() >= wanted, nil })
}

func (l *WriteLoad) succeeded() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.Succeeded)
}

// write runs one writer. The iteration count selects the router of each new connection.
func (l *WriteLoad) write(routers []string, writer int) {
	var client *lab.Client
	defer func() {
		if client != nil {
			client.Close()
		}
	}()
	for n := 0; !l.stopped(); n++ {
		if client == nil {
			var err error
			if client, err = lab.Connect(routers[(writer+n)%len(routers)]); err != nil {
				time.Sleep(reconnectDelay)
				continue
			}
		}
		handle := fmt.Sprintf("w%d-%d", writer, n)
		started := time.Now()
		statement := fmt.Sprintf("/* id=%s,c=write,d=15000 */ INSERT INTO rows (handle, blob) VALUES ('%s', 'x') RETURNING blob", handle, handle)
		failure, err := client.Send(pg.AppendQuery(nil, statement), 1)
		l.recordResponse(handle, failure, err, time.Since(started))
		if err != nil {
			client.Close()
			client = nil
		}
		time.Sleep(thinkTime)
	}
}

func (l *WriteLoad) stopped() bool {
	select {
	case <-l.stop:
		return true
	default:
		return false
	}
}

// recordResponse records the result of a write: failure is an error response, and err means that no response arrived.
func (l *WriteLoad) recordResponse(handle string, failure *pg.Error, err error, latency time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case err == nil && failure == nil:
		l.Succeeded = append(l.Succeeded, handle)
		recordValue(l.latencies, min(latency.Microseconds(), maxLatencyMicros))
	case err == nil && failure.Code == pg.TooManyConnections:
		l.Rejected = append(l.Rejected, handle)
	default:
		l.Unresolved = append(l.Unresolved, handle)
	}
}

// recordValue adds a value to a histogram. A value out of the histogram's range is logged.
func recordValue(histogram *hdrhistogram.Histogram, number int64) {
	if err := histogram.RecordValue(number); err != nil {
		logrus.WithError(err).Warn("could not record a value in the histogram")
	}
}
