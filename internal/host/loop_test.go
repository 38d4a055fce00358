package host

import (
	"net"
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
