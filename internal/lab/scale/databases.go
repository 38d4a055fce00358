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

// databases are many hollow ones: each accepts, greets, and answers an empty query with its role and position.
type databases struct {
	names []string
	addrs []string

	mu      sync.Mutex
	primary map[string]bool

	accepted, open, checks, others atomic.Int64
}

// behind is how far a replica's position is behind the clock.
const behind = 5 * time.Millisecond

func newDatabases(s ChildSpec) (*databases, error) {
	if len(s.Addrs) > 0 && len(s.Addrs) != len(s.Names) {
		return nil, fmt.Errorf("addrs: %d for %d databases", len(s.Addrs), len(s.Names))
	}
	d := &databases{names: s.Names, primary: map[string]bool{}}
	for _, id := range s.Primaries {
		d.primary[id] = true
	}
	for n, name := range s.Names {
		var l net.Listener
		var err error
		if len(s.Addrs) > 0 {
			l, err = net.Listen("tcp", s.Addrs[n])
		} else {
			l, err = fleet.ListenFree()
		}
		if err != nil {
			return nil, err
		}
		d.addrs = append(d.addrs, l.Addr().String())
		go d.listen(l, name)
	}
	return d, nil
}

func (d *databases) listen(l net.Listener, name string) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		d.accepted.Add(1)
		d.open.Add(1)
		go func() {
			defer d.open.Add(-1)
			defer c.Close()
			d.serve(c, name)
		}()
	}
}

// longestAsk is the longest message that is taken, in bytes.
const longestAsk = 1 << 16

func (d *databases) serve(c net.Conn, name string) {
	r := pg.NewReader(false, longestAsk)
	buf := make([]byte, 1<<10)
	for {
		n, err := c.Read(buf)
		if err != nil {
			return
		}
		r.Feed(buf[:n])
		var out []byte
		for {
			m, ok, err := r.Next()
			if err != nil || m.Kind == pg.Terminate {
				return
			}
			if !ok {
				break
			}
			switch {
			case m.Kind == pg.Startup:
				out = pg.AppendGreeting(out, 0)
			case m.Kind == pg.Query && m.Text == "":
				d.checks.Add(1)
				out = pg.AppendReadyIdle(pg.AppendEmptyQuery(d.position(out, name)))
			default:
				d.others.Add(1)
				out = pg.AppendReadyIdle(pg.AppendError(out, &pg.Error{Code: pg.InFailedSQLTransaction, Text: "this database is hollow"}, false))
			}
		}
		if _, err := c.Write(out); err != nil {
			return
		}
	}
}

func (d *databases) position(out []byte, name string) []byte {
	d.mu.Lock()
	primary := d.primary[name]
	d.mu.Unlock()
	role, at := "copy", time.Now().Add(-behind)
	if primary {
		role, at = "source", time.Now()
	}
	out = pg.AppendParameterStatus(out, "rank", role)
	return pg.AppendParameterStatus(out, "as_of", strconv.FormatFloat(float64(at.UnixMicro())/1000, 'f', 3, 64))
}

func (d *databases) answer(q ChildRequest) (ChildResponse, error) {
	switch q.Do {
	case "count":
		return ChildResponse{Counts: map[string]int64{"accepted": d.accepted.Load(), "open": d.open.Load(), "checks": d.checks.Load(), "others": d.others.Load()}}, nil
	case "promote": // the first named takes writes from now on, the others no more
		d.mu.Lock()
		defer d.mu.Unlock()
		for n, id := range q.Members {
			d.primary[id] = n == 0
		}
		return ChildResponse{}, nil
	}
	return ChildResponse{}, fmt.Errorf("do: unknown value %q", q.Do)
}
