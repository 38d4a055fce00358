// Package lab has other ends for a router that is tried out: a cluster on loopback, clients that load it, and what they
// saw. It owns no decision; the router never imports it.
package lab

import (
	"cmp"
	"fmt"
	"strings"
	"time"

	"wayloft/internal/fakes/pgserver"
)

// Cluster is a group of fake servers, the first of which is the primary.
type Cluster struct {
	*pgserver.Cluster
	Servers []*pgserver.Server
}

// StartCluster starts so many members, whose answers take this long.
func StartCluster(members int, takes time.Duration, set func(*pgserver.Server)) (*Cluster, error) {
	c := &Cluster{Cluster: pgserver.NewCluster()}
	for n := range 100 {
		c.Put(fmt.Sprint("h", n), fmt.Sprint("v", n))
	}
	for n := range members {
		s, err := pgserver.NewServer(c.Cluster, func(s *pgserver.Server) {
			if s.Lag = time.Duration(5+n) * time.Millisecond; takes > 0 {
				s.Delay = func() time.Duration { return takes }
			}
			if set != nil {
				set(s)
			}
		})
		if err != nil {
			c.Close()
			return nil, err
		}
		c.Servers = append(c.Servers, s)
	}
	c.Promote(c.Servers[0])
	return c, nil
}

// Close stops all members.
func (c *Cluster) Close() {
	for _, s := range c.Servers {
		s.Close()
	}
}

// Pool is how a configuration has its pool; empty fields stand for what a newcomer would expect.
type Pool struct {
	Mode              string
	PerMember         int
	ExtraKeys         string // further keys of the pool
	TopLevelKeys      string // and of the file
	IdleInTransaction string // how long a transaction may be idle
	MaxConnections    int    // connections in all
	MaxSessions       int
}

// Configuration is a router's before the cluster, in our own form.
func (c *Cluster) Configuration(listen string, p Pool) string {
	or := func(x, otherwise int) int {
		if x > 0 {
			return x
		}
		return otherwise
	}
	var b strings.Builder
	fmt.Fprintf(&b, `name = "lab"
listen = "%s"
seed = "8c1f30d27a5be964"
%s
[limits]
memory = "512MiB"
descriptors = %d
sessions = %d
connections = %d

[fleet]
reports = true
warm_up = "1s"

[[txn_types]]
name = "read"
sla = "500ms"
expiry = "10s"
late_value = 0.5
effect = "repeatable"
level = "session"

[[txn_types]]
name = "look"
sla = "500ms"
expiry = "10s"
late_value = 0.5
effect = "repeatable"
level = "any"

[[txn_types]]
name = "write"
sla = "1s"
expiry = "60s"
late_value = 0.5
effect = "once-only"
level = "write"

[[pools]]
user = "api"
database = "ledger"
form = "%s"
`, listen, p.TopLevelKeys, or(p.MaxSessions, 4096)+or(p.MaxConnections, 512)+128, or(p.MaxSessions, 4096), or(p.MaxConnections, 512), p.Mode)
	if p.Mode != "platform" {
		fmt.Fprintf(&b, "read = \"read\"\nwrite = \"write\"\nconnections_per_member = %d\n", or(p.PerMember, 16))
		fmt.Fprintf(&b, "wait = \"5s\"\nidle_in_transaction = \"%s\"\n", cmp.Or(p.IdleInTransaction, "60s"))
	}
	b.WriteString(p.ExtraKeys)
	for n, s := range c.Servers {
		fmt.Fprintf(&b, "\n[[members]]\nid = \"m%d\"\naddress = \"%s\"\n", n, s.Addr)
	}
	return b.String()
}
