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
	forward = 0 // From to To
	back    = 1 // To to From
)

// Link is a TCP proxy between two processes. It relays data in both directions unless a fault is set, and it owns the connections on both
// sides. Data held back by a blackhole is relayed in order later. Its methods are safe for concurrent use.
type Link struct {
	From, To string
	Addr     string // address that From connects to
	target   string

	listener net.Listener

	mu           sync.Mutex
	changed      *sync.Cond // broadcast when a fault is set or healed
	faults       linkFaults
	connections  map[net.Conn]bool
	held         [2]int // bytes that wait to be relayed, by direction
	relayedTotal int    // bytes relayed, in both directions
}

// linkFaults are the faults of a link.
type linkFaults struct {
	blackhole [2]bool // by direction: data is held back, not dropped
	reset     bool    // existing and new connections are closed with RST
}

// NewLink starts a link to an address.
func NewLink(from, to, target string) (*Link, error) {
	listener, err := ListenFree()
	if err != nil {
		return nil, err
	}
	l := &Link{From: from, To: to, Addr: listener.Addr().String(), target: target, listener: listener, connections: map[net.Conn]bool{}}
	l.changed = sync.NewCond(&l.mu)
	go l.accept()
	return l, nil
}

// Close closes the link and all its connections, and releases its port.
func (l *Link) Close() {
	l.update(func() { l.faults.reset = true })
	if err := errors.Join(l.listener.Close(), ReleasePort(l.listener.Addr())); err != nil {
		logrus.WithError(err).WithField("address", l.Addr).Debug("could not close the listener of a link")
	}
	l.resetConnections()
}

// update changes the link's state under its lock and wakes the goroutines that wait for a change.
func (l *Link) update(set func()) {
	l.mu.Lock()
	set()
	l.mu.Unlock()
	l.changed.Broadcast()
}

// Blackhole holds back data in the given directions. Connections stay open, so neither side is notified. A call replaces the former blackhole.
func (l *Link) Blackhole(forward, back bool) {
	l.update(func() { l.faults.blackhole = [2]bool{forward, back} })
}

// Held returns how many bytes are held back, by direction.
func (l *Link) Held() [2]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.held
}

// relayedBytes returns how many bytes were relayed in both directions.
func (l *Link) relayedBytes() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.relayedTotal
}

// Reset closes all connections with RST, and each new one until Heal.
func (l *Link) Reset() {
	l.update(func() { l.faults.reset = true })
	l.resetConnections()
}

// Heal removes all faults. Data that was held back is relayed before newer data.
func (l *Link) Heal() { l.update(func() { l.faults = linkFaults{} }) }

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

// serve relays one connection until both directions have ended.
func (l *Link) serve(client net.Conn) {
	l.waitWhileForwardBlocked()
	server, err := net.DialTimeout("tcp", l.target, linkDialTimeout)
	if err != nil {
		resetConnection(client)
		return
	}
	l.update(func() { l.connections[client], l.connections[server] = true, true })
	var directions sync.WaitGroup
	directions.Go(func() { l.relay(server, client, forward) })
	directions.Go(func() { l.relay(client, server, back) })
	directions.Wait()
	end := closeConnection
	if l.isReset() {
		end = resetConnection
	}
	end(client)
	end(server)
	l.update(func() {
		delete(l.connections, client)
		delete(l.connections, server)
	})
}

// waitWhileForwardBlocked waits while the forward direction is blackholed: the client must not learn whether the target accepts connections.
func (l *Link) waitWhileForwardBlocked() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.faults.blackhole[forward] && !l.faults.reset {
		l.changed.Wait()
	}
}

// relay copies data in one direction until the end of the stream or an error.
func (l *Link) relay(to, from net.Conn, direction int) {
	buffer := make([]byte, linkBufferSize)
	for {
		count, err := from.Read(buffer)
		if count > 0 {
			if !l.waitToRelay(count, direction) {
				return
			}
			if _, failure := to.Write(buffer[:count]); failure != nil {
				err = failure
			}
		}
		if err != nil {
			if !l.isReset() { // on a reset, the FIN would precede the RST
				closeWrite(to)
			}
			return
		}
	}
}

// waitToRelay waits until count bytes may be relayed. It returns false if the link is reset.
func (l *Link) waitToRelay(count, direction int) bool {
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
	l.relayedTotal += count
	return true
}

// closeConnection closes a connection that may already be closed.
func closeConnection(connection net.Conn) {
	if err := connection.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		logrus.WithError(err).Debug("could not close a connection")
	}
}

// resetConnection closes a connection with RST.
func resetConnection(connection net.Conn) {
	if tcp, ok := connection.(*net.TCPConn); ok {
		if err := tcp.SetLinger(0); err != nil && !errors.Is(err, net.ErrClosed) {
			logrus.WithError(err).Debug("could not disable lingering; the connection closes without RST")
		}
	}
	closeConnection(connection)
}

// closeWrite shuts down the sending side of a connection. An error usually means that the peer has already closed the connection, so it is
// only logged.
func closeWrite(connection net.Conn) {
	if tcp, ok := connection.(*net.TCPConn); ok {
		if err := tcp.CloseWrite(); err != nil {
			logrus.WithError(err).Debug("could not shut down the sending side of a connection")
		}
	}
}
