//go:build debug

package eventloop

import (
	"errors"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"wayloft/internal/failpoint"
)

// channelHandler is a handler that passes on what it receives.
type channelHandler struct {
	data   chan string
	closed chan bool
}

func (h *channelHandler) Data(b []byte) { h.data <- string(b) }
func (h *channelHandler) Closed()       { close(h.closed) }

// connectedPair runs a loop until the test is over. It returns a connection of the loop, the peer's end of it, and its handler.
func connectedPair(t *testing.T, maxUnsent int) (*Loop, *Conn, *net.TCPConn, *channelHandler) {
	t.Helper()
	l := NewLoop(256)
	front, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	h, accepted := &channelHandler{make(chan string, 10), make(chan bool)}, make(chan *Conn, 1)
	if err := l.Listen(front, maxUnsent, func(c *Conn) { c.Handle(h); accepted <- c }); err != nil {
		t.Fatal(err)
	}
	runLoop(t, l)
	peer, err := net.Dial("tcp", front.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { closeSocket(peer) })
	return l, <-accepted, peer.(*net.TCPConn), h
}

// The poller has read a request, and not yet counted it, when its connection is about to be ended: the request reaches the handler, and
// the connection stays. While the poller is held between the two steps, no end can be decided.
func TestConn_EndWhilePollerReads(t *testing.T) {
	for name, end := range map[string]func(*Conn) bool{"finish": (*Conn).FinishIfQuiescent, "drop": (*Conn).DropIfQuiescent} {
		t.Run(name, func(t *testing.T) {
			l, c, peer, h := connectedPair(t, 1<<20)
			ended := make(chan bool, 1)
			tryEnd := func() { l.Post(func() { ended <- end(c) }) }
			twoSteps := false
			restore := failpoint.Set("eventloop.read", sync.OnceFunc(func() {
				if twoSteps = c.readMu.TryLock(); twoSteps { // nothing keeps the end out: let it happen now
					c.readMu.Unlock()
					tryEnd()
					ended <- <-ended
					return
				}
				tryEnd() // before what was read reaches the handler
			}))
			if _, err := peer.Write([]byte("request")); err != nil {
				t.Fatal(err)
			}
			over := <-ended
			restore()
			if over || twoSteps {
				t.Fatalf("ended over a request that was read before: %v; the poller reads and counts in two steps: %v", over, twoSteps)
			}
			if got := <-h.data; got != "request" {
				t.Errorf("received %q", got)
			}
		})
	}
}

// A request comes between the check for unread bytes and the end of the connection: the poller does not read it before the end, so that
// its sender can tell that it was not accepted; the answer before it reaches the sender.
func TestConn_RequestComesWhileItEnds(t *testing.T) {
	l, c, peer, h := connectedPair(t, 1<<20)
	var order []string
	var mu sync.Mutex
	note := func(event string) {
		mu.Lock()
		defer mu.Unlock()
		order = append(order, event)
	}
	defer failpoint.Set("eventloop.read", func() { note("read") })()
	unlocked := false
	defer failpoint.Set("eventloop.quiescent", func() {
		if unlocked = c.readMu.TryLock(); unlocked {
			c.readMu.Unlock()
		}
		if _, err := peer.Write([]byte("request")); err != nil { // it is with this side's system when this returns
			t.Error(err)
		}
		note("ending")
	})()
	ended := make(chan bool, 1)
	l.Post(func() { c.Write([]byte("answer")); ended <- c.FinishIfQuiescent() })
	if !<-ended {
		t.Fatal("a quiescent connection did not end")
	}
	if got, err := io.ReadAll(peer); string(got) != "answer" || err != nil {
		t.Errorf("the peer read %q, %v; want the answer and the end", got, err)
	}
	closeSocket(peer)
	<-h.closed
	mu.Lock()
	defer mu.Unlock()
	if unlocked {
		t.Error("the poller may read while the end is decided")
	}
	if len(order) == 0 || order[0] != "ending" {
		t.Errorf("the order is %v", order)
	}
	select {
	case got := <-h.data:
		t.Errorf("received %q after the end", got)
	default:
	}
}

// A connection with unsent bytes is not quiescent, and the answer reaches the peer.
func TestConn_UnsentIsNotQuiescent(t *testing.T) {
	l, c, peer, _ := connectedPair(t, 64<<20)
	answer := make([]byte, 32<<20)
	ended := make(chan bool, 1)
	l.Post(func() { c.Write(answer); ended <- c.FinishIfQuiescent() })
	if <-ended {
		t.Error("ended though not all was written")
	}
	if n, err := io.ReadFull(peer, answer); err != nil {
		t.Errorf("the peer read %d bytes: %v", n, err)
	}
}

