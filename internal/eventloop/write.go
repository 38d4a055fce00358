package eventloop

import (
	"errors"
	"net"
	"slices"
	"syscall"

	"golang.org/x/sys/unix"

	"wayloft/internal/decide/syscallerror"
	"wayloft/internal/failpoint"
)

var errTooMuchUnsent = errors.New("write: the peer leaves too much unread")

// Write sends b, now or as the peer reads. If it can't be sent, the handler's Closed follows. It polls the connection before its
// first write in a batch. This guards against nbio closing the descriptor in a write that fails: the number would be used again at
// once, and an event for the old connection that the poller still holds would close the new one. Only the poller may close.
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

// send writes what the operating system takes now, and leaves the rest to the poller. It guards against nbio's own first write and
// its bound, which both close the descriptor at once if they fail: only the poller may.
func (c *Conn) send(b []byte) error {
	if limit := c.loop.maxUnsent; limit > 0 && c.Unsent() > limit {
		return errTooMuchUnsent
	}
	if c.delayedWrite != nil { // b goes behind it
		c.delayedWrite = append(c.delayedWrite, b...)
		return nil
	}
	if c.Unsent() > int64(len(b)) { // the poller has some to write first
		_, err := c.nb.Write(b)
		return err
	}
	n, err := c.writeOnce(b)
	if c.recordWritten(n) {
		c.loop.Defer(c.shutdownWrite)
	}
	switch b = b[n:]; {
	case len(b) == 0:
		return nil
	case err != nil && syscallerror.Of(syscallerror.Write, err) == syscallerror.HostResources:
		c.delayedWrite = slices.Clone(b)
		c.loop.After(syscallerror.RetryPauseMs, c.resend)
		return nil
	case err != nil && !errors.Is(err, syscall.EAGAIN):
		return err
	}
	_, err = c.nb.Write(b)
	return err
}

// resend writes what was delayed for want of memory.
func (c *Conn) resend() {
	b := c.delayedWrite
	if c.delayedWrite = nil; c.closed {
		return
	}
	if err := c.send(b); err != nil {
		c.fail()
	}
}

// writeOnce makes one write that is not interrupted. It returns how many bytes the operating system has taken.
func (c *Conn) writeOnce(b []byte) (n int, err error) {
	err = c.control(func(fd int) error {
		for {
			err := failpoint.Error("eventloop.write")
			if err == nil {
				n, err = syscall.Write(fd, b[:failpoint.Limit("eventloop.write", len(b))])
			}
			if !errors.Is(err, syscall.EINTR) {
				n = max(0, n)
				return err
			}
		}
	})
	return n, err
}

// recordWritten counts bytes that the operating system has taken. It reports whether they are the last before the connection is to
// be finished.
func (c *Conn) recordWritten(n int) (last bool) {
	return n > 0 && c.written.Add(int64(n)) == c.finishAt.Load()
}

// Written returns how many bytes the operating system has taken.
func (c *Conn) Written() int64 { return c.written.Load() }

// Unsent returns how many bytes the operating system has not taken yet, since the peer is slow to read.
func (c *Conn) Unsent() int64 { return c.submitted - c.written.Load() }

// Sent reports whether the operating system has taken all that was written.
func (c *Conn) Sent() bool { return c.written.Load() == c.submitted }
