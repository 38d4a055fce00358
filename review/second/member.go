package main

import (
	"errors"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

// cluster is a replica set of stand-in members: one log, of which each member has applied a part.
type cluster struct {
	mu     sync.Mutex
	log    []commit
	lastID int
}

// commit is a committed row.
type commit struct {
	at           float64 // Unix ms
	handle, blob string
	by           string // the member that took it
	role         string // the user that wrote it
}

// member is a stand-in for a database server. It keeps to the rules of PostgreSQL for simple queries of several statements, settings, roles,
// prepared statements and sequences, as far as the cases use them.
type member struct {
	b       *bench
	cluster *cluster
	name    string
	addr    string

	mu      sync.Mutex
	listen  net.Listener
	conns   map[net.Conn]bool
	lag     time.Duration               // how far it is behind with the log as a replica
	cut     func(statement string) bool // the connection is reset after this statement has taken effect, before any answer
	applied float64                     // a position never moves back
	primary bool                        // it takes writes
	guard   uint64                      // the guard row
	hung    chan struct{}               // while it is set, the member takes what comes and does nothing; closed at the end
	work    time.Duration               // that a write takes

	after      func(statement string) // called after each statement of the extended protocol
	copies     int                    // of how many flushed answers one is sent a second time; 0: none
	readBuffer int                    // of the sockets, in bytes; 0: the system's
}

func (b *bench) newCluster(names ...string) (*cluster, []*member, error) {
	c := &cluster{}
	var members []*member
	for _, name := range names {
		addr, err := freeAddress()
		if err != nil {
			return nil, nil, err
		}
		m := &member{b: b, cluster: c, name: name, addr: addr, conns: map[net.Conn]bool{}}
		if err := m.start(); err != nil {
			return nil, nil, err
		}
		members, b.members = append(members, m), append(b.members, m)
	}
	members[0].primary = true
	return c, members, nil
}

// start starts to listen.
func (m *member) start() error {
	l, err := net.Listen("tcp", m.addr)
	if err != nil {
		return err
	}
	m.mu.Lock()
	m.listen = l
	m.mu.Unlock()
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			m.mu.Lock()
			m.conns[conn] = true
			if tcp, ok := conn.(*net.TCPConn); ok && m.readBuffer > 0 {
				_ = tcp.SetReadBuffer(m.readBuffer)
			}
			m.mu.Unlock()
			go m.serve(conn)
		}
	}()
	return nil
}

// stop ends the member as a killed process does: it listens no more, and its connections are reset.
func (m *member) stop() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.listen != nil {
		_ = m.listen.Close()
		m.listen = nil
	}
	for conn := range m.conns {
		reset(conn)
	}
	m.conns = map[net.Conn]bool{}
}

func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

func nowMs() float64 { return float64(time.Now().UnixMicro()) / 1000 }

func (m *member) isPrimary() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.primary
}

// position is the time up to which the member has applied every commit.
func (m *member) position() float64 {
	primary := m.isPrimary()
	m.mu.Lock()
	defer m.mu.Unlock()
	at := nowMs()
	if !primary {
		at -= float64(m.lag.Microseconds()) / 1000
	}
	m.applied = max(m.applied, at)
	return m.applied
}

func (m *member) setLag(lag time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lag = lag
}

// rows returns the committed rows of a handle, in order, up to a position.
func (c *cluster) rows(handle string, upTo float64) []commit {
	c.mu.Lock()
	defer c.mu.Unlock()
	var found []commit
	for _, entry := range c.log {
		if entry.handle == handle && entry.at <= upTo {
			found = append(found, entry)
		}
	}
	return found
}

// backend is one connection of a member.
type backend struct {
	m           *member
	out         *pgproto3.Backend
	sent        *recorder // what the backend writes
	flushed     int       // answers up to a Flush
	wasFlush    bool      // the last message was a Flush
	settings    map[string]string
	sessionRole map[string]string // role and session_authorization, which RESET ALL leaves as they are
	prepared    map[string]string
	status      byte
	writes      []commit
	atBegin     map[string]string
	lastValue   int
	at          float64 // position to be reported with the answer; 0: none

	parsed   map[string]string // statements of the extended protocol, by name
	portal   string            // text of the unnamed portal
	skipping bool              // an error was answered: all up to Sync is skipped

	stagedStep  string // yield or take, at the end of the transaction
	stagedFence uint64

	noDescription bool // rows follow a Describe of their own
}

