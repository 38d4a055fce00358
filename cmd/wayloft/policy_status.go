package main

import (
	"cmp"
	"context"
	"encoding/hex"

	"wayloft/internal/decide/policy"
	"wayloft/internal/fleet"
)

type policyStatusCmd struct {
	coordinatorFlags
	routerCountFlag
	JSON bool `help:"Print JSON."`
}

// Help implements kong.HelpProvider.
func (*policyStatusCmd) Help() string {
	return "Example: wayloft policy status --routers 610 --coordinator 10.0.0.1:7101"
}

// policyReport is the output of `policy status --json`. Programs read it: the JSON keys of this type and of routerPolicyRow must not change.
type policyReport struct {
	Author     string            `json:"author"`
	Everywhere bool              `json:"everywhere"`
	Fields     int               `json:"fields"`
	Hash       string            `json:"hash"`
	Reason     string            `json:"reason"`
	Routers    []routerPolicyRow `json:"routers"`
	Version    string            `json:"version"`
}

type routerPolicyRow struct {
	Name     string      `json:"name"`
	SilentMs uint64      `json:"silent_ms"`
	State    routerState `json:"state"`
	Version  string      `json:"version"`
	Reason   string      `json:"why"`
}

func (c *policyStatusCmd) Run(out *printer) error {
	client := c.client()
	defer client.Close()
	current, err := c.fetchPoliciesWith(client, 0)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), coordinatorTimeout)
	defer cancel()
	s, err := client.State(ctx)
	if err != nil {
		return err
	}
	routers := routerPolicies(s, current.Version.Packed(), nil)
	if c.JSON {
		return out.json(newPolicyReport(current, routers, c.Routers))
	}
	printPolicyStatus(out, current, routers, c.Routers)
	return nil
}

func newPolicyReport(current fleet.Policies, routers []routerPolicy, expected int) policyReport {
	report := policyReport{
		Author:     current.Version.Author,
		Everywhere: missingRouters(routers, expected) == "",
		Fields:     len(current.Document),
		Hash:       formatHash(current.Version),
		Reason:     current.Version.Reason,
		Routers:    []routerPolicyRow{},
		Version:    current.Version.String(),
	}
	for _, r := range routers {
		report.Routers = append(report.Routers, routerPolicyRow{Name: r.name, SilentMs: r.silentMs, State: r.state,
			Version: policy.FormatPacked(r.version), Reason: r.reason})
	}
	return report
}

// printPolicyStatus prints the version in force and the version that each router applies.
func printPolicyStatus(out *printer, current fleet.Policies, routers []routerPolicy, expected int) {
	version := current.Version
	if version.Number == 0 {
		out.println("no policy is in force: each router uses its own configuration")
	} else {
		out.printf("version %s is in force: %d fields, %d bytes, hash %.12s, by %s: %s\n", version, len(current.Document), version.Size,
			formatHash(version), formatAuthor(version), formatReason(version))
	}
	out.table(func(rows *printer) {
		rows.println("\nrouter\tapplies\tsilent\tstate")
		for _, r := range routers {
			state := string(r.state)
			if r.reason != "" {
				state += ": " + oneLine(r.reason)
			}
			rows.printf("%s\t%s\t%d ms\t%s\n", r.name, policy.FormatPacked(r.version), r.silentMs, state)
		}
	})
	if missing := missingRouters(routers, expected); missing != "" {
		out.printf("\nnot everywhere: %s\n", missing)
		return
	}
	out.printf("\nin force everywhere: all %d routers that have a session\n", len(routers))
}

func formatHash(v policy.Version) string { return hex.EncodeToString(v.Hash[:]) }

func formatAuthor(v policy.Version) string { return cmp.Or(v.Author, "nobody") }

func formatReason(v policy.Version) string { return cmp.Or(v.Reason, "no reason given") }
