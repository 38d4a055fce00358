package lab

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"wayloft/internal/pg"
)

const (
	maxLatencyMicros         = int64(time.Minute / time.Microsecond)
	latencySignificantDigits = 3
	latencyDisplayPrecision  = 10 * time.Microsecond
)

// Load is a closed-loop load: each client sends its next request after it has received the response to the previous one.
type Load struct {
	Addr       string
	Clients    int
	Duration   time.Duration
	WarmUp     time.Duration              // initial period that counts towards neither Rate nor latencies
	Request    func(client, n int) []byte // returns the messages of a client's n-th request
	ReadyCount int                        // ReadyForQuery messages per response; 0: 1
	Pause      time.Duration              // between response and request
}

// LoadResult is the result of a Load over all clients.
type LoadResult struct {
	Rate             float64 // responses per second
	P50, P99, P999   time.Duration
	Max              time.Duration
	Rejected, Failed int64
	Codes            map[string]int64 // error responses by SQLSTATE, including those during the warm-up
	CPU              time.Duration    // CPU time of this process per response
}

// String formats the result as one line.
func (r LoadResult) String() string {
	text := fmt.Sprintf("%8.0f requests/s  p50 %8s  p99 %8s  max %8s  rejected %d  failed %d", r.Rate, formatLatency(r.P50), formatLatency(r.P99), formatLatency(r.Max), r.Rejected, r.Failed)
	for _, code := range slices.Sorted(maps.Keys(r.Codes)) {
		text += fmt.Sprintf("  %s x%d", code, r.Codes[code])
	}
	return text
}

func formatLatency(d time.Duration) string { return d.Round(latencyDisplayPrecision).String() }

// loadRun is the state of a running Load.
type loadRun struct {
	Load
	counting  atomic.Bool // the warm-up is over
	stopped   atomic.Bool
	responses atomic.Int64 // received while counting

	mu        sync.Mutex // guards the fields below
	latencies *hdrhistogram.Histogram
	codes     map[string]int64
	failure   error // the first client error
}

// Run runs the load. An error means that the load itself failed: a client could not connect or did not receive a complete response.
func (l Load) Run() (LoadResult, error) {
	run := &loadRun{Load: l, latencies: newLatencies(), codes: map[string]int64{}}
	var clients sync.WaitGroup
	for client := range l.Clients {
		clients.Go(func() { run.runClient(client) })
	}
	time.Sleep(l.WarmUp)
	run.counting.Store(true)
	started, cpuBefore, countBefore := time.Now(), cpuTime(), run.responses.Load()
	time.Sleep(l.Duration)
	took, count, cpu := time.Since(started), run.responses.Load()-countBefore, cpuTime()-cpuBefore
	run.stopped.Store(true)
	clients.Wait()
	return run.result(took, count, cpu), run.failure
}

func newLatencies() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatencyMicros, latencySignificantDigits)
}

// cpuTime returns the user and system CPU time of this process; 0 if it can't be read.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// result computes the result over all clients. It must be called after they have stopped.
func (r *loadRun) result(took time.Duration, responses int64, cpu time.Duration) LoadResult {
	quantile := func(q float64) time.Duration { return time.Duration(r.latencies.ValueAtQuantile(q)) * time.Microsecond }
	result := LoadResult{Rate: float64(responses) / took.Seconds(), P50: quantile(50), P99: quantile(99), P999: quantile(99.9),
		Max: time.Duration(r.latencies.Max()) * time.Microsecond, Codes: r.codes}
	if responses > 0 {
		result.CPU = cpu / time.Duration(responses)
	}
	for code, count := range r.codes {
		if code == pg.TooManyConnections {
			result.Rejected += count
		} else {
			result.Failed += count
		}
	}
	return result
}

// runClient runs one client until the load is stopped and merges its results.
func (r *loadRun) runClient(number int) {
	latencies, codes := newLatencies(), map[string]int64{}
	err := r.sendRequests(number, latencies, codes)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.latencies.Merge(latencies)
	for code, count := range codes {
		r.codes[code] += count
	}
	if err != nil && r.failure == nil {
		r.failure = fmt.Errorf("client %d: %w", number, err)
	}
}

// sendRequests sends requests sequentially and records latencies and errors.
func (r *loadRun) sendRequests(number int, latencies *hdrhistogram.Histogram, codes map[string]int64) error {
	client, err := Connect(r.Addr)
	if err != nil {
		return err
	}
	defer client.Close()
	for n := 0; !r.stopped.Load(); n++ {
		started := time.Now()
		failure, err := client.Send(r.Request(number, n), max(1, r.ReadyCount))
		if err != nil {
			return fmt.Errorf("request %d: %w", n, err)
		}
		if err := r.record(failure, time.Since(started), latencies, codes); err != nil {
			return err
		}
		time.Sleep(r.Pause)
	}
	return nil
}

// record records a response unless the load was stopped before it arrived.
func (r *loadRun) record(failure *pg.Error, latency time.Duration, latencies *hdrhistogram.Histogram, codes map[string]int64) error {
	if r.stopped.Load() {
		return nil
	}
	if failure != nil {
		codes[failure.Code]++
	}
	if !r.counting.Load() {
		return nil
	}
	r.responses.Add(1)
	return latencies.RecordValue(max(1, latency.Microseconds()))
}
