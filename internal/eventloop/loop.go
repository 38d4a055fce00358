// Package eventloop runs a router's event loop. Loop is the single goroutine that handles all of the router's events. It owns the
// mailbox, the clock, the timers and the sockets, which one nbio poller serves, and it does not interpret the bytes on them. Driver
// connects a loop to the decision module of package router: it passes events in as inputs and carries out the decisions, but makes
// no decisions itself.
//
// Times are float64 milliseconds on the loop's clock unless stated otherwise. Methods must be called on the loop's goroutine unless
// their doc comment says otherwise.
package eventloop

import (
	"runtime"
	"sync"
	"time"

	"github.com/lesismal/nbio"
	"golang.org/x/sys/unix"

	"wayloft/internal/decide/clockoffset"
	"wayloft/internal/failpoint"
)

const (
	// mailboxCapacity is the maximum number of queued events. Post blocks while the mailbox is full.
	mailboxCapacity = 256
	// maxTurnsPerBatch limits the turns in one batch, so that events that arrive meanwhile wait only for these.
	maxTurnsPerBatch = 8
)

// Loop is a single goroutine that handles events in batches, together with the mailbox, timers and poller that wake it.
type Loop struct {
	mailbox     chan func()
	deferred    []func() // run on the loop after the current event
	turns       []func() // run in later batches, in order
	unflushed   []*Conn  // connections with writes that are sent at the end of the batch
	start       time.Time
	wallAtStart float64 // the machine's wall clock at start, Unix ms; used only as the origin of Clock
	now         float64
	batch       int64 // number of the current batch of events
	stopping    bool
	engine      *nbio.Engine

	clusterClock clockoffset.Estimate
	readBuffer   []byte // used only on the loop
	drainBuffer  []byte // used only by the poller

	maxUnsent int64 // limit of unsent bytes per connection; 0: unlimited

	engineMu      sync.Mutex // held while a dialled connection is registered with the poller
	engineStopped bool       // guarded by engineMu: no more connections may be registered
}

// NewLoop returns a loop for at most the given number of descriptors.
func NewLoop(descriptors int) *Loop { return NewLoopAt(descriptors, time.Now()) }

// NewLoopAt is NewLoop with an explicit reading of the machine's wall clock.
func NewLoopAt(descriptors int, wall time.Time) *Loop {
	l := &Loop{
		mailbox:     make(chan func(), mailboxCapacity),
		start:       time.Now(),
		wallAtStart: float64(wall.UnixMicro()) / 1000,
		readBuffer:  make([]byte, readSize),
		drainBuffer: make([]byte, readSize),
	}
	l.now = l.wallAtStart
	nbio.MaxOpenFiles = 2*descriptors + 1024 // the size of nbio's connection table; the process's descriptor limit is lower
	return l
}

// Now returns the time of the current batch of events, in ms on the loop's clock. It equals Unix time only if the machine's wall
// clock was correct at startup, so times that are sent to other processes must come from ClusterNow.
func (l *Loop) Now() float64 { return l.now }

// Clock returns the current time in ms on the loop's clock, which may be later than Now. The wall clock is read only once, at
// startup; from then on the clock is monotonic. Clock is safe for concurrent use.
func (l *Loop) Clock() float64 {
	return l.wallAtStart + float64(time.Since(l.start).Microseconds())/1000
}

// beginBatch starts a new batch of events at the current time.
func (l *Loop) beginBatch() {
	l.batch++
	l.now = l.Clock()
}

// Post queues f to run on the loop. It blocks while the mailbox is full, so it must not be called on the loop's goroutine.
func (l *Loop) Post(f func()) { l.mailbox <- f }

// Defer schedules f to run on the loop after the current event: later in the same batch, or in the next batch if called from the
// endBatch function of Run.
func (l *Loop) Defer(f func()) { l.deferred = append(l.deferred, f) }

// NextTurn queues f for a later batch, behind the turns that are queued already. Whoever has more to do than a bounded piece of work does the
// rest in further turns, so that the loop serves others in between.
func (l *Loop) NextTurn(f func()) { l.turns = append(l.turns, f) }

// After schedules f to run on the loop after ms milliseconds, unless the timer is stopped before it fires. f may still run if the
// timer has already posted it to the mailbox.
func (l *Loop) After(ms float64, f func()) *time.Timer {
	return time.AfterFunc(time.Duration(max(0, ms)*float64(time.Millisecond)), func() { l.Post(f) })
}

// Stop makes Run return after the current batch.
func (l *Loop) Stop() { l.stopping = true }

// Run handles events in batches and calls endBatch after each, until Stop is called. It then stops the poller.
func (l *Loop) Run(endBatch func()) {
	failpoint.Hit("eventloop.starting")
	for !l.stopping {
		if len(l.deferred)+len(l.turns) == 0 {
			f := <-l.mailbox
			l.beginBatch()
			f()
		} else {
			yield()
			l.beginBatch()
		}
		for n := len(l.mailbox); n > 0; n-- {
			(<-l.mailbox)()
		}
		l.runTurns()
		l.runDeferred()
		endBatch()
		l.flushWrites()
	}
	l.stopEngine()
}

// yield lets the poller run where there is one core: the operating system its thread, which has events, and then the Go runtime its goroutine.
func yield() {
	_, _, _ = unix.Syscall(unix.SYS_SCHED_YIELD, 0, 0, 0) // it never fails
	runtime.Gosched()
}

// runTurns runs the first of the turns that were queued before this batch.
func (l *Loop) runTurns() {
	due := l.turns[:min(len(l.turns), maxTurnsPerBatch)]
	l.turns = l.turns[len(due):]
	for n, f := range due {
		due[n] = nil
		f()
	}
}

func (l *Loop) runDeferred() {
	for len(l.deferred) > 0 {
		deferred := l.deferred
		l.deferred = nil
		for _, f := range deferred {
			f()
		}
	}
}

// flushWrites sends what was written to inbound connections in this batch.
func (l *Loop) flushWrites() {
	for n, c := range l.unflushed {
		l.unflushed[n] = nil
		c.flush()
	}
	l.unflushed = l.unflushed[:0]
}
