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

// ends is a handler that notes what it hears.
type ends struct {
	data   chan string
	closed chan bool
}

func (e *ends) Data(b []byte) { e.data <- string(b) }
func (e *ends) Closed()       { close(e.closed) }

// pair runs a loop, and gives a connection of its own and the peer's end.
func pair(t *testing.T, mostLeft int) (*Loop, *Conn, *net.TCPConn, *ends) {
	t.Helper()
	l := NewLoop(256)
	front, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	h, accepted := &ends{make(chan string, 10), make(chan bool)}, make(chan *Conn, 1)
	if err := l.Listen(front, mostLeft, func(c *Conn) { c.Handle(h); accepted <- c }); err != nil {
		t.Fatal(err)
	}
	ended := make(chan bool)
	go func() { l.Run(func() {}); close(ended) }()
	t.Cleanup(func() { l.Post(l.Stop); <-ended })
	peer, err := net.Dial("tcp", front.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { peer.Close() })
	return l, <-accepted, peer.(*net.TCPConn), h
}

// A request that the poller has read, and not yet counted, when its connection is about to end: it is heard, and the
// connection stays. Held at the point between the two, an end can't be decided.
func TestEndWhileThePollerReads(t *testing.T) {
	for name, end := range map[string]func(*Conn) bool{"finish": (*Conn).FinishIfQuiescent, "drop": (*Conn).DropIfQuiescent} {
		t.Run(name, func(t *testing.T) {
			l, c, peer, h := pair(t, 1<<20)
			ended := make(chan bool, 1)
			ask := func() { l.Post(func() { ended <- end(c) }) }
			apart := false
			clear := failpoint.Set("eventloop.read", sync.OnceFunc(func() {
				if apart = c.readMu.TryLock(); apart { // nothing keeps the end out: let it happen now
					c.readMu.Unlock()
					ask()
					ended <- <-ended
					return
				}
				ask() // before what was read is heard
			}))
			if _, err := peer.Write([]byte("request")); err != nil {
				t.Fatal(err)
			}
			over := <-ended
			clear()
			if over || apart {
				t.Fatalf("ended over a request that was read before: %v; the poller reads and counts in two steps: %v", over, apart)
			}
			if got := <-h.data; got != "request" {
				t.Errorf("heard %q", got)
			}
		})
	}
}

