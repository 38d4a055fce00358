package server

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"wayloft/internal/fakes/pgserver"
)

// scriptedDiscovery is a discovery server that sends each text that it is given as one response, and otherwise sends nothing.
type scriptedDiscovery struct {
	addr                   string
	requests               chan string
	fullLists, watchEvents chan string
	openConnections        atomic.Int64 // connections being served
}

func newScriptedDiscovery(t *testing.T) *scriptedDiscovery {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &scriptedDiscovery{addr: l.Addr().String(), requests: make(chan string, 100), fullLists: make(chan string, 10), watchEvents: make(chan string, 10)}
	t.Cleanup(func() { closeSocket(l) })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { closeSocket(c) })
			s.openConnections.Add(1)
			go func() {
				defer s.openConnections.Add(-1)
				s.serve(c)
			}()
		}
	}()
	return s
}

// serve answers one request. A text whose connection ended before it was written is kept for the next request, since on a busy machine
// the router may time out and ask again.
func (s *scriptedDiscovery) serve(c net.Conn) {
	defer closeSocket(c)
	buf := make([]byte, 1<<12)
	n, err := c.Read(buf)
	if err != nil {
		return
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_, _ = io.Copy(io.Discard, c)
	}()
	head, _, _ := strings.Cut(string(buf[:n]), "\r\n")
	texts, isWatch := s.fullLists, strings.Contains(head, "stream=1")
	if isWatch {
		texts = s.watchEvents
	}
	s.requests <- head
	if sent := s.sendText(c, texts, ended); sent && isWatch {
		<-ended // the watch stays open
	}
}

// sendText sends the next text and reports whether it was written before the connection ended.
func (s *scriptedDiscovery) sendText(c net.Conn, texts chan string, ended <-chan struct{}) bool {
	var text string
	select {
	case <-ended:
		return false
	case text = <-texts:
	}
	select {
	case <-ended:
	default:
		if _, err := fmt.Fprint(c, "HTTP/1.1 200 OK\r\n\r\n"+text); err == nil {
			return true
		}
	}
	texts <- text
	return false
}

// listServer is a discovery server that delivers each published list.
type listServer struct {
	*httptest.Server
	mu      sync.Mutex
	text    string
	changed chan bool
}

func newListServer(t *testing.T) *listServer {
	l := &listServer{changed: make(chan bool)}
	l.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		for {
			l.mu.Lock()
			text, changed := l.text, l.changed
			l.mu.Unlock()
			_, _ = fmt.Fprintln(w, text)
			if r.URL.Query().Get("stream") == "" {
				return
			}
			w.(http.Flusher).Flush()
			select {
			case <-changed:
			case <-time.After(time.Second):
			case <-r.Context().Done():
				return
			}
		}
	}))
	t.Cleanup(func() { l.CloseClientConnections(); l.Close() })
	return l
}

func (l *listServer) publish(revision int, members ...string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.text = fmt.Sprintf(`{"revision":%d,"complete":true,"members":[%s]}`, revision, strings.Join(members, ","))
	close(l.changed)
	l.changed = make(chan bool)
}

func listEntry(n int, s *pgserver.Server, phase string) string {
	return fmt.Sprintf(`{"id":"m%d","host_port":"%s","phase":"%s"}`, n, s.Addr, phase)
}
