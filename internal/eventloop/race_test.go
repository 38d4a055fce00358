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

// channelHandler is a handler that forwards data and the end of the connection to channels.
type channelHandler struct {
	data   chan string
	closed chan bool
}

func (h *channelHandler) Data(b []byte) { h.data <- string(b) }
func (h *channelHandler) Drained()      {}
func (h *channelHandler) Closed()       { close(h.closed) }

// connectedPair runs a loop until the test ends. It returns the loop, an inbound connection, the peer's end of it, and its handler.
func connectedPair(t *testing.T, maxUnsent int) (*Loop, *Conn, *net.TCPConn, *channelHandler) {
	t.Helper()
	l := NewLoop(256)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	h, accepted := &channelHandler{make(chan string, 10), make(chan bool)}, make(chan *Conn, 1)
	if err := l.Listen(listener, maxUnsent, func(c *Conn) { c.Handle(h); accepted <- c }); err != nil {
		t.Fatal(err)
	}
	runLoop(t, l)
	peer, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { closeSocket(peer) })
	return l, <-accepted, peer.(*net.TCPConn), h
}

// Guards against ending a connection when the poller has read a request, ahead of the end of its client's sending, and the loop has not
// handled it. The loop tries to end the connection while the poller reads: it has to wait, and then finds the request.
func TestConn_EndWhilePollerReads(t *testing.T) {
	for name, end := range map[string]func(*Conn) bool{"finish": (*Conn).FinishIfQuiescent, "drop": (*Conn).DropIfQuiescent} {
		t.Run(name, func(t *testing.T) {
			l, c, peer, h := connectedPair(t, 1<<20)
			draining, ended, blocked := make(chan bool), make(chan bool, 1), make(chan bool)
			l.Post(func() { // until the poller reads, the loop does not
				blocked <- true
				<-draining
				ended <- end(c)
			})
			<-blocked
			unlocked := false
			restore := failpoint.SetHook("eventloop.drain", sync.OnceFunc(func() {
				if unlocked = c.readMu.TryLock(); unlocked { // the lock is not held: let the end happen now
					c.readMu.Unlock()
					draining <- true
					ended <- <-ended
					return
				}
				draining <- true
			}))
			if _, err := peer.Write([]byte("request")); err != nil {
				t.Fatal(err)
			}
			if err := peer.CloseWrite(); err != nil {
				t.Fatal(err)
			}
			wasEnded := <-ended
			restore()
			if wasEnded || unlocked {
				t.Fatalf("connection ended despite a request that was already read: %v; read and record are not atomic: %v", wasEnded, unlocked)
			}
			if got := <-h.data; got != "request" {
				t.Errorf("received %q", got)
			}
			<-h.closed
		})
	}
}

// Guards against ending a connection whose bytes the loop has not read yet: those that arrive while it is busy, and those beyond a turn.
func TestConn_UnreadIsNotQuiescent(t *testing.T) {
	l, c, peer, h := connectedPair(t, 1<<20)
	blocked, sent, ended := make(chan bool), make(chan bool), make(chan bool, 2)
	l.Post(func() {
		blocked <- true
		<-sent
		ended <- c.DropIfQuiescent()
		l.Post(func() { ended <- c.DropIfQuiescent() }) // behind the first turn
	})
	<-blocked
	if _, err := peer.Write(make([]byte, 3*readSize)); err != nil {
		t.Fatal(err)
	}
	sent <- true
	for n := range 2 {
		if <-ended {
			t.Errorf("attempt %d: dropped although there are unread bytes", n)
		}
	}
	for received := 0; received < 3*readSize; {
		received += len(<-h.data)
	}
}

// Guards against a peer that sends at full speed and holds the loop: others' events are handled after a bounded number of its bytes.
func TestConn_FloodIsReadInTurns(t *testing.T) {
	l := NewLoop(256)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	counter := &byteCounter{}
	if err := l.Listen(listener, 1<<20, func(c *Conn) { c.Handle(counter) }); err != nil {
		t.Fatal(err)
	}
	runLoop(t, l)
	peer, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan bool)
	go func() {
		defer close(ended)
		for buffer := make([]byte, 1<<16); ; {
			if _, err := peer.Write(buffer); err != nil {
				return
			}
		}
	}()
	defer func() { closeSocket(peer); <-ended }()
	handled := make(chan int)
	total := func() int {
		l.Post(func() { handled <- counter.bytes })
		return <-handled
	}
	for before := total(); before < 1<<20; before = total() {
	}
	for range 100 {
		between := make(chan int, 2)
		l.Post(func() {
			between <- counter.bytes
			l.Defer(func() { l.NextTurn(func() { between <- counter.bytes }) })
		})
		if bytes := -<-between + <-between; bytes > 2*maxTurnsPerBatch*maxReadsPerTurn*readSize {
			t.Fatalf("%d bytes were read between an event and the next turn", bytes)
		}
	}
}

