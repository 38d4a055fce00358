package discovery

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
)

const (
	testEntry = `{"id":"a","host_port":"127.0.0.1:5433","locality":"z","cell":3,"phase":"in_service","size":1.0,"up_since_ms":7}`
	// testChange is a change that contains one entry.
	testChange = `{"revision":43,"complete":false,"members":[` + testEntry + `]}`
	// testRevision is the initial revision of the watchers in the tests.
	testRevision = 41

	fullListURL = "/api/targets"
)

// watchURL returns the URL that a watcher requests to get the changes after a revision.
func watchURL(revision int) string { return fmt.Sprintf("/api/targets?stream=1&index=%d", revision) }

// fakeService is a list service that handles each connection with a function of the test. It closes the remaining connections when the
// test ends.
type fakeService struct {
	net.Listener
	requests    chan string // the requested URLs
	connections []net.Conn
}

// newFakeService starts a service. Each handler handles one request, and the last one also handles all further requests.
func newFakeService(t *testing.T, handlers ...func(net.Conn)) *fakeService {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &fakeService{Listener: listener, requests: make(chan string, 100)}
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		s.serve(handlers)
	}()
	t.Cleanup(func() {
		closeSocket(listener)
		<-stopped
		for _, c := range s.connections {
			closeSocket(c)
		}
	})
	return s
}

func (s *fakeService) serve(handlers []func(net.Conn)) {
	for n := 0; ; n++ {
		c, err := s.Accept()
		if err != nil {
			return
		}
		s.connections = append(s.connections, c)
		request, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			closeSocket(c)
			continue
		}
		s.requests <- request.URL.RequestURI()
		handlers[min(n, len(handlers)-1)](c)
	}
}

func (s *fakeService) address() string { return s.Addr().String() }

// expectRequest fails the test unless the next request is for the given URL.
func (s *fakeService) expectRequest(t *testing.T, want string) {
	t.Helper()
	if got := <-s.requests; got != want {
		t.Errorf("requested %s, want %s", got, want)
	}
}

// closeSocket closes a socket of the test and ignores the error, since the peer may have closed the connection already.
func closeSocket(c io.Closer) { _ = c.Close() }

// send sends bytes and leaves the connection open.
func send(text string) func(net.Conn) {
	return func(c net.Conn) { _, _ = io.WriteString(c, text) } // the watcher may have closed the connection already
}

// respond sends a response of unknown length and leaves the connection open.
func respond(body string) func(net.Conn) {
	return send("HTTP/1.1 200 OK\r\n\r\n" + body)
}

// respondAndClose sends a response and closes the connection, which marks the end of the response.
func respondAndClose(body string) func(net.Conn) {
	return func(c net.Conn) {
		respond(body)(c)
		closeSocket(c)
	}
}

// sendAndReset sends bytes and resets the connection.
func sendAndReset(text string) func(net.Conn) {
	return func(c net.Conn) {
		send(text)(c)
		_ = c.(*net.TCPConn).SetLinger(0) // fails only if the watcher has closed the connection first
		closeSocket(c)
	}
}

// hang leaves the connection open and sends nothing.
func hang(net.Conn) {}

func ignoreList(*List) {}

func ignoreError(error) {}

// watchOrPoll starts a watcher. If it polls, watchOrPoll also makes the first request.
func watchOrPoll(ctx context.Context, w *Watcher, polls bool, requests chan struct{}) {
	if !polls {
		go w.Watch(ctx)
		return
	}
	go w.Poll(ctx, requests)
	requests <- struct{}{}
}

// requestAgain returns an onError callback that requests another poll, as the router does.
func requestAgain(requests chan<- struct{}) func(error) {
	return func(error) {
		select {
		case requests <- struct{}{}:
		default:
		}
	}
}
