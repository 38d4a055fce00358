package fleet

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
)

// echoServer sends back what it receives, until the test ends, and gives its address.
func echoServer(t *testing.T) string {
	t.Helper()
	listener, err := ListenFree()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := errors.Join(listener.Close(), ReleasePort(listener.Addr())); err != nil {
			t.Error(err)
		}
	})
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer closeConnection(connection)
				if _, err := io.Copy(connection, connection); err != nil {
					return // a test resets connections
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// dialLink makes a link to an echo server with one connection over it.
func dialLink(t *testing.T) (*Link, net.Conn) {
	t.Helper()
	link, err := NewSwitch("a", "b", echoServer(t))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(link.Close)
	connection, err := net.Dial("tcp", link.Addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { closeConnection(connection) })
	return link, connection
}

func write(t *testing.T, connection net.Conn, text string) {
	t.Helper()
	if _, err := connection.Write([]byte(text)); err != nil {
		t.Fatal(err)
	}
}

func expectRead(t *testing.T, connection net.Conn, want string) {
	t.Helper()
	got := make([]byte, len(want))
	if _, err := io.ReadFull(connection, got); err != nil || string(got) != want {
		t.Fatalf("%q, want %q: %v", got, want, err)
	}
}

// A blackholed direction holds back what comes, and passes it on in order once it is healed.
func TestLink_Blackhole(t *testing.T) {
	for name, direction := range map[string]int{"forward": forward, "back": back} {
		t.Run(name, func(t *testing.T) {
			link, connection := dialLink(t)
			write(t, connection, "before ")
			expectRead(t, connection, "before ")
			link.Hole(direction == forward, direction == back)
			write(t, connection, "while ")
			if err := WaitUntil("it is held", func() (bool, error) { return link.Held()[direction] == len("while "), nil }); err != nil {
				t.Fatal(err)
			}
			if other := link.Held()[1-direction]; other != 0 {
				t.Errorf("%d bytes are held in the other direction", other)
			}
			link.Heal()
			write(t, connection, "after")
			expectRead(t, connection, "while after")
			if passed := link.passedBytes(); passed != 2*len("before while after") {
				t.Errorf("%d bytes were passed on", passed)
			}
		})
	}
}

// A reset link ends its connections with RST, and new ones, until it is healed.
func TestLink_Reset(t *testing.T) {
	link, connection := dialLink(t)
	write(t, connection, "before")
	expectRead(t, connection, "before")
	link.Reset()
	if _, err := connection.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the connection: %v", err)
	}
	if second, err := net.Dial("tcp", link.Addr); err == nil {
		if _, err := second.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
			t.Errorf("a new connection: %v", err)
		}
		closeConnection(second)
	} else if !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("a new connection: %v", err)
	}
	link.Heal()
	third, err := net.Dial("tcp", link.Addr)
	if err != nil {
		t.Fatal(err)
	}
	defer closeConnection(third)
	write(t, third, "after")
	expectRead(t, third, "after")
}
