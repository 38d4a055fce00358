package fleet

import (
	"io"
	"net"
	"sync"
	"time"
)

// Link is the link from one process to another: it passes on what comes, until it is told otherwise. It owns the connections
// on both sides; what it holds back it keeps in order.
type Link struct {
	From, To string
	Addr     string // where From connects
	target   string

	mu    sync.Mutex
	state *sync.Cond
	hole  [2]bool // there, back: nothing is passed on, and nothing is lost
	cut   bool    // connections end with RST, new ones too
	delay time.Duration
	after int // bytes still passed on there before all ends with RST; negative: any
	conns map[net.Conn]bool
	l     net.Listener
	ended bool

	held  [2]int // bytes that wait to be passed on
	Bytes [2]int // passed on, there and back
	Made  int    // connections
}

// NewSwitch makes a link to an address.
func NewSwitch(from, to, target string) (*Link, error) {
	l, err := ListenFree()
	if err != nil {
		return nil, err
	}
	s := &Link{From: from, To: to, Addr: l.Addr().String(), target: target, after: -1, conns: map[net.Conn]bool{}, l: l}
	s.state = sync.NewCond(&s.mu)
	go s.accept()
	return s, nil
}

// Close ends it.
func (s *Link) Close() {
	s.set(func() { s.ended, s.cut = true, true })
	s.l.Close()
	ReleasePort(s.l.Addr())
	s.reset()
}

func (s *Link) set(f func()) {
	s.mu.Lock()
	f()
	s.mu.Unlock()
	s.state.Broadcast()
}

// Hole holds back what goes there, what comes back, or both: nobody hears that anything is wrong.
func (s *Link) Hole(there, back bool) { s.set(func() { s.hole = [2]bool{there, back} }) }

// Held tells how many bytes wait to be passed on there, and back.
func (s *Link) Held() [2]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.held
}

// Cut ends all connections with RST, and each new one, until Heal.
func (s *Link) Cut() {
	s.set(func() { s.cut = true })
	s.reset()
}

// Delay holds each piece for so long, in both directions.
func (s *Link) Delay(d time.Duration) { s.set(func() { s.delay = d }) }

// CutAfter ends all with RST once so many more bytes have gone there.
func (s *Link) CutAfter(bytes int) { s.set(func() { s.after = bytes }) }

// HalfClose ends what goes there, as an end of stream; what comes back still does.
func (s *Link) HalfClose() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if t, ok := c.(*net.TCPConn); ok {
			t.CloseWrite()
		}
	}
}

// Heal passes on everything again, what was held back first.
func (s *Link) Heal() {
	s.set(func() { s.hole, s.cut, s.delay, s.after = [2]bool{}, false, 0, -1 })
}

func (s *Link) reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if t, ok := c.(*net.TCPConn); ok {
			t.SetLinger(0)
		}
		c.Close()
	}
}

func (s *Link) accept() {
	for {
		in, err := s.l.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		refuse := s.cut
		s.Made++
		s.mu.Unlock()
		if refuse {
			in.(*net.TCPConn).SetLinger(0)
			in.Close()
			continue
		}
		go s.carry(in)
	}
}

func (s *Link) carry(in net.Conn) {
	// A way that is held back lets nobody see whether there is anybody: it connects when it is passed on again.
	s.mu.Lock()
	for s.hole[0] && !s.cut {
		s.state.Wait()
	}
	s.mu.Unlock()
	out, err := net.DialTimeout("tcp", s.target, 5*time.Second)
	if err != nil {
		in.(*net.TCPConn).SetLinger(0)
		in.Close()
		return
	}
	s.set(func() { s.conns[in], s.conns[out] = true, true })
	var both sync.WaitGroup
	both.Go(func() { s.pass(out, in, 0) })
	both.Go(func() { s.pass(in, out, 1) })
	both.Wait()
	in.Close()
	out.Close()
	s.set(func() { delete(s.conns, in); delete(s.conns, out) })
}

func (s *Link) pass(to, from net.Conn, way int) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			s.mu.Lock()
			if d := s.delay; d > 0 {
				s.mu.Unlock()
				time.Sleep(d)
				s.mu.Lock()
			}
			s.held[way] += n
			for s.hole[way] && !s.cut {
				s.state.Wait()
			}
			s.held[way] -= n
			ends := false
			if way == 0 && s.after >= 0 {
				if ends = n >= s.after; ends {
					n = s.after
				}
				s.after -= n
			}
			cut := s.cut
			s.Bytes[way] += n
			s.mu.Unlock()
			if cut {
				return
			}
			if _, err := to.Write(buf[:n]); err != nil {
				err = io.EOF
			}
			if ends {
				s.Cut()
				return
			}
		}
		if err != nil {
			if t, ok := to.(*net.TCPConn); ok {
				t.CloseWrite()
			}
			return
		}
	}
}
