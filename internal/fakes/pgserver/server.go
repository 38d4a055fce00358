// Package pgserver is a fake for a small PostgreSQL server and its cluster, after the public protocol: transactions,
// settings, prepared statements, COPY, cancels, over one table. It owns its sockets, on loopback, and the record of what
// each connection was told; it must never import what it stands in for.
package pgserver

import (
	"encoding/binary"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"wayloft/internal/pg"
)

// Cluster is one group's data and who may write it. Its members share one log: a replica sees the part of it that is
// older than its lag.
type Cluster struct {
	mu      sync.Mutex
	last    float64 // the position of the last commit, Unix ms
	rows    map[string][]version
	primary *Server
	Commits int
	Order   []string // handles as they were committed, once for each effect, where Keep is set
	Keep    bool
	shared  *sharedCluster // where its members are processes
}

type version struct {
	at    float64
	value string
}

// NewCluster makes one without data.
func NewCluster() *Cluster { return &Cluster{rows: map[string][]version{}} }

func millis() float64 { return float64(time.Now().UnixMicro()) / 1000 }

// Promote makes a member the primary, and its forerunner a replica.
func (c *Cluster) Promote(s *Server) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.primary = s
}

func (c *Cluster) commit(writes [][2]string) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = max(millis(), c.last+0.001)
	for _, w := range writes {
		c.rows[w[0]] = append(c.rows[w[0]], version{c.last, w[1]})
		if n := len(c.rows[w[0]]); n > 8 && !c.Keep {
			c.rows[w[0]] = slices.Delete(c.rows[w[0]], 0, n-8)
		}
		if c.Keep {
			c.Order = append(c.Order, w[0])
		}
	}
	c.Commits++
	return c.last
}

// Put commits one row, as a write that went to the primary.
func (c *Cluster) Put(handle, value string) { c.commit([][2]string{{handle, value}}) }

func (c *Cluster) read(handle string, upTo float64) (string, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.shared != nil {
		c.catchUp()
	}
	for _, v := range slices.Backward(c.rows[handle]) {
		if v.at <= upTo {
			return v.value, true
		}
	}
	return "", false
}

// Fault is what a server does in place of its answer to one message.
type Fault struct {
	Close bool
	Hang  bool
	Error string // a code
	Bytes []byte
}

// Event is one statement as a connection ran it.
type Event struct {
	Conn     int
	SQL      string
	Args     []string
	Settings map[string]string
	Note     string // of note(...)
}

// Server is a small PostgreSQL server over a cluster's rows: transactions, settings, prepared statements, COPY and
// cancels as the public protocol describes them. It records what each connection is told.
type Server struct {
	Listen         string // where it is to listen, on loopback; any port if nothing is said
	Addr           string // where it does
	Cluster        *Cluster
	Lag            time.Duration // of a replica
	Delay          func() time.Duration
	MaxConnections int // connections; 0: any number
	InjectFault    func(conn int, m *pg.Message) *Fault
	OnStatement    func(Event) // one at a time

	listen           net.Listener
	mu               sync.Mutex
	conns            map[int]*connection
	lastID           int
	peak             int
	accepted         int
	parses           int
	inTransaction    int // transactions that are open
	strayCancels     int // cancels that found nothing running
	deliveredCancels int // cancels that did
}

func message(typ byte, body string) []byte {
	return append(binary.BigEndian.AppendUint32([]byte{typ}, uint32(len(body)+4)), body...)
}

// NewServer starts one on loopback; it stops with Close.
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

// Close stops it, with all its connections.
func (s *Server) Close() {
	s.listen.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		c.conn.Close()
	}
}

// CloseConnections ends all its connections; it goes on listening.
func (s *Server) CloseConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		c.conn.Close()
	}
}

// Counts are what a server has seen.
type Counts struct{ Open, Peak, Accepted, Parses, Prepared, Running, Copying, InTransaction, DeliveredCancels, StrayCancels int }

