// Package pgserver is a fake of a small PostgreSQL server and its cluster, for tests, by the public protocol: transactions, settings,
// prepared statements, COPY and cancel requests over one table. It listens on loopback and records what each connection is sent. It
// shares no code with the router but the codec, pg.
package pgserver

import (
	"net"
	"sync"
	"time"

	"wayloft/internal/pg"
)

// Fault is what a server does in place of its answer to a message. Bytes are sent first.
type Fault struct {
	Close bool   // close the connection
	Hang  bool   // answer nothing until the connection is cancelled, then close it
	Error string // answer with an error of this code
	Bytes []byte
}

// Event is one statement that a connection ran.
type Event struct {
	Conn     int
	SQL      string
	Args     []string
	Settings map[string]string
	Note     string // the argument of note(...)
}

// Server is a fake PostgreSQL server over a cluster's rows. Its exported fields must be set before it starts.
type Server struct {
	Listen         string // the address to listen on; any port of loopback by default
	Addr           string // the address that it listens on
	Cluster        *Cluster
	Lag            time.Duration                        // replication lag while it is a replica
	Delay          func() time.Duration                 // how long a statement takes
	MaxConnections int                                  // 0: any number
	InjectFault    func(conn int, m *pg.Message) *Fault // nil: the message is answered
	OnStatement    func(Event)                          // called for one statement at a time

	listen           net.Listener
	mu               sync.Mutex
	conns            map[int]*connection
	lastID           int
	peak             int // the most connections at a time
	accepted         int
	parses           int
	inTransaction    int // open transactions
	strayCancels     int // cancel requests that found nothing running
	deliveredCancels int // cancel requests that found a running statement
}

// NewServer starts a server on loopback. set may change its fields before it starts. The caller must Close it.
func NewServer(c *Cluster, set func(*Server)) (*Server, error) {
	s := &Server{Cluster: c, Listen: "127.0.0.1:0", conns: map[int]*connection{}}
	if set != nil {
		set(s)
	}
	l, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return nil, err
	}
	s.Addr, s.listen = l.Addr().String(), l
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	return s, nil
}

// Close stops the server and ends all of its connections.
func (s *Server) Close() {
	_ = s.listen.Close() // a second Close of a fake is harmless
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		_ = c.conn.Close() // a connection that has ended already is no failure
	}
}

// CloseConnections ends all connections; the server goes on listening.
func (s *Server) CloseConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		_ = c.conn.Close() // a connection that has ended already is no failure
	}
}

// Counts are what a server has seen. Open, Running, Copying and InTransaction are of the present, Peak and Prepared the most of one
// connection or at a time; the others are sums.
type Counts struct {
	Open, Peak, Accepted, Parses, Prepared, Running, Copying, InTransaction, DeliveredCancels, StrayCancels int
}

// Counts returns what the server has seen so far.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	most, running, copying := 0, 0, 0
	for _, c := range s.conns {
		most = max(most, int(c.preparedCount.Load()))
		if c.running {
			running++
		}
		if c.copyingIn.Load() {
			copying++
		}
	}
	return Counts{len(s.conns), s.peak, s.accepted, s.parses, most, running, copying, s.inTransaction, s.deliveredCancels, s.strayCancels}
}

func (s *Server) isPrimary() bool {
	if own := s.Cluster.shared; own != nil {
		return own.isPrimary(own.name)
	}
	s.Cluster.mu.Lock()
	defer s.Cluster.mu.Unlock()
	return s.Cluster.primary == s
}

// applied returns the position up to which the server has the log.
func (s *Server) applied() float64 {
	if s.isPrimary() {
		return millis() + 1
	}
	return millis() - float64(s.Lag.Microseconds())/1000
}

// cancel cancels what runs on the connection that has this key.
func (s *Server) cancel(k pg.CancelKey) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		if c.key == k {
			if !c.running {
				s.strayCancels++
			} else {
				s.deliveredCancels++
			}
			select {
			case c.cancel <- true:
			default:
			}
		}
	}
}
