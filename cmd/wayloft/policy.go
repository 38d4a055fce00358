package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"

	"wayloft/internal/decide/policy"
	"wayloft/internal/fleet"
	"wayloft/internal/server"
	"wayloft/internal/settings"
)

type policyCmd struct {
	Check   policyCheckCmd   `cmd:"" help:"Read a policy and say everything that is wrong with it; asks nobody."`
	Diff    policyDiffCmd    `cmd:"" help:"Print what a policy would change, and what of it can't be changed."`
	Propose policyProposeCmd `cmd:"" help:"Have a policy put in force at all routers."`
	Status  policyStatusCmd  `cmd:"" help:"Print the policy in force and which router applies which."`
	History policyHistoryCmd `cmd:"" help:"Print the latest versions, with who proposed them and why."`
	Show    policyShowCmd    `cmd:"" help:"Print the policy in force, or an earlier version, as a file that can be proposed."`
}

type policyFile struct {
	File string `arg:"" help:"A policy, TOML." type:"existingfile"`
}

func (f *policyFile) read() (policy.Document, error) {
	text, err := os.ReadFile(f.File)
	if err != nil {
		return nil, err
	}
	document, err := settings.ReadPolicy(text)
	if err != nil {
		return nil, fmt.Errorf("%s: nothing was sent to anyone:\n%w", f.File, err)
	}
	return document, nil
}

// joinViolations joins what keeps a change from being made into one error, a line each.
func joinViolations(all []policy.Violation) error {
	var errs []error
	for _, violation := range all {
		if violation.Field == "" {
			errs = append(errs, errors.New(violation.Reason))
		} else {
			errs = append(errs, fmt.Errorf("%s: %s", violation.Field, violation.Reason))
		}
	}
	return errors.Join(errs...)
}

type policyCheckCmd struct {
	policyFile
	Config string `help:"A router's own file: could it take this policy?" type:"existingfile" placeholder:"FILE"`
}

// Help gives an example.
func (*policyCheckCmd) Help() string {
	return "Example: wayloft policy check policy.toml --config wayloft.toml"
}

func (c *policyCheckCmd) Run(out *printer) error {
	document, err := c.read()
	if err != nil {
		return err
	}
	if err := joinViolations(policy.ValidateChange(nil, document)); err != nil { // strict fields have never been in force
		return fmt.Errorf("%s:\n%w", c.File, err)
	}
	if c.Config != "" {
		conf, err := server.Load(c.Config)
		if err != nil {
			return err
		}
		if _, err := settings.Overlay(conf.Router, document); err != nil {
			return fmt.Errorf("%s can't take it:\n%w", conf.Name, err)
		}
	}
	out.printf("%s: ok: %d fields, all of which may change while routers run\n", c.File, len(document))
	return nil
}

// fetchPoliciesWith asks for the policy in force and its history. It waits as long as the wait that is given, or as an election may take.
func (f *coordinatorFlags) fetchPoliciesWith(client *fleet.Client, wait time.Duration) (fleet.Policies, error) {
	ctx, cancel := context.WithTimeout(context.Background(), max(coordinatorTimeout, wait))
	defer cancel()
	policies, err := client.Policy(ctx)
	if err != nil {
		return policies, fmt.Errorf("the coordinator gives no answer, what is in force stays: %w", err)
	}
	return policies, nil
}

// fetchPolicies does so with a client of its own.
func (f *coordinatorFlags) fetchPolicies() (fleet.Policies, error) {
	client := f.client()
	defer client.Close()
	return f.fetchPoliciesWith(client, 0)
}

// printDifference prints a line for each field that changes.
func printDifference(out *printer, old policy.Document, difference policy.Difference) {
	for _, field := range difference.Fields() {
		class, _ := policy.Classify(field)
		oldValue, existed := old[field]
		value, set := difference.Set[field]
		switch {
		case existed && set:
			out.printf("~ %s: %s -> %s (%s)\n", field, oldValue, value, class)
		case set:
			out.printf("+ %s: %s (%s)\n", field, value, class)
		default:
			out.printf("- %s: %s -> each router's own (%s)\n", field, oldValue, class)
		}
	}
}

type policyDiffCmd struct {
	coordinatorFlags
	policyFile
}

// Help gives an example.
func (*policyDiffCmd) Help() string {
	return "Example: wayloft policy diff policy.toml --council 10.0.0.1:7101"
}

func (c *policyDiffCmd) Run(out *printer) error {
	document, err := c.read()
	if err != nil {
		return err
	}
	current, err := c.fetchPolicies()
	if err != nil {
		return err
	}
	out.printf("version %s is in force\n", current.Version)
	difference := policy.Diff(current.Document, document)
	if difference.Empty() {
		out.println("nothing changes")
	}
	printDifference(out, current.Document, difference)
	return joinViolations(difference.Validate())
}
