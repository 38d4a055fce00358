package eventloop

import (
	"errors"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"wayloft/internal/decide/syscallerror"
	"wayloft/internal/failpoint"
)

const (
	// readSize is how many bytes are read at once; with mailboxCapacity it bounds what waits for the loop.
	readSize = 1 << 14
	// maxReadsPerTurn is how often one connection is read in a row before others have their turn.
	maxReadsPerTurn = 64

	retryPause = time.Duration(syscallerror.RetryPauseMs * float64(time.Millisecond))
)

// receive reads what has come, up to a bound, and posts it to the loop. It runs on the poller. The end of an inbound connection is
// posted together with the bytes before it. This guards against a request that waited to be read for longer than its client waited
// for the response, and would be forwarded before the loop learns that the client has gone.
func (c *Conn) receive() {
	buffer := c.loop.readBuffer
	var data []byte // read, and not posted yet
	defer func() { c.postData(data, false) }()
	for range maxReadsPerTurn {
		n, accepted, err := c.readOnce(buffer)
		if data != nil {
			c.postData(data, n == 0 && err == nil || endsConnection(err))
			data = nil
		}
		if accepted {
			data = append([]byte(nil), buffer[:n]...)
		}
		switch {
		case errors.Is(err, syscall.EINTR):
		case errors.Is(err, syscall.EAGAIN):
			return
		case endsConnection(err):
			// Its result can't matter: the descriptor is closed either way, and the poller's OnClose reports the end.
			_ = c.nb.CloseWithError(err)
			return
		case err != nil: // the host is short of memory: the poller comes back, since what came is still there
			time.Sleep(retryPause)
			return
		case n == 0 || n < len(buffer) && !c.inbound:
			return
		}
	}
}

// endsConnection reports whether a read's error is the end of its connection.
func endsConnection(err error) bool {
	return err != nil && syscallerror.Of(syscallerror.Read, err) == syscallerror.Peer
}

// postData posts bytes to the loop, if there are any, and the end of the connection behind them if it has ended.
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
	failpoint.Hit("eventloop.posted")
}

// readOnce reads and counts in one step, as whoever asks for unread bytes sees it. It guards against a connection that is ended
// between the two: bytes that were read before the end would be discarded after it, and their sender can't know. accepted reports
// whether there are bytes that are not to be discarded.
func (c *Conn) readOnce(buffer []byte) (n int, accepted bool, err error) {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	if err = failpoint.Error("eventloop.read"); err == nil {
		n, err = c.nb.Read(buffer[:failpoint.Limit("eventloop.read", len(buffer))])
	}
	failpoint.Hit("eventloop.read")
	if accepted = n > 0 && !c.discarding.Load(); accepted {
		c.received.Add(int64(n))
	}
	return n, accepted, err
}

// Unread reports whether something has come that the handler has not received yet: bytes, or the end of the connection.
func (c *Conn) Unread() bool {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	return c.unreadLocked()
}

func (c *Conn) unreadLocked() bool {
	c.polledEvents, c.polledBatch = c.pollReadable(), c.loop.batch
	return c.received.Load() != c.handled || c.polledEvents != 0
}

// PeerClosed reports whether the peer has closed the connection, or its sending direction, even if the handler has not been told
// yet or there are unread bytes before the end. It makes a system call each time.
func (c *Conn) PeerClosed() bool {
	const closedEvents = unix.POLLRDHUP | unix.POLLHUP | unix.POLLERR
	return c.closed || c.poll(unix.POLLRDHUP)&closedEvents != 0
}

// pollReadable asks the operating system whether something can be read, or the connection has ended.
func (c *Conn) pollReadable() int16 { return c.poll(unix.POLLIN) }

// poll asks the operating system about these events, and whether the connection is broken.
func (c *Conn) poll(events int16) (ready int16) {
	err := c.control(func(fd int) error {
		ready = pollDescriptor(fd, events)
		return nil
	})
	if err != nil { // the descriptor is closed
		return unix.POLLHUP
	}
	return ready
}

// pollDescriptor polls until a call is not interrupted. A call that fails for want of memory does not mean that the connection has
// ended: there may be something to be read.
func pollDescriptor(fd int, events int16) int16 {
	for {
		descriptors := []unix.PollFd{{Fd: int32(fd), Events: events}}
		err := failpoint.Error("eventloop.poll")
		if err == nil {
			_, err = unix.Poll(descriptors, 0)
		}
		switch {
		case err == nil:
			return descriptors[0].Revents
		case syscallerror.Of(syscallerror.Poll, err) != syscallerror.Transient: // transient: e.g. the Go runtime's own signals
			return unix.POLLIN
		}
	}
}
