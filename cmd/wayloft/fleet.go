package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"strconv"
	"syscall"
	"text/tabwriter"
	"time"

	"wayloft/internal/decide/leasestate"
	"wayloft/internal/decide/switchover"
	"wayloft/internal/fleetpb"
	"wayloft/internal/rpc"
)

// patience is how long a command waits for the coordinator: longer than an election takes.
const patience = 5 * time.Second

type fleetCmd struct {
	Status   fleetStatusCmd   `cmd:"" help:"Print the leases with their holders, the sessions and the coordinator nodes."`
	Release  fleetReleaseCmd  `cmd:"" help:"Take a lease from its holder; the next in the queue gets it."`
	Handover fleetHandoverCmd `cmd:"" name:"switchover" aliases:"handover" help:"Have another member of a group become its primary, without an error for clients."`
}

type fleetStatusCmd struct {
	at
	JSON  bool `help:"As JSON."`
	Watch bool `help:"Again each second, until interrupted."`
}

func (a *at) look() (*fleetpb.State, error) {
	client := a.client()
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	return client.State(ctx)
}

func fence(f *fleetpb.Fence) string { return rpc.DecodeToken(f).String() }

func councilRows(s *fleetpb.State) []map[string]any {
	rows := []map[string]any{}
	for _, p := range s.Council {
		rows = append(rows, map[string]any{"name": p.Name, "address": p.Address, "leader": p.Leader, "applied": p.Applied, "level": p.Level})
	}
	return rows
}

// statusJSON is the form that programs read; its keys don't change.
func statusJSON(s *fleetpb.State) map[string]any {
	duties, sessions, refused := []map[string]any{}, []map[string]any{}, uint64(0)
	for _, d := range s.State.Duties {
		duties = append(duties, map[string]any{"duty": d.Name, "holder": d.Holder, "fence": rpc.DecodeToken(d.Fence).Number(), "since_ms": d.SinceMs,
			"queue": append([]string{}, d.Queue...), "order": d.Open.GetText(), "ended": d.Ended.GetText(), "barred": barred(s, d)})
	}
	for _, one := range s.State.Sessions {
		sessions = append(sessions, map[string]any{"name": one.Name, "kind": one.Kind, "policy": one.Policy, "address": one.Address,
			"incarnation": one.Incarnation, "silent_ms": one.SilentMs, "refused": one.Refused})
		refused += one.Refused
	}
	return map[string]any{"duties": duties, "sessions": sessions, "council": councilRows(s), "refused": refused + s.Refused, "epoch": s.Epoch,
		"index": s.State.Index}
}

// barred tells why a lease is not granted, if a receiver has seen a fencing token that this coordinator never gave.
func barred(s *fleetpb.State, d *fleetpb.Duty) string {
	if d.Barred.GetEpoch() >= s.Epoch && d.Barred.GetEpoch() > 0 {
		return fence(d.Barred)
	}
	return ""
}

