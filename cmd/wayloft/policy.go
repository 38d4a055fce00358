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
	Check   policyCheckCmd   `cmd:"" help:"Validate a policy file, without contacting the coordinator."`
	Diff    policyDiffCmd    `cmd:"" help:"Print what a policy would change, and which of its changes are not allowed."`
	Propose policyProposeCmd `cmd:"" help:"Put a policy in force at all routers."`
	Status  policyStatusCmd  `cmd:"" help:"Print the policy in force and the version that each router applies."`
	History policyHistoryCmd `cmd:"" help:"Print the latest versions, with their authors and reasons."`
	Show    policyShowCmd    `cmd:"" help:"Print the policy in force, or an earlier version, as a policy file."`
}

type policyFile struct {
	File string `arg:"" help:"Policy file, TOML." type:"existingfile"`
}

func (f *policyFile) read() (policy.Document, error) {
	text, err := os.ReadFile(f.File)
	if err != nil {
		return nil, err
	}
	document, err := settings.ReadPolicy(text)
	if err != nil {
		return nil, fmt.Errorf("%s: invalid policy, nothing was sent:\n%w", f.File, err)
	}
	return document, nil
}

// joinViolations returns the reasons why a change is not allowed as one error, one per line; nil if there are none.
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
	Config string `help:"Also check that a router with this configuration file could apply the policy." type:"existingfile" placeholder:"FILE"`
}

// Help implements kong.HelpProvider.
func (*policyCheckCmd) Help() string {
	return "Example: wayloft policy check policy.toml --config wayloft.toml"
}

func (c *policyCheckCmd) Run(out *printer) error {
	document, err := c.read()
	if err != nil {
		return err
	}
	if err := joinViolations(policy.ValidateChange(nil, document)); err != nil { // compared with no policy, as strict fields have never been in force
		return fmt.Errorf("%s:\n%w", c.File, err)
	}
	if c.Config != "" {
		conf, err := server.Load(c.Config)
		if err != nil {
			return err
		}
		if _, err := settings.Overlay(conf.Router, document); err != nil {
			return fmt.Errorf("%s can't apply the policy:\n%w", conf.Name, err)
		}
	}
	out.printf("%s: ok: %d fields, all of which can change while routers run\n", c.File, len(document))
	return nil
}

// fetchPoliciesWith fetches the policy in force and its history. It waits for the given time, but at least as long as an election may take.
func (f *coordinatorFlags) fetchPoliciesWith(client *fleet.Client, wait time.Duration) (fleet.Policies, error) {
	ctx, cancel := context.WithTimeout(context.Background(), max(coordinatorTimeout, wait))
	defer cancel()
	policies, err := client.Policy(ctx)
	if err != nil {
		return policies, fmt.Errorf("the coordinator gives no answer, what is in force stays: %w", err)
	}
	return policies, nil
}

// fetchPolicies does the same with a temporary client.
func (f *coordinatorFlags) fetchPolicies() (fleet.Policies, error) {
	client := f.client()
	defer client.Close()
	return f.fetchPoliciesWith(client, 0)
}

// printDifference prints one line per changed field.
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
			out.printf("- %s: %s -> each router's local value (%s)\n", field, oldValue, class)
		}
	}
}

type policyDiffCmd struct {
	coordinatorFlags
	policyFile
}

// Help implements kong.HelpProvider.
func (*policyDiffCmd) Help() string {
	return "Example: wayloft policy diff policy.toml --coordinator 10.0.0.1:7101"
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
		out.println("no changes")
	}
	printDifference(out, current.Document, difference)
	return joinViolations(difference.Validate())
}
