package main

import (
	"net"
	"sync"
	"time"
)

// link is a connection over a network that takes some time in each direction. Order is kept and nothing is lost.
type link struct {
	conn  net.Conn
	delay time.Duration

	mu      sync.Mutex
	arrived []byte
	err     error
	wake    chan struct{}
	out     chan packet
	closed  chan struct{}
	once    sync.Once
}

// packet is a piece of the stream, with the time at which it has crossed the network.
type packet struct {
	data []byte
	due  time.Time
}

const packetsUnderWay = 4096

func newLink(conn net.Conn, delay time.Duration) *link {
	l := &link{conn: conn, delay: delay, wake: make(chan struct{}, 1), closed: make(chan struct{}),
		out: make(chan packet, packetsUnderWay)}
	go l.receive()
	go l.transmit()
	return l
}

func (l *link) receive() {
	in := make(chan packet, packetsUnderWay)
	go func() {
		for p := range in {
			time.Sleep(time.Until(p.due))
			l.arrive(p.data, nil)
		}
	}()
	defer close(in)
	for {
		buffer := make([]byte, 1<<14)
		n, err := l.conn.Read(buffer)
		if n > 0 {
			in <- packet{buffer[:n], time.Now().Add(l.delay)}
		}
		if err != nil {
			time.Sleep(l.delay)
			l.arrive(nil, err)
			return
		}
	}
}

func (l *link) arrive(data []byte, err error) {
	l.mu.Lock()
	l.arrived = append(l.arrived, data...)
	if err != nil {
		l.err = err
	}
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

func (l *link) transmit() {
	for {
		select {
		case <-l.closed:
			return
		case p := <-l.out:
			time.Sleep(time.Until(p.due))
			if _, err := l.conn.Write(p.data); err != nil {
				return
			}
		}
	}
}

// Read returns what has crossed the network.
func (l *link) Read(b []byte) (int, error) {
	for {
		l.mu.Lock()
		if len(l.arrived) > 0 {
			n := copy(b, l.arrived)
			l.arrived = l.arrived[n:]
			l.mu.Unlock()
			return n, nil
		}
		err := l.err
		l.mu.Unlock()
		if err != nil {
			return 0, err
		}
		<-l.wake
	}
}

// send sends bytes on their way.
func (l *link) send(b []byte) error {
	select {
	case <-l.closed:
		return net.ErrClosed
	case l.out <- packet{append([]byte(nil), b...), time.Now().Add(l.delay)}:
		return nil
	}
}

// waiting reports whether something has arrived that was not read yet.
func (l *link) waiting() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.arrived) > 0
}

// Close ends the connection at once.
func (l *link) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.conn.Close()
}
