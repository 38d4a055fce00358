package main

import (
	"context"
	"fmt"
	"os"
	"strings"

	"wayloft/internal/fleetpb"
	"wayloft/internal/settings"
)

type coordinatorCmd struct {
	Run     coordinatorRunCmd     `cmd:"" default:"withargs" help:"Run a coordinator node until SIGTERM."`
	Add     coordinatorAddCmd     `cmd:"" help:"Add nodes to the coordinator cluster; start each with join = true."`
	Remove  coordinatorRemoveCmd  `cmd:"" help:"Remove nodes from the coordinator cluster."`
	Status  coordinatorStatusCmd  `cmd:"" help:"List the coordinator nodes."`
	Recover coordinatorRecoverCmd `cmd:"" help:"Begin a new epoch, or rebuild the cluster from one data directory after the quorum is lost."`
}

func readCoordinatorFile(path string) (*settings.Coordinator, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	c, err := settings.ReadCoordinator(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return c, nil
}

// advertisedAddress returns the address at which other nodes reach this one: its entry among the peers, or else its listen address.
func advertisedAddress(c *settings.Coordinator) string {
	for _, peer := range c.Peers {
		if peer.Name == c.Name {
			return peer.Address
		}
	}
	return c.Listen
}

type coordinatorAddCmd struct {
	coordinatorFlags
	Nodes []string `arg:"" name:"node" help:"Nodes to add, as NAME=ADDR."`
}

// Help implements kong.HelpProvider.
func (*coordinatorAddCmd) Help() string {
	return "Example: wayloft coordinator add c4=10.0.0.4:7101 --coordinator 10.0.0.1:7101"
}

func (c *coordinatorAddCmd) Run(out *printer) error {
	members := &fleetpb.Members{}
	for _, node := range c.Nodes {
		name, addr, ok := strings.Cut(node, "=")
		if !ok {
			return fmt.Errorf("%q: must be NAME=ADDR", node)
		}
		members.Add = append(members.Add, &fleetpb.Peer{Name: name, Address: addr})
	}
	return c.changeMembership(out, members)
}

type coordinatorRemoveCmd struct {
	coordinatorFlags
	Nodes []string `arg:"" name:"node" help:"Names of the nodes to remove."`
}

// Help implements kong.HelpProvider.
func (*coordinatorRemoveCmd) Help() string {
	return "Example: wayloft coordinator remove c2 --coordinator 10.0.0.1:7101"
}

func (c *coordinatorRemoveCmd) Run(out *printer) error {
	return c.changeMembership(out, &fleetpb.Members{Remove: c.Nodes})
}

func (f *coordinatorFlags) changeMembership(out *printer, members *fleetpb.Members) error {
	client := f.client()
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), coordinatorTimeout)
	defer cancel()
	result, err := client.ChangeMembership(ctx, members)
	if err != nil {
		return err
	}
	if !result.Held {
		return result.Rejection
	}
	out.println("agreed")
	return nil
}

type coordinatorStatusCmd struct {
	coordinatorFlags
	JSON bool `help:"Print JSON."`
}

// Help implements kong.HelpProvider.
func (*coordinatorStatusCmd) Help() string {
	return "Example: wayloft coordinator status --coordinator 10.0.0.1:7101"
}

func (c *coordinatorStatusCmd) Run(out *printer) error {
	s, err := c.state()
	if err != nil {
		return err
	}
	if c.JSON {
		return out.json(coordinatorReport{Nodes: nodeRows(s), Epoch: s.Epoch})
	}
	printNodes(out, s)
	return nil
}
