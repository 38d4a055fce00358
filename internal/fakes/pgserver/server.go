// Package pgserver implements a minimal fake PostgreSQL server and cluster for tests. It speaks the public protocol and supports
// transactions, settings, prepared statements, COPY and cancel requests on one table. It listens on loopback by default and reports the
// statements that each connection runs. The only code that it shares with the router is the protocol codec, pg.
package pgserver

import (
	"net"
	"sync"
	"time"

	"wayloft/internal/pg"
)

// Fault is injected in place of the response to a message. Bytes are sent first.
type Fault struct {
	Close bool   // close the connection
	Hang  bool   // don't respond until a cancel request arrives, then close the connection
	Error string // respond with an ErrorResponse of this SQLSTATE
	Bytes []byte
}

// Event describes a statement that a connection is about to run.
type Event struct {
	ConnectionID int
	SQL          string
	Args         []string
	Settings     map[string]string
	Note         string // the argument of the SQL function note(...)
}

// Server is a fake PostgreSQL server for a cluster's rows. Its exported fields must be set before it starts.
type Server struct {
	ListenAddress  string // address to listen on; by default a free loopback port
	Addr           string // actual listen address, set at start
	Cluster        *Cluster
	Lag            time.Duration                        // replication lag as a replica
	Delay          func() time.Duration                 // returns the duration of a statement; nil: no delay
	MaxConnections int                                  // 0: unlimited
	InjectFault    func(conn int, m *pg.Message) *Fault // a nil Fault: the message is handled normally
	// AlterResponse returns what is sent in place of the response to a message. last is the response, up to its ReadyForQuery, that the
	// connection has made before.
	AlterResponse func(m *pg.Message, response, last []byte) []byte
	OnStatement   func(Event) // called before each statement, with the server's lock held

	listen           net.Listener
	mu               sync.Mutex
	conns            map[int]*connection
	lastID           int
	peak             int // maximum number of concurrent connections
	accepted         int
	parses           int
	inTransaction    int // open transactions
	strayCancels     int // cancel requests that matched a connection without a running statement
	deliveredCancels int // cancel requests that matched a running statement
}

// NewServer starts a server. If set isn't nil, it is called to configure the server before the start. The caller must Close it.
func NewServer(c *Cluster, set func(*Server)) (*Server, error) {
	s := &Server{Cluster: c, ListenAddress: "127.0.0.1:0", conns: map[int]*connection{}}
	if set != nil {
		set(s)
	}
	l, err := net.Listen("tcp", s.ListenAddress)
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

// Close stops listening and closes all connections.
func (s *Server) Close() {
	_ = s.listen.Close() // closing a fake twice is harmless
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		_ = c.conn.Close() // the connection may already be closed
	}
}

// CloseConnections closes all connections. The server keeps listening.
func (s *Server) CloseConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		_ = c.conn.Close() // the connection may already be closed
	}
}

// Counts are a server's counters. Open, Running, Copying and InTransaction are current numbers of connections, Peak is the maximum number of
// concurrent connections, Prepared is the maximum number of prepared statements on one open connection, and the others are totals.
type Counts struct {
	Open, Peak, Accepted, Parses, Prepared, Running, Copying, InTransaction, DeliveredCancels, StrayCancels int
}

// Counts returns the current counters.
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
	if shared := s.Cluster.shared; shared != nil {
		return shared.isPrimary(shared.name)
	}
	s.Cluster.mu.Lock()
	defer s.Cluster.mu.Unlock()
	return s.Cluster.primary == s
}

// applied returns the position up to which the server has applied the commit log.
func (s *Server) applied() float64 {
	if s.isPrimary() {
		return nowMillis() + 1
	}
	return nowMillis() - float64(s.Lag.Microseconds())/1000
}

// cancel cancels the running statement of the connection with the given key.
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
