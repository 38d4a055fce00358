// Package lab is what a router is tried out with: a cluster of fake members on loopback, clients that load a router, and a router as a process
// of its own whose idle cost is measured. The `wayloft lab` commands and the tests of internal/server call it, and internal/lab/fleet has its
// clients from here. It decides nothing for a router, and the router never imports it.
package lab

import (
	"fmt"
	"time"

	"wayloft/internal/fakes/pgserver"
)

const (
	storedRows     = 100                  // that each cluster has, h0 to h99
	firstMemberLag = 5 * time.Millisecond // of the first replica; each further one lags lagStep more
	lagStep        = time.Millisecond
)

// Cluster is a group of fake members, the first of which is the primary.
type Cluster struct {
	*pgserver.Cluster
	Servers []*pgserver.Server
}

// StartCluster starts so many members whose responses take a time. A configure that isn't nil may change each before it starts.
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
