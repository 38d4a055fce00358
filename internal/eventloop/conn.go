package eventloop

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio"
	"golang.org/x/sys/unix"

	"wayloft/internal/failpoint"
)

const (
	// lingerTimeout is how long a peer that has been sent everything may take to close its end.
	lingerTimeout = time.Second
	// unsentLingerFactor multiplies lingerTimeout for a peer that has not read everything yet.
	unsentLingerFactor = 3
)

// Handler receives a connection's bytes and its end, on the loop.
type Handler interface {
	// Data receives bytes; the handler may keep them.
	Data(data []byte)
	// Closed is called once when the connection has ended, unless the handler's side closed it by Close.
	Closed()
}

// Conn is a connection. Its exported methods must be called on the loop.
type Conn struct {
	loop    *Loop
	nb      *nbio.Conn
	handler Handler
	closed  bool
	inbound bool // it was accepted, not dialled

	readMu     sync.Mutex   // held while the poller reads and counts, and while the loop checks for unread bytes and ends the connection
	received   atomic.Int64 // bytes; guarded by readMu
	handled    int64        // bytes of received that have come to the loop
	unhandled  [][]byte     // what came before there was a handler; the mailbox bounds it
	discarding atomic.Bool  // the poller discards what still comes

	polledBatch  int64 // the batch in which the operating system was last polled about the connection
	polledEvents int16 // what the poll returned

	submitted    int64        // bytes given to Write
	written      atomic.Int64 // bytes that the operating system has taken
	delayedWrite []byte       // to be written once this host has memory for it; maxUnsent bounds it
	finishAt     atomic.Int64 // end once so many bytes are written; 0: don't
}

// control calls f with the descriptor while that is sure to be the connection's own.
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

// Handle sets who receives the connection's bytes and its end from now on, including what has come already. It guards against a
// peer that sends something, or ends the connection, before whoever dialled is told that it is up: the dialler would wait for
// either until its time-out.
func (c *Conn) Handle(handler Handler) {
	unhandled, closed := c.unhandled, c.closed
	c.handler, c.unhandled = handler, nil
	if unhandled == nil && !closed {
		return
	}
	c.loop.Defer(func() {
		for _, data := range unhandled {
			handler.Data(data)
		}
		if closed {
			handler.Closed()
		}
	})
}

// notifyClosed tells the handler, once, that the connection has ended.
func (c *Conn) notifyClosed() {
	if !c.closed {
		c.closed = true
		if c.handler != nil {
			c.handler.Closed()
		}
	}
	failpoint.Hit("eventloop.closed")
}

// fail ends the connection after a failed write, so that the peer learns of it whatever the error was.
func (c *Conn) fail() {
	c.Drop()
	c.loop.Defer(c.notifyClosed)
}

// Close ends the connection at once. The poller closes the descriptor; the handler's Closed is not called.
func (c *Conn) Close() {
	c.closed = true
	c.Drop()
}

// Drop ends the connection at once; the handler's Closed follows.
func (c *Conn) Drop() {
	c.discarding.Store(true)
	c.shutdown(unix.SHUT_RDWR)
}

// Finish ends the connection once the peer has received everything that was written. It then waits up to lingerTimeout for the
// peer to close its end, since closing a socket with unread bytes resets the connection, and the peer could lose the last
// response. A peer that does not read either is given unsentLingerFactor times as long, for both together.
func (c *Conn) Finish() {
	c.discarding.Store(true)
	if c.closed || c.finishAt.Load() > 0 {
		return
	}
	c.finishAt.Store(c.submitted)
	if c.Sent() {
		c.shutdownWrite()
	} else {
		c.loop.After(unsentLingerFactor*float64(lingerTimeout.Milliseconds()), c.Drop)
	}
}

// DropIfQuiescent does what Drop does, unless something has come that the handler has not received, or something is not written
// yet. It reports whether it did. The check and the end are one step as the poller sees it: whatever the poller reads afterwards
// came after the end, and its sender can tell.
func (c *Conn) DropIfQuiescent() bool { return c.ifQuiescent(c.Drop) }

// FinishIfQuiescent does what Finish does, under the condition of DropIfQuiescent. It reports whether it did.
func (c *Conn) FinishIfQuiescent() bool { return c.ifQuiescent(c.Finish) }

func (c *Conn) ifQuiescent(end func()) bool {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	if c.closed || !c.Sent() || c.unreadLocked() {
		return false
	}
	failpoint.Hit("eventloop.quiescent")
	end()
	return true
}

// shutdownWrite ends the sending direction, and the whole connection after lingerTimeout.
func (c *Conn) shutdownWrite() {
	c.shutdown(unix.SHUT_WR)
	c.loop.After(float64(lingerTimeout.Milliseconds()), c.Drop)
}

// shutdown shuts one or both directions down. The poller closes a connection that is shut down both ways.
func (c *Conn) shutdown(how int) {
	// It fails only for a connection that has ended already, which is what is wanted: the poller reports its end.
	_ = c.control(func(fd int) error { return unix.Shutdown(fd, how) })
}