func (m *member) serve(conn net.Conn) {
	defer func() {
		m.mu.Lock()
		delete(m.conns, conn)
		m.mu.Unlock()
		_ = conn.Close()
	}()
	d := &backend{m: m, settings: map[string]string{}, sessionRole: map[string]string{},
		prepared: map[string]string{}, parsed: map[string]string{}, status: 'I'}
	d.sent = &recorder{to: conn}
	d.out = pgproto3.NewBackend(conn, d.sent)
	if _, err := d.out.ReceiveStartupMessage(); err != nil {
		return
	}
	m.awaitResume()
	d.out.Send(&pgproto3.AuthenticationOk{})
	for _, name := range reported {
		d.out.Send(&pgproto3.ParameterStatus{Name: name, Value: defaults[strings.ToLower(name)]})
	}
	d.ready()
	for d.out.Flush() == nil {
		d.sendCopy(conn)
		message, err := d.out.Receive()
		if err != nil {
			return
		}
		d.m.awaitResume()
		switch message := message.(type) {
		case *pgproto3.Query:
			d.sent.kept = nil
			if d.run(message.String) {
				reset(conn)
				return
			}
		case *pgproto3.Terminate:
			return
		default:
			d.extended(message)
		}
	}
}

// reported are the settings whose value the server reports.
var reported = []string{"server_version", "client_encoding", "standard_conforming_strings", "TimeZone"}

var defaults = map[string]string{"server_version": "16.0", "client_encoding": "UTF8", "standard_conforming_strings": "on", "timezone": "UTC"}

func (d *backend) ready() {
	role := "copy"
	if d.m.isPrimary() {
		role = "source"
	}
	d.out.Send(&pgproto3.ParameterStatus{Name: "rank", Value: role})
	if d.at > 0 {
		d.out.Send(&pgproto3.ParameterStatus{Name: "as_of", Value: strconv.FormatFloat(d.at, 'f', 3, 64)})
		d.at = 0
	}
	d.out.Send(&pgproto3.ReadyForQuery{TxStatus: d.status})
}

// stateError is an error response.
type stateError struct{ code, text string }

func (e *stateError) Error() string { return e.code + " " + e.text }

// run runs a simple query. It reports whether the connection is to be reset instead of an answer.
func (d *backend) run(sql string) (cut bool) {
	if !strings.HasPrefix(sql, "SHOW vitals") && strings.TrimSpace(sql) != "" {
		d.m.b.record(d.m.name, "runs %q as %s", shorten(sql), d.user())
	}
	empty, implicit := true, d.status == 'I'
	for _, statement := range strings.Split(sql, ";") {
		after := requiredPosition(statement)
		if statement = stripComment(statement); statement == "" {
			continue
		}
		empty = false
		if !d.m.reaches(after) {
			d.fail(&stateError{"72000", "too far behind"})
			d.ready()
			return false
		}
		if d.status == 'I' && implicit && d.atBegin == nil {
			d.atBegin = copyOf(d.settings)
		}
		err := d.statement(statement)
		d.m.mu.Lock()
		ends := d.m.cut != nil && d.m.cut(statement)
		d.m.mu.Unlock()
		if ends {
			if d.status == 'I' {
				d.commit()
			}
			return true
		}
		if err != nil {
			d.fail(err)
			d.ready()
			return false
		}
	}
	if empty {
		d.out.Send(&pgproto3.EmptyQueryResponse{})
	} else if d.status == 'I' {
		d.commit()
	}
	d.ready()
	return false
}

// fail answers with an error, and rolls back what is open.
func (d *backend) fail(err error) {
	var state *stateError
	if !errors.As(err, &state) {
		state = &stateError{"XX000", err.Error()}
	}
	d.out.Send(&pgproto3.ErrorResponse{Severity: "ERROR", SeverityUnlocalized: "ERROR", Code: state.code, Message: state.text})
	if d.status == 'T' {
		d.status = 'E'
	}
	if d.status == 'I' {
		d.rollBack()
	}
}

