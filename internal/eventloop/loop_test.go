package eventloop

import (
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/lesismal/nbio"
)

// Guards against a dialler that reaches another address than the one it was given.
func TestDialReachesTheAddress(t *testing.T) {
	l := NewLoop(256)
	front, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if err := l.Listen(front, 1<<20, func(c *Conn) {}); err != nil {
		t.Fatal(err)
	}
	there, err := net.Listen("tcp", "127.0.0.2:0")
	if err != nil {
		t.Fatal(err)
	}
	got := make(chan bool, 2)
	l.Defer(func() {
		l.Dial(there.Addr().String(), 1000, func(_ *Conn, err error) {
			got <- err == nil
			there.Close()
			l.Dial(there.Addr().String(), 1000, func(_ *Conn, err error) { got <- err == nil; l.Stop() })
		})
	})
	go l.Run(func() {})
	for _, want := range []bool{true, false} {
		select {
		case up := <-got:
			if up != want {
				t.Fatalf("connected: %v, want %v", up, want)
			}
		case <-time.After(10 * time.Second):
			t.Fatal("a dial never ended")
		}
	}
}

// run runs a loop until the test is over, and its poller with it: a point at which a later test holds a thread must not be
// met by this one's.
func run(t *testing.T, l *Loop) {
	ended := make(chan bool)
	go func() { l.Run(func() {}); close(ended) }()
	t.Cleanup(func() { l.Post(l.Stop); <-ended })
}

// Guards against taking an interrupted call for the end of a connection: under load the runtime's own signals
// interrupted one in some thousands, and the session was dropped with its request while its client went on waiting.
func TestSignalsAreNoEnd(t *testing.T) {
	l := NewLoop(256)
	front, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	accepted := make(chan *Conn, 1)
	if err := l.Listen(front, 1<<20, func(c *Conn) { accepted <- c }); err != nil {
		t.Fatal(err)
	}
	run(t, l)
	client, err := net.Dial("tcp", front.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	c := <-accepted
	stop := make(chan bool)
	go func() {
		for {
			select {
			case <-stop:
				return
			default:
				syscall.Kill(syscall.Getpid(), syscall.SIGURG)
			}
		}
	}()
	defer close(stop)
	for n := range 100000 {
		if state := c.pollReadable(); state != 0 {
			t.Fatalf("call %d: state %#x of a connection that is up", n, state)
		}
	}
}

type sink struct {
	got   int
	first func()
}

func (s *sink) Data(b []byte) {
	if s.got += len(b); s.first != nil {
		s.first()
		s.first = nil
	}
}

func (s *sink) Closed() {}

// What comes on a connection after its end is decided is thrown away before the loop hears of it, and one that never
// stops sending does not keep the poller from another.
func TestFloodIsNotHeard(t *testing.T) {
	l := NewLoop(256)
	front, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	flood, ends, calm := &sink{}, make(chan bool), make(chan bool)
	conns := 0
	if err := l.Listen(front, 1<<20, func(c *Conn) {
		if conns++; conns == 1 {
			flood.first = func() { c.Finish(); close(ends) }
			c.Handle(flood)
			return
		}
		c.Handle(&sink{first: func() { close(calm) }})
	}); err != nil {
		t.Fatal(err)
	}
	run(t, l)
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
	one := dial()
	defer one.Close()
	<-ends
	go func() {
		for buf := make([]byte, 1<<16); ; {
			if _, err := one.Write(buf); err != nil {
				return
			}
		}
	}()
	defer dial().Close()
	<-calm
	if _, err := one.Read(make([]byte, 1)); err == nil {
		t.Error("it was answered")
	}
	heard := make(chan int)
	l.Post(func() { heard <- flood.got })
	if got := <-heard; got != 1 {
		t.Errorf("%d bytes were heard, want the first alone", got)
	}
}

// What the peer's end looks like to who asks for it: bytes that are unread are none, and a half-close with bytes before it is.
// No poller has read any of it.
func TestPeerClosed(t *testing.T) {
	for name, c := range map[string]struct {
		does func(*net.TCPConn)
		want bool
	}{
		"rests":               {func(*net.TCPConn) {}, false},
		"sends ahead":         {func(p *net.TCPConn) { p.Write([]byte("more")) }, false},
		"ends its sending":    {func(p *net.TCPConn) { p.CloseWrite() }, true},
		"sends and ends":      {func(p *net.TCPConn) { p.Write([]byte("more")); p.CloseWrite() }, true},
		"closes":              {func(p *net.TCPConn) { p.Close() }, true},
		"resets":              {func(p *net.TCPConn) { p.SetLinger(0); p.Close() }, true},
		"sends and resets":    {func(p *net.TCPConn) { p.Write([]byte("more")); p.SetLinger(0); p.Close() }, true},
		"is shut by this one": {nil, true},
	} {
		t.Run(name, func(t *testing.T) {
			l := NewLoop(256) // no poller reads what the peer does
			front, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer front.Close()
			peer, err := net.Dial("tcp", front.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer peer.Close()
			std, err := front.Accept()
			if err != nil {
				t.Fatal(err)
			}
			nb, err := nbio.NBConn(std)
			if err != nil {
				t.Fatal(err)
			}
			defer nb.Close()
			conn := l.attach(nb, true)
			if c.does == nil {
				conn.Close()
			} else {
				c.does(peer.(*net.TCPConn))
			}
			if got := conn.PeerClosed(); got != c.want {
				t.Errorf("closed: %v, want %v", got, c.want)
			}
		})
	}
}

// BenchmarkPeerClosed is what each attempt pays to ask for its client's end.
func BenchmarkPeerClosed(b *testing.B) {
	l := NewLoop(256)
	front, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer front.Close()
	peer, err := net.Dial("tcp", front.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	defer peer.Close()
	std, err := front.Accept()
	if err != nil {
		b.Fatal(err)
	}
	nb, err := nbio.NBConn(std)
	if err != nil {
		b.Fatal(err)
	}
	defer nb.Close()
	c := l.attach(nb, true)
	for b.Loop() {
		if c.PeerClosed() {
			b.Fatal("a connection that is up")
		}
	}
}
