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
	// testChange is a change with one entry.
	testChange = `{"revision":43,"complete":false,"members":[` + testEntry + `]}`
	// testRevision is the revision that the watchers of the tests know.
	testRevision = 41

	fullListURL = "/api/targets"
)

// watchURL is what a watcher requests for the changes after a revision.
func watchURL(revision int) string { return fmt.Sprintf("/api/targets?stream=1&index=%d", revision) }

// fakeService is a list service that handles each connection as a test says. It closes those left open when the test ends.
type fakeService struct {
	net.Listener
	requests    chan string // the URLs
	connections []net.Conn
}

// newFakeService starts a service. Each handler handles one request, the last one all that follow.
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

// expectRequest fails the test if the next request is not for a URL.
func (s *fakeService) expectRequest(t *testing.T, want string) {
	t.Helper()
	if got := <-s.requests; got != want {
		t.Errorf("requested %s, want %s", got, want)
	}
}

// closeSocket closes a socket of the test, whose other end may have closed it already.
func closeSocket(c io.Closer) { _ = c.Close() }

// send sends bytes and leaves the connection open.
func send(text string) func(net.Conn) {
	return func(c net.Conn) { _, _ = io.WriteString(c, text) } // the watcher may have closed the connection already
}

// respond sends a response of unknown length and leaves the connection open.
func respond(body string) func(net.Conn) {
	return send("HTTP/1.1 200 OK\r\n\r\n" + body)
}

// respondAndClose sends a whole response.
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

// watchOrPoll starts a watcher. Polling begins with one request.
func watchOrPoll(ctx context.Context, w *Watcher, polls bool, requests chan struct{}) {
	if !polls {
		go w.Watch(ctx)
		return
	}
	go w.Poll(ctx, requests)
	requests <- struct{}{}
}

// requestAgain returns a failed callback that requests another poll, as a router does.
func requestAgain(requests chan<- struct{}) func(error) {
	return func(error) {
		select {
		case requests <- struct{}{}:
		default:
		}
	}
}
