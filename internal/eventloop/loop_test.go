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

// closeSocket closes a socket of the test's own, whose end the test does not depend on.
func closeSocket(c io.Closer) { _ = c.Close() }

// Guards against a dial that reaches another address than the one it was given.
func TestLoop_DialReachesAddress(t *testing.T) {
	l := NewLoop(256)
	front, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if err := l.Listen(front, 1<<20, func(*Conn) {}); err != nil {
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
			t.Fatal("a dial never ended")
		}
	}
}

// runLoop runs a loop, and its poller with it, until the test is over: a failpoint at which a later test holds a goroutine must not be
// reached by this loop.
func runLoop(t *testing.T, l *Loop) {
	t.Helper()
	ended := make(chan bool)
	go func() { l.Run(func() {}); close(ended) }()
	t.Cleanup(func() { l.Post(l.Stop); <-ended })
}

// Guards against taking an interrupted call for the end of a connection: under load the runtime's own signals interrupted one call in
// some thousands, and the session was dropped with its request while the client went on waiting.
func TestConn_SignalsDoNotEndIt(t *testing.T) {
	l := NewLoop(256)
	front, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	accepted := make(chan *Conn, 1)
	if err := l.Listen(front, 1<<20, func(c *Conn) { accepted <- c }); err != nil {
		t.Fatal(err)
	}
	runLoop(t, l)
	client, err := net.Dial("tcp", front.Addr().String())
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
			t.Fatalf("call %d: state %#x of a connection that is up", n, state)
		}
	}
}

// byteCounter is a handler that counts bytes, and calls a function at the first ones.
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

func (c *byteCounter) Closed() {}

// What comes on a connection after its end is decided is discarded before it reaches the loop, and a peer that never stops sending does
// not keep the poller from another connection.
func TestConn_DiscardsAfterFinish(t *testing.T) {
	l := NewLoop(256)
	front, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	flood, finished, calm := &byteCounter{}, make(chan bool), make(chan bool)
	conns := 0
	if err := l.Listen(front, 1<<20, func(c *Conn) {
		if conns++; conns == 1 {
			flood.onFirst = func() { c.Finish(); close(finished) }
			c.Handle(flood)
			return
		}
		c.Handle(&byteCounter{onFirst: func() { close(calm) }})
	}); err != nil {
		t.Fatal(err)
	}
	runLoop(t, l)
	dial := func() net.Conn {
		c, err := net.Dial("tcp", front.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		if _, err := c.Write([]byte("x")); err != nil {
			t.Fatal(err)
		}
		return c
	}
	flooding := dial()
	flooded := make(chan bool)
	defer func() { closeSocket(flooding); <-flooded }()
	<-finished
	go func() {
		defer close(flooded)
		for buf := make([]byte, 1<<16); ; {
			if _, err := flooding.Write(buf); err != nil {
				return
			}
		}
	}()
	defer closeSocket(dial())
	<-calm
	if _, err := flooding.Read(make([]byte, 1)); err == nil {
		t.Error("it was answered")
	}
	handled := make(chan int)
	l.Post(func() { handled <- flood.bytes })
	if got := <-handled; got != 1 {
		t.Errorf("%d bytes reached the handler, want the first alone", got)
	}
}

// Unread bytes alone don't make a connection look closed; a half-close does, also with unread bytes before it. No poller has read any
// of it.
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
		"idle":                {func(*net.TCPConn) error { return nil }, false},
		"has sent":            {send, false},
		"shuts down writing":  {(*net.TCPConn).CloseWrite, true},
		"sends, shuts down":   {func(p *net.TCPConn) error { return errors.Join(send(p), p.CloseWrite()) }, true},
		"closes":              {(*net.TCPConn).Close, true},
		"resets":              {reset, true},
		"sends and resets":    {func(p *net.TCPConn) error { return errors.Join(send(p), reset(p)) }, true},
		"closed by this side": {nil, true},
	} {
		t.Run(name, func(t *testing.T) {
			l := NewLoop(256) // no poller reads what the peer does
			front, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer closeSocket(front)
			peer, err := net.Dial("tcp", front.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer closeSocket(peer)
			std, err := front.Accept()
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

// BenchmarkConn_PeerClosed measures what each attempt pays to check for its client's end.
func BenchmarkConn_PeerClosed(b *testing.B) {
	l := NewLoop(256)
	front, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer closeSocket(front)
	peer, err := net.Dial("tcp", front.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	defer closeSocket(peer)
	std, err := front.Accept()
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
			b.Fatal("a connection that is up")
		}
	}
}