// Counts tells how many connections are open, were at most and in all, and the like.
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

// applied is the position up to which it has the log.
func (s *Server) applied() float64 {
	if s.isPrimary() {
		return millis() + 1
	}
	return millis() - float64(s.Lag.Microseconds())/1000
}

// connection is one connection.
type connection struct {
	server           *Server
	id               int
	conn             net.Conn
	key              pg.Key
	out              []byte
	startup          map[string]string
	settings         map[string]string
	savepoints       []savepoint // [0]: at the transaction's start
	status           byte
	implicit         bool
	implicitStart    int          // where the implicit one's answers begin
	staged           stagedChange // what is done beside rows when it commits
	skipToSync       bool
	readOnly         bool
	writes           [][2]string
	prepared         map[string]string
	sqlPrepared      map[string]string // by SQL's PREPARE
	portals          map[string]portal
	copying          *copyData
	reportedSettings map[string]string
	cancel           chan bool
	running          bool
	failed           bool
	preparedCount    atomic.Int64 // prepared statements
	copyingIn        atomic.Bool  // what is copied in
}

type savepoint struct {
	name     string
	settings map[string]string
	writes   int
}

type portal struct {
	sql  string
	args []string
}

type copyData struct {
	binary bool
	data   []byte
	simple bool
}

func (s *Server) serve(conn net.Conn) {
	defer conn.Close()
	c := &connection{server: s, conn: conn, settings: map[string]string{}, startup: map[string]string{}, status: 'I', prepared: map[string]string{},
		sqlPrepared: map[string]string{}, portals: map[string]portal{}, reportedSettings: map[string]string{}, cancel: make(chan bool, 1)}
	r := pg.NewReader(false, 64<<20)
	buf := make([]byte, 1<<14)
	defer c.unregister()
	for {
		for {
			m, ok, err := r.Next()
			if err != nil {
				c.fail(pg.Violation, err.Error())
				conn.Write(c.out)
				return
			}
			if !ok {
				break
			}
			if !c.handle(r, &m) {
				conn.Write(c.out)
				return
			}
		}
		if len(c.out) > 0 {
			if _, err := conn.Write(c.out); err != nil {
				return
			}
			c.out = c.out[:0]
		}
		n, err := conn.Read(buf)
		if err != nil {
			return
		}
		r.Feed(buf[:n])
	}
}

func (c *connection) unregister() {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	if c.id > 0 {
		delete(c.server.conns, c.id)
	}
	if c.status != 'I' && c.id > 0 {
		c.server.inTransaction--
	}
}

