//go:build debug

package discovery

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"wayloft/internal/failpoint"
	"wayloft/router"
)

// A line that the old address had told just before a move is not passed on after it.
func TestALineCrossesAMove(t *testing.T) {
	old := newPeer(t, says(changed+"\n"))
	next := newPeer(t, func(c net.Conn) { says(`{"revision":5,"complete":true,"members":[]}`)(c); c.Close() }, says("\n"))
	told := make(chan *List, 10)
	w := NewWatcher(old.Addr().String(), 41, func(l *List) { told <- l }, func(error) {})
	once := sync.OnceFunc(func() { w.ChangeAddress(next.Addr().String()) })
	defer failpoint.Set("discovery.tell", once)()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go w.Watch(ctx)
	if l := <-told; l.Revision != 5 || !l.Complete {
		t.Errorf("told %+v first, want the new address's list", l)
	}
}

// Discovery moves while something is on with the old address, whatever that is, and whatever befalls the first call to the
// new one: it is asked for its whole list at once, without waiting for any time-out of the old, and nothing that the old one
// says from then on is told.
func TestMoveInAnyState(t *testing.T) {
	const drained = `{"revision":5,"complete":true,"members":[{"id":"a","host_port":"127.0.0.1:5433","phase":"terminating"}]}`
	states := map[string]func(net.Conn){
		"hung":           func(net.Conn) {},
		"half a head":    func(c net.Conn) { fmt.Fprint(c, "HTTP/1.1 200") },
		"a quiet watch":  says("\n"),
		"half a line":    says("\n" + changed[:40]),
		"half a list":    says("\n{\n"),
		"the whole list": says(changed + "\n" + changed),
	}
	firsts := map[string]func(net.Conn){
		"answers": func(c net.Conn) { says(drained)(c); c.Close() },
		"hangs":   func(net.Conn) {},
		"refuses": resets("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"),
		"resets":  resets("HTTP/1.1 200 OK\r\n\r\n" + drained), // no end
		"spoilt":  func(c net.Conn) { says(drained[:30])(c); c.Close() },
	}
	for state, on := range states {
		for first, f := range firsts {
			for _, ask := range []bool{false, true} {
				t.Run(fmt.Sprint(state, ", ", first, ", asked for: ", ask), func(t *testing.T) {
					t.Parallel()
					old := newPeer(t, on)
					next := newPeer(t, f, func(c net.Conn) { says(drained)(c); c.Close() }, says("\n"))
					told, requests := make(chan *List, 100), make(chan struct{}, 1)
					w := NewWatcher(old.Addr().String(), 41, func(l *List) { told <- l }, func(error) {
						select {
						case requests <- struct{}{}: // a router asks again
						default:
						}
					})
					if w.heartbeatTimeout = time.Hour; first == "hangs" {
						w.heartbeatTimeout = 500 * time.Millisecond
					}
					ctx, cancel := context.WithCancel(context.Background())
					defer cancel()
					if ask {
						go w.Poll(ctx, requests)
						requests <- struct{}{}
					} else {
						go w.Watch(ctx)
					}
					<-old.asked
					w.ChangeAddress(next.Addr().String())
					if got := <-next.asked; got != "/api/targets" {
						t.Errorf("asked %s first", got)
					}
					for n := 0; ; n++ {
						l := <-told
						if l.Revision == 5 {
							if !l.Complete || len(l.Entries) != 1 || l.Entries[0].State != router.Draining {
								t.Errorf("told %+v", l)
							}
							break
						}
						if n > 2 {
							t.Fatalf("told %+v of the old address", l)
						}
					}
					if got := <-next.asked; first != "answers" && got != "/api/targets" {
						t.Errorf("asked %s next", got)
					}
				})
			}
		}
	}
}

// Discovery moves in the pause after a call, and where lists are asked for while nobody asks: the move itself has the new
// address asked.
func TestMoveBetweenTwoCalls(t *testing.T) {
	for _, ask := range []bool{false, true} {
		old := newPeer(t, resets(""))
		next := newPeer(t, func(c net.Conn) { says(`{"revision":5,"complete":true,"members":[]}`)(c); c.Close() }, says("\n"))
		told := make(chan *List, 100)
		var w *Watcher
		move := sync.OnceFunc(func() { w.ChangeAddress(next.Addr().String()) })
		w = NewWatcher(old.Addr().String(), 41, func(l *List) { told <- l }, func(error) { move() }) // the call has ended
		ctx, cancel := context.WithCancel(context.Background())
		if ask {
			requests := make(chan struct{}, 1)
			go w.Poll(ctx, requests)
			requests <- struct{}{}
		} else {
			go w.Watch(ctx)
		}
		if l := <-told; l.Revision != 5 || !l.Complete {
			t.Errorf("told %+v", l)
		}
		if len(old.asked) != 1 {
			t.Errorf("the old address was asked %d times", len(old.asked))
		}
		cancel()
	}
}

// Discovery moves twice before the first move is noticed, and back to where it was: the last address is asked.
func TestMoveTwice(t *testing.T) {
	old := newPeer(t, says("\n"))
	never := newPeer(t, says(`{"revision":9,"complete":true,"members":[]}`))
	told := make(chan *List, 100)
	w := NewWatcher(old.Addr().String(), 41, func(l *List) { told <- l }, func(error) {})
	twice := sync.OnceFunc(func() { w.ChangeAddress(never.Addr().String()); w.ChangeAddress(old.Addr().String()) })
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go w.Watch(ctx)
	if l := <-told; l.Revision != 41 {
		t.Errorf("told %+v", l)
	}
	<-old.asked
	twice()
	if got := <-old.asked; got != "/api/targets" {
		t.Errorf("asked %s", got)
	}
}
