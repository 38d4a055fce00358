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
	maxLatencyMicros = 60e6 // of a histogram
	latencyDigits    = 3
	reconnectDelay   = 20 * time.Millisecond
	thinkTime        = 3 * time.Millisecond // between two writes, which leaves the machine to the processes
)

// WriteLoad is a number of clients that each send one write after the other, each write once, and note the response.
type WriteLoad struct {
	mu         sync.Mutex
	Succeeded  []string
	Rejected   []string                // they did not take effect
	Unresolved []string                // they may have taken effect
	latencies  *hdrhistogram.Histogram // of those that succeeded, in microseconds
	stop       chan struct{}
	stopOnce   sync.Once
	writers    sync.WaitGroup
}

// NewWriteLoad starts so many writers, spread over routers.
func NewWriteLoad(routers []string, writers int) *WriteLoad {
	l := &WriteLoad{stop: make(chan struct{}), latencies: hdrhistogram.New(1, maxLatencyMicros, latencyDigits)}
	for n := range writers {
		l.writers.Go(func() { l.write(routers, n) })
	}
	return l
}

// Stop ends the writers, each after the response that it waits for.
func (l *WriteLoad) Stop() {
	l.stopOnce.Do(func() { close(l.stop) })
	l.writers.Wait()
}

// Reset forgets all responses so far, before a measurement.
func (l *WriteLoad) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.Succeeded, l.Rejected, l.Unresolved = nil, nil, nil
	l.latencies.Reset()
}

// WaitForWrites waits until so many more writes have succeeded.
func (l *WriteLoad) WaitForWrites(more int) error {
	wanted := l.succeeded() + more
	return WaitUntil(fmt.Sprint(more, " more writes"), func() (bool, error) { return l.succeeded() >= wanted, nil })
}

func (l *WriteLoad) succeeded() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.Succeeded)
}

// write is one writer. Each of its connections goes to the next router.
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
		l.note(handle, failure, err, time.Since(started))
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

// note notes the response to a write, which may be an error; err: there was none.
func (l *WriteLoad) note(handle string, failure *pg.Error, err error, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case err == nil && failure == nil:
		l.Succeeded = append(l.Succeeded, handle)
		record(l.latencies, min(took.Microseconds(), maxLatencyMicros))
	case err == nil && failure.Code == pg.TooManyConnections:
		l.Rejected = append(l.Rejected, handle)
	default:
		l.Unresolved = append(l.Unresolved, handle)
	}
}

// record records a value; one that the histogram can't hold is logged.
func record(histogram *hdrhistogram.Histogram, number int64) {
	if err := histogram.RecordValue(number); err != nil {
		logrus.WithError(err).Warn("value not recorded")
	}
}
