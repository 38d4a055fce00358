package hostile

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"wayloft/internal/lab"
	"wayloft/internal/pg"
)

const (
	defaultOrdinary   = 12
	ordinaryPause     = 5 * time.Millisecond
	ordinaryDeadline  = time.Second
	answerGrace       = 500 * time.Millisecond // a response later than this after the deadline counts as lost
	maxFailureTexts   = 5
	maxLatencyMicros  = int64(time.Minute / time.Microsecond)
	significantDigits = 3
	storedRows        = 100 // rows h0, h1, ... of the cluster
)

// Service is what well-behaved clients got. Latencies are in ms, of served requests.
type Service struct {
	P50, P99, Max float64
	Served        int
	Refused       int // rejected or failed, in time
	Lost          int // no response, a later one than the rules allow, or a connection that ended under a request
}

// ordinaryClients send one request after another, each with a pause, and expect each to be answered in time.
type ordinaryClients struct {
	address string
	form    Form

	mu        sync.Mutex // guards the fields below
	stopped   bool
	latencies *hdrhistogram.Histogram
	service   Service
	failures  []string

	running sync.WaitGroup
}

func startOrdinary(address string, form Form, count int, seed int64) *ordinaryClients {
	o := &ordinaryClients{address: address, form: form, latencies: newLatencies()}
	for client := range count {
		random := rand.New(rand.NewPCG(uint64(seed), uint64(client)))
		o.running.Go(func() { o.run(client, random) })
	}
	return o
}

func newLatencies() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatencyMicros, significantDigits)
}

// reset returns the service since the last call.
func (o *ordinaryClients) reset() Service {
	o.mu.Lock()
	defer o.mu.Unlock()
	quantile := func(q float64) float64 { return float64(o.latencies.ValueAtQuantile(q)) / 1000 }
	result := o.service
	result.P50, result.P99, result.Max = quantile(50), quantile(99), float64(o.latencies.Max())/1000
	o.latencies.Reset()
	o.service = Service{}
	return result
}

func (o *ordinaryClients) failureTexts() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.failures
}

func (o *ordinaryClients) stop() {
	o.mu.Lock()
	o.stopped = true
	o.mu.Unlock()
	o.running.Wait()
}

func (o *ordinaryClients) isStopped() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.stopped
}

// run sends requests until the clients are stopped. A client whose connection has ended connects again.
func (o *ordinaryClients) run(client int, random *rand.Rand) {
	var connection *lab.Client
	for n := 0; !o.isStopped(); n++ {
		time.Sleep(time.Duration(random.Int64N(int64(2 * ordinaryPause))))
		connection = o.ask(connection, o.request(client, n, random))
	}
	if connection != nil {
		connection.Close()
	}
}

// ask sends a request and records what came of it. It returns the connection for the next request. A router may close a connection between
// two requests: if the close crosses a request, it is sent once more on a new connection.
func (o *ordinaryClients) ask(connection *lab.Client, request []byte) *lab.Client {
	started, reused := time.Now(), connection != nil
	for {
		if connection == nil {
			opened, err := lab.ConnectWithin(o.address, ordinaryDeadline+answerGrace)
			if err != nil {
				o.record(time.Since(started), nil, fmt.Errorf("connect: %w", err))
				return nil
			}
			connection = opened
		}
		failure, err := connection.SendWithin(request, 1, ordinaryDeadline+answerGrace-time.Since(started))
		if err == nil {
			o.record(time.Since(started), failure, nil)
			return connection
		}
		connection.Close()
		connection = nil
		if !reused || errors.Is(err, os.ErrDeadlineExceeded) {
			o.record(time.Since(started), nil, err)
			return nil
		}
		reused = false
	}
}

// request returns a client's next request: a read, as every other one, or a write.
func (o *ordinaryClients) request(client, n int, random *rand.Rand) []byte {
	handle := fmt.Sprint("h", random.IntN(storedRows))
	statement, class := fmt.Sprintf("SELECT blob FROM rows WHERE handle = '%s'", handle), "look"
	if n%2 == 1 {
		statement, class = fmt.Sprintf("INSERT INTO rows (handle, blob) VALUES ('%s', 'x') RETURNING blob", handle), "order"
	}
	if o.form == Pool && class == "order" {
		class = "write"
	}
	return pg.AppendQuery(nil, fmt.Sprintf("/* id=o%d-%d,c=%s,d=%d,cluster=%d */ %s", client, n, class, ordinaryDeadline.Milliseconds(), groups[o.form], statement))
}

func (o *ordinaryClients) record(took time.Duration, failure *pg.Error, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case err != nil:
		o.service.Lost++
		if len(o.failures) < maxFailureTexts {
			o.failures = append(o.failures, fmt.Sprintf("after %v: %v", took.Round(time.Millisecond), err))
		}
	case failure != nil:
		o.service.Refused++
	default:
		o.service.Served++
		_ = o.latencies.RecordValue(max(1, took.Microseconds())) // below the maximum, by the timeout
	}
}
