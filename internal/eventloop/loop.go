// Package eventloop runs the router. This file owns the one goroutine on which everything happens, its mailbox, its
// clock, its timers and the sockets, which one nbio poller serves; it must never know what the bytes mean.
package eventloop

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/logging"
	"golang.org/x/sys/unix"

	"wayloft/internal/decide/clockoffset"
	"wayloft/internal/decide/syscallerror"
	"wayloft/internal/failpoint"
)

const (
	mailboxCapacity = 256     // events that wait at most; whoever posts more waits instead
	readSize        = 1 << 14 // bytes read at once; with the mailbox they bound what waits for the loop
	maxReadsPerTurn = 64      // in a row from one connection, before others have their turn
	lingerTimeout   = time.Second

	retryPause = time.Duration(syscallerror.RetryPauseMs * float64(time.Millisecond))
)

// Loop is the goroutine and all that wakes it.
type Loop struct {
	mailbox     chan func()
	deferred    []func() // what the goroutine leaves for itself
	start       time.Time
	wallAtStart float64 // the machine's wall clock at start: the origin of Clock, and nothing else
	now         float64
	batch       int64 // counts the batches of events
	stopping    bool
	engine      *nbio.Engine

	clusterClock clockoffset.Estimate // on the loop
	readBuffer   []byte               // the poller's, for what it reads

	maxUnsent int64 // bytes that a peer may leave unread; 0: any number

	engineMu      sync.Mutex // held while the poller gets a connection that was dialled
	engineStopped bool       // under adding: it gets no more
}

// Handler hears of its connection's bytes and its end, on the loop.
type Handler interface {
	Data([]byte)
	Closed()
}

// Conn is a connection. But for what the poller calls it belongs to the loop.
type Conn struct {
	loop         *Loop
	nb           *nbio.Conn
	handler      Handler
	submitted    int64
	written      atomic.Int64
	readMu       sync.Mutex   // held while the poller reads and counts, and while the loop asks what came and ends the connection
	received     atomic.Int64 // under order
	handled      int64
	polledBatch  int64        // the batch in which the system was last asked about it
	polledEvents int16        // and what it said
	finishAt     atomic.Int64 // end once so many bytes are written; 0: don't
	discarding   atomic.Bool  // what still comes is thrown away by the poller, uncopied
	closed       bool
	inbound      bool     // it came in, and was not made here
	unhandled    [][]byte // what came before anyone handled it; the mailbox bounds it
	delayedWrite []byte   // to be written once this host has memory for it; mostLeft bounds it
}

// NewLoop makes a loop that can hold this many descriptors.
func NewLoop(descriptors int) *Loop { return NewLoopAt(descriptors, time.Now()) }

// NewLoopAt makes a loop on a machine whose wall clock shows this time.
func NewLoopAt(descriptors int, wall time.Time) *Loop {
	l := &Loop{mailbox: make(chan func(), mailboxCapacity), start: time.Now(), wallAtStart: float64(wall.UnixMicro()) / 1000, readBuffer: make([]byte, readSize)}
	l.now = l.wallAtStart
	nbio.MaxOpenFiles = 2*descriptors + 1024 // the size of its table; the platform's limit is what binds
	return l
}

// Now is the time in ms at which the present batch of events is taken to happen, on the loop's clock: it is the Unix time
// only if the machine's wall clock was right at the start. ClusterNow is for what others date.
func (l *Loop) Now() float64 { return l.now }

// Clock is the time in ms at this very moment, a batch of events may be long: one reading of the wall at the start, and
// the monotonic clock since.
func (l *Loop) Clock() float64 {
	return l.wallAtStart + float64(time.Since(l.start).Microseconds())/1000
}

// tick moves the batch's time.
func (l *Loop) tick() {
	l.batch++
	l.now = l.Clock()
}

// Post has f run on the loop; it waits while the mailbox is full and must not be called on the loop.
func (l *Loop) Post(f func()) { l.mailbox <- f }

// Defer has f run on the loop after what is running; it must be called on the loop.
func (l *Loop) Defer(f func()) { l.deferred = append(l.deferred, f) }

