package scale

import (
	"net"
	"strconv"
	"time"

	"wayloft/internal/decide/healthshare"
	"wayloft/internal/discovery"
	"wayloft/internal/pg"
)

// checkTimeout limits the dial, and each response.
const checkTimeout = time.Second

// HealthCheck requests a check of a member. The request is dropped while an earlier one is still waiting.
func (r *hollowRouter) HealthCheck(member string) {
	entry, listed := r.listed[member]
	if !listed {
		return
	}
	due := r.checkers[member]
	if due == nil {
		due = r.startChecker(entry)
		r.checkers[member] = due
	}
	select {
	case due <- struct{}{}:
		r.process.counts.checks.Add(1)
	default:
		r.process.counts.checksSkipped.Add(1)
	}
}

func (r *hollowRouter) startChecker(entry discovery.Entry) chan<- struct{} {
	due := make(chan struct{}, 1)
	c := &memberChecker{router: r, entry: entry}
	go c.run(due)
	return due
}

// stopCheckers stops the checkers of members that are no longer listed.
func (r *hollowRouter) stopCheckers() {
	for id, due := range r.checkers {
		if _, listed := r.listed[id]; !listed {
			close(due)
			delete(r.checkers, id)
		}
	}
}

// memberChecker checks one member on a persistent connection, as a real router does.
type memberChecker struct {
	router *hollowRouter
	entry  discovery.Entry
	conn   net.Conn // nil: not connected
	reader *pg.Reader
}

// run makes a check for each value that it receives, until the channel is closed.
func (c *memberChecker) run(due <-chan struct{}) {
	defer c.close()
	for range due {
		report, err := c.check()
		if err != nil {
			c.close()
			continue
		}
		c.router.node.HealthCheckReported(report)
	}
}

func (c *memberChecker) close() {
	if c.conn == nil {
		return
	}
	closeQuietly(c.conn)
	c.conn = nil
}

func (c *memberChecker) check() (healthshare.Report, error) {
	if c.conn == nil {
		if err := c.connect(); err != nil {
			return healthshare.Report{}, err
		}
	}
	if _, err := c.conn.Write(pg.AppendQuery(nil, "")); err != nil {
		return healthshare.Report{}, err
	}
	return c.readReport()
}

func (c *memberChecker) connect() error {
	conn, err := net.DialTimeout("tcp", c.entry.Addr, checkTimeout)
	if err != nil {
		return err
	}
	c.conn, c.reader = conn, pg.NewReader(true, maxMessageBytes)
	if _, err := conn.Write(pg.AppendStartup(nil, "api", "ledger")); err != nil {
		return err
	}
	_, err = c.readReport()
	return err
}

// readReport reads messages until ReadyForQuery and returns the role and position that they reported.
func (c *memberChecker) readReport() (healthshare.Report, error) {
	report := healthshare.Report{Member: c.entry.ID, Started: startedMs(c.entry)}
	if err := c.conn.SetReadDeadline(time.Now().Add(checkTimeout)); err != nil {
		return report, err
	}
	buffer := make([]byte, 512)
	for {
		message, complete, err := c.reader.Next()
		if err != nil {
			return report, err
		}
		if !complete {
			n, err := c.conn.Read(buffer)
			if err != nil {
				return report, err
			}
			c.reader.Feed(buffer[:n])
			continue
		}
		if message.Kind == pg.ReadyForQuery {
			report.At = unixMs()
			return report, nil
		}
		if message.Kind == pg.ParameterStatus {
			addParameter(&report, message)
		}
	}
}

func addParameter(report *healthshare.Report, message pg.Message) {
	switch message.Name {
	case roleParameter:
		report.Primary, report.Replica = message.Text == primaryRole, message.Text == replicaRole
	case positionParameter:
		report.Position, _ = strconv.ParseFloat(message.Text, 64)
	}
}
