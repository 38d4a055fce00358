// Package hostile measures what a misbehaving client costs a router and its other clients. It runs a real router process with little memory
// in front of a cluster of fake members, lets clients of one hostile kind loose on it, and records the process's resources and what
// well-behaved clients get meanwhile. Everything runs on loopback, and only processes that the package has started are ended.
package hostile

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"time"

	"wayloft/internal/fakes/pgserver"
	"wayloft/internal/lab"
)

const (
	members            = 3
	memberResponseTime = time.Millisecond
	warmUp             = 500 * time.Millisecond
	largeRowBytes      = 60 << 10
	largeRowHandle     = "large"

	// settleTimeout is how long after the hostile clients have left the process may take to release their memory.
	settleTimeout  = 10 * time.Second
	settleInterval = 100 * time.Millisecond
	// settledMiB is how much more memory than before the process may then hold.
	settledMiB = 2
)

// Form is how the router's clients speak to it.
type Form string

// Forms.
const (
	Platform Form = "platform" // statements with the platform's comment, one at a time
	Pool     Form = "pool"     // a pool by transaction
)

// Run is one measurement.
type Run struct {
	Program     string // path of the wayloft binary
	Form        Form
	MemoryMiB   int
	Descriptors int
	Peer        Peer
	Ordinary    int           // well-behaved clients
	Alone       time.Duration // before the hostile clients come
	Duration    time.Duration // how long with them
	OneCore     bool          // the router runs on one core, which nothing else of this process uses
	Neighbors   int           // busy processes on the router's core
	Seed        int64
}

// Row is the result of a Run.
type Row struct {
	Peer             string  `json:"peer"`
	Form             Form    `json:"form"`
	MemoryMiB        int     `json:"memory_mib"`
	Descriptors      int     `json:"descriptors"`
	Neighbors        int     `json:"neighbors"`
	RestMiB          float64 `json:"rest_mib"`  // resident memory before the hostile clients
	PeakMiB          float64 `json:"peak_mib"`  // peak of the resident memory, since the start of the process
	AfterMiB         float64 `json:"after_mib"` // resident memory after they have left, at most settleTimeout later
	PeakDescriptors  int     `json:"peak_descriptors"`
	CPU              float64 `json:"cpu"` // cores used while the hostile clients ran
	Ended            bool    `json:"ended"`
	Alone, Beside    Service
	PeerSentMiB      float64       `json:"peer_sent_mib"`
	PeerConnections  int64         `json:"peer_connections"`
	PeerAnswered     time.Duration `json:"peer_answered"` // longest time until a hostile client's connection was answered or ended
	PeerNeverEnded   int64         `json:"peer_never_ended"`
	SettledAfter     time.Duration `json:"settled_after"`
	SentAfterGone    int           `json:"sent_after_gone"` // attempts that began too late after their client had left
	RanTwice         int           `json:"ran_twice"`       // ids of orders that members received more than once
	ordinaryFailures []string
}

// Failures returns the targets that the row misses: the process's memory and descriptors, and service to well-behaved clients.
func (r *Row) Failures() (failures []string) {
	miss := func(format string, arguments ...any) { failures = append(failures, fmt.Sprintf(format, arguments...)) }
	if r.Ended {
		miss("the router's process has ended")
	}
	if r.PeakMiB > float64(r.MemoryMiB) {
		miss("peak of %.1f MiB over the limit of %d", r.PeakMiB, r.MemoryMiB)
	}
	if r.PeakDescriptors > r.Descriptors {
		miss("%d descriptors over the limit of %d", r.PeakDescriptors, r.Descriptors)
	}
	if r.Beside.Lost > 0 {
		miss("%d requests of well-behaved clients lost: %v", r.Beside.Lost, r.ordinaryFailures)
	}
	if r.SentAfterGone > 0 {
		miss("%d attempts began more than %v after their client had left", r.SentAfterGone, sendAfterGone)
	}
	if r.RanTwice > 0 {
		miss("%d ids of orders were sent more than once", r.RanTwice)
	}
	return failures
}

