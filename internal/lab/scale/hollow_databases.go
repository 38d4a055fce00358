package scale

import (
	"fmt"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"wayloft/internal/lab/fleet"
	"wayloft/internal/pg"
)

const (
	// replicationLag is how far a replica's position is behind the clock.
	replicationLag = 5 * time.Millisecond
	// maxMessageBytes limits a message that is read from a connection.
	maxMessageBytes = 1 << 16
)

// Parameter names and values by which the platform's databases report their role (router.Role) and position on the wire.
const (
	roleParameter     = "rank"
	primaryRole       = "source"
	replicaRole       = "copy"
	positionParameter = "as_of"
)

// hollowDatabases are the databases of one process. Each accepts connections, completes the startup, responds to an empty query with
// its role and position, and to any other message with an error.
type hollowDatabases struct {
	addrs []string

	mu      sync.Mutex
	primary map[string]bool

	accepted, open, checks, otherMessages atomic.Int64
}

func newHollowDatabases(spec ChildSpec) (*hollowDatabases, error) {
	if len(spec.Addrs) > 0 && len(spec.Addrs) != len(spec.Names) {
		return nil, fmt.Errorf("addrs: %d for %d databases", len(spec.Addrs), len(spec.Names))
	}
	d := &hollowDatabases{primary: map[string]bool{}}
	for _, id := range spec.Primaries {
		d.primary[id] = true
	}
	for n, name := range spec.Names {
		listener, err := listen(spec.Addrs, n)
		if err != nil {
			return nil, err
		}
		d.addrs = append(d.addrs, listener.Addr().String())
		go d.accept(listener, name)
	}
	return d, nil
}

// listen listens on the n-th address, or on a free port if there are no addresses.
func listen(addrs []string, n int) (net.Listener, error) {
	if len(addrs) == 0 {
		return fleet.ListenFree()
	}
	return net.Listen("tcp", addrs[n])
}

func (d *hollowDatabases) accept(listener net.Listener, name string) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		d.accepted.Add(1)
		d.open.Add(1)
		go func() {
			defer d.open.Add(-1)
			defer closeQuietly(conn)
			d.serve(conn, name)
		}()
	}
}

// serve responds to the messages of a connection until it is closed.
func (d *hollowDatabases) serve(conn net.Conn, name string) {
	reader := pg.NewReader(false, maxMessageBytes)
	buffer := make([]byte, 1<<10)
	for {
		n, err := conn.Read(buffer)
		if err != nil {
			return
		}
		reader.Feed(buffer[:n])
		responses, open := d.responses(reader, name)
		if !open {
			return
		}
		if _, err := conn.Write(responses); err != nil {
			return
		}
	}
}

// responses encodes the responses to all complete messages. open is false if the connection must be closed.
func (d *hollowDatabases) responses(reader *pg.Reader, name string) (out []byte, open bool) {
	for {
		message, complete, err := reader.Next()
		if err != nil || message.Kind == pg.Terminate {
			return nil, false
		}
		if !complete {
			return out, true
		}
		switch {
		case message.Kind == pg.Startup:
			out = pg.AppendStartupResponse(out, 0)
		case message.Kind == pg.Query && message.Text == "":
			d.checks.Add(1)
			out = pg.AppendReadyIdle(pg.AppendEmptyQuery(d.appendHealth(out, name)))
		default:
			d.otherMessages.Add(1)
			failure := &pg.Error{Code: pg.InFailedSQLTransaction, Text: "hollow database: only empty queries are supported"}
			out = pg.AppendReadyIdle(pg.AppendError(out, failure, false))
		}
	}
}

// appendHealth appends a database's role and position.
func (d *hollowDatabases) appendHealth(out []byte, name string) []byte {
	d.mu.Lock()
	primary := d.primary[name]
	d.mu.Unlock()
	role, position := replicaRole, time.Now().Add(-replicationLag)
	if primary {
		role, position = primaryRole, time.Now()
	}
	positionMs := float64(position.UnixMicro()) / 1000
	out = pg.AppendParameterStatus(out, roleParameter, role)
	return pg.AppendParameterStatus(out, positionParameter, strconv.FormatFloat(positionMs, 'f', 3, 64))
}

func (d *hollowDatabases) respond(request ChildRequest) (ChildResponse, error) {
	switch request.Command {
	case CommandCount:
		return ChildResponse{Counts: map[string]int64{
			"accepted": d.accepted.Load(),
			"open":     d.open.Load(),
			"checks":   d.checks.Load(),
			"others":   d.otherMessages.Load(),
		}}, nil
	case CommandPromote:
		d.mu.Lock()
		defer d.mu.Unlock()
		for n, id := range request.Members {
			d.primary[id] = n == 0
		}
		return ChildResponse{}, nil
	}
	return ChildResponse{}, unknownCommand(request.Command)
}
