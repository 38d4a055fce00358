package eventloop

import (
	"errors"
	"slices"
	"syscall"

	"wayloft/internal/decide/syscallerror"
	"wayloft/internal/failpoint"
)

var errTooMuchUnsent = errors.New("the peer leaves too much unread")

// send writes what the system takes now, and leaves the rest to the poller. Guards against nbio's own first write and its
// bound, which both close the descriptor at once where they fail: only the poller may.
func (c *Conn) send(b []byte) error {
	if most := c.loop.maxUnsent; most > 0 && c.Unsent() > most {
		return errTooMuchUnsent
	}
	if c.delayedWrite != nil { // b comes behind it
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

// resend writes what was delayed.
func (c *Conn) resend() {
	b := c.delayedWrite
	if c.delayedWrite = nil; c.closed {
		return
	}
	if err := c.send(b); err != nil {
		c.fail()
	}
}

// writeOnce makes one write that is not interrupted, and tells how many bytes the system has taken.
func (c *Conn) writeOnce(b []byte) (n int, err error) {
	err = c.control(func(fd int) error {
		for {
			err := failpoint.Error("host.write")
			if err == nil {
				n, err = syscall.Write(fd, b[:failpoint.Limit("host.write", len(b))])
			}
			if !errors.Is(err, syscall.EINTR) {
				n = max(0, n)
				return err
			}
		}
	})
	return n, err
}

// recordWritten adds to what the system has taken, and tells whether that was the last before the connection is to end.
func (c *Conn) recordWritten(n int) (last bool) {
	return n > 0 && c.written.Add(int64(n)) == c.finishAt.Load()
}
