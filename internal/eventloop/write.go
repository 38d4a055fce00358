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

var errTooMuchUnsent = errors.New("write: too many unsent bytes, the peer is not reading")

// flushBytes is how much an inbound connection collects of what is written to it in one batch before it is sent.
const flushBytes = 1 << 14

// Write sends b, at the latest at the end of the batch or as the peer reads; b must not be changed before. What is written to an inbound
// connection in one batch goes out together, since many small responses to what came in one read would cost a system call each. If the
// write fails, the connection ends and the handler's Closed is called.
func (c *Conn) Write(b []byte) {
	if c.closed || c.finishAt.Load() > 0 || len(b) == 0 {
		return
	}
	c.submitted += int64(len(b))
	if !c.inbound {
		c.writeNow(b)
		return
	}
	if c.unflushed == nil {
		c.unflushed = b[:len(b):len(b)]
		c.loop.unflushed = append(c.loop.unflushed, c)
	} else {
		c.unflushed = append(c.unflushed, b...)
	}
	if len(c.unflushed) >= flushBytes {
		c.flush()
	}
}

// flush sends what has been collected in this batch.
func (c *Conn) flush() {
	b := c.unflushed
	c.unflushed = nil
	if b != nil && !c.closed {
		c.writeNow(b)
	}
}

// writeNow sends b, immediately or as the peer reads. Only the poller may close the descriptor, but nbio closes it when a write fails: the
// descriptor number could then be reused at once, and an event of the old connection that the poller has yet to handle would close the new
// one. It therefore polls the connection before the first write of a batch.
func (c *Conn) writeNow(b []byte) {
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

// send writes as much as the operating system accepts and leaves the rest to the poller. It makes the first write and the check
// against maxUnsent itself, because nbio closes the descriptor immediately when either fails, and only the poller may do that.
func (c *Conn) send(b []byte) error {
	if limit := c.loop.maxUnsent; limit > 0 && c.Unsent() > limit {
		return errTooMuchUnsent
	}
	if c.delayedWrite != nil { // b must follow it
		c.delayedWrite = append(c.delayedWrite, b...)
		return nil
	}
	if c.Unsent() > int64(len(b)) { // the poller has earlier bytes to write first
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
	case err != nil && syscallerror.Classify(syscallerror.Write, err) == syscallerror.HostResources:
		c.delayedWrite = slices.Clone(b)
		c.loop.After(syscallerror.RetryPauseMs, c.sendDelayed)
		return nil
	case err != nil && !errors.Is(err, syscall.EAGAIN):
		return err
	}
	_, err = c.nb.Write(b)
	return err
}

// sendDelayed retries a write that was delayed because this host was out of memory.
func (c *Conn) sendDelayed() {
	b := c.delayedWrite
	if c.delayedWrite = nil; c.closed {
		return
	}
	if err := c.send(b); err != nil {
		c.fail()
	}
}

// writeOnce makes one write, and repeats it if it is interrupted. It returns the number of bytes accepted by the operating system.
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

// recordWritten counts bytes accepted by the operating system. It reports whether they are the last ones of a connection that is
// being finished.
func (c *Conn) recordWritten(n int) (last bool) {
	return n > 0 && c.written.Add(int64(n)) == c.finishAt.Load()
}

// Written returns the number of bytes accepted by the operating system.
func (c *Conn) Written() int64 { return c.written.Load() }

// Unsent returns the number of bytes passed to Write that the operating system has not accepted yet, because the peer is slow to read.
func (c *Conn) Unsent() int64 { return c.submitted - c.written.Load() }

// Sent reports whether the operating system has accepted all bytes passed to Write.
func (c *Conn) Sent() bool { return c.written.Load() == c.submitted }