// A connection whose reading is paused delivers nothing, and then everything in order.
func TestConn_PauseReading(t *testing.T) {
	l, c, peer, h := connectedPair(t, 1<<20)
	l.Post(c.PauseReading)
	if _, err := peer.Write([]byte("first ")); err != nil {
		t.Fatal(err)
	}
	paused := make(chan bool)
	l.Post(func() { paused <- c.Unread() })
	for !<-paused { // the bytes have not arrived yet
		l.Post(func() { paused <- c.Unread() })
	}
	if _, err := peer.Write([]byte("second")); err != nil {
		t.Fatal(err)
	}
	select {
	case got := <-h.data:
		t.Errorf("received %q while paused", got)
	default:
	}
	l.Post(c.ResumeReading)
	got := ""
	for len(got) < len("first second") {
		got += <-h.data
	}
	if got != "first second" {
		t.Errorf("received %q", got)
	}
}

// A request arrives between the check for unread bytes and the end of the connection. The poller must not read it before the end, so that
// its sender can tell that it was not accepted. The response to the previous request still reaches the sender.
func TestConn_RequestComesWhileItEnds(t *testing.T) {
	l, c, peer, h := connectedPair(t, 1<<20)
	var order []string
	var mu sync.Mutex
	record := func(event string) {
		mu.Lock()
		defer mu.Unlock()
		order = append(order, event)
	}
	defer failpoint.SetHook("eventloop.read", func() { record("read") })()
	unlocked := false
	defer failpoint.SetHook("eventloop.quiescent", func() {
		if unlocked = c.readMu.TryLock(); unlocked {
			c.readMu.Unlock()
		}
		if _, err := peer.Write([]byte("request")); err != nil { // when Write returns, the data is in the local receive buffer
			t.Error(err)
		}
		record("ending")
	})()
	ended := make(chan bool, 1)
	l.Post(func() { c.Write([]byte("response")); ended <- c.FinishIfQuiescent() })
	if !<-ended {
		t.Fatal("a quiescent connection was not finished")
	}
	if got, err := io.ReadAll(peer); string(got) != "response" || err != nil {
		t.Errorf("the peer read %q, %v; want the response and EOF", got, err)
	}
	closeSocket(peer)
	<-h.closed
	mu.Lock()
	defer mu.Unlock()
	if unlocked {
		t.Error("the poller may read between the check and the end")
	}
	if len(order) == 0 || order[0] != "ending" {
		t.Errorf("events %v, want ending first", order)
	}
	select {
	case got := <-h.data:
		t.Errorf("received %q after the end", got)
	default:
	}
}

// A connection with unsent bytes is not quiescent, and the whole response reaches the peer.
func TestConn_UnsentIsNotQuiescent(t *testing.T) {
	l, c, peer, _ := connectedPair(t, 64<<20)
	response := make([]byte, 32<<20)
	ended := make(chan bool, 1)
	l.Post(func() { c.Write(response); ended <- c.FinishIfQuiescent() })
	if <-ended {
		t.Error("finished although there are unsent bytes")
	}
	if n, err := io.ReadFull(peer, response); err != nil {
		t.Errorf("the peer read %d bytes: %v", n, err)
	}
}

