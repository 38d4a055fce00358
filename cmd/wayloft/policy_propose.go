package main

import (
	"context"
	"errors"
	"fmt"
	"os/user"
	"time"

	"wayloft/internal/decide/policy"
	"wayloft/internal/fleet"
)

// routerCountFlag is the number of routers in the fleet. Without it, a router whose session ended before the command began goes unnoticed.
type routerCountFlag struct {
	Routers int `help:"Number of routers in the fleet; those without a session count as not having applied the policy." placeholder:"N" default:"0"`
}

type policyProposeCmd struct {
	coordinatorFlags
	policyFile
	ExpectedVersion string        `name:"expect" help:"Propose only if this version is in force, as status prints it; none: only if no policy is in force." placeholder:"VERSION"`
	Reason          string        `help:"Reason, for the history."`
	Author          string        `help:"Author, for the history; by default the current user." env:"WAYLOFT_AUTHOR"`
	Wait            time.Duration `help:"How long to wait until the policy is in force everywhere; 0: don't wait." default:"0s"`
	routerCountFlag
}

// Help implements kong.HelpProvider.
func (*policyProposeCmd) Help() string {
	return `Example: wayloft policy propose policy.toml --reason "more for acme" --wait 10s --routers 610 --coordinator 10.0.0.1:7101`
}

var errEmptyPolicy = errors.New("the policy is empty and none is in force: nothing was changed")

func (c *policyProposeCmd) Run(out *printer) error {
	document, err := c.read()
	if err != nil {
		return err
	}
	client := c.client()
	defer client.Close()
	current, err := c.fetchPoliciesWith(client, c.Wait)
	if err != nil {
		return err
	}
	if err := c.checkExpected(current.Version); err != nil {
		return err
	}
	difference := policy.Diff(current.Document, document)
	if difference.Empty() {
		if current.Version.Number == 0 {
			return errEmptyPolicy
		}
		out.printf("version %s, which is in force, says the same\n", current.Version)
		return c.wait(out, client, current.Version, time.Now())
	}
	if err := joinViolations(difference.Validate()); err != nil {
		return fmt.Errorf("nothing was changed, version %s stays in force:\n%w", current.Version, err)
	}
	version, err := c.propose(client, policy.Propose(current.Version, current.Document, document, c.author(), c.Reason))
	if err != nil {
		return err
	}
	agreed := time.Now()
	printDifference(out, current.Document, difference)
	out.printf("version %s is agreed\n", version)
	return c.wait(out, client, version, agreed)
}

// author returns the author to record in the history.
func (c *policyProposeCmd) author() string {
	if c.Author != "" {
		return c.Author
	}
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return ""
}

// checkExpected returns an error if --expect was given and another version is in force.
func (c *policyProposeCmd) checkExpected(current policy.Version) error {
	if c.ExpectedVersion == "" {
		return nil
	}
	expected, err := policy.ParsePacked(c.ExpectedVersion)
	if err != nil {
		return fmt.Errorf("--expect: %w", err)
	}
	if expected != current.Packed() {
		return fmt.Errorf("version %s is in force, not %s: nothing was changed", current, c.ExpectedVersion)
	}
	return nil
}

// propose sends a proposal to the coordinator and returns the version that it became.
func (c *policyProposeCmd) propose(client *fleet.Client, proposal policy.Proposal) (policy.Version, error) {
	if err := proposal.Check(); err != nil {
		return policy.Version{}, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), max(coordinatorTimeout, c.Wait))
	defer cancel()
	result, err := client.Propose(ctx, proposal)
	if err != nil {
		return policy.Version{}, statusError{
			error:  fmt.Errorf("it is not known whether this was agreed (policy history tells, and asking again does no harm): %w", err),
			status: statusNotEverywhere,
		}
	}
	if !result.Held {
		return policy.Version{}, fmt.Errorf("nothing was changed: %w", result.Rejection)
	}
	now, err := c.fetchPoliciesWith(client, c.Wait)
	if err != nil {
		return policy.Version{}, statusError{error: fmt.Errorf("it is agreed as number %d: %w", result.Number, err), status: statusNotEverywhere}
	}
	for _, change := range now.History {
		if change.Version.Base == proposal.Base && change.Version.Hash == proposal.Hash {
			return change.Version, nil
		}
	}
	return now.Version, nil
}
