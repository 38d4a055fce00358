package eventloop

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/lesismal/nbio"
)

// closeSocket closes a socket of the test and ignores the error, which the test does not depend on.
func closeSocket(c io.Closer) { _ = c.Close() }

// Guards against a dial that connects to an address other than the requested one.
func TestLoop_DialReachesAddress(t *testing.T) {
	l := NewLoop(256)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if err := l.Listen(listener, 1<<20, func(*Conn) {}); err != nil {
		t.Fatal(err)
	}
	target, err := net.Listen("tcp", "127.0.0.2:0")
	if err != nil {
		t.Fatal(err)
	}
	connected := make(chan bool, 2)
	l.Defer(func() {
		l.Dial(target.Addr().String(), 1000, func(_ *Conn, err error) {
			connected <- err == nil
			if err := target.Close(); err != nil {
				t.Error(err)
			}
			l.Dial(target.Addr().String(), 1000, func(_ *Conn, err error) { connected <- err == nil; l.Stop() })
		})
	})
	runLoop(t, l)
	for _, want := range []bool{true, false} {
		select {
		case got := <-connected:
			if got != want {
				t.Fatalf("connected: %v, want %v", got, want)
			}
		case <-time.After(10 * time.Second):
			t.Fatal("a dial did not complete")
		}
	}
}

// runLoop runs a loop and its poller until the test ends. It waits for the loop to stop, so that the loop can't reach a failpoint that a
// later test sets.
func runLoop(t *testing.T, l *Loop) {
	t.Helper()
	ended := make(chan bool)
	go func() { l.Run(func() {}); close(ended) }()
	t.Cleanup(func() { l.Post(l.Stop); <-ended })
}

// Guards against treating an interrupted system call as the end of a connection. Under load, the Go runtime's signals interrupted one
// call in several thousand, and the session and its request were dropped while the client kept waiting.
func TestConn_SignalsDoNotEndIt(t *testing.T) {
	l := NewLoop(256)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	accepted := make(chan *Conn, 1)
	if err := l.Listen(listener, 1<<20, func(c *Conn) { accepted <- c }); err != nil {
		t.Fatal(err)
	}
	runLoop(t, l)
	client, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer closeSocket(client)
	c := <-accepted
	stop, stopped := make(chan bool), make(chan bool)
	go func() {
		defer close(stopped)
		for {
			select {
			case <-stop:
				return
			default:
				if err := syscall.Kill(syscall.Getpid(), syscall.SIGURG); err != nil {
					t.Error(err)
					return
				}
			}
		}
	}()
	defer func() { close(stop); <-stopped }()
	for n := range 100000 {
		if state := c.pollReadable(); state != 0 {
			t.Fatalf("call %d: events %#x on an established, idle connection", n, state)
		}
	}
}

// byteCounter is a handler that counts bytes and calls onFirst when the first ones arrive.
type byteCounter struct {
	bytes   int
	onFirst func()
}

func (c *byteCounter) Data(b []byte) {
	if c.bytes += len(b); c.onFirst != nil {
		c.onFirst()
		c.onFirst = nil
	}
}

func (c *byteCounter) Drained() {}
func (c *byteCounter) Closed()  {}

// Data received on a connection after Finish is discarded before it reaches the loop, and a peer that keeps sending does not prevent the
// poller from serving another connection.
func TestConn_DiscardsAfterFinish(t *testing.T) {
	l := NewLoop(256)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	flood, finished, otherServed := &byteCounter{}, make(chan bool), make(chan bool)
	conns := 0
	if err := l.Listen(listener, 1<<20, func(c *Conn) {
		if conns++; conns == 1 {
			flood.onFirst = func() { c.Finish(); close(finished) }
			c.Handle(flood)
			return
		}
		c.Handle(&byteCounter{onFirst: func() { close(otherServed) }})
	}); err != nil {
		t.Fatal(err)
	}
	runLoop(t, l)
	dial := func() net.Conn {
		c, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		if _, err := c.Write([]byte("x")); err != nil {
			t.Fatal(err)
		}
		return c
	}
	flooding := dial()
	floodEnded := make(chan bool)
	defer func() { closeSocket(flooding); <-floodEnded }()
	<-finished
	go func() {
		defer close(floodEnded)
		for buf := make([]byte, 1<<16); ; {
			if _, err := flooding.Write(buf); err != nil {
				return
			}
		}
	}()
	defer closeSocket(dial())
	<-otherServed
	if _, err := flooding.Read(make([]byte, 1)); err == nil {
		t.Error("the flooding peer received a response")
	}
	handled := make(chan int)
	l.Post(func() { handled <- flood.bytes })
	if got := <-handled; got != 1 {
		t.Errorf("%d bytes reached the handler, want only the first", got)
	}
}

// Unread bytes alone do not make PeerClosed true; a half-close does, even when unread bytes precede it. No poller reads the connection.
func TestConn_PeerClosed(t *testing.T) {
	send := func(p *net.TCPConn) error {
		_, err := p.Write([]byte("more"))
		return err
	}
	reset := func(p *net.TCPConn) error { return errors.Join(p.SetLinger(0), p.Close()) }
	for name, c := range map[string]struct {
		act  func(*net.TCPConn) error
		want bool
	}{
		"idle":               {func(*net.TCPConn) error { return nil }, false},
		"sends":              {send, false},
		"shuts down writing": {(*net.TCPConn).CloseWrite, true},
		"sends, shuts down":  {func(p *net.TCPConn) error { return errors.Join(send(p), p.CloseWrite()) }, true},
		"closes":             {(*net.TCPConn).Close, true},
		"resets":             {reset, true},
		"sends and resets":   {func(p *net.TCPConn) error { return errors.Join(send(p), reset(p)) }, true},
		"closed locally":     {nil, true},
	} {
		t.Run(name, func(t *testing.T) {
			l := NewLoop(256) // without Listen there is no poller
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer closeSocket(listener)
			peer, err := net.Dial("tcp", listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer closeSocket(peer)
			std, err := listener.Accept()
			if err != nil {
				t.Fatal(err)
			}
			nb, err := nbio.NBConn(std)
			if err != nil {
				t.Fatal(err)
			}
			defer closeSocket(nb)
			conn := l.attach(nb, true)
			if c.act == nil {
				conn.Close()
			} else if err := c.act(peer.(*net.TCPConn)); err != nil {
				t.Fatal(err)
			}
			if got := conn.PeerClosed(); got != c.want {
				t.Errorf("closed: %v, want %v", got, c.want)
			}
		})
	}
}

// BenchmarkConn_PeerClosed measures the cost of checking whether the client has disconnected, which each attempt incurs.
func BenchmarkConn_PeerClosed(b *testing.B) {
	l := NewLoop(256)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer closeSocket(listener)
	peer, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	defer closeSocket(peer)
	std, err := listener.Accept()
	if err != nil {
		b.Fatal(err)
	}
	nb, err := nbio.NBConn(std)
	if err != nil {
		b.Fatal(err)
	}
	defer closeSocket(nb)
	c := l.attach(nb, true)
	for b.Loop() {
		if c.PeerClosed() {
			b.Fatal("an open connection is reported as closed")
		}
	}
}
