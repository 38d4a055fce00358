package fleet

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
)

// echoServer starts an echo server for the duration of the test and returns its address.
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
					return // tests reset connections
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// dialLink returns a link to an echo server and a connection over it.
func dialLink(t *testing.T) (*Link, net.Conn) {
	t.Helper()
	link, err := NewLink("a", "b", echoServer(t))
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

// A blackholed direction holds back data and relays it in order after Heal.
func TestLink_Blackhole(t *testing.T) {
	for name, direction := range map[string]int{"forward": forward, "back": back} {
		t.Run(name, func(t *testing.T) {
			link, connection := dialLink(t)
			write(t, connection, "before ")
			expectRead(t, connection, "before ")
			link.Blackhole(direction == forward, direction == back)
			write(t, connection, "while ")
			if err := WaitUntil("data is held back", func() (bool, error) { return link.Held()[direction] == len("while "), nil }); err != nil {
				t.Fatal(err)
			}
			if other := link.Held()[1-direction]; other != 0 {
				t.Errorf("%d bytes are held back in the other direction", other)
			}
			link.Heal()
			write(t, connection, "after")
			expectRead(t, connection, "while after")
			if passed := link.relayedBytes(); passed != 2*len("before while after") {
				t.Errorf("%d bytes were relayed", passed)
			}
		})
	}
}

// A reset link closes existing and new connections with RST until Heal.
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
