package eventloop

import (
	"errors"
	"syscall"

	"golang.org/x/sys/unix"

	"wayloft/internal/decide/syscallerror"
	"wayloft/internal/failpoint"
)

const (
	// readSize is the size of the read buffer in bytes, and the most that one connection delivers in a turn.
	readSize = 1 << 14
	// inboundReadSize is the most that is delivered at once of an inbound connection, so that a crowd's first bytes take little memory.
	inboundReadSize = 1 << 12
	// maxReadsPerTurn is how often one connection is read in a turn, whatever little each read returns.
	maxReadsPerTurn = 8
)

// readable handles the news that there is something to read, or that the connection has ended. It runs on the poller, which closes the
// descriptor of an ended connection right afterwards.
func (c *Conn) readable() {
	failpoint.Hit("eventloop.readable")
	if c.poll(unix.POLLRDHUP)&closedEvents != 0 {
		c.drain()
	}
	if c.readPosted.CompareAndSwap(false, true) {
		c.loop.Post(c.readPostedData)
		failpoint.Hit("eventloop.posted")
	}
}

// drain reads what precedes the end of a connection, since the descriptor is about to be closed. It runs on the poller. Of an inbound
// connection whose peer has gone, only the first bytes can matter: a cancel request.
func (c *Conn) drain() {
	limit := int64(readSize)
	if !c.inbound {
		limit = c.loop.maxUnsent
	}
	c.readMu.Lock()
	defer c.readMu.Unlock()
	buffer := c.loop.drainBuffer
	for limit == 0 || int64(len(c.tail)) < limit {
		n, err := c.readLocked(buffer)
		c.tail = append(c.tail, buffer[:n]...)
		if n == 0 && !errors.Is(err, syscall.EINTR) {
			break
		}
	}
	failpoint.Hit("eventloop.drain")
}

// readPostedData reads after the poller's news.
func (c *Conn) readPostedData() {
	c.readPosted.Store(false) // news from here on is posted again
	if !c.turnQueued {
		c.readTurn()
	}
}

// readTurn reads and delivers a bounded number of bytes. If there may be more, it does so again in a later turn.
func (c *Conn) readTurn() {
	if c.handler == nil || c.paused {
		c.moreToRead = true
		return
	}
	if c.deliverTail() || c.closed {
		return
	}
	for delivered, reads := 0, 0; delivered < readSize && reads < maxReadsPerTurn; reads++ {
		n, more := c.readAndDeliver()
		if !more {
			c.notifyDrained()
			return
		}
		delivered += n
	}
	c.queueTurn()
}

// notifyDrained tells the handler that nothing more can be read for now.
func (c *Conn) notifyDrained() {
	if !c.moreToRead && !c.closed && !c.drained {
		c.drained = true
		c.handler.Drained()
	}
}

// InputDrained reports whether all that has arrived was delivered. While it was not, the end of the connection may be among it.
func (c *Conn) InputDrained() bool { return c.drained }

// readAndDeliver makes one read and delivers its bytes. more reports whether to read on at once.
func (c *Conn) readAndDeliver() (n int, more bool) {
	buffer := c.loop.readBuffer
	if c.inbound {
		buffer = buffer[:inboundReadSize]
	}
	n, err := c.readOnce(buffer)
	if n > 0 && !c.discarding.Load() {
		c.drained = false
		c.handler.Data(buffer[:n])
	}
	switch {
	case c.closed || n == 0 && err == nil: // of the end of the connection the poller gives news
		return n, false
	case endsConnection(err):
		if !c.deliverTail() { // the poller may have read and closed meanwhile
			c.Drop()
		}
		return n, false
	case isShortOfMemory(err):
		c.moreToRead = true
		c.loop.After(syscallerror.RetryPauseMs, c.continueReading)
		return n, false
	case c.paused:
		c.moreToRead = true
		return n, false
	}
	return n, n == len(buffer) || c.pollReadable() != 0
}

// queueTurn reads again in a later turn.
func (c *Conn) queueTurn() {
	if c.turnQueued {
		return
	}
	c.turnQueued = true
	c.loop.NextTurn(func() {
		c.turnQueued = false
		c.readTurn()
	})
}

// PauseReading stops reading. What the peer sends stays in the operating system, which lets it send no more at some point.
func (c *Conn) PauseReading() { c.paused = true }

// ResumeReading continues after PauseReading.
func (c *Conn) ResumeReading() {
	c.paused = false
	c.continueReading()
}

// continueReading reads what an earlier turn has left unread.
func (c *Conn) continueReading() {
	if c.moreToRead && !c.paused {
		c.moreToRead = false
		c.queueTurn()
	}
}

// deliverTail delivers what the poller has read before the end of the connection, together with the end. Otherwise, if a client gives up
// while its request is still unread, the request would be forwarded before the loop learns that the client has disconnected. It reports
// whether there was something.
func (c *Conn) deliverTail() bool {
	c.readMu.Lock()
	tail := c.tail
	c.tail = nil
	c.readMu.Unlock()
	if tail == nil {
		return false
	}
	if !c.discarding.Load() {
		c.drained = false
		c.handler.Data(tail)
	}
	c.notifyClosed()
	return true
}

// endsConnection reports whether a read error means that the connection has ended.
func endsConnection(err error) bool {
	return err != nil && syscallerror.Classify(syscallerror.Read, err) == syscallerror.Peer
}

// isShortOfMemory reports whether a read has failed for want of this host's memory.
func isShortOfMemory(err error) bool {
	return err != nil && syscallerror.Classify(syscallerror.Read, err) == syscallerror.HostResources
}

// readOnce reads from the connection. It runs on the loop.
func (c *Conn) readOnce(buffer []byte) (n int, err error) {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	n, err = c.readLocked(buffer)
	failpoint.Hit("eventloop.read")
	return n, err
}

// readLocked makes one read. It returns net.ErrClosed, which ends the connection, once the descriptor is closed.
func (c *Conn) readLocked(buffer []byte) (n int, err error) {
	err = c.control(func(fd int) error {
		err := failpoint.Error("eventloop.read")
		if err == nil {
			n, err = syscall.Read(fd, buffer[:failpoint.Limit("eventloop.read", len(buffer))])
		}
		n = max(0, n)
		return err
	})
	return n, err
}

// Unread reports whether there is something that the handler has not received yet: bytes, or the end of the connection.
func (c *Conn) Unread() bool {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	return c.unreadLocked()
}

func (c *Conn) unreadLocked() bool {
	c.polledEvents, c.polledBatch = c.pollReadable(), c.loop.batch
	return c.tail != nil || c.polledEvents != 0
}

// closedEvents are the events of a connection whose peer has closed it or its sending direction.
const closedEvents = unix.POLLRDHUP | unix.POLLHUP | unix.POLLERR

// PeerClosed reports whether the peer has closed the connection or its sending direction, even if the handler has not been notified
// yet or unread bytes precede the end. Each call makes a system call.
func (c *Conn) PeerClosed() bool {
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