// A peer accepts a connection and immediately sends data or closes it, before the loop learns that the connection is established. The
// handler must receive both, in order, without waiting for a timeout.
func TestConn_PeerActsBeforeDialIsReported(t *testing.T) {
	for _, c := range []struct {
		name, sends string
		reset       bool
	}{{"closes", "", false}, {"resets", "", true}, {"sends and closes", "too many connections", false}} {
		t.Run(c.name, func(t *testing.T) {
			l, _, _, _ := connectedPair(t, 1<<20)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer closeSocket(listener)
			notified := make(chan bool, 10)
			defer failpoint.SetHook("eventloop.closed", func() { notified <- true })()
			defer failpoint.SetHook("eventloop.dialed", func() { // the connection is registered with the poller, and the loop has not been notified
				peer, err := listener.Accept()
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
				<-notified // the loop has handled the end of the connection
			})()
			h := &channelHandler{make(chan string, 10), make(chan bool)}
			l.Post(func() {
				l.Dial(listener.Addr().String(), 10000, func(conn *Conn, err error) {
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
				t.Fatal("the end of the connection was not reported")
			}
			if c.sends != "" {
				select {
				case got := <-h.data:
					if got != c.sends {
						t.Errorf("received %q", got)
					}
				default:
					t.Error("the data sent by the peer was not received")
				}
			}
		})
	}
}

// eventLog is a handler that records the data it receives, the end of the connection and the end of each batch after its first event.
type eventLog struct {
	mu         sync.Mutex
	events     []string
	batchEnded chan bool
	closed     chan bool
}

func (log *eventLog) record(event string) {
	log.mu.Lock()
	defer log.mu.Unlock()
	if len(log.events) > 0 || event != "batch ended" {
		log.events = append(log.events, event)
	}
	if event == "batch ended" && len(log.events) == 2 {
		close(log.batchEnded)
	}
}
func (log *eventLog) Data(b []byte) { log.record(string(b)) }
func (log *eventLog) Drained()      {}
func (log *eventLog) Closed()       { log.record("closed"); close(log.closed) }

// A request and the end of its client's connection both arrive before the poller reads. The handler must be notified of the end in the
// same batch as the request, so that no decision is made on the request in between. The poller is blocked after posting the request
// until that batch has ended.
func TestConn_EndArrivesWithBytesBeforeIt(t *testing.T) {
	l := NewLoop(256)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	log, other := &eventLog{batchEnded: make(chan bool), closed: make(chan bool)}, &channelHandler{make(chan string, 10), make(chan bool)}
	accepted := make(chan bool, 2)
	handlers := []Handler{log, other}
	if err := l.Listen(listener, 1<<20, func(c *Conn) { c.Handle(handlers[0]); handlers = handlers[1:]; accepted <- true }); err != nil {
		t.Fatal(err)
	}
	ended := make(chan bool)
	go func() { l.Run(func() { log.record("batch ended") }); close(ended) }()
	defer func() { l.Post(l.Stop); <-ended }()
	var peers [2]net.Conn
	for n := range peers {
		if peers[n], err = net.Dial("tcp", listener.Addr().String()); err != nil {
			t.Fatal(err)
		}
		defer closeSocket(peers[n])
		<-accepted
	}
	blocked, release := make(chan bool), make(chan bool)
	defer failpoint.SetHook("eventloop.readable", sync.OnceFunc(func() { blocked <- true; <-release }))()
	posted := 0
	defer failpoint.SetHook("eventloop.posted", func() {
		if posted++; posted == 2 { // the request; the first post is from the other connection
			<-log.batchEnded
		}
	})()
	if _, err := peers[1].Write([]byte("other")); err != nil {
		t.Fatal(err)
	}
	<-blocked
	if _, err := peers[0].Write([]byte("request")); err != nil {
		t.Fatal(err)
	}
	closeSocket(peers[0]) // the request and the end have now reached this side's socket
	close(release)
	<-log.closed
	log.mu.Lock()
	defer log.mu.Unlock()
	if len(log.events) < 2 || log.events[0] != "request" || log.events[1] != "closed" {
		t.Errorf("events %v, want request and closed first", log.events)
	}
}

// A dial succeeds while the loop is stopping: its connection is not registered with the poller, and the peer sees EOF.
func TestLoop_DialWhileItEnds(t *testing.T) {
	l := NewLoop(256)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if err := l.Listen(listener, 1<<20, func(*Conn) {}); err != nil {
		t.Fatal(err)
	}
	target, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer closeSocket(target)
	ended, dialed := make(chan bool), make(chan error)
	defer failpoint.SetHook("eventloop.connected", func() { <-ended })()
	go func() { _, err := l.dial(target.Addr().String(), 10*time.Second); dialed <- err }()
	go func() { l.Run(func() {}); close(ended) }()
	peer, err := target.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer closeSocket(peer)
	l.Post(l.Stop)
	if err := <-dialed; !errors.Is(err, net.ErrClosed) {
		t.Errorf("the dial returned %v, want net.ErrClosed", err)
	}
	if err := peer.SetReadDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	if _, err := peer.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("the peer read %v, want EOF", err)
	}
}
