package eventloop

import (
	"net"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/logging"
	"github.com/lesismal/nbio/mempool"
)

// Listen starts the poller. accept is called on the loop for each inbound connection, before any of its data is delivered. A
// connection with more than maxUnsent unsent bytes is closed. Listen must be called once, before Run.
func (l *Loop) Listen(listener net.Listener, maxUnsent int, accept func(*Conn)) error {
	logging.SetLevel(logging.LevelNone)
	engine := nbio.NewEngine(nbio.Config{Network: "tcp", Addrs: []string{listener.Addr().String()}, NPoller: 1,
		ReadBufferSize: readSize, MaxWriteBufferSize: maxUnsent,
		// Edge-triggered: what the loop leaves unread must not wake the poller over and over.
		EpollMod: nbio.EPOLLET,
		// Buffers for what peers don't read are as large as need be. Those of nbio's pool keep the largest size that they ever had.
		BodyAllocator: mempool.NewSTD(),
		Listen:        func(string, string) (net.Listener, error) { return listener, nil }})
	engine.OnOpen(func(nb *nbio.Conn) {
		if nb.Session() != nil {
			return // dialled
		}
		c := l.attach(nb, true)
		l.Post(func() { accept(c) })
	})
	engine.OnRead(func(nb *nbio.Conn) {
		if c := connOf(nb); c != nil {
			c.readable()
		}
	})
	engine.OnWrittenSize(func(nb *nbio.Conn, _ []byte, n int) {
		if c, ok := nb.Session().(*Conn); ok {
			if c.recordWritten(n) {
				l.engine.Async(func() { l.Post(c.shutdownWrite) })
			}
		}
	})
	engine.OnClose(func(nb *nbio.Conn, _ error) {
		if c := connOf(nb); c != nil {
			l.Post(c.notifyClosed)
		}
	})
	l.engine, l.maxUnsent = engine, int64(maxUnsent)
	return engine.Start()
}

// attach creates the Conn of an nbio connection, and connOf looks it up. The lock makes the session visible to the poller, which
// learns of a connection only through the operating system and so has no other synchronization with attach.
func (l *Loop) attach(nb *nbio.Conn, inbound bool) *Conn {
	c := &Conn{loop: l, nb: nb, inbound: inbound}
	nb.Lock()
	nb.SetSession(c)
	nb.Unlock()
	return c
}

func connOf(nb *nbio.Conn) *Conn {
	nb.Lock()
	defer nb.Unlock()
	c, _ := nb.Session().(*Conn)
	return c
}

// stopEngine closes the listener and the remaining connections without calling their handlers. It discards events posted in the
// meantime, and waits at most lingerTimeout for the poller to stop.
func (l *Loop) stopEngine() {
	if l.engine == nil {
		return
	}
	// A dial may complete concurrently: no connection may be registered with the poller once it is stopping.
	l.engineMu.Lock()
	l.engineStopped = true
	l.engineMu.Unlock()
	stopped := make(chan struct{})
	go func() {
		l.engine.Stop()
		close(stopped)
	}()
	for timeout := time.After(lingerTimeout); ; {
		select {
		case <-l.mailbox:
		case <-stopped:
			return
		case <-timeout:
			return
		}
	}
}
