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
	// readSize is the size of the read buffer in bytes; together with mailboxCapacity it bounds the data queued for the loop.
	readSize = 1 << 14
	// maxReadsPerTurn is how often one connection is read in succession before the poller serves others.
	maxReadsPerTurn = 64

	retryPause = time.Duration(syscallerror.RetryPauseMs * float64(time.Millisecond))
)

// receive reads the available data, up to a limit, and posts it to the loop. It runs on the poller. The end of an inbound connection
// is posted together with the bytes before it. Otherwise, if a client gives up while its request is still unread, the request would
// be forwarded before the loop learns that the client has disconnected.
func (c *Conn) receive() {
	buffer := c.loop.readBuffer
	var data []byte // read but not posted yet
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
			// The result is irrelevant: the descriptor is closed in any case, and the poller's OnClose reports the end.
			_ = c.nb.CloseWithError(err)
			return
		case err != nil: // this host is short of memory: polling is level-triggered, so the unread data wakes the poller again
			time.Sleep(retryPause)
			return
		case n == 0 || n < len(buffer) && !c.inbound:
			return
		}
	}
}

// endsConnection reports whether a read error means that the connection has ended.
func endsConnection(err error) bool {
	return err != nil && syscallerror.Classify(syscallerror.Read, err) == syscallerror.Peer
}

// postData posts bytes to the loop, followed by the end of the connection if ended is set. Without bytes it posts nothing.
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

// readOnce reads from the connection and counts the bytes, atomically with respect to checks for unread bytes. If the connection
// could be ended between the two, bytes read before the end would be discarded without their sender being able to tell. accepted
// reports whether bytes were read that must not be discarded.
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

// Unread reports whether there is something that the handler has not received yet: bytes, or the end of the connection.
func (c *Conn) Unread() bool {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	return c.unreadLocked()
}

func (c *Conn) unreadLocked() bool {
	c.polledEvents, c.polledBatch = c.pollReadable(), c.loop.batch
	return c.received.Load() != c.handled || c.polledEvents != 0
}

// PeerClosed reports whether the peer has closed the connection or its sending direction, even if the handler has not been notified
// yet or unread bytes precede the end. Each call makes a system call.
func (c *Conn) PeerClosed() bool {
	const closedEvents = unix.POLLRDHUP | unix.POLLHUP | unix.POLLERR
	return c.closed || c.poll(unix.POLLRDHUP)&closedEvents != 0
}

// pollReadable asks the operating system whether there is something to read or the connection has ended.
func (c *Conn) pollReadable() int16 { return c.poll(unix.POLLIN) }

// poll asks the operating system for the given events and for error conditions.
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

// pollDescriptor polls a descriptor, and repeats interrupted calls. A call that fails for lack of memory does not mean that the
// connection has ended: the result is then POLLIN, since there may be something to read.
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
		case syscallerror.Classify(syscallerror.Poll, err) != syscallerror.Transient: // transient: interrupted, e.g. by the Go runtime's signals
			return unix.POLLIN
		}
	}
}