// String formats the row for a table whose head is Header.
func (r *Row) String() string {
	return fmt.Sprintf("%-22s %-8s %4d %5d %2d  %5.1f %5.1f %5.1f  %5d %5.2f  %7.1f %7.1f %8.1f  %7.1f %7.1f %8.1f  %6d %5d %5d  %7.1f %6d %6.1fs",
		r.Peer, r.Form, r.MemoryMiB, r.Descriptors, r.Neighbors, r.RestMiB, r.PeakMiB, r.AfterMiB, r.PeakDescriptors, r.CPU,
		r.Alone.P50, r.Alone.P99, r.Alone.Max, r.Beside.P50, r.Beside.P99, r.Beside.Max,
		r.Beside.Served, r.Beside.Refused, r.Beside.Lost, r.PeerSentMiB, r.PeerConnections, r.PeerAnswered.Seconds())
}

// Header is the head of a table of rows: memory in MiB, latencies in ms.
const Header = "peer                   form     mem  desc  nb   rest  peak after   desc   cpu      p50     p99      max  with p50    p99      max" +
	"  served refus  lost  sent MiB  conns  answered"

// Measure runs the measurement.
func (run Run) Measure(ctx context.Context) (row *Row, err error) {
	attempts := newAttemptLog()
	cluster, err := lab.StartCluster(members, cmp.Or(run.Peer.memberTime, memberResponseTime), func(s *pgserver.Server) {
		s.Lag = 0
		s.InjectFault = attempts.receive
	})
	if err != nil {
		return nil, err
	}
	defer cluster.Close()
	cluster.Put(largeRowHandle, largeRow())
	router, err := run.startRouter(cluster)
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, router.close()) }()
	row = &Row{Peer: run.Peer.Name, Form: run.Form, MemoryMiB: run.MemoryMiB, Descriptors: run.Descriptors, Neighbors: run.Neighbors}
	ordinary := startOrdinary(router.address, run.Form, cmp.Or(run.Ordinary, defaultOrdinary), run.Seed)
	defer ordinary.stop()
	time.Sleep(warmUp)
	ordinary.reset()
	time.Sleep(run.Alone)
	row.Alone = ordinary.reset()
	row.RestMiB = router.resident()
	run.attack(ctx, router, row, attempts)
	row.Beside = ordinary.reset()
	row.ordinaryFailures = ordinary.failureTexts()
	row.PeakMiB, row.Ended = router.peak(), router.ended()
	run.settle(router, row)
	row.SentAfterGone, row.RanTwice = attempts.tooLate(), attempts.repeated()
	return row, nil
}

// attack lets the hostile clients loose for the run's duration, and waits until they have left.
func (run Run) attack(ctx context.Context, router *routerProcess, row *Row, attempts *attemptLog) {
	ctx, cancel := context.WithTimeout(ctx, run.Duration)
	defer cancel()
	sampled := make(chan struct{})
	go func() {
		defer close(sampled)
		for ctx.Err() == nil {
			row.PeakDescriptors = max(row.PeakDescriptors, router.descriptors())
			time.Sleep(settleInterval)
		}
	}()
	started, before := time.Now(), router.cpuSeconds()
	result := run.Peer.attack(ctx, router.address, run.Seed, attempts)
	<-sampled
	row.CPU = (router.cpuSeconds() - before) / time.Since(started).Seconds()
	row.PeerSentMiB = float64(result.sent.Load()) / bytesPerMiB
	row.PeerConnections, row.PeerNeverEnded = result.connections.Load(), result.unanswered.Load()
	row.PeerAnswered = time.Duration(result.longestWait.Load())
}

// settle waits until the process holds about as much memory as before the hostile clients came.
func (run Run) settle(router *routerProcess, row *Row) {
	started := time.Now()
	for !row.Ended {
		row.AfterMiB, row.SettledAfter = router.resident(), time.Since(started)
		if row.AfterMiB <= row.RestMiB+settledMiB || row.SettledAfter > settleTimeout {
			return
		}
		time.Sleep(settleInterval)
	}
}
