package frontend

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"wayloft/internal/decide/syscallerror"
	"wayloft/internal/eventloop"
	"wayloft/internal/failpoint"
)

// acceptRetryPause is the delay after a failed accept, in which a descriptor may become free.
const acceptRetryPause = time.Duration(syscallerror.RetryPauseMs * float64(time.Millisecond))

// Gate wraps a listener so that it accepts no more than maxSessions+rejectionSlots connections at a time. Further connections stay in the
// operating system's backlog.
func (f *Frontend) Gate(listener net.Listener) net.Listener {
	f.gate = &gate{Listener: listener, slots: f.acceptSlots}
	return f.gate
}

// gate is the listener that Gate returns. Accept runs on the poller's goroutine; open and empty run on the event loop. A nil gate has no
// connections.
//
// The event loop closes the gate by setting a deadline in the past, which makes a call of Accept return without a connection. transitions
// counts how often the gate was closed or opened, so that the event loop can tell whether Accept has returned since the last close.
type gate struct {
	net.Listener
	slots           chan struct{}
	accepted        atomic.Int64 // number of accepted connections
	sessionsStarted int64        // how many of them have become sessions; used by the event loop only

	transitions  atomic.Int64 // odd while the gate is closed
	acknowledged atomic.Int64 // the value of transitions at the start of the last Accept that the deadline ended

	pending net.Conn // accepted, not yet adopted for lack of a descriptor; used by the poller only
}

// deadlineListener is a listener whose Accept can be interrupted by a deadline.
type deadlineListener interface{ SetDeadline(time.Time) error }

// Accept returns the next connection, converted to the poller's type. It blocks while no slot is free.
func (g *gate) Accept() (net.Conn, error) {
	g.slots <- struct{}{}
	transitions := g.transitions.Load()
	connection, err := g.nextAdopted()
	if err == nil {
		return connection, nil
	}
	<-g.slots
	if errors.Is(err, os.ErrDeadlineExceeded) {
		g.acknowledged.Store(transitions)
	} else if !errors.Is(err, net.ErrClosed) {
		time.Sleep(acceptRetryPause) // the poller calls Accept again at once
	}
	return nil, err
}

// nextAdopted accepts a connection and converts it to the poller's type. If no descriptor is available for that, it keeps the connection
// for the next call instead of closing it, since the client may have sent a request already.
func (g *gate) nextAdopted() (net.Conn, error) {
	if g.pending == nil {
		accepted, err := g.accept()
		if err != nil {
			return nil, err
		}
		failpoint.Hit("frontend.accepted")
		g.accepted.Add(1)
		g.pending = accepted
	}
	adopted, err := eventloop.Adopt(g.pending)
	if err != nil && errors.As(err, new(syscall.Errno)) {
		return nil, err
	}
	if err != nil { // the connection has no descriptor
		_ = g.pending.Close()
		g.accepted.Add(-1)
	}
	g.pending = nil
	return adopted, err
}

func (g *gate) accept() (net.Conn, error) {
	if err := failpoint.Error("frontend.accept"); err != nil {
		return nil, err
	}
	return g.Listener.Accept()
}

// empty reports whether no connection is waiting to become a session, neither in the operating system's backlog nor between the backlog and
// the event loop. The process may then exit without losing a request that a client has sent and nobody has read. The first call closes the
// gate. It returns false until Accept has returned without a connection: from then on there is none between the backlog and the event loop.
// If it finds a connection after that, it opens the gate again.
func (g *gate) empty() bool {
	if g == nil {
		return true
	}
	listener, ok := g.Listener.(deadlineListener)
	if !ok {
		return g.accepted.Load() == g.sessionsStarted
	}
	if !g.closed() {
		g.transitions.Add(1)
		_ = listener.SetDeadline(time.Unix(1, 0)) // fails only if the listener is closed, which makes Accept return too
	}
	if g.acknowledged.Load() != g.transitions.Load() {
		return false
	}
	if g.backlogged() || g.accepted.Load() != g.sessionsStarted {
		g.open()
		return false
	}
	return true
}

func (g *gate) closed() bool { return g.transitions.Load()%2 == 1 }

// open resumes accepting connections if the gate is closed.
func (g *gate) open() {
	listener, ok := g.Listener.(deadlineListener)
	if !ok || !g.closed() {
		return
	}
	g.transitions.Add(1)
	_ = listener.SetDeadline(time.Time{}) // fails only if the listener is closed, which accepts no more anyway
}

// backlogged reports whether the operating system's backlog contains a connection.
func (g *gate) backlogged() bool {
	listener, ok := g.Listener.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := listener.SyscallConn()
	if err != nil {
		return false
	}
	readable := false
	err = raw.Control(func(fd uintptr) {
		events := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		n, err := unix.Poll(events, 0)
		readable = err != nil || n > 0
	})
	return err == nil && readable
}
