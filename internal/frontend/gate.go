package frontend

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"wayloft/internal/eventloop"
	"wayloft/internal/failpoint"
)

// Gate makes a listener leave connections with the system while there is no room.
func (a *Frontend) Gate(l net.Listener) net.Listener {
	a.gate = &gate{Listener: l, slots: a.acceptSlots}
	return a.gate
}

type gate struct {
	net.Listener
	slots    chan struct{}
	accepted atomic.Int64 // connections let in
	started  int64        // of these, how many have become sessions; the loop's

	closings   atomic.Int64 // counts the times that it was shut or opened; odd: shut
	returnedAt atomic.Int64 // when it was that a call for the next connection last came back without one

	pending net.Conn // not yet with the poller, for want of a descriptor; the acceptor's
}

func (g *gate) Accept() (net.Conn, error) {
	g.slots <- struct{}{}
	shut := g.closings.Load()
	c, err := g.nextAdopted()
	if err == nil {
		return c, nil
	}
	<-g.slots
	if errors.Is(err, os.ErrDeadlineExceeded) {
		g.returnedAt.Store(shut)
	} else if !errors.Is(err, net.ErrClosed) {
		time.Sleep(acceptRetryPause) // the poller asks again at once, and a descriptor may come free
	}
	return nil, err
}

// nextAdopted gives the next connection in the poller's form. One that was accepted stays for the next call while no descriptor is
// left for that form. Guards against closing it: its client may have sent a request already.
func (g *gate) nextAdopted() (net.Conn, error) {
	if g.pending == nil {
		c, err := g.accept()
		if err != nil {
			return nil, err
		}
		failpoint.Hit("clients.accepted")
		g.accepted.Add(1)
		g.pending = c
	}
	c, err := eventloop.Adopt(g.pending)
	if err != nil && errors.As(err, new(syscall.Errno)) {
		return nil, err
	}
	if err != nil { // it has no descriptor at all
		g.pending.Close()
		g.accepted.Add(-1)
	}
	g.pending = nil
	return c, err
}

func (g *gate) accept() (net.Conn, error) {
	if err := failpoint.Error("clients.accept"); err != nil {
		return nil, err
	}
	return g.Listener.Accept()
}

// empty tells that no connection is on its way in: with the system, or between it and the loop. Guards against an end of
// the process that takes a whole request away, which its client has sent and nobody has read. The gate is shut first, and
// the answer is no until a call for the next connection has come back without one: none is between the two then.
func (g *gate) empty() bool {
	if g == nil {
		return true
	}
	timed, ok := g.Listener.(interface{ SetDeadline(time.Time) error })
	if !ok {
		return g.accepted.Load() == g.started
	}
	if g.closings.Load()%2 == 0 {
		g.closings.Add(1)
		timed.SetDeadline(time.Unix(1, 0))
	}
	if g.returnedAt.Load() != g.closings.Load() {
		return false
	}
	if g.backlogged() || g.accepted.Load() != g.started {
		g.open()
		return false
	}
	return true
}

// open has connections come in again, if it was shut.
func (g *gate) open() {
	if timed, ok := g.Listener.(interface{ SetDeadline(time.Time) error }); ok && g.closings.Load()%2 == 1 {
		g.closings.Add(1)
		timed.SetDeadline(time.Time{})
	}
}

// backlogged tells whether the system holds a connection that nobody has taken.
func (g *gate) backlogged() (some bool) {
	if sys, ok := g.Listener.(syscall.Conn); ok {
		if raw, err := sys.SyscallConn(); err == nil {
			raw.Control(func(fd uintptr) {
				poll := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
				n, err := unix.Poll(poll, 0)
				some = err != nil || n > 0
			})
		}
	}
	return some
}