func (d *backend) commit() {
	d.commitStep()
	c := d.m.cluster
	c.mu.Lock()
	for _, row := range d.writes {
		row.at = nowMs()
		if n := len(c.log); n > 0 {
			row.at = max(row.at, c.log[n-1].at+0.001)
		}
		c.log = append(c.log, row)
		d.at = row.at
		d.m.b.record(d.m.name, "committed %s = %s", row.handle, shorten(row.blob))
	}
	c.mu.Unlock()
	d.writes, d.atBegin = nil, nil
}

func (d *backend) rollBack() {
	if d.atBegin != nil {
		d.settings = d.atBegin
	}
	d.writes, d.atBegin = nil, nil
	d.stagedStep, d.stagedFence = "", 0
}

func copyOf(from map[string]string) map[string]string {
	to := map[string]string{}
	for name, value := range from {
		to[name] = value
	}
	return to
}

func stripComment(sql string) string {
	sql = strings.TrimSpace(sql)
	if rest, found := strings.CutPrefix(sql, "/*"); found {
		if _, after, ended := strings.Cut(rest, "*/"); ended {
			return strings.TrimSpace(after)
		}
	}
	return sql
}

// reaches waits for a while until the member has applied a position, and reports whether it has.
func (m *member) reaches(position float64) bool {
	for began := time.Now(); position > m.position(); time.Sleep(time.Millisecond) {
		if time.Since(began) > longestWait {
			return false
		}
	}
	return true
}

// longestWait is how long a member waits that is too far behind for a read, before it turns it away.
const longestWait = 50 * time.Millisecond

// requiredPosition returns the position that a statement's comment asks for, or 0.
func requiredPosition(statement string) float64 {
	comment, _, _ := strings.Cut(statement, "*/")
	_, text, found := strings.Cut(comment, "after=")
	if !found {
		return 0
	}
	text, _, _ = strings.Cut(strings.TrimSpace(text), ",")
	after, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil {
		return 0
	}
	return after
}

func (d *backend) complete(tag string) {
	d.out.Send(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
}

func (d *backend) row(column string, values ...string) {
	if !d.noDescription {
		d.out.Send(&pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{Name: []byte(column), DataTypeOID: 25, DataTypeSize: -1}}})
	}
	for _, value := range values {
		d.out.Send(&pgproto3.DataRow{Values: [][]byte{[]byte(value)}})
	}
}

func (d *backend) vitals() {
	role := 0
	if d.m.isPrimary() {
		role = 1
	}
	d.row("vitals", fmt.Sprintf("x0=%.6f,x1=%d", d.m.position()/1000, role))
	d.complete("SHOW")
}

// setAfter sets what is called after each statement of the extended protocol.
func (m *member) setAfter(after func(statement string)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.after = after
}

// setCut sets after which statement the connection is reset, once it has taken effect.
func (m *member) setCut(cut func(statement string) bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cut = cut
}

// hang stops the member: connections stay open, and it does nothing until resume.
func (m *member) hang() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.hung = make(chan struct{})
}

func (m *member) resume() {
	m.mu.Lock()
	defer m.mu.Unlock()
	close(m.hung)
	m.hung = nil
}

func (m *member) awaitResume() {
	m.mu.Lock()
	hung := m.hung
	m.mu.Unlock()
	if hung != nil {
		<-hung
	}
}

func (m *member) setPrimary(primary bool) {
	m.mu.Lock()
	m.primary = primary
	m.mu.Unlock()
	m.b.record(m.name, "takes writes: %v", primary)
}

// shorten limits a text in the record.
func shorten(text string) string {
	if len(text) > 200 {
		return text[:80] + fmt.Sprintf("... (%d bytes)", len(text))
	}
	return text
}

// setCopies sets one in how many flushed answers is sent twice.
func (m *member) setCopies(share int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.copies = share
}

func (m *member) copyShare() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.copies
}
