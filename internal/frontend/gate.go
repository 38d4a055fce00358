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
	a.gate = &gate{Listener: l, room: a.room}
	return a.gate
}

type gate struct {
	net.Listener
	room  chan struct{}
	let   atomic.Int64 // connections let in
	taken int64        // of these, how many have become sessions; the loop's

	shut   atomic.Int64 // counts the times that it was shut or opened; odd: shut
	parked atomic.Int64 // when it was that a call for the next connection last came back without one

	accepted net.Conn // not yet with the poller, for want of a descriptor; the acceptor's
}

func (g *gate) Accept() (net.Conn, error) {
	g.room <- struct{}{}
	shut := g.shut.Load()
	c, err := g.next()
	if err == nil {
		return c, nil
	}
	<-g.room
	if errors.Is(err, os.ErrDeadlineExceeded) {
		g.parked.Store(shut)
	} else if !errors.Is(err, net.ErrClosed) {
		time.Sleep(pause) // the poller asks again at once, and a descriptor may come free
	}
	return nil, err
}

// next gives the next connection in the poller's form. One that was accepted stays for the next call while no descriptor is
// left for that form. Guards against closing it: its client may have sent a request already.
func (g *gate) next() (net.Conn, error) {
	if g.accepted == nil {
		c, err := g.accept()
		if err != nil {
			return nil, err
		}
		failpoint.Hit("clients.accepted")
		g.let.Add(1)
		g.accepted = c
	}
	c, err := eventloop.Adopt(g.accepted)
	if err != nil && errors.As(err, new(syscall.Errno)) {
		return nil, err
	}
	if err != nil { // it has no descriptor at all
		g.accepted.Close()
		g.let.Add(-1)
	}
	g.accepted = nil
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
		return g.let.Load() == g.taken
	}
	if g.shut.Load()%2 == 0 {
		g.shut.Add(1)
		timed.SetDeadline(time.Unix(1, 0))
	}
	if g.parked.Load() != g.shut.Load() {
		return false
	}
	if g.waits() || g.let.Load() != g.taken {
		g.open()
		return false
	}
	return true
}

// open has connections come in again, if it was shut.
func (g *gate) open() {
	if timed, ok := g.Listener.(interface{ SetDeadline(time.Time) error }); ok && g.shut.Load()%2 == 1 {
		g.shut.Add(1)
		timed.SetDeadline(time.Time{})
	}
}

// waits tells whether the system holds a connection that nobody has taken.
func (g *gate) waits() (some bool) {
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
