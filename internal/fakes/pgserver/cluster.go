package pgserver

import (
	"slices"
	"sync"
	"time"
)

// maxVersions is the number of versions kept of each row unless Cluster.KeepHistory is set.
const maxVersions = 8

// minPositionStep is the minimum difference between the positions of two commits, in ms.
const minPositionStep = 0.001

// Cluster holds the data of one replica set and the current primary. Its members share one commit log: a replica sees only commits older
// than its replication lag. It is safe for concurrent use.
type Cluster struct {
	mu           sync.Mutex
	lastPosition float64 // position of the last commit, Unix ms
	rows         map[string][]version
	primary      *Server
	CommitCount  int
	CommitOrder  []string       // handles of all writes in commit order; recorded only if KeepHistory is set
	KeepHistory  bool           // keep all row versions and record CommitOrder
	shared       *sharedCluster // set if each member is a separate process
}

type version struct {
	position float64
	value    string
}

// NewCluster returns an empty cluster.
func NewCluster() *Cluster { return &Cluster{rows: map[string][]version{}} }

// nowMillis returns the current time, Unix ms.
func nowMillis() float64 { return float64(time.Now().UnixMicro()) / 1000 }

// Promote makes a member the primary and the previous primary a replica.
func (c *Cluster) Promote(s *Server) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.primary = s
}

// commit commits rows atomically and returns their position.
func (c *Cluster) commit(writes [][2]string) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastPosition = max(nowMillis(), c.lastPosition+minPositionStep)
	for _, w := range writes {
		c.rows[w[0]] = append(c.rows[w[0]], version{c.lastPosition, w[1]})
		if n := len(c.rows[w[0]]); n > maxVersions && !c.KeepHistory {
			c.rows[w[0]] = slices.Delete(c.rows[w[0]], 0, n-maxVersions)
		}
		if c.KeepHistory {
			c.CommitOrder = append(c.CommitOrder, w[0])
		}
	}
	c.CommitCount++
	return c.lastPosition
}

// Put commits one row directly, without a connection to the primary.
func (c *Cluster) Put(handle, value string) { c.commit([][2]string{{handle, value}}) }

// read returns the latest value of a row at or before a position.
func (c *Cluster) read(handle string, upTo float64) (string, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.shared != nil {
		c.catchUp()
	}
	for _, v := range slices.Backward(c.rows[handle]) {
		if v.position <= upTo {
			return v.value, true
		}
	}
	return "", false
}
