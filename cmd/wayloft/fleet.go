package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"wayloft/internal/decide/leasestate"
	"wayloft/internal/fleet"
	"wayloft/internal/fleetpb"
	"wayloft/internal/rpc"
)

type fleetCmd struct {
	Status     fleetStatusCmd     `cmd:"" help:"Print leases with their holders, sessions and coordinator nodes."`
	Release    fleetReleaseCmd    `cmd:"" help:"Release a lease from its holder; the next in the queue is granted it."`
	Switchover fleetSwitchoverCmd `cmd:"" name:"switchover" aliases:"handover" help:"Make another member of a group its primary, without errors for clients."`
}

type fleetStatusCmd struct {
	coordinatorFlags
	JSON  bool `help:"Print JSON."`
	Watch bool `help:"Repeat every second until interrupted."`
}

// statusInterval is the time between two reports with --watch.
const statusInterval = time.Second

// Help implements kong.HelpProvider.
func (*fleetStatusCmd) Help() string {
	return "Example: wayloft fleet status --coordinator 10.0.0.1:7101"
}

func (c *fleetStatusCmd) Run(out *printer) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	for {
		err := c.printOnce(out)
		if !c.Watch {
			return err
		}
		if err != nil {
			out.println(err)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(statusInterval):
		}
	}
}

func (c *fleetStatusCmd) printOnce(out *printer) error {
	s, err := c.state()
	if err != nil {
		return err
	}
	if c.JSON {
		return out.json(newFleetReport(s))
	}
	printStatus(out, s)
	return nil
}

type fleetReleaseCmd struct {
	coordinatorFlags
	Lease string `arg:"" name:"lease" help:"Name of the lease, as status prints it."`
}

// Help implements kong.HelpProvider.
func (*fleetReleaseCmd) Help() string {
	return "Example: wayloft fleet release sight/0 --coordinator 10.0.0.1:7101"
}

func (c *fleetReleaseCmd) Run(out *printer) error {
	client := c.client()
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), coordinatorTimeout)
	defer cancel()
	s, err := client.State(ctx)
	if err != nil {
		return err
	}
	lease, holder, err := findHeldLease(s, c.Lease)
	if err != nil {
		return err
	}
	return releaseLease(ctx, out, client, lease, holder)
}

// findHeldLease returns a lease and the session of its holder.
func findHeldLease(s *fleetpb.State, name string) (*fleetpb.Duty, *fleetpb.Session, error) {
	for _, lease := range s.State.Duties {
		if lease.Name != name {
			continue
		}
		for _, session := range s.State.Sessions {
			if lease.Holder != "" && session.Name == lease.Holder {
				return lease, session, nil
			}
		}
		return nil, nil, fmt.Errorf("lease %s has no holder", name)
	}
	return nil, nil, fmt.Errorf("there is no lease %q", name)
}

func releaseLease(ctx context.Context, out *printer, client *fleet.Client, lease *fleetpb.Duty, holder *fleetpb.Session) error {
	result, err := client.ProposeEntry(ctx, leasestate.Entry{
		Kind:        leasestate.ReleaseLease,
		Session:     holder.Name,
		Incarnation: holder.Incarnation,
		Lease:       lease.Name,
		Token:       rpc.DecodeToken(lease.Fence),
	})
	if err != nil {
		return err
	}
	if result.Rejection != "" {
		return result.Rejection
	}
	out.printf("released lease %s: %s held it with token %s\n", lease.Name, holder.Name, formatToken(lease.Fence))
	return nil
}
