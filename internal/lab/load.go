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
	maxLatencyMicros = int64(time.Minute / time.Microsecond)
	latencyDigits    = 3
	shownPrecision   = 10 * time.Microsecond
)

// Load is a closed loop of clients, each of which sends its next request once it has the response to the one before.
type Load struct {
	Addr       string
	Clients    int
	Duration   time.Duration
	WarmUp     time.Duration              // before anything is counted
	Request    func(client, n int) []byte // the messages of a client's n-th request
	ReadyCount int                        // how many ReadyForQuery a response has; 0: 1
	Pause      time.Duration              // between response and request
}

// LoadResult is what the clients of a Load had.
type LoadResult struct {
	Rate             float64 // responses a second
	P50, P99, P999   time.Duration
	Max              time.Duration
	Rejected, Failed int64
	Codes            map[string]int64 // responses with an error, by SQLSTATE; those during the warm-up, too
	CPU              time.Duration    // of this process, for each response
}

// String gives the result as one line.
func (r LoadResult) String() string {
	text := fmt.Sprintf("%8.0f requests/s  p50 %8s  p99 %8s  max %8s  rejected %d  failed %d", r.Rate, shown(r.P50), shown(r.P99), shown(r.Max), r.Rejected, r.Failed)
	for _, code := range slices.Sorted(maps.Keys(r.Codes)) {
		text += fmt.Sprintf("  %s x%d", code, r.Codes[code])
	}
	return text
}

func shown(d time.Duration) string { return d.Round(shownPrecision).String() }

// loadRun is a Load that runs.
type loadRun struct {
	Load
	counting  atomic.Bool // the warm-up is over
	stopped   atomic.Bool
	responses atomic.Int64 // while counting

	mu        sync.Mutex // guards what follows
	latencies *hdrhistogram.Histogram
	codes     map[string]int64
	failure   error // the first
}

// Run runs the load. An error means that the load itself failed: a client had no connection, or no complete response.
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
	return hdrhistogram.New(1, maxLatencyMicros, latencyDigits)
}

// cpuTime is the processor time that this process has had.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// result gives what all clients had, once they have ended.
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

// runClient is one client until the load is stopped.
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

// sendRequests sends one request after the other and notes latencies and errors.
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
		if err := r.note(failure, time.Since(started), latencies, codes); err != nil {
			return err
		}
		time.Sleep(r.Pause)
	}
	return nil
}

// note notes a response, unless the load was stopped before it came.
func (r *loadRun) note(failure *pg.Error, latency time.Duration, latencies *hdrhistogram.Histogram, codes map[string]int64) error {
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