// After has f run on the loop in so many ms, unless it is stopped. One that is stopped late may still run.
func (l *Loop) After(ms float64, f func()) *time.Timer {
	return time.AfterFunc(time.Duration(max(0, ms)*float64(time.Millisecond)), func() { l.Post(f) })
}

// Stop has Run return.
func (l *Loop) Stop() { l.stopping = true }

// Run handles events in batches, each followed by settle, until End.
func (l *Loop) Run(settle func()) {
	for !l.stopping {
		if len(l.deferred) == 0 {
			f := <-l.mailbox
			l.tick()
			f()
		} else {
			l.tick()
		}
		for n := len(l.mailbox); n > 0; n-- {
			(<-l.mailbox)()
		}
		for len(l.deferred) > 0 {
			now := l.deferred
			l.deferred = nil
			for _, f := range now {
				f()
			}
		}
		settle()
	}
	l.stopEngine()
}

// stopEngine closes the listener and what connections are left. Nobody hears of that any more.
func (l *Loop) stopEngine() {
	if l.engine == nil {
		return
	}
	// Guards against a dial that is made just now: the poller must not get another connection while it ends.
	l.engineMu.Lock()
	l.engineStopped = true
	l.engineMu.Unlock()
	stopped := make(chan struct{})
	go func() { l.engine.Stop(); close(stopped) }()
	for late := time.After(lingerTimeout); ; {
		select {
		case <-l.mailbox:
		case <-stopped:
			return
		case <-late:
			return
		}
	}
}

// Listen starts the poller, and gives accept each connection that comes in on the listener, before its bytes. A peer
// that leaves more than mostLeft bytes unread loses its connection.
func (l *Loop) Listen(listener net.Listener, mostLeft int, accept func(*Conn)) error {
	logging.SetLevel(logging.LevelNone)
	e := nbio.NewEngine(nbio.Config{Network: "tcp", Addrs: []string{listener.Addr().String()}, NPoller: 1,
		ReadBufferSize: readSize, MaxWriteBufferSize: mostLeft,
		// Level-triggered: edge-triggered, nbio reads one connection for as long as its peer goes on sending.
		EpollMod: nbio.EPOLLLT,
		Listen:   func(string, string) (net.Listener, error) { return listener, nil }})
	e.OnOpen(func(nb *nbio.Conn) {
		if nb.Session() != nil {
			return // dialled
		}
		c := l.attach(nb, true)
		l.Post(func() { accept(c) })
	})
	e.OnRead(func(nb *nbio.Conn) {
		if c := connOf(nb); c != nil {
			c.receive()
		}
	})
	e.OnWrittenSize(func(nb *nbio.Conn, _ []byte, n int) {
		if c, ok := nb.Session().(*Conn); ok {
			if c.recordWritten(n) {
				l.engine.Async(func() { l.Post(c.shutdownWrite) })
			}
		}
	})
	e.OnClose(func(nb *nbio.Conn, _ error) {
		if c := connOf(nb); c != nil {
			l.Post(c.notifyClosed)
		}
	})
	l.engine, l.maxUnsent = e, int64(mostLeft)
	return e.Start()
}

// attach makes the connection's other half, and owner finds it. The lock orders the two for the poller, which learns of
// a connection by way of the system alone.
func (l *Loop) attach(nb *nbio.Conn, came bool) *Conn {
	c := &Conn{loop: l, nb: nb, inbound: came}
	nb.Lock()
	nb.SetSession(c)
	nb.Unlock()
	return c
}

func connOf(nb *nbio.Conn) *Conn {
	nb.Lock()
	defer nb.Unlock()
	c, _ := nb.Session().(*Conn)
	return c
}

