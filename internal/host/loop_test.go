package host

import (
	"net"
	"syscall"
	"testing"
	"time"
)

// Guards against a dialler that reaches another address than the one it was given.
func TestDialReachesTheAddress(t *testing.T) {
	l := NewLoop(256)
	front, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if err := l.Listen(front, func(c *Conn) {}); err != nil {
		t.Fatal(err)
	}
	there, err := net.Listen("tcp", "127.0.0.2:0")
	if err != nil {
		t.Fatal(err)
	}
	got := make(chan bool, 2)
	l.Soon(func() {
		l.Dial(there.Addr().String(), 1000, func(_ *Conn, err error) {
			got <- err == nil
			there.Close()
			l.Dial(there.Addr().String(), 1000, func(_ *Conn, err error) { got <- err == nil; l.End() })
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

// Guards against taking an interrupted call for the end of a connection: under load the runtime's own signals
// interrupted one in some thousands, and the session was dropped with its txn while its client went on waiting.
func TestSignalsAreNoEnd(t *testing.T) {
	l := NewLoop(256)
	front, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	accepted := make(chan *Conn, 1)
	if err := l.Listen(front, func(c *Conn) { accepted <- c }); err != nil {
		t.Fatal(err)
	}
	go l.Run(func() {})
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
		if state := c.state(); state != 0 {
			t.Fatalf("call %d: state %#x of a connection that is up", n, state)
		}
	}
}
