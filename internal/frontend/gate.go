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

// acceptRetryPause is the pause after an accept that failed: a descriptor may come free.
const acceptRetryPause = time.Duration(syscallerror.RetryPauseMs * float64(time.Millisecond))

// Gate returns a listener that leaves connections in the operating system's backlog while there is no room for a session.
func (f *Frontend) Gate(listener net.Listener) net.Listener {
	f.gate = &gate{Listener: listener, slots: f.acceptSlots}
	return f.gate
}

// gate is the listener. Accept runs on the poller's goroutine; open and empty run on the event loop. A nil gate has no connections.
//
// The gate is closed by a deadline in the past, upon which a call of Accept returns without a connection. transitions counts how often it
// was closed or opened, so that the event loop can tell whether Accept has returned since the gate was closed last.
type gate struct {
	net.Listener
	slots    chan struct{}
	accepted atomic.Int64 // connections accepted
	started  int64        // of these, how many have become sessions; the event loop's

	transitions  atomic.Int64 // odd while the gate is closed
	acknowledged atomic.Int64 // the value of transitions when Accept last returned because of the deadline

	pending net.Conn // accepted, not yet adopted for want of a descriptor; the poller's
}

// deadlineListener is a listener whose Accept can be made to return.
type deadlineListener interface{ SetDeadline(time.Time) error }

// Accept returns the next connection, of the poller's type.
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
		time.Sleep(acceptRetryPause) // the poller calls again at once
	}
	return nil, err
}

// nextAdopted accepts a connection and converts it to the poller's type. While no descriptor is left for that, the connection is kept for
// the next call instead of being closed: its client may have sent a request already.
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

// empty reports whether no connection is on its way in: neither in the operating system's backlog nor between it and the event loop. The
// process may end then without losing a request that a client has sent and nobody has read. The first call closes the gate. The answer is
// no until Accept has returned without a connection: from then on none is between the two.
func (g *gate) empty() bool {
	if g == nil {
		return true
	}
	listener, ok := g.Listener.(deadlineListener)
	if !ok {
		return g.accepted.Load() == g.started
	}
	if !g.closed() {
		g.transitions.Add(1)
		_ = listener.SetDeadline(time.Unix(1, 0)) // fails only if the listener is closed, which makes Accept return too
	}
	if g.acknowledged.Load() != g.transitions.Load() {
		return false
	}
	if g.backlogged() || g.accepted.Load() != g.started {
		g.open()
		return false
	}
	return true
}

func (g *gate) closed() bool { return g.transitions.Load()%2 == 1 }

// open has connections accepted again, if the gate is closed.
func (g *gate) open() {
	listener, ok := g.Listener.(deadlineListener)
	if !ok || !g.closed() {
		return
	}
	g.transitions.Add(1)
	_ = listener.SetDeadline(time.Time{}) // fails only if the listener is closed: none is accepted any more
}

// backlogged reports whether the operating system holds a connection that was not accepted.
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
