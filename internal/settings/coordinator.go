package settings

import (
	"cmp"
	"errors"
	"fmt"
)

// CoordinatorFile is the TOML file of a coordinator node.
type CoordinatorFile struct {
	Coordinator Coordinator `toml:"council"`
}

// Coordinator is the settings of a coordinator node.
type Coordinator struct {
	Fleet            string            `toml:"fleet"`
	Name             string            `toml:"name"`
	Listen           string            `toml:"listen"`
	Dir              string            `toml:"folder"` // the data directory
	Join             bool              `toml:"join"`   // the node joins an existing cluster
	Peers            []CoordinatorPeer `toml:"peers"`  // the nodes of a new cluster, including this one
	Tick             Duration          `toml:"tick"`
	SnapshotInterval int               `toml:"keep"` // log entries between two snapshots
	MaxConnections   int               `toml:"connections"`
	AuditLog         string            `toml:"record"`
	PeerAddresses    map[string]string `toml:"via"`         // by process name, in place of the addresses that the cluster knows
	ClockOffset      Duration          `toml:"clock_ahead"` // added to this process's clock, for tests
}

// CoordinatorPeer is an initial node of a new coordinator cluster.
type CoordinatorPeer struct {
	Name    string `toml:"name"`
	Address string `toml:"address"`
}

// Defaults and minimum values of a coordinator node's file.
const (
	defaultTickMs           Duration = 50
	defaultSnapshotInterval          = 10_000
	defaultMaxConnections            = 4096
	minTickMs               Duration = 5
	minSnapshotInterval              = 100
	minMaxConnections                = 16
)

// ReadCoordinator decodes and checks a coordinator node's file, and applies the defaults. Its error names the line or key at fault.
func ReadCoordinator(text []byte) (*Coordinator, error) {
	file := &CoordinatorFile{}
	if err := decodeStrict(text, file); err != nil {
		return nil, err
	}
	c := &file.Coordinator
	if err := c.checkIdentity(); err != nil {
		return nil, err
	}
	if err := c.checkAddresses(); err != nil {
		return nil, err
	}
	c.Tick.setDefault(defaultTickMs)
	c.SnapshotInterval = cmp.Or(c.SnapshotInterval, defaultSnapshotInterval)
	c.MaxConnections = cmp.Or(c.MaxConnections, defaultMaxConnections)
	if c.Tick < minTickMs || c.SnapshotInterval < minSnapshotInterval || c.MaxConnections < minMaxConnections {
		return nil, errors.New("council: tick of 5ms, keep of 100 and connections of 16 are the least")
	}
	return c, nil
}

func (c *Coordinator) checkIdentity() error {
	switch {
	case c.Fleet == "" || c.Name == "" || c.Dir == "":
		return errors.New("council: fleet, name and folder must be given")
	case c.Join && len(c.Peers) > 0:
		return errors.New("council: join: a node that joins an existing cluster must not list peers")
	case !c.Join && len(c.Peers) == 0:
		return errors.New("council: peers: must be given, or join = true")
	}
	return nil
}

func (c *Coordinator) checkAddresses() error {
	if err := CheckAddress("council.listen", c.Listen); err != nil {
		return err
	}
	listed := c.Join
	for n, peer := range c.Peers {
		if peer.Name == "" {
			return fmt.Errorf("council.peers[%d]: name: must be given", n)
		}
		if err := CheckAddress(fmt.Sprintf("council.peers[%d].address", n), peer.Address); err != nil {
			return err
		}
		listed = listed || peer.Name == c.Name
	}
	if !listed {
		return fmt.Errorf("council.peers: %q, this process, is not among them", c.Name)
	}
	return checkPeerAddresses("council.via", c.PeerAddresses)
}
