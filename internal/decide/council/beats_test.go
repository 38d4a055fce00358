package council

import (
	"fmt"
	"testing"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"wayloft/internal/decide/register"
)

// trio is a council of three over disks in memory, on one clock, that counts what the three say to each other.
type trio struct {
	t        *testing.T
	nodes    []*Node
	now      float64
	number   uint64
	done     map[uint64]register.Answer
	lost     int
	messages map[raftpb.MessageType]int
	bytes    map[raftpb.MessageType]int
	entries  int               // as stored by the leader
	sent     map[[2]uint64]int // appends of an entry to a process
}

func three(t *testing.T) *trio {
	c := &trio{t: t, now: 1, done: map[uint64]register.Answer{}}
	c.count()
	peers := []Peer{{Name: "c1"}, {Name: "c2"}, {Name: "c3"}}
	for n := range peers {
		node, _, err := New(Settings{Fleet: "f", Name: peers[n].Name, Peers: peers, Epoch: 7, Tick: 100, Keep: 2000, Log: quiet()}, Stored{})
		if err != nil {
			t.Fatal(err)
		}
		c.nodes = append(c.nodes, node)
	}
	return c
}

func (c *trio) count() {
	c.messages, c.bytes, c.entries, c.sent = map[raftpb.MessageType]int{}, map[raftpb.MessageType]int{}, 0, map[[2]uint64]int{}
}

func (c *trio) leader() *Node {
	for _, n := range c.nodes {
		if leads, _ := n.Leads(); leads {
			return n
		}
	}
	return nil
}

// settle carries out what the three decide until none has anything more to say: messages take no time.
func (c *trio) settle() {
	for again := true; again; {
		again = false
		for _, n := range c.nodes {
			for d, more := n.Next(); more; d, more = n.Next() {
				again = true
				switch d.Verb {
				case Save:
					if n == c.leader() {
						c.entries += len(d.Entries)
					}
					n.Saved()
				case Done:
					c.done[d.Number] = d.Answer
				case Lost:
					c.lost++
				case Send:
					m := d.Message
					c.messages[m.GetType()]++
					c.bytes[m.GetType()] += proto.Size(m)
					for _, e := range m.GetEntries() {
						c.sent[[2]uint64{m.GetTo(), e.GetIndex()}]++
					}
					for _, to := range c.nodes {
						if to.id == m.GetTo() {
							if err := to.Step(m); err != nil {
								c.t.Fatal(err)
							}
						}
					}
				}
			}
			if err := n.Failed(); err != nil {
				c.t.Fatal(err)
			}
		}
	}
}

// at wakes all three, as a host does at each tick and whenever something has come in.
func (c *trio) at(now float64) {
	c.now = now
	for _, n := range c.nodes {
		n.At(now)
	}
	c.settle()
}

func (c *trio) do(e register.Entry) uint64 {
	c.number++
	l := c.leader()
	l.At(c.now)
	l.Do(c.number, e)
	c.at(c.now)
	return c.number
}

// Each session's beat comes alone, at a time of its own, as those of hundreds of routers do: what the three write and say goes by
// their ticks and not by the number of beats.
func TestBeatsWait(t *testing.T) {
	const sessions, seconds = 600, 4
	c := three(t)
	for c.leader() == nil {
		c.at(c.now + 10)
	}
	for n := range sessions {
		c.do(register.Entry{Kind: register.Open, Session: fmt.Sprintf("router-%d", n), Incarnation: 1, Length: 2000})
	}
	c.count()
	begun, beats := c.now, 0
	for c.now < begun+seconds*1000 { // a beat each ms: each session beats each 600 ms
		c.at(c.now + 1)
		c.do(register.Entry{Kind: register.Beat, Session: fmt.Sprintf("router-%d", beats%sessions), Incarnation: 1})
		beats++
	}
	all := 0
	for _, n := range c.bytes {
		all += n
	}
	twice := 0
	for _, n := range c.sent {
		if n > 1 {
			twice++
		}
	}
	t.Logf("%d beats: %d entries, %d bytes (%.0f a beat); by kind: messages %v, bytes %v; %d entries sent twice to one process", beats, c.entries,
		all, float64(all)/float64(beats), c.messages, c.bytes, twice)
	if most := seconds*10 + 2; c.entries > most {
		t.Errorf("%d entries for %d beats in %d ticks", c.entries, beats, seconds*10)
	}
}