// receive takes in what has come, a bounded part of it at once. On the poller. Of a connection that came in, bytes are told
// with the end that is there behind them: guards against a request that waited to be read for longer than its client did,
// and goes on before the loop hears that the client has gone.
func (c *Conn) receive() {
	buf := c.loop.readBuffer
	var data []byte // read, and not told yet
	defer func() { c.postData(data, false) }()
	for range maxReadsPerTurn {
		n, heard, err := c.readOnce(buf)
		if data != nil {
			c.postData(data, n == 0 && err == nil || endsConnection(err))
			data = nil
		}
		if heard {
			data = append([]byte(nil), buf[:n]...)
		}
		switch {
		case errors.Is(err, syscall.EINTR):
		case errors.Is(err, syscall.EAGAIN):
			return
		case endsConnection(err):
			c.nb.CloseWithError(err)
			return
		case err != nil: // memory is short: the poller comes back, since what came is still there
			time.Sleep(retryPause)
			return
		case n == 0 || n < len(buf) && !c.inbound:
			return
		}
	}
}

// endsConnection tells that a read's error is the end of its connection.
func endsConnection(err error) bool {
	return err != nil && syscallerror.Of(syscallerror.Read, err) == syscallerror.Peer
}

// postData has the loop hear of bytes, if there are any, and of the end behind them.
func (c *Conn) postData(data []byte, ended bool) {
	if data == nil {
		return
	}
	c.loop.Post(func() {
		c.handled += int64(len(data))
		if c.handler == nil {
			c.unhandled = append(c.unhandled, data)
		} else if !c.closed {
			c.handler.Data(data)
		}
		if ended {
			c.notifyClosed()
		}
	})
	failpoint.Hit("host.told")
}

// readOnce reads and counts in one step, against who asks what is unread. Guards against an end that is decided between the
// two: bytes that were read before it would be thrown away after it, and their sender can't know.
func (c *Conn) readOnce(buf []byte) (n int, heard bool, err error) {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	if err = failpoint.Error("host.read"); err == nil {
		n, err = c.nb.Read(buf[:failpoint.Limit("host.read", len(buf))])
	}
	failpoint.Hit("host.read")
	if heard = n > 0 && !c.discarding.Load(); heard {
		c.received.Add(int64(n))
	}
	return n, heard, err
}

// control does something to the descriptor while it is surely the connection's own.
func (c *Conn) control(f func(fd int) error) error {
	c.nb.Lock()
	defer c.nb.Unlock()
	if closed, _ := c.nb.IsClosed(); closed {
		return net.ErrClosed
	}
	raw, err := c.nb.SyscallConn()
	if err != nil {
		return err
	}
	var inner error
	return errors.Join(raw.Control(func(fd uintptr) { inner = f(int(fd)) }), inner)
}

// Handle names who hears of the connection from now on, and of what has come so far. Guards against a peer that speaks, or
// ends the connection, before whoever had it made is told of it: it would wait for either until its time-out.
func (c *Conn) Handle(h Handler) {
	early, ended := c.unhandled, c.closed
	c.handler, c.unhandled = h, nil
	if early == nil && !ended {
		return
	}
	c.loop.Defer(func() {
		for _, data := range early {
			h.Data(data)
		}
		if ended {
			h.Closed()
		}
	})
}

// Write sends b, now or as the peer takes it. If it can't, Closed follows.
func (c *Conn) Write(b []byte) {
	if c.closed || c.finishAt.Load() > 0 {
		return
	}
	c.submitted += int64(len(b))
	var err error
	if c.polledBatch != c.loop.batch {
		c.polledEvents, c.polledBatch = c.pollReadable(), c.loop.batch
	}
	if c.polledEvents&(unix.POLLERR|unix.POLLHUP) != 0 {
		err = net.ErrClosed
	} else {
		err = c.send(b)
	}
	if err != nil {
		c.fail()
	}
}

// fail ends the connection, so that the peer hears of it too, whatever was wrong.
func (c *Conn) fail() {
	c.Drop()
	c.loop.Defer(c.notifyClosed)
}

// pollReadable asks the system whether something can be read, or the connection has ended. Guards against nbio closing a descriptor in a failing write: the number is used again at
// once, and an event for the old connection that the poller still holds then closes the new one. Only the poller
// may close.
func (c *Conn) pollReadable() int16 { return c.poll(unix.POLLIN) }