func (c *connection) handle(r *pg.Reader, m *pg.Message) bool {
	switch m.Kind {
	case pg.AskTLS:
		c.out = append(c.out, 'N')
		return true
	case pg.Cancel:
		c.server.cancel(m.Key)
		return false
	case pg.Startup:
		r.Widen()
		return c.logIn(m)
	case pg.Terminate:
		return false
	}
	if c.server.InjectFault != nil && !c.skipToSync {
		if f := c.server.InjectFault(c.id, m); f != nil {
			c.out = append(c.out, f.Bytes...)
			if f.Hang {
				c.conn.Write(c.out)
				c.out = nil
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

func (s *Server) cancel(k pg.Key) {
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

func (c *connection) logIn(m *pg.Message) bool {
	s := c.server
	s.mu.Lock()
	s.accepted++
	if s.MaxConnections > 0 && len(s.conns) >= s.MaxConnections {
		s.mu.Unlock()
		c.out = pg.AppendError(c.out, &pg.Error{Code: pg.Refused, Text: "too many connections"}, true)
		return false
	}
	s.lastID++
	c.id = s.lastID
	s.conns[c.id] = c
	s.peak = max(s.peak, len(s.conns))
	c.key = pg.Key{Process: uint32(c.id), Secret: rand.Uint32()}
	s.mu.Unlock()
	for _, p := range m.Startup {
		if p[0] != "user" && p[0] != "database" && p[0] != "options" {
			c.startup[strings.ToLower(p[0])] = p[1]
		}
	}
	c.settings = maps.Clone(c.startup)
	c.out = pg.AppendAuthOK(c.out)
	for _, p := range [][2]string{{"server_version", "16.3"}, {"server_encoding", "UTF8"}, {"integer_datetimes", "on"},
		{"standard_conforming_strings", "on"}, {"in_hot_standby", map[bool]string{true: "off", false: "on"}[s.isPrimary()]}} {
		c.out = pg.AppendParameter(c.out, p[0], p[1])
	}
	c.writeSettings()
	c.out = pg.AppendReady(pg.AppendKey(c.out, c.key))
	return true
}

var reportedParameters = map[string][2]string{"client_encoding": {"client_encoding", "UTF8"}, "datestyle": {"DateStyle", "ISO, MDY"},
	"timezone": {"TimeZone", "UTC"}, "application_name": {"application_name", ""}}

// writeSettings tells the settings that a server reports, as far as they have changed.
func (c *connection) writeSettings() {
	for _, key := range slices.Sorted(maps.Keys(reportedParameters)) {
		p := reportedParameters[key]
		v, set := c.settings[key]
		if !set {
			v = p[1]
		}
		if was, told := c.reportedSettings[key]; !told || was != v {
			c.reportedSettings[key] = v
			c.out = pg.AppendParameter(c.out, p[0], v)
		}
	}
}

// fail reports an error, after which a transaction has failed; broken, whatever it is called.
func (c *connection) fail(code, text string) { c.broken(code, text) }

func (c *connection) broken(code, text string) {
	c.out = pg.AppendError(c.out, &pg.Error{Code: code, Text: text}, false)
	if c.failed = true; c.status == 'T' {
		c.status = 'E'
	}
}

func (c *connection) writePosition(at float64) {
	role := "copy"
	if c.server.isPrimary() {
		role = "source"
	}
	c.out = pg.AppendParameter(c.out, "rank", role)
	c.out = pg.AppendParameter(c.out, "as_of", strconv.FormatFloat(at, 'f', 3, 64))
}

// commitWrites makes what a transaction did last; where it can't, all that its statements said is taken back and an error stands
// in its place.
func (c *connection) commitWrites() bool {
	ch := c.staged
	c.staged = stagedChange{}
	if c.server.Cluster.shared == nil {
		if len(c.writes) > 0 {
			c.writePosition(c.server.Cluster.commit(c.writes))
		}
		return true
	}
	if len(c.writes) == 0 && ch == (stagedChange{}) {
		return true
	}
	at, err := c.server.Cluster.apply(c.writes, ch)
	if err != nil {
		if c.implicit {
			c.out = c.out[:min(c.implicitStart, len(c.out))]
		}
		c.fail(pg.NoPrimary, err.Error())
		return false
	}
	if at > 0 {
		c.writePosition(at)
	}
	return true
}

// writeReady ends an implicit transaction and tells where things stand.
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
	if c.status == 'I' {
		clear(c.portals)
	}
	c.writeSettings()
	c.out = pg.AppendStatus(c.out, c.status)
}

func (c *connection) rollBackTo(n int) {
	if n < len(c.savepoints) {
		c.settings = maps.Clone(c.savepoints[n].settings)
		c.writes = c.writes[:c.savepoints[n].writes]
	}
}

func (c *connection) handleMessage(m *pg.Message) {
	if c.copying != nil {
		c.copyIn(m)
		return
	}
	if c.skipToSync && m.Kind != pg.Sync {
		return
	}
	switch m.Kind {
	case pg.Query:
		texts := pg.Split(m.Text)
		if len(texts) == 0 {
			c.out = pg.AppendEmpty(c.out)
		}
		for _, text := range texts {
			if c.runStatement(text, nil, true); c.failed {
				break
			}
			if c.copying != nil {
				return
			}
		}
		c.writeReady()
	case pg.Sync:
		c.skipToSync = false
		c.writeReady()
	case pg.Parse:
		if _, taken := c.prepared[m.Name]; taken && m.Name != "" {
			c.fail(pg.InUse, "prepared statement "+m.Name+" already exists")
			c.skipToSync = true
			return
		}
		c.server.mu.Lock()
		c.server.parses++
		c.server.mu.Unlock()
		c.prepared[m.Name] = m.Text
		c.out = pg.AppendPlain(c.out, '1')
	case pg.Bind:
		sql, ok := c.prepared[m.Name]
		if !ok {
			c.fail(pg.NoStatement, "prepared statement "+m.Name+" does not exist")
			c.skipToSync = true
			return
		}
		c.portals[m.Portal] = portal{sql, values(m.Tail)}
		c.out = pg.AppendPlain(c.out, '2')
	case pg.Describe:
		sql := c.portals[m.Portal].sql
		if m.Of == 'S' {
			var ok bool
			if sql, ok = c.prepared[m.Name]; !ok {
				c.fail(pg.NoStatement, "prepared statement "+m.Name+" does not exist")
				c.skipToSync = true
				return
			}
			c.out = parameters(c.out, strings.Count(sql, "$"))
		}
		c.describeStatement(sql)
	case pg.Execute:
		p, ok := c.portals[m.Portal]
		if !ok {
			c.fail(pg.NoPortal, "portal does not exist")
		} else {
			c.runStatement(p.sql, p.args, false)
		}
		c.skipToSync = c.failed
	case pg.CloseName:
		if m.Of == 'S' {
			delete(c.prepared, m.Name)
		} else {
			delete(c.portals, m.Portal)
		}
		c.out = pg.AppendPlain(c.out, '3')
	}
}

// values reads the parameters of a Bind, each as text.
func values(tail []byte) (out []string) {
	n := int(binary.BigEndian.Uint16(tail))
	tail = tail[2+2*n:]
	n, tail = int(binary.BigEndian.Uint16(tail)), tail[2:]
	for range n {
		size := int(int32(binary.BigEndian.Uint32(tail)))
		tail = tail[4:]
		if size < 0 {
			out = append(out, "")
			continue
		}
		out, tail = append(out, string(tail[:size])), tail[size:]
	}
	return out
}

func parameters(out []byte, n int) []byte {
	body := binary.BigEndian.AppendUint16(nil, uint16(n))
	for range n {
		body = binary.BigEndian.AppendUint32(body, 25)
	}
	return append(out, message('t', string(body))...)
}

// columns names what a statement gives, none for nothing.
func columns(sql string) []string {
	l := strings.ToLower(strings.Join(strings.Fields(sql), " "))
	if end := strings.Index(l, "*/ "); strings.HasPrefix(l, "/*") && end >= 0 {
		l = l[end+3:]
	}
	switch {
	case strings.HasPrefix(l, `select "handle", "blob" from`):
		return []string{"handle", "blob"}
	case strings.HasPrefix(l, "select"), strings.HasPrefix(l, "show"), strings.Contains(l, "returning"), strings.HasPrefix(l, "execute"):
		return []string{"blob"}
	}
	return nil
}

func (c *connection) describeStatement(sql string) {
	names := columns(sql)
	if names == nil {
		c.out = pg.AppendPlain(c.out, 'n')
		return
	}
	c.out = describe(c.out, names)
}

func describe(out []byte, names []string) []byte {
	body := binary.BigEndian.AppendUint16(nil, uint16(len(names)))
	for _, n := range names {
		body = append(append(body, n...), 0)
		body = append(body, 0, 0, 0, 0, 0, 0, 0, 0, 0, 25, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0, 0)
	}
	return append(out, message('T', string(body))...)
}

func (c *connection) writeRow(simple bool, name string, value string) {
	if simple {
		c.out = describe(c.out, []string{name})
	}
	body := binary.BigEndian.AppendUint32([]byte{0, 1}, uint32(len(value)))
	c.out = append(c.out, message('D', string(body)+value)...)
}

func (c *connection) writeTag(tag string) { c.out = pg.AppendComplete(c.out, tag) }

// work stands for the work of a statement; it reports a cancel.
func (c *connection) work(d time.Duration) bool {
	if d <= 0 {
		return true
	}
	c.server.mu.Lock()
	c.running = true
	c.server.mu.Unlock()
	defer func() {
		c.server.mu.Lock()
		c.running = false
		c.server.mu.Unlock()
	}()
	c.conn.Write(c.out)
	c.out = c.out[:0]
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-c.cancel:
		c.fail(pg.Cancelled, "canceling statement due to user request")
		return false
	}
}

func (c *connection) runStatement(sql string, args []string, simple bool) {
	cmd := pg.ParseCommand(sql)
	if c.status == 'E' && cmd.Act != pg.Commit && cmd.Act != pg.RollBack && cmd.Act != pg.BackTo {
		c.fail(pg.Failed, "current transaction is aborted")
		return
	}
	if c.status == 'I' && !c.implicit && cmd.Act != pg.Begin {
		c.implicit, c.implicitStart = true, len(c.out)
		c.savepoints = []savepoint{{settings: maps.Clone(c.settings)}}
	}
	if c.server.Delay != nil && !c.work(c.server.Delay()) {
		return
	}
	if c.server.OnStatement != nil {
		e := Event{Conn: c.id, SQL: sql, Args: args, Settings: maps.Clone(c.settings)}
		if strings.Contains(sql, "note(") {
			e.Note = c.argument(sql, "note(", args)
		}
		c.server.mu.Lock()
		c.server.OnStatement(e)
		c.server.mu.Unlock()
	}
	switch cmd.Act {
	case pg.Plain, pg.Show:
		c.runQuery(sql, cmd, args, simple)
		return
	}
	c.runCommand(cmd)
}

// runCommand does what changes the session.
func (c *connection) runCommand(cmd pg.Command) {
	inside := func(n int) {
		c.server.mu.Lock()
		c.server.inTransaction += n
		c.server.mu.Unlock()
	}
	switch cmd.Act {
	case pg.Begin:
		if c.status == 'I' {
			c.status, c.implicit, c.readOnly = 'T', false, cmd.ReadOnly
			c.savepoints, c.writes = []savepoint{{settings: maps.Clone(c.settings)}}, nil
			inside(1)
		}
		c.writeTag("BEGIN")
	case pg.Access:
		c.readOnly = cmd.ReadOnly
		c.writeTag("SET")
	case pg.Commit, pg.RollBack:
		back := cmd.Act == pg.RollBack || c.status == 'E'
		if c.status == 'I' { // it ends the implicit one
			if back {
				c.rollBackTo(0)
			} else if !c.commitWrites() {
				back = true
			}
			c.writes, c.savepoints = nil, []savepoint{{settings: maps.Clone(c.settings)}}
			c.writeTag(map[bool]string{true: "ROLLBACK", false: "COMMIT"}[back])
			return
		}
		if c.status, c.readOnly = 'I', false; back {
			c.staged = stagedChange{}
			c.rollBackTo(0)
			c.writeTag("ROLLBACK")
		} else {
			for k := range c.settings { // SET LOCAL ends here
				if name, local := strings.CutPrefix(k, "local:"); local {
					if was, had := c.savepoints[0].settings[name]; c.settings[k] != "" {
						c.settings[name] = c.settings[k][1:]
					} else if had {
						c.settings[name] = was
					} else {
						delete(c.settings, name)
					}
					delete(c.settings, k)
				}
			}
			if c.commitWrites() {
				c.writeTag("COMMIT")
			}
		}
		c.savepoints, c.writes = nil, nil
		inside(-1)
	case pg.Savepoint:
		c.savepoints = append(c.savepoints, savepoint{cmd.Name, maps.Clone(c.settings), len(c.writes)})
		c.writeTag("SAVEPOINT")
	case pg.BackTo, pg.Release:
		for n := len(c.savepoints) - 1; n > 0; n-- {
			if c.savepoints[n].name == cmd.Name {
				if cmd.Act == pg.BackTo {
					c.rollBackTo(n)
					c.savepoints = c.savepoints[:n+1]
					c.status = 'T'
					c.writeTag("ROLLBACK")
				} else {
					c.savepoints = c.savepoints[:n]
					c.writeTag("RELEASE")
				}
				return
			}
		}
		c.fail("3B001", "savepoint does not exist")
	case pg.Set:
		for _, p := range cmd.Pairs {
			if strings.HasPrefix(p[0], "no_such") {
				c.fail("42704", "unrecognized configuration parameter")
				return
			}
			value := pg.Plainly(p[1])
			if p[1] == "" {
				value = c.startup[p[0]]
			}
			if cmd.Local && c.status != 'T' {
				continue
			}
			if key := "local:" + p[0]; cmd.Local {
				if _, had := c.settings[key]; !had {
					c.settings[key] = ""
					if was, set := c.settings[p[0]]; set && was != c.savepoints[0].settings[p[0]] {
						c.settings[key] = "=" + was
					}
				}
			} else {
				delete(c.settings, key)
			}
			if value == "" && p[1] == "" {
				delete(c.settings, p[0])
			} else {
				c.settings[p[0]] = value
			}
		}
		c.writeTag("SET")
	case pg.Unset:
		if v, set := c.startup[cmd.Name]; set {
			c.settings[cmd.Name] = v
		} else {
			delete(c.settings, cmd.Name)
		}
		c.writeTag("RESET")
	case pg.UnsetAll:
		c.settings = maps.Clone(c.startup)
		c.writeTag("RESET")
	case pg.DiscardAll:
		if c.status != 'I' {
			c.fail("25001", "DISCARD ALL cannot run inside a transaction block")
			return
		}
		c.settings = maps.Clone(c.startup)
		clear(c.prepared)
		clear(c.sqlPrepared)
		c.writeTag("DISCARD ALL")
	case pg.Unprepare:
		if cmd.Name == "" {
			clear(c.prepared)
			clear(c.sqlPrepared)
			c.writeTag("DEALLOCATE ALL")
		} else if _, had := c.sqlPrepared[cmd.Name]; had {
			delete(c.sqlPrepared, cmd.Name)
			c.writeTag("DEALLOCATE")
		} else {
			c.fail(pg.NoStatement, "prepared statement does not exist")
		}
	}
}

// argument reads what follows a mark: a parameter or a literal.
func (c *connection) argument(sql, mark string, args []string) string {
	_, rest, ok := strings.Cut(sql, mark)
	if !ok {
		return ""
	}
	rest = strings.TrimLeft(rest, " (")
	return literal(rest, args)
}

func literal(s string, args []string) string {
	if n := 0; strings.HasPrefix(s, "$") {
		fmt.Sscanf(s, "$%d", &n)
		if n >= 1 && n <= len(args) {
			return args[n-1]
		}
		return ""
	}
	if strings.HasPrefix(s, "'") || strings.HasPrefix(s, " '") {
		s = strings.TrimSpace(s)
		for n := 1; n < len(s); n++ {
			if s[n] == '\'' && n+1 < len(s) && s[n+1] == '\'' {
				n++
			} else if s[n] == '\'' {
				return strings.ReplaceAll(s[1:n], "''", "'")
			}
		}
	}
	word, _, _ := strings.Cut(s, ")")
	word, _, _ = strings.Cut(word, ",")
	return strings.TrimSpace(word)
}

// runQuery runs what its table takes.
func (c *connection) runQuery(sql string, cmd pg.Command, args []string, simple bool) {
	flat := strings.Join(strings.Fields(sql), " ")
	if end := strings.Index(flat, "*/"); strings.HasPrefix(flat, "/*") && end >= 0 {
		flat = strings.TrimSpace(flat[end+2:])
	}
	flat = strings.TrimRight(flat, "; ")
	low := strings.ToLower(flat)
	if c.runSwitchoverQuery(flat, args, simple) {
		return
	}
	switch {
	case cmd.Act == pg.Show && cmd.Name == "vitals":
		at, role := c.server.applied(), 0
		if c.server.isPrimary() {
			role = 1
			at = millis()
		}
		c.writeRow(simple, "vitals", fmt.Sprintf("x0=%.6f,x1=%d", at/1000, role))
		c.writeTag("SHOW")
	case cmd.Act == pg.Show:
		c.writeRow(simple, cmd.Name, c.settings[cmd.Name])
		c.writeTag("SHOW")
	case strings.HasPrefix(low, "insert into rows"):
		if !c.server.isPrimary() {
			c.writePosition(c.server.applied())
			c.fail(pg.NoPrimary, "cannot execute INSERT in a read-only transaction")
			return
		}
		if c.readOnly {
			c.fail(pg.NoPrimary, "cannot execute INSERT in a read-only transaction")
			return
		}
		_, vals, _ := strings.Cut(low, "values")
		from := len(flat) - len(vals)
		first, second := twoValues(strings.TrimLeft(flat[from:], " ("))
		handle, blob := literal(first, args), literal(second, args)
		c.writes = append(c.writes, [2]string{handle, blob})
		if strings.Contains(low, "returning") {
			c.writeRow(simple, "blob", blob)
		}
		c.writeTag("INSERT 0 1")
	case strings.HasPrefix(low, "select blob from rows where handle ="):
		handle := literal(strings.TrimSpace(flat[len("select blob from rows where handle ="):]), args)
		at := c.server.applied()
		c.writePosition(at)
		value, found := c.server.Cluster.read(handle, at)
		for _, w := range c.writes {
			if w[0] == handle {
				value, found = w[1], true
			}
		}
		if simple {
			c.out = describe(c.out, []string{"blob"})
		}
		if found {
			c.writeRow(false, "", value)
			c.writeTag("SELECT 1")
		} else {
			c.writeTag("SELECT 0")
		}
	case strings.HasPrefix(low, "prepare "):
		name, body, _ := strings.Cut(flat[len("prepare "):], " ")
		c.sqlPrepared[strings.ToLower(name)] = strings.TrimSpace(body[len("as "):])
		c.writeTag("PREPARE")
	case strings.Contains(low, "note("):
		c.writeRow(simple, "note", c.argument(flat, "note(", args))
		c.writeTag("SELECT 1")
	case strings.HasPrefix(low, "select current_setting("):
		c.writeRow(simple, "current_setting", c.settings[strings.ToLower(c.argument(flat, "current_setting(", args))])
		c.writeTag("SELECT 1")
	case strings.HasPrefix(low, "select pg_sleep("):
		x, _ := strconv.ParseFloat(c.argument(flat, "pg_sleep(", args), 64)
		if c.work(time.Duration(x * float64(time.Second))) {
			c.writeRow(simple, "pg_sleep", "")
			c.writeTag("SELECT 1")
		}
	case strings.HasPrefix(low, "select pg_backend_pid()"):
		c.writeRow(simple, "pg_backend_pid", strconv.Itoa(c.id))
		c.writeTag("SELECT 1")
	case low == "select 1":
		c.writeRow(simple, "?column?", "1")
		c.writeTag("SELECT 1")
	case strings.HasPrefix(low, "select long("):
		n, _ := strconv.Atoi(c.argument(flat, "long(", args))
		if simple {
			c.out = describe(c.out, []string{"long"})
		}
		for range n {
			c.writeRow(false, "", strings.Repeat("x", 1000))
		}
		c.writeTag("SELECT " + strconv.Itoa(n))
	case strings.HasPrefix(low, "copy"):
		c.copy(low, simple)
	case strings.HasPrefix(low, "execute "):
		text, had := c.sqlPrepared[strings.TrimSpace(low[len("execute "):])]
		if !had {
			c.fail(pg.NoStatement, "prepared statement does not exist")
			return
		}
		c.runQuery(text, pg.ParseCommand(text), nil, simple)
	case strings.HasPrefix(low, "create"), strings.HasPrefix(low, "listen"), strings.HasPrefix(low, "set constraints"):
		c.writeTag(strings.ToUpper(strings.Fields(low)[0]))
	default:
		c.fail("42601", "syntax error at or near \""+strings.Fields(low + " ?")[0]+"\"")
	}
}

// twoValues splits the two values of an INSERT.
func twoValues(s string) (a, b string) {
	quoted := false
	for n := 0; n < len(s); n++ {
		if s[n] == '\'' {
			quoted = !quoted
		} else if s[n] == ',' && !quoted {
			return s[:n], strings.TrimSpace(s[n+1:])
		}
	}
	return s, ""
}

func (c *connection) copy(low string, simple bool) {
	if strings.Contains(low, "to stdout") {
		c.out = append(c.out, message('H', "\x00\x00\x02\x00\x00\x00\x00")...)
		for n := range 3 {
			c.out = append(c.out, message('d', fmt.Sprintf("h%d\tv%d\n", n, n))...)
		}
		c.out = pg.AppendPlain(c.out, 'c')
		c.writeTag("COPY 3")
		return
	}
	if !c.server.isPrimary() {
		c.writePosition(c.server.applied())
		c.fail(pg.NoPrimary, "cannot execute COPY FROM in a read-only transaction")
		return
	}
	c.copying = &copyData{binary: strings.Contains(low, "binary"), simple: simple}
	format := "\x00\x00\x02\x00\x00\x00\x00"
	if c.copying.binary {
		format = "\x01\x00\x02\x00\x01\x00\x01"
	}
	c.out = append(c.out, message('G', format)...)
}

func (c *connection) copyIn(m *pg.Message) {
	switch m.Kind {
	case pg.CopyData:
		c.copying.data = append(c.copying.data, m.Raw[5:]...)
		return
	case pg.Flush, pg.Sync: // ignored while data comes
		return
	}
	done := c.copying
	c.copying = nil
	if m.Kind != pg.CopyDone {
		c.fail("57014", "COPY from stdin failed")
	} else {
		rows := done.rows()
		c.writes = append(c.writes, rows...)
		c.writeTag("COPY " + strconv.Itoa(len(rows)))
	}
	if done.simple {
		c.writeReady()
	} else {
		c.skipToSync = c.failed
	}
}

func (c *copyData) rows() (out [][2]string) {
	if !c.binary {
		for _, line := range strings.Split(strings.TrimRight(string(c.data), "\n"), "\n") {
			handle, blob, _ := strings.Cut(line, "\t")
			out = append(out, [2]string{handle, blob})
		}
		return out
	}
	b := c.data
	if len(b) < 19 {
		return nil
	}
	for b = b[19:]; len(b) >= 2 && int16(binary.BigEndian.Uint16(b)) > 0; {
		fields := int(binary.BigEndian.Uint16(b))
		b = b[2:]
		var row [2]string
		for n := range fields {
			size := int(int32(binary.BigEndian.Uint32(b)))
			b = b[4:]
			if size > 0 {
				if n < 2 {
					row[n] = string(b[:size])
				}
				b = b[size:]
			}
		}
		out = append(out, row)
	}
	return out
}
