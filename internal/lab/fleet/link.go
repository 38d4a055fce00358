package fleet

import (
	"errors"
	"net"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	linkDialTimeout = 5 * time.Second
	linkBufferSize  = 32 << 10
)

// Directions of a link, as indexes.
const (
	forward = 0 // from From to To
	back    = 1
)

// Link is a proxy between two processes, which passes on what each sends to the other unless a fault is set. It owns the connections on
// both sides and keeps what it holds back in order. Its methods may be called at the same time.
type Link struct {
	From, To string
	Addr     string // where From connects
	target   string

	listener net.Listener

	mu          sync.Mutex
	changed     *sync.Cond // broadcast when a fault is set or healed
	faults      linkFaults
	connections map[net.Conn]bool
	held        [2]int // bytes that wait to be passed on, by direction
	passed      int    // bytes that were passed on, in both directions
}

// linkFaults are the faults of a link.
type linkFaults struct {
	blackhole [2]bool // by direction: nothing is passed on, and nothing is lost
	reset     bool    // connections end with RST, new ones too
}

// NewSwitch makes a link to an address.
func NewSwitch(from, to, target string) (*Link, error) {
	listener, err := ListenFree()
	if err != nil {
		return nil, err
	}
	l := &Link{From: from, To: to, Addr: listener.Addr().String(), target: target, listener: listener, connections: map[net.Conn]bool{}}
	l.changed = sync.NewCond(&l.mu)
	go l.accept()
	return l, nil
}

// Close ends the link and all its connections, and releases its port.
func (l *Link) Close() {
	l.change(func() { l.faults.reset = true })
	if err := errors.Join(l.listener.Close(), ReleasePort(l.listener.Addr())); err != nil {
		logrus.WithError(err).WithField("address", l.Addr).Debug("link not closed")
	}
	l.resetConnections()
}

// change changes the link's state and wakes who waits for that.
func (l *Link) change(set func()) {
	l.mu.Lock()
	set()
	l.mu.Unlock()
	l.changed.Broadcast()
}

// Hole holds back what goes forward, what comes back, or both; neither side notices anything.
func (l *Link) Hole(forward, back bool) {
	l.change(func() { l.faults.blackhole = [2]bool{forward, back} })
}

// Held tells how many bytes wait to be passed on forward, and back.
func (l *Link) Held() [2]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.held
}

// passedBytes tells how many bytes were passed on in both directions.
func (l *Link) passedBytes() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.passed
}

// Reset ends all connections with RST, and each new one, until Heal.
func (l *Link) Reset() {
	l.change(func() { l.faults.reset = true })
	l.resetConnections()
}

// Heal ends all faults. What was held back is passed on first.
func (l *Link) Heal() { l.change(func() { l.faults = linkFaults{} }) }

func (l *Link) isReset() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults.reset
}

func (l *Link) resetConnections() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for connection := range l.connections {
		resetConnection(connection)
	}
}

func (l *Link) accept() {
	for {
		client, err := l.listener.Accept()
		if err != nil {
			return
		}
		l.mu.Lock()
		reset := l.faults.reset
		l.mu.Unlock()
		if reset {
			resetConnection(client)
			continue
		}
		go l.serve(client)
	}
}

// serve passes on what goes over one connection until both directions have ended.
func (l *Link) serve(client net.Conn) {
	l.waitToConnect()
	server, err := net.DialTimeout("tcp", l.target, linkDialTimeout)
	if err != nil {
		resetConnection(client)
		return
	}
	l.change(func() { l.connections[client], l.connections[server] = true, true })
	var directions sync.WaitGroup
	directions.Go(func() { l.pass(server, client, forward) })
	directions.Go(func() { l.pass(client, server, back) })
	directions.Wait()
	end := closeConnection
	if l.isReset() {
		end = resetConnection
	}
	end(client)
	end(server)
	l.change(func() {
		delete(l.connections, client)
		delete(l.connections, server)
	})
}

// waitToConnect waits while what goes forward is held back: whoever connects must not learn whether anybody listens.
func (l *Link) waitToConnect() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.faults.blackhole[forward] && !l.faults.reset {
		l.changed.Wait()
	}
}

// pass passes on what comes in one direction until its end.
func (l *Link) pass(to, from net.Conn, direction int) {
	buffer := make([]byte, linkBufferSize)
	for {
		count, err := from.Read(buffer)
		if count > 0 {
			if !l.hold(count, direction) {
				return
			}
			if _, failure := to.Write(buffer[:count]); failure != nil {
				err = failure
			}
		}
		if err != nil {
			if !l.isReset() { // an end of stream would come before the RST
				closeWrite(to)
			}
			return
		}
	}
}

// hold waits until so many bytes may be passed on; false: the connection is reset.
func (l *Link) hold(count, direction int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held[direction] += count
	for l.faults.blackhole[direction] && !l.faults.reset {
		l.changed.Wait()
	}
	l.held[direction] -= count
	if l.faults.reset {
		return false
	}
	l.passed += count
	return true
}

// closeConnection closes a connection that may have been closed before.
func closeConnection(connection net.Conn) {
	if err := connection.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		logrus.WithError(err).Debug("connection not closed")
	}
}

// resetConnection ends a connection with RST.
func resetConnection(connection net.Conn) {
	if tcp, ok := connection.(*net.TCPConn); ok {
		if err := tcp.SetLinger(0); err != nil && !errors.Is(err, net.ErrClosed) {
			logrus.WithError(err).Debug("connection will end without RST")
		}
	}
	closeConnection(connection)
}

// closeWrite ends the stream that goes out. It fails where the other side has ended the connection, which is as good.
func closeWrite(connection net.Conn) {
	if tcp, ok := connection.(*net.TCPConn); ok {
		if err := tcp.CloseWrite(); err != nil {
			logrus.WithError(err).Debug("end of stream not sent")
		}
	}
}
