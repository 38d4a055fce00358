// Package eventloop runs a router. Loop is the one goroutine on which the router's events happen, with its mailbox, clock, timers
// and sockets, which a single nbio poller serves; it does not know what the bytes on them mean. Driver joins a loop to the
// decision module of package router: it feeds events in and carries out the decisions, but makes none of its own.
//
// Times are float64 milliseconds on the loop's clock unless a comment says otherwise. Methods must be called on the loop's
// goroutine unless their comment says otherwise.
package eventloop

import (
	"sync"
	"time"

	"github.com/lesismal/nbio"

	"wayloft/internal/decide/clockoffset"
	"wayloft/internal/failpoint"
)

// mailboxCapacity is how many events wait for the loop at most; whoever posts more is blocked meanwhile.
const mailboxCapacity = 256

// Loop is one goroutine that handles events in batches, and all that wakes it.
type Loop struct {
	mailbox     chan func()
	deferred    []func() // to be run on the loop after what is running
	start       time.Time
	wallAtStart float64 // the machine's wall clock at start, Unix ms: the origin of Clock, and used for nothing else
	now         float64
	batch       int64 // counts the batches of events
	stopping    bool
	engine      *nbio.Engine

	clusterClock clockoffset.Estimate
	readBuffer   []byte // belongs to the poller

	maxUnsent int64 // bytes that a peer may leave unread; 0: any number

	engineMu      sync.Mutex // held while the poller is given a connection that was dialled
	engineStopped bool       // guarded by engineMu: the poller is given no more connections
}

// NewLoop returns a loop that can hold this many descriptors.
func NewLoop(descriptors int) *Loop { return NewLoopAt(descriptors, time.Now()) }

// NewLoopAt returns a loop as NewLoop does, on a machine whose wall clock shows this time.
func NewLoopAt(descriptors int, wall time.Time) *Loop {
	l := &Loop{
		mailbox:     make(chan func(), mailboxCapacity),
		start:       time.Now(),
		wallAtStart: float64(wall.UnixMicro()) / 1000,
		readBuffer:  make([]byte, readSize),
	}
	l.now = l.wallAtStart
	nbio.MaxOpenFiles = 2*descriptors + 1024 // the size of nbio's table; the process's own limit is lower
	return l
}

// Now returns the time in ms at which the present batch of events is taken to happen, on the loop's clock. It is the Unix time
// only if the machine's wall clock was right at the start: times that are sent to others must be taken from ClusterNow.
func (l *Loop) Now() float64 { return l.now }

// Clock returns the present time in ms on the loop's clock, which may be later than Now. The wall clock was read once, at the
// start; since then the clock is monotonic. It may be called on any goroutine.
func (l *Loop) Clock() float64 {
	return l.wallAtStart + float64(time.Since(l.start).Microseconds())/1000
}

// beginBatch sets the time of a new batch of events.
func (l *Loop) beginBatch() {
	l.batch++
	l.now = l.Clock()
}

// Post has f run on the loop. It blocks while the mailbox is full, and must not be called on the loop's goroutine.
func (l *Loop) Post(f func()) { l.mailbox <- f }

// Defer has f run on the loop after what is running.
func (l *Loop) Defer(f func()) { l.deferred = append(l.deferred, f) }

// After has f run on the loop in so many ms, unless the timer is stopped. A timer that is stopped late may still run f.
func (l *Loop) After(ms float64, f func()) *time.Timer {
	return time.AfterFunc(time.Duration(max(0, ms)*float64(time.Millisecond)), func() { l.Post(f) })
}

// Stop has Run return after the present batch.
func (l *Loop) Stop() { l.stopping = true }

// Run handles events in batches, each followed by a call of endBatch, until Stop is called. Then it stops the poller.
func (l *Loop) Run(endBatch func()) {
	failpoint.Hit("eventloop.starting")
	for !l.stopping {
		if len(l.deferred) == 0 {
			f := <-l.mailbox
			l.beginBatch()
			f()
		} else {
			l.beginBatch()
		}
		for n := len(l.mailbox); n > 0; n-- {
			(<-l.mailbox)()
		}
		for len(l.deferred) > 0 {
			deferred := l.deferred
			l.deferred = nil
			for _, f := range deferred {
				f()
			}
		}
		endBatch()
	}
	l.stopEngine()
}
