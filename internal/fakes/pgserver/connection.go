package pgserver

import (
	"bytes"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"

	"wayloft/internal/pg"
)

// Transaction status bytes of ReadyForQuery.
const (
	idleStatus        = 'I'
	transactionStatus = 'T'
	failedStatus      = 'E'
)

const (
	maxMessageBytes = 64 << 20
	readBufferBytes = 1 << 14
)

// connection is a client connection and its session.
type connection struct {
	server  *Server
	id      int
	conn    net.Conn
	key     pg.CancelKey
	out     []byte    // unsent output
	last    []byte    // the last complete response; kept only for Server.AlterResponse
	cancel  chan bool // receives cancel requests
	running bool      // a statement is waiting in work; guarded by the server's lock

	startup          map[string]string // settings from the startup message
	settings         map[string]string
	reportedSettings map[string]string // values last reported to the client

	status        byte
	failed        bool // a statement has failed since the last ReadyForQuery
	readOnly      bool
	implicit      bool         // an implicit transaction is open
	implicitStart int          // offset in out of the implicit transaction's responses
	savepoints    []savepoint  // [0] is the start of the transaction
	writes        [][2]string  // uncommitted rows, as handle and value
	staged        stagedChange // uncommitted changes other than rows
	skipToSync    bool         // after an error in the extended protocol: skip messages up to the next Sync

	prepared    map[string]string
	sqlPrepared map[string]string // created by the SQL statement PREPARE
	portals     map[string]portal
	copying     *copyData

	responseComplete bool // last ends with ReadyForQuery

	preparedCount atomic.Int64
	copyingIn     atomic.Bool
}

type savepoint struct {
	name     string
	settings map[string]string
	writes   int // number of rows written before it
}

type portal struct {
	sql  string
	args []string
}

// reportedParameters are the settings reported by ParameterStatus, with their wire names and defaults.
var reportedParameters = map[string][2]string{
	"client_encoding":  {"client_encoding", "UTF8"},
	"datestyle":        {"DateStyle", "ISO, MDY"},
	"timezone":         {"TimeZone", "UTC"},
	"application_name": {"application_name", ""},

	"standard_conforming_strings": {"standard_conforming_strings", "on"},
}

func (s *Server) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }() // the client sees the connection end in any case
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
	r := pg.NewReader(false, maxMessageBytes)
	buf := make([]byte, readBufferBytes)
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

// flush sends the unsent output.
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

// handle processes a message or injects a fault in its place. It returns false if the connection must be closed.
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
				_ = c.flush() // the connection hangs whether or not the write succeeds
				<-c.cancel
				return false
			}
			if f.Close {
				return false
			}
			if f.Error != "" {
				c.fail(f.Error, "injected fault")
				if m.Kind == pg.Query || m.Kind == pg.Sync {
					c.writeReady()
				} else {
					c.skipToSync = true
				}
			}
			return true
		}
	}
	c.respond(m)
	c.preparedCount.Store(int64(len(c.prepared)))
	c.copyingIn.Store(c.copying != nil)
	return true
}

// respond handles a message, and lets Server.AlterResponse change the response.
func (c *connection) respond(m *pg.Message) {
	if c.server.AlterResponse == nil {
		c.handleMessage(m)
		return
	}
	start := len(c.out)
	c.handleMessage(m)
	start = min(start, len(c.out))
	response := bytes.Clone(c.out[start:])
	c.out = append(c.out[:start], c.server.AlterResponse(m, response, c.last)...)
	if c.responseComplete {
		c.last = nil
	}
	c.last = append(c.last, response...)
	c.responseComplete = m.Kind == pg.Query || m.Kind == pg.Sync
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

// writeSettings reports the settings that changed since the last report.
func (c *connection) writeSettings() {
	for _, key := range slices.Sorted(maps.Keys(reportedParameters)) {
		p := reportedParameters[key]
		v, set := c.settings[key]
		if !set {
			v = p[1]
		}
		if previous, reported := c.reportedSettings[key]; !reported || previous != v {
			c.reportedSettings[key] = v
			c.out = pg.AppendParameterStatus(c.out, p[0], v)
		}
	}
}

// fail writes an ErrorResponse and marks the current transaction as failed.
func (c *connection) fail(code, text string) {
	c.out = pg.AppendError(c.out, &pg.Error{Code: code, Text: text}, false)
	if c.failed = true; c.status == transactionStatus {
		c.status = failedStatus
	}
}

// writePosition reports the server's role and a position by ParameterStatus.
func (c *connection) writePosition(at float64) {
	role := "copy"
	if c.server.isPrimary() {
		role = "source"
	}
	c.out = pg.AppendParameterStatus(c.out, "rank", role)
	c.out = pg.AppendParameterStatus(c.out, "as_of", strconv.FormatFloat(at, 'f', 3, 64))
}

// writeReady ends an implicit transaction and writes ReadyForQuery.
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