func printJSON(v any) error {
	e := json.NewEncoder(os.Stdout)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

func printCouncil(s *fleetpb.State) {
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintf(w, "council (epoch %d)\taddress\tleads\tapplied\n", s.Epoch)
	for _, p := range s.Council {
		leads, applied := "", "not known"
		if p.Leader {
			leads = "leads"
		}
		if p.Known {
			applied = strconv.FormatUint(p.Applied, 10)
			if !p.Level {
				applied += ", behind or away"
			}
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", p.Name, p.Address, leads, applied)
	}
	w.Flush()
}

func (c *fleetStatusCmd) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	for {
		s, err := c.look()
		switch {
		case err != nil && !c.Watch:
			return err
		case err != nil:
			fmt.Println(err)
		case c.JSON:
			if err := printJSON(statusJSON(s)); err != nil {
				return err
			}
		default:
			printStatus(s)
		}
		if !c.Watch {
			return nil
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(time.Second):
		}
	}
}

func printStatus(s *fleetpb.State) {
	printCouncil(s)
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "\nduty\tholder\tfence\tfor\twait\torder")
	for _, d := range s.State.Duties {
		holder := d.Holder
		if b := barred(s, d); holder == "" && b != "" {
			holder = "not granted: " + b + " was seen, begin a new epoch (council recover)"
		} else if holder == "" {
			holder = "nobody"
		}
		order := d.Open.GetText()
		if order != "" && len(d.Steps) > 0 {
			order += " (" + d.Steps[len(d.Steps)-1].Text + ")"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%s\n", d.Name, holder, fence(d.Fence), time.Duration(d.SinceMs)*time.Millisecond, len(d.Queue), order)
	}
	fmt.Fprintln(w, "\nsession\tkind\tpolicy\tsilent\taddress\trefused")
	for _, one := range s.State.Sessions {
		fmt.Fprintf(w, "%s\t%s\t%d\t%d ms\t%s\t%d\n", one.Name, one.Kind, one.Policy, one.SilentMs, one.Address, one.Refused)
	}
	w.Flush()
}

type fleetReleaseCmd struct {
	at
	Duty string `arg:"" help:"As status names it."`
}

func (c *fleetReleaseCmd) Run() error {
	client := c.client()
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	s, err := client.State(ctx)
	if err != nil {
		return err
	}
	for _, d := range s.State.Duties {
		if d.Name != c.Duty {
			continue
		}
		if d.Holder == "" {
			return fmt.Errorf("nobody holds %s", c.Duty)
		}
		for _, one := range s.State.Sessions {
			if one.Name != d.Holder {
				continue
			}
			a, err := client.ProposeEntry(ctx, leasestate.Entry{Kind: leasestate.ReleaseLease, Session: one.Name, Incarnation: one.Incarnation, Lease: c.Duty, Token: rpc.DecodeToken(d.Fence)})
			if err != nil {
				return err
			}
			if a.Refusal != "" {
				return a.Refusal
			}
			fmt.Printf("%s is taken from %s, which held it under %s\n", c.Duty, one.Name, fence(d.Fence))
			return nil
		}
	}
	return fmt.Errorf("there is no duty %q", c.Duty)
}

type fleetHandoverCmd struct {
	at
	Group int           `arg:"" help:"Number of the group."`
	To    string        `help:"Member that is to be primary." required:"" placeholder:"MEMBER"`
	Wait  time.Duration `help:"How long to wait for the end." default:"30s"`
}

func (c *fleetHandoverCmd) Run() error {
	client := c.client()
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), c.Wait)
	defer cancel()
	duty := switchover.LeaseName(c.Group)
	a, err := client.ProposeEntry(ctx, leasestate.Entry{Kind: leasestate.PlaceOrder, Lease: duty, Text: switchover.FormatOrder(c.To)})
	if err != nil {
		return err
	}
	if !a.Held {
		return a.Refusal
	}
	fmt.Printf("order %d\n", a.Number)
	over, last := make(chan string, 1), ""
	holder := "nobody"
	for ctx.Err() == nil {
		watch, stop := context.WithCancel(ctx)
		err = client.Watch(watch, true, func(u *fleetpb.Update) {
			for _, d := range u.Duties {
				if d.Name != duty {
					continue
				}
				if d.Holder != "" {
					holder = d.Holder
				}
				if n := len(d.Steps); n > 0 && d.Steps[n-1].Text != last && d.Open.GetNumber() == a.Number {
					last = d.Steps[n-1].Text
					fmt.Printf("%s: %s\n", holder, last)
				}
				if d.Ended.GetNumber() >= a.Number {
					select {
					case over <- d.Ended.Text:
					default:
					}
					stop()
				}
			}
		})
		stop()
		select {
		case how := <-over:
			fmt.Println(how)
			if len(how) < 5 || how[:5] != "done:" {
				return errors.New("the primary was not changed")
			}
			return nil
		default:
		}
		select {
		case <-ctx.Done():
		case <-time.After(100 * time.Millisecond):
		}
	}
	return fmt.Errorf("no end within %s; who owns %s goes on (fleet status shows it): %w", c.Wait, duty, err)
}