// poll asks the system about these events, and whether the connection is broken.
func (c *Conn) poll(events int16) (state int16) {
	err := c.control(func(fd int) error {
		state = pollDescriptor(fd, events)
		return nil
	})
	if err != nil { // it is closed
		return unix.POLLHUP
	}
	return state
}

// pollDescriptor asks until a call is not interrupted. One that fails for want of memory is no sign of an end: something may be there
// to be read.
func pollDescriptor(fd int, events int16) int16 {
	for {
		poll := []unix.PollFd{{Fd: int32(fd), Events: events}}
		err := failpoint.Error("host.poll")
		if err == nil {
			_, err = unix.Poll(poll, 0)
		}
		switch {
		case err == nil:
			return poll[0].Revents
		case syscallerror.Of(syscallerror.Poll, err) != syscallerror.Transient: // else e.g. the runtime's own signals
			return unix.POLLIN
		}
	}
}

// Unread tells whether something has come that the handler has not heard of yet: bytes, or the end.
func (c *Conn) Unread() bool {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	return c.unreadLocked()
}

func (c *Conn) unreadLocked() bool {
	c.polledEvents, c.polledBatch = c.pollReadable(), c.loop.batch
	return c.received.Load() != c.handled || c.polledEvents != 0
}

// PeerClosed tells whether the peer has ended the connection, or its sending on it, also where the handler has not heard
// of that yet, or bytes before the end are unread. It asks the system each time.
func (c *Conn) PeerClosed() bool {
	const ends = unix.POLLRDHUP | unix.POLLHUP | unix.POLLERR
	return c.closed || c.poll(unix.POLLRDHUP)&ends != 0
}

// Written tells how many bytes the system has taken.
func (c *Conn) Written() int64 { return c.written.Load() }

// Unsent tells how many bytes the system has not taken yet, since the peer is slow to read.
func (c *Conn) Unsent() int64 { return c.submitted - c.written.Load() }

// Sent tells whether the system has taken the last byte of all that was written.
func (c *Conn) Sent() bool { return c.written.Load() == c.submitted }

func (c *Conn) notifyClosed() {
	if !c.closed {
		c.closed = true
		if c.handler != nil {
			c.handler.Closed()
		}
	}
	failpoint.Hit("host.gone")
}

// Close ends the connection at once, by way of the poller; Closed does not follow.
func (c *Conn) Close() {
	c.closed = true
	c.Drop()
}

// Drop ends the connection at once; Closed follows.
func (c *Conn) Drop() {
	c.discarding.Store(true)
	c.shutdown(unix.SHUT_RDWR)
}

// shutdown shuts one or both directions down. The poller closes a connection that is shut down both ways.
func (c *Conn) shutdown(how int) { c.control(func(fd int) error { return unix.Shutdown(fd, how) }) }

// DropIfQuiescent and FinishQuiet do as Drop and Finish, unless something has come that the handler has not heard of yet, or
// not all is written; they tell whether they did. Asking and ending are one step against the poller: what it reads
// after that came after the end, as its sender can tell.
func (c *Conn) DropIfQuiescent() bool   { return c.ifQuiescent(c.Drop) }
func (c *Conn) FinishIfQuiescent() bool { return c.ifQuiescent(c.Finish) }

func (c *Conn) ifQuiescent(end func()) bool {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	if c.closed || !c.Sent() || c.unreadLocked() {
		return false
	}
	failpoint.Hit("host.quietly")
	end()
	return true
}

// Finish ends it once the peer has what was written. It then waits a moment for the peer to close, since closing
// before all of its bytes are read would reset the connection and take the last answer away from it. A peer that does
// not even read is not waited for much longer.
func (c *Conn) Finish() {
	c.discarding.Store(true)
	if c.closed || c.finishAt.Load() > 0 {
		return
	}
	c.finishAt.Store(c.submitted)
	if c.Sent() {
		c.shutdownWrite()
	} else {
		c.loop.After(3*float64(lingerTimeout.Milliseconds()), c.Drop)
	}
}

func (c *Conn) shutdownWrite() {
	c.shutdown(unix.SHUT_WR)
	c.loop.After(float64(lingerTimeout.Milliseconds()), c.Drop)
}
