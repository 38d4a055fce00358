package pgserver

import (
	"slices"
	"sync"
	"time"
)

// maxVersions is how many versions of a row a cluster keeps, unless it keeps all.
const maxVersions = 8

// minPositionStep is the least difference between two positions, in ms.
const minPositionStep = 0.001

// Cluster is the data of one replica set, and which member is the primary. Its members share one log: a replica sees the part of it that
// is older than its lag. It is safe for concurrent use.
type Cluster struct {
	mu      sync.Mutex
	last    float64 // the position of the last commit, Unix ms
	rows    map[string][]version
	primary *Server
	Commits int
	Order   []string // handles in the order of their commits, one for each write; only if Keep is set
	Keep    bool
	shared  *sharedCluster // set if the members are processes
}

type version struct {
	at    float64
	value string
}

// NewCluster returns a cluster without data.
func NewCluster() *Cluster { return &Cluster{rows: map[string][]version{}} }

// millis returns the present time, Unix ms.
func millis() float64 { return float64(time.Now().UnixMicro()) / 1000 }

// Promote makes a member the primary, and the one before it a replica.
func (c *Cluster) Promote(s *Server) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.primary = s
}

// commit makes rows durable at once, and returns their position.
func (c *Cluster) commit(writes [][2]string) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = max(millis(), c.last+minPositionStep)
	for _, w := range writes {
		c.rows[w[0]] = append(c.rows[w[0]], version{c.last, w[1]})
		if n := len(c.rows[w[0]]); n > maxVersions && !c.Keep {
			c.rows[w[0]] = slices.Delete(c.rows[w[0]], 0, n-maxVersions)
		}
		if c.Keep {
			c.Order = append(c.Order, w[0])
		}
	}
	c.Commits++
	return c.last
}

// Put commits one row, as a write to the primary does.
func (c *Cluster) Put(handle, value string) { c.commit([][2]string{{handle, value}}) }

// read returns the latest value of a row up to a position.
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
