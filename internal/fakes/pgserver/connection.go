package pgserver

import (
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"

	"wayloft/internal/pg"
)

// Transaction statuses, as the protocol has them.
const (
	idleStatus        = 'I'
	transactionStatus = 'T'
	failedStatus      = 'E'
)

const (
	maxMessage = 64 << 20
	readSize   = 1 << 14
)

// connection is one connection of a client, and its session.
type connection struct {
	server  *Server
	id      int
	conn    net.Conn
	key     pg.CancelKey
	out     []byte    // what is to be sent
	cancel  chan bool // receives cancel requests
	running bool      // a statement takes its time; guarded by the server's lock

	startup          map[string]string // settings of the startup message
	settings         map[string]string
	reportedSettings map[string]string // what the client was told

	status        byte
	failed        bool // a statement has failed since the last readiness
	readOnly      bool
	implicit      bool         // it is in an implicit transaction
	implicitStart int          // where in out the implicit transaction's answers begin
	savepoints    []savepoint  // [0] is the start of the transaction
	writes        [][2]string  // rows to be committed
	staged        stagedChange // what else is to be committed
	skipToSync    bool         // an error was answered: messages are skipped up to the next Sync

	prepared    map[string]string
	sqlPrepared map[string]string // by the statement PREPARE
	portals     map[string]portal
	copying     *copyData

	preparedCount atomic.Int64
	copyingIn     atomic.Bool
}

type savepoint struct {
	name     string
	settings map[string]string
	writes   int // how many rows were written before it
}

type portal struct {
	sql  string
	args []string
}

// reportedParameters are the settings that a server reports, with their names on the wire and their defaults.
var reportedParameters = map[string][2]string{
	"client_encoding":  {"client_encoding", "UTF8"},
	"datestyle":        {"DateStyle", "ISO, MDY"},
	"timezone":         {"TimeZone", "UTC"},
	"application_name": {"application_name", ""},
}

func (s *Server) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }() // the client sees the end in any case
	c := &connection{
		server:           s,
		conn:             conn,
		settings:         map[string]string{},
		startup:          map[string]string{},
		status:           idleStatus,
		prepared:         map[string]string{},
		sqlPrepared:      map[string]string{},
		portals:          map[string]portal{},
		reportedSettings: map[string]string{},
		cancel:           make(chan bool, 1),
	}
	r := pg.NewReader(false, maxMessage)
	buf := make([]byte, readSize)
	defer c.unregister()
	for {
		for {
			m, ok, err := r.Next()
			if err != nil {
				c.fail(pg.ProtocolViolation, err.Error())
				_ = c.flush() // the connection ends in any case
				return
			}
			if !ok {
				break
			}
			if !c.handle(r, &m) {
				_ = c.flush() // the connection ends in any case
				return
			}
		}
		if len(c.out) > 0 {
			if err := c.flush(); err != nil {
				return
			}
		}
		n, err := conn.Read(buf)
		if err != nil {
			return
		}
		r.Feed(buf[:n])
	}
}

// flush sends what is to be sent.
func (c *connection) flush() error {
	_, err := c.conn.Write(c.out)
	c.out = c.out[:0]
	return err
}

func (c *connection) unregister() {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	if c.id > 0 {
		delete(c.server.conns, c.id)
	}
	if c.status != idleStatus && c.id > 0 {
		c.server.inTransaction--
	}
}

// handle answers a message, or injects a fault in its place. It returns false if the connection is to be closed.
func (c *connection) handle(r *pg.Reader, m *pg.Message) bool {
	switch m.Kind {
	case pg.SSLRequest:
		c.out = append(c.out, 'N')
		return true
	case pg.CancelRequest:
		c.server.cancel(m.Key)
		return false
	case pg.Startup:
		r.EnableExtended()
		return c.logIn(m)
	case pg.Terminate:
		return false
	}
	if c.server.InjectFault != nil && !c.skipToSync {
		if f := c.server.InjectFault(c.id, m); f != nil {
			c.out = append(c.out, f.Bytes...)
			if f.Hang {
				_ = c.flush() // it hangs in any case
				<-c.cancel
				return false
			}
			if f.Close {
				return false
			}
			if f.Error != "" {
				c.fail(f.Error, "as it was told to")
				if m.Kind == pg.Query || m.Kind == pg.Sync {
					c.writeReady()
				} else {
					c.skipToSync = true
				}
			}
			return true
		}
	}
	c.handleMessage(m)
	c.preparedCount.Store(int64(len(c.prepared)))
	c.copyingIn.Store(c.copying != nil)
	return true
}

func (c *connection) logIn(m *pg.Message) bool {
	s := c.server
	s.mu.Lock()
	s.accepted++
	if s.MaxConnections > 0 && len(s.conns) >= s.MaxConnections {
		s.mu.Unlock()
		c.out = pg.AppendError(c.out, &pg.Error{Code: pg.TooManyConnections, Text: "too many connections"}, true)
		return false
	}
	s.lastID++
	c.id = s.lastID
	s.conns[c.id] = c
	s.peak = max(s.peak, len(s.conns))
	c.key = pg.CancelKey{Process: uint32(c.id), Secret: rand.Uint32()}
	s.mu.Unlock()
	for _, p := range m.Startup {
		if p.Name != "user" && p.Name != "database" && p.Name != "options" {
			c.startup[strings.ToLower(p.Name)] = p.Value
		}
	}
	c.settings = maps.Clone(c.startup)
	c.out = pg.AppendAuthenticationOK(c.out)
	for _, p := range [][2]string{{"server_version", "16.3"}, {"server_encoding", "UTF8"}, {"integer_datetimes", "on"},
		{"standard_conforming_strings", "on"}, {"in_hot_standby", map[bool]string{true: "off", false: "on"}[s.isPrimary()]}} {
		c.out = pg.AppendParameterStatus(c.out, p[0], p[1])
	}
	c.writeSettings()
	c.out = pg.AppendReadyIdle(pg.AppendBackendKeyData(c.out, c.key))
	return true
}

// writeSettings reports the settings that have changed since they were reported last.
func (c *connection) writeSettings() {
	for _, key := range slices.Sorted(maps.Keys(reportedParameters)) {
		p := reportedParameters[key]
		v, set := c.settings[key]
		if !set {
			v = p[1]
		}
		if was, told := c.reportedSettings[key]; !told || was != v {
			c.reportedSettings[key] = v
			c.out = pg.AppendParameterStatus(c.out, p[0], v)
		}
	}
}

// fail answers with an error, after which the transaction has failed.
func (c *connection) fail(code, text string) {
	c.out = pg.AppendError(c.out, &pg.Error{Code: code, Text: text}, false)
	if c.failed = true; c.status == transactionStatus {
		c.status = failedStatus
	}
}

// writePosition reports the server's role and a position.
func (c *connection) writePosition(at float64) {
	role := "copy"
	if c.server.isPrimary() {
		role = "source"
	}
	c.out = pg.AppendParameterStatus(c.out, "rank", role)
	c.out = pg.AppendParameterStatus(c.out, "as_of", strconv.FormatFloat(at, 'f', 3, 64))
}

// writeReady ends an implicit transaction and answers that the connection is ready.
func (c *connection) writeReady() {
	if c.implicit {
		c.implicit = false
		if c.failed {
			c.rollBackTo(0)
			c.staged = stagedChange{}
		} else {
			c.commitWrites()
		}
		c.writes, c.savepoints = nil, nil
	}
	c.failed = false
	if c.status == idleStatus {
		clear(c.portals)
	}
	c.writeSettings()
	c.out = pg.AppendReadyForQuery(c.out, c.status)
}
