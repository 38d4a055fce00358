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
	// lingerTimeout is how long a peer may take to close its end after all data has been sent.
	lingerTimeout = time.Second
	// unsentLingerFactor multiplies lingerTimeout while there are unsent bytes.
	unsentLingerFactor = 3
)

// Handler is notified on the loop of a connection's data and of its end.
type Handler interface {
	// Data receives bytes; the slice is valid until it returns.
	Data(data []byte)
	// Drained is called after Data when nothing more can be read for now.
	Drained()
	// Closed is called once when the connection has ended, unless it was closed locally by Close.
	Closed()
}

// Conn is a TCP connection. Its exported methods must be called on the loop.
type Conn struct {
	loop    *Loop
	nb      *nbio.Conn
	handler Handler
	closed  bool
	inbound bool // accepted rather than dialled

	// readMu is held during a read, by the loop or the poller, and while the loop checks for unread bytes and ends the connection.
	readMu     sync.Mutex
	tail       []byte      // read by the poller before it closed the descriptor; guarded by readMu; bounded by drain
	readPosted atomic.Bool // the mailbox holds readPostedData
	turnQueued bool        // the loop's turns hold one of this connection
	moreToRead bool        // there may be unread bytes of which the poller gives no further news
	paused     bool        // by PauseReading
	drained    bool        // nothing more could be read after the last Data
	discarding atomic.Bool // further data is discarded

	polledBatch  int64 // batch in which the descriptor was last polled
	polledEvents int16 // result of that poll

	submitted    int64        // bytes passed to Write
	unflushed    []byte       // written in this batch and not sent yet; only of inbound connections
	written      atomic.Int64 // bytes accepted by the operating system
	delayedWrite []byte       // to be written when this host has memory again; bounded by maxUnsent
	linger       *time.Timer  // drops a connection that is being finished; nil: it is not
	finishAt     atomic.Int64 // value of written at which the connection is finished; 0: it is not being finished
}

// control calls f with the descriptor. It holds nbio's lock, so that the descriptor can't be closed and reused in the meantime.
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
	var callErr error
	controlErr := raw.Control(func(fd uintptr) { callErr = f(int(fd)) })
	return errors.Join(controlErr, callErr)
}

// Handle sets the handler. Data that was received earlier, and an end of the connection that was already reported, are delivered to
// it as well. A peer may send data or close the connection before the dialler is told that it is established; without this the
// dialler would wait until its timeout.
func (c *Conn) Handle(handler Handler) {
	closed := c.closed
	c.handler = handler
	if !c.moreToRead && !closed {
		return
	}
	c.moreToRead = false
	c.loop.Defer(func() {
		c.readTurn()
		if closed {
			handler.Closed()
		}
	})
}

// notifyClosed notifies the handler, at most once, that the connection has ended.
func (c *Conn) notifyClosed() {
	if !c.closed {
		c.closed = true
		if c.handler != nil {
			c.handler.Closed()
		}
	}
	c.stopLinger()
	failpoint.Hit("eventloop.closed")
}

// fail ends the connection after a failed write. It shuts the socket down so that the peer is notified whatever the error was.
func (c *Conn) fail() {
	c.Drop()
	c.loop.Defer(c.notifyClosed)
}

// Close ends the connection immediately, without calling the handler's Closed. The poller closes the descriptor.
func (c *Conn) Close() {
	c.closed = true
	c.Drop()
}

// Drop ends the connection immediately; the handler's Closed is called afterwards.
func (c *Conn) Drop() {
	c.discarding.Store(true)
	c.shutdown(unix.SHUT_RDWR)
}

// Finish closes the connection gracefully. Once all data is written, it shuts down the sending direction and waits up to
// lingerTimeout for the peer to close its end: closing a socket with unread bytes resets the connection, and the peer could lose the
// last response. If the peer does not read, writing and lingering together may take unsentLingerFactor times as long.
func (c *Conn) Finish() {
	c.discarding.Store(true)
	if c.closed || c.finishAt.Load() > 0 {
		return
	}
	c.finishAt.Store(c.submitted)
	if c.Sent() {
		c.shutdownWrite()
	} else {
		c.dropAfter(unsentLingerFactor * lingerTimeout)
	}
}

// DropIfQuiescent drops the connection, unless there are received bytes that the handler has not seen or unsent bytes. It reports
// whether it did. The check and the shutdown are atomic with respect to the poller's reads: bytes that the poller reads later arrived
// after the shutdown, and their sender can tell that they were not accepted.
func (c *Conn) DropIfQuiescent() bool { return c.endIfQuiescent(c.Drop) }

// FinishIfQuiescent calls Finish under the same condition as DropIfQuiescent. It reports whether it did.
func (c *Conn) FinishIfQuiescent() bool { return c.endIfQuiescent(c.Finish) }

func (c *Conn) endIfQuiescent(end func()) bool {
	c.flush()
	c.readMu.Lock()
	defer c.readMu.Unlock()
	if c.closed || !c.Sent() || c.unreadLocked() {
		return false
	}
	failpoint.Hit("eventloop.quiescent")
	end()
	return true
}

// shutdownWrite shuts down the sending direction, and drops the connection after lingerTimeout.
func (c *Conn) shutdownWrite() {
	c.shutdown(unix.SHUT_WR)
	c.dropAfter(lingerTimeout)
}

// dropAfter drops the connection after a timeout, in place of an earlier one.
func (c *Conn) dropAfter(timeout time.Duration) {
	c.stopLinger()
	if !c.closed {
		c.linger = c.loop.After(float64(timeout.Milliseconds()), c.Drop)
	}
}

// stopLinger stops the timer of dropAfter, which would keep the connection and its handler in memory.
func (c *Conn) stopLinger() {
	if c.linger != nil {
		c.linger.Stop()
		c.linger = nil
	}
}

// shutdown shuts down one or both directions. The poller closes a connection that is shut down in both.
func (c *Conn) shutdown(how int) {
	// This fails only if the connection has already ended, in which case the poller reports it.
	_ = c.control(func(fd int) error { return unix.Shutdown(fd, how) })
}
