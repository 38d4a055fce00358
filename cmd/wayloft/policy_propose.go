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

// routerCountFlag is how many routers there are: one that lost the coordinator before is not among the sessions, and would not be missed.
type routerCountFlag struct {
	Routers int `help:"How many routers there must be; fewer, and the rest is waited for." placeholder:"N" default:"0"`
}

type policyProposeCmd struct {
	coordinatorFlags
	policyFile
	ExpectedVersion string        `name:"expect" help:"Only if this version is in force, as status prints it; none: only if there is none yet." placeholder:"VERSION"`
	Reason          string        `help:"For the history."`
	Author          string        `help:"For the history; who runs this, if not given." env:"WAYLOFT_AUTHOR"`
	Wait            time.Duration `help:"How long to wait until it is in force everywhere; 0: not at all." default:"0s"`
	routerCountFlag
}

// Help gives an example.
func (*policyProposeCmd) Help() string {
	return `Example: wayloft policy propose policy.toml --reason "more for acme" --wait 10s --routers 610 --council 10.0.0.1:7101`
}

var errEmptyPolicy = errors.New("it says nothing, and no policy is in force: nothing was changed")

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

// author is who the history names.
func (c *policyProposeCmd) author() string {
	if c.Author != "" {
		return c.Author
	}
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return ""
}

// checkExpected compares the version in force with the one that the proposal is for, if one was given.
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

// propose has the coordinator agree on a proposal, and gives the version that it became.
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
		return policy.Version{}, fmt.Errorf("nothing was changed: %w", result.Refusal)
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