// A peer accepts a connection and at once sends something, or ends it, before the loop is told that the connection is up. The handler
// receives both all the same, in their order, and doesn't wait for a time-out.
func TestConn_PeerActsBeforeDialIsReported(t *testing.T) {
	for _, c := range []struct {
		name, sends string
		reset       bool
	}{{"closes", "", false}, {"resets", "", true}, {"sends and closes", "no room", false}} {
		t.Run(c.name, func(t *testing.T) {
			l, _, _, _ := connectedPair(t, 1<<20)
			front, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer closeSocket(front)
			notified := make(chan bool, 10)
			defer failpoint.Set("eventloop.closed", func() { notified <- true })()
			defer failpoint.Set("eventloop.dialed", func() { // the poller has it, and the loop has not been told
				peer, err := front.Accept()
				if err != nil {
					t.Error(err)
					return
				}
				if _, err := peer.Write([]byte(c.sends)); err != nil {
					t.Error(err)
				}
				if c.reset {
					if err := peer.(*net.TCPConn).SetLinger(0); err != nil {
						t.Error(err)
					}
				}
				closeSocket(peer)
				<-notified // the loop has been told of the end
			})()
			h := &channelHandler{make(chan string, 10), make(chan bool)}
			l.Post(func() {
				l.Dial(front.Addr().String(), 10000, func(conn *Conn, err error) {
					if err != nil {
						t.Error(err)
						return
					}
					conn.Handle(h)
					conn.Write([]byte("hello"))
				})
			})
			select {
			case <-h.closed:
			case <-time.After(20 * time.Second):
				t.Fatal("its end was never reported")
			}
			if c.sends != "" {
				select {
				case got := <-h.data:
					if got != c.sends {
						t.Errorf("received %q", got)
					}
				default:
					t.Error("what it sent was not received")
				}
			}
		})
	}
}

// eventLog is a handler that records what it receives, and when its batch is over.
type eventLog struct {
	mu     sync.Mutex
	events []string
	over   chan bool
	closed chan bool
}

func (log *eventLog) note(event string) {
	log.mu.Lock()
	defer log.mu.Unlock()
	if len(log.events) > 0 || event != "batch over" {
		log.events = append(log.events, event)
	}
	if event == "batch over" && len(log.events) == 2 {
		close(log.over)
	}
}
func (log *eventLog) Data(b []byte) { log.note(string(b)) }
func (log *eventLog) Closed()       { log.note("closed"); close(log.closed) }

// A request and its client's end have both come before the poller reads. The handler is told of the end in the batch of the request, so
// that nothing is decided for the request in between: the poller is held behind the request until that batch is over.
func TestConn_EndArrivesWithBytesBeforeIt(t *testing.T) {
	l := NewLoop(256)
	front, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	log, other := &eventLog{over: make(chan bool), closed: make(chan bool)}, &channelHandler{make(chan string, 10), make(chan bool)}
	accepted := make(chan bool, 2)
	handlers := []Handler{log, other}
	if err := l.Listen(front, 1<<20, func(c *Conn) { c.Handle(handlers[0]); handlers = handlers[1:]; accepted <- true }); err != nil {
		t.Fatal(err)
	}
	ended := make(chan bool)
	go func() { l.Run(func() { log.note("batch over") }); close(ended) }()
	defer func() { l.Post(l.Stop); <-ended }()
	var peers [2]net.Conn
	for n := range peers {
		if peers[n], err = net.Dial("tcp", front.Addr().String()); err != nil {
			t.Fatal(err)
		}
		defer closeSocket(peers[n])
		<-accepted
	}
	held, release := make(chan bool), make(chan bool)
	defer failpoint.Set("eventloop.read", sync.OnceFunc(func() { held <- true; <-release }))()
	posted := 0
	defer failpoint.Set("eventloop.posted", func() {
		if posted++; posted == 2 { // the request; the first is the other's
			<-log.over
		}
	})()
	if _, err := peers[1].Write([]byte("other")); err != nil {
		t.Fatal(err)
	}
	<-held
	if _, err := peers[0].Write([]byte("request")); err != nil {
		t.Fatal(err)
	}
	closeSocket(peers[0]) // both are with this side's system now
	close(release)
	<-log.closed
	log.mu.Lock()
	defer log.mu.Unlock()
	if len(log.events) < 2 || log.events[0] != "request" || log.events[1] != "closed" {
		t.Errorf("the order is %v", log.events)
	}
}

// A dial succeeds while the loop ends: the poller is not given its connection any more, and the peer sees the end.
func TestLoop_DialWhileItEnds(t *testing.T) {
	l := NewLoop(256)
	front, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if err := l.Listen(front, 1<<20, func(*Conn) {}); err != nil {
		t.Fatal(err)
	}
	target, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer closeSocket(target)
	ended, dialed := make(chan bool), make(chan error)
	defer failpoint.Set("eventloop.connected", func() { <-ended })()
	go func() { _, err := l.dial(target.Addr().String(), 10*time.Second); dialed <- err }()
	go func() { l.Run(func() {}); close(ended) }()
	peer, err := target.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer closeSocket(peer)
	l.Post(l.Stop)
	if err := <-dialed; !errors.Is(err, net.ErrClosed) {
		t.Errorf("the dial ended with %v", err)
	}
	if err := peer.SetReadDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	if _, err := peer.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("the peer saw %v, want the end", err)
	}
}
