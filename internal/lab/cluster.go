// Package lab provides tools for load tests and measurements of a router: a cluster of fake members on loopback, clients that generate load,
// and a router run as a separate process to measure its idle resource usage. It is used by the `wayloft lab` commands, the tests of
// internal/server, and internal/lab/fleet, which uses its clients. It makes no decisions for a router, and the router never imports it.
package lab

import (
	"fmt"
	"time"

	"wayloft/internal/fakes/pgserver"
)

const (
	storedRows     = 100                  // rows in each cluster, with the keys h0 to h99
	firstMemberLag = 5 * time.Millisecond // base replication lag; each further member lags lagStep more
	lagStep        = time.Millisecond
)

// Cluster is a group of fake members. The first member is the primary.
type Cluster struct {
	*pgserver.Cluster
	Servers []*pgserver.Server
}

// StartCluster starts the given number of members, each of which takes responseTime per statement. If configure isn't nil, it is called on
// each member before the member starts.
func StartCluster(members int, responseTime time.Duration, configure func(*pgserver.Server)) (*Cluster, error) {
	c := &Cluster{Cluster: pgserver.NewCluster()}
	for n := range storedRows {
		c.Put(fmt.Sprint("h", n), fmt.Sprint("v", n))
	}
	for n := range members {
		server, err := pgserver.NewServer(c.Cluster, func(s *pgserver.Server) {
			s.Lag = firstMemberLag + time.Duration(n)*lagStep
			if responseTime > 0 {
				s.Delay = func() time.Duration { return responseTime }
			}
			if configure != nil {
				configure(s)
			}
		})
		if err != nil {
			c.Close()
			return nil, err
		}
		c.Servers = append(c.Servers, server)
	}
	c.Promote(c.Servers[0])
	return c, nil
}

// Close stops all members.
func (c *Cluster) Close() {
	for _, server := range c.Servers {
		server.Close()
	}
}
