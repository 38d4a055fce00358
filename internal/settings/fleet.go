package settings

import (
	"cmp"
	"errors"
	"fmt"
	"net"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// CoordinatorFile is the form of a coordinator node's settings.
type CoordinatorFile struct {
	Coordinator Coordinator `toml:"council"`
}

// Coordinator is one coordinator node. What is not given has a value that suits a fleet of hundreds.
type Coordinator struct {
	Fleet            string            `toml:"fleet"`
	Name             string            `toml:"name"`
	Listen           string            `toml:"listen"`
	Dir              string            `toml:"folder"`
	Join             bool              `toml:"join"` // a coordinator that has begun, by `council add`
	Peers            []CoordinatorPeer `toml:"peers"`
	Tick             Duration          `toml:"tick"`
	SnapshotInterval int               `toml:"keep"` // entries until the log is cut
	MaxConnections   int               `toml:"connections"`
	AuditLog         string            `toml:"record"` // a file of all that became so, for checkers
	PeerAddresses    map[string]string `toml:"via"`    // other ways to processes, by name
	ClockOffset      Duration          `toml:"clock_ahead"`
}

// CoordinatorPeer is one of those who begin the coordinator.
type CoordinatorPeer struct {
	Name    string `toml:"name"`
	Address string `toml:"address"`
}

func strict(text []byte, into any) error {
	d := toml.NewDecoder(strings.NewReader(string(text)))
	d.DisallowUnknownFields()
	return wrong(d.Decode(into))
}

func address(key, value string) error {
	if _, _, err := net.SplitHostPort(value); err != nil {
		return fmt.Errorf("%s: %w", key, err)
	}
	return nil
}

// ReadCoordinator decodes a coordinator node's file and says what is wrong with it.
func ReadCoordinator(text []byte) (*Coordinator, error) {
	f := &CoordinatorFile{}
	if err := strict(text, f); err != nil {
		return nil, err
	}
	c := &f.Coordinator
	switch {
	case c.Fleet == "" || c.Name == "" || c.Dir == "":
		return nil, errors.New("council: fleet, name and folder must be given")
	case c.Join && len(c.Peers) > 0:
		return nil, errors.New("council: join: one that joins begins nothing, peers must not be given")
	case !c.Join && len(c.Peers) == 0:
		return nil, errors.New("council: peers: must be given, or join = true")
	}
	if err := address("council.listen", c.Listen); err != nil {
		return nil, err
	}
	mine := c.Join
	for n, p := range c.Peers {
		if p.Name == "" {
			return nil, fmt.Errorf("council.peers[%d]: name: must be given", n)
		}
		if err := address(fmt.Sprintf("council.peers[%d].address", n), p.Address); err != nil {
			return nil, err
		}
		mine = mine || p.Name == c.Name
	}
	if !mine {
		return nil, fmt.Errorf("council.peers: %q, this process, is not among them", c.Name)
	}
	for name, addr := range c.PeerAddresses {
		if err := address("council.via."+name, addr); err != nil {
			return nil, err
		}
	}
	c.Tick = Duration(cmp.Or(float64(c.Tick), 50))
	c.SnapshotInterval, c.MaxConnections = cmp.Or(c.SnapshotInterval, 10000), cmp.Or(c.MaxConnections, 4096)
	if c.Tick < 5 || c.SnapshotInterval < 100 || c.MaxConnections < 16 {
		return nil, errors.New("council: tick of 5ms, keep of 100 and connections of 16 are the least")
	}
	return c, nil
}
