package main

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"wayloft/internal/decide/leasestate"
	"wayloft/internal/decide/switchover"
	"wayloft/internal/fleetpb"
)

type fleetSwitchoverCmd struct {
	coordinatorFlags
	Group      int           `arg:"" help:"Group number."`
	NewPrimary string        `name:"to" help:"Member to become the primary." required:"" placeholder:"MEMBER"`
	Wait       time.Duration `help:"How long to wait for the switchover to end." default:"30s"`
}

// Help implements kong.HelpProvider.
func (*fleetSwitchoverCmd) Help() string {
	return "Example: wayloft fleet switchover 0 --to m2 --coordinator 10.0.0.1:7101"
}

var errPrimaryNotChanged = errors.New("the primary was not changed")

const (
	// successPrefix starts the result of an order that was carried out.
	successPrefix = "done:"
	// watchRetryInterval is the delay before a watch that has ended is reopened.
	watchRetryInterval = 100 * time.Millisecond
)

func (c *fleetSwitchoverCmd) Run(out *printer) error {
	client := c.client()
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), c.Wait)
	defer cancel()
	name := switchover.LeaseName(c.Group)
	result, err := client.ProposeEntry(ctx, leasestate.Entry{Kind: leasestate.PlaceOrder, Lease: name, Text: switchover.FormatOrder(c.NewPrimary)})
	if err != nil {
		return err
	}
	if !result.Held {
		return result.Rejection
	}
	out.printf("order %d\n", result.Number)
	progress := &orderProgress{lease: name, order: result.Number, holder: "nobody", out: out}
	for ctx.Err() == nil {
		watch, stop := context.WithCancel(ctx)
		err = client.Watch(watch, true, func(update *fleetpb.Update) {
			if progress.observe(update) {
				stop()
			}
		})
		stop()
		if progress.ended {
			return progress.finish()
		}
		select {
		case <-ctx.Done():
		case <-time.After(watchRetryInterval):
		}
	}
	return fmt.Errorf("the switchover has not ended within %s; the holder of %s continues it (see fleet status): %w", c.Wait, name, err)
}

// orderProgress prints the steps of an order as watch updates report them.
type orderProgress struct {
	lease    string
	order    uint64
	holder   string // the last known one
	lastStep string // already printed
	ended    bool
	result   string // set once the order has ended
	out      *printer
}

// observe handles one watch update and reports whether the order has ended.
func (p *orderProgress) observe(update *fleetpb.Update) bool {
	for _, lease := range update.Duties {
		if lease.Name != p.lease || p.ended {
			continue
		}
		if lease.Holder != "" {
			p.holder = lease.Holder
		}
		if n := len(lease.Steps); n > 0 && lease.Steps[n-1].Text != p.lastStep && lease.Open.GetNumber() == p.order {
			p.lastStep = lease.Steps[n-1].Text
			p.out.printf("%s: %s\n", p.holder, p.lastStep)
		}
		if lease.Ended.GetNumber() >= p.order {
			p.ended, p.result = true, lease.Ended.Text
		}
	}
	return p.ended
}

// finish prints the result of the order and returns an error if it failed.
func (p *orderProgress) finish() error {
	p.out.println(p.result)
	if !strings.HasPrefix(p.result, successPrefix) {
		return errPrimaryNotChanged
	}
	return nil
}