// A request that comes between the question whether any has and the end: the poller does not read it before the end, so
// that its sender can tell that it was not taken; what was answered before reaches it.
func TestRequestComesWhileItsConnectionEnds(t *testing.T) {
	l, c, peer, h := pair(t, 1<<20)
	var order []string
	var mu sync.Mutex
	note := func(what string) { mu.Lock(); order = append(order, what); mu.Unlock() }
	clear := failpoint.Set("eventloop.read", func() { note("read") })
	defer clear()
	free := false
	defer failpoint.Set("eventloop.quiescent", func() {
		if free = c.readMu.TryLock(); free {
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
		t.Fatal("a quiet connection did not end")
	}
	if got, err := io.ReadAll(peer); string(got) != "answer" || err != nil {
		t.Errorf("the peer read %q, %v; want the answer and the end", got, err)
	}
	peer.Close()
	<-h.closed
	mu.Lock()
	defer mu.Unlock()
	if free {
		t.Error("the poller may read while the end is decided")
	}
	if len(order) == 0 || order[0] != "ending" {
		t.Errorf("in the order %v", order)
	}
	select {
	case got := <-h.data:
		t.Errorf("heard %q after the end", got)
	default:
	}
}

// What is not written to the end keeps its connection from ending quietly, and the answer gets through.
func TestUnsentIsNotQuiet(t *testing.T) {
	l, c, peer, _ := pair(t, 64<<20)
	long := make([]byte, 32<<20)
	ended := make(chan bool, 1)
	l.Post(func() { c.Write(long); ended <- c.FinishIfQuiescent() })
	if <-ended {
		t.Error("ended though not all was written")
	}
	if n, err := io.ReadFull(peer, long); err != nil {
		t.Errorf("the peer read %d bytes: %v", n, err)
	}
}

// A peer takes a connection and at once says something, or ends it: both cross the moment in which the loop is told that
// the connection is up. Whoever handles it hears of them all the same, in their order, and doesn't wait for a time-out.
func TestPeerIsFasterThanItsConnection(t *testing.T) {
	for _, c := range []struct {
		name, says string
		reset      bool
	}{{"ends", "", false}, {"resets", "", true}, {"speaks and ends", "no room", false}} {
		t.Run(c.name, func(t *testing.T) {
			l, _, _, _ := pair(t, 1<<20)
			front, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer front.Close()
			gone := make(chan bool, 10)
			defer failpoint.Set("eventloop.closed", func() { gone <- true })()
			defer failpoint.Set("eventloop.dialed", func() { // it is with the poller, and the loop has not heard of it
				peer, err := front.Accept()
				if err != nil {
					t.Error(err)
					return
				}
				peer.Write([]byte(c.says))
				if c.reset {
					peer.(*net.TCPConn).SetLinger(0)
				}
				peer.Close()
				<-gone // what befell it has come to the loop
			})()
			h := &ends{make(chan string, 10), make(chan bool)}
			l.Post(func() {
				l.Dial(front.Addr().String(), 10000, func(one *Conn, err error) {
					if err != nil {
						t.Error(err)
						return
					}
					one.Handle(h)
					one.Write([]byte("hello"))
				})
			})
			select {
			case <-h.closed:
			case <-time.After(20 * time.Second):
				t.Fatal("its end was never heard of")
			}
			if c.says != "" {
				select {
				case got := <-h.data:
					if got != c.says {
						t.Errorf("heard %q", got)
					}
				default:
					t.Error("what it said was not heard")
				}
			}
		})
	}
}

// order notes what a handler hears, and when its batch is over.
type order struct {
	mu     sync.Mutex
	what   []string
	over   chan bool
	closed chan bool
}

func (o *order) note(what string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.what) > 0 || what != "settled" {
		o.what = append(o.what, what)
	}
	if what == "settled" && len(o.what) == 2 {
		close(o.over)
	}
}
func (o *order) Data(b []byte) { o.note(string(b)) }
func (o *order) Closed()       { o.note("closed"); close(o.closed) }

// A request and its client's end have both come before the poller reads. The loop hears of the end in the batch of the
// request, so that nothing is decided for it in between: the poller is held behind the request until that batch is over.
func TestEndIsHeardWithWhatCameBeforeIt(t *testing.T) {
	l := NewLoop(256)
	front, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	o, other := &order{over: make(chan bool), closed: make(chan bool)}, &ends{make(chan string, 10), make(chan bool)}
	accepted := make(chan bool, 2)
	handlers := []Handler{o, other}
	if err := l.Listen(front, 1<<20, func(c *Conn) { c.Handle(handlers[0]); handlers = handlers[1:]; accepted <- true }); err != nil {
		t.Fatal(err)
	}
	ended := make(chan bool)
	go func() { l.Run(func() { o.note("settled") }); close(ended) }()
	defer func() { l.Post(l.Stop); <-ended }()
	var peers [2]net.Conn
	for n := range peers {
		if peers[n], err = net.Dial("tcp", front.Addr().String()); err != nil {
			t.Fatal(err)
		}
		defer peers[n].Close()
		<-accepted
	}
	held, release := make(chan bool), make(chan bool)
	defer failpoint.Set("eventloop.read", sync.OnceFunc(func() { held <- true; <-release }))()
	told := 0
	defer failpoint.Set("eventloop.posted", func() {
		if told++; told == 2 { // the request; the first is the other's
			<-o.over
		}
	})()
	if _, err := peers[1].Write([]byte("other")); err != nil {
		t.Fatal(err)
	}
	<-held
	if _, err := peers[0].Write([]byte("request")); err != nil {
		t.Fatal(err)
	}
	peers[0].Close() // both are with this side's system now
	close(release)
	<-o.closed
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.what) < 2 || o.what[0] != "request" || o.what[1] != "closed" {
		t.Errorf("in the order %v", o.what)
	}
}

// A dial is made while the loop ends: the poller does not get its connection any more, and the peer sees its end.
func TestDialIsMadeWhileTheLoopEnds(t *testing.T) {
	l := NewLoop(256)
	front, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if err := l.Listen(front, 1<<20, func(*Conn) {}); err != nil {
		t.Fatal(err)
	}
	there, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer there.Close()
	ended, dialled := make(chan bool), make(chan error)
	defer failpoint.Set("eventloop.connected", func() { <-ended })()
	go func() { _, err := l.dial(there.Addr().String(), 10*time.Second); dialled <- err }()
	go func() { l.Run(func() {}); close(ended) }()
	peer, err := there.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer peer.Close()
	l.Post(l.Stop)
	if err := <-dialled; !errors.Is(err, net.ErrClosed) {
		t.Errorf("the dial ended with %v", err)
	}
	peer.SetReadDeadline(time.Now().Add(10 * time.Second))
	if _, err := peer.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("the peer saw %v, want the end", err)
	}
}
