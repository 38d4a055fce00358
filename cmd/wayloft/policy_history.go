package main

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"wayloft/internal/decide/policy"
	"wayloft/internal/fleet"
	"wayloft/internal/settings"
)

type policyHistoryCmd struct {
	coordinatorFlags
	JSON bool `help:"Print JSON."`
}

// Help implements kong.HelpProvider.
func (*policyHistoryCmd) Help() string {
	return "Example: wayloft policy history --coordinator 10.0.0.1:7101"
}

// changeRow is one version in the output of `policy history --json`. Programs read it: the JSON keys must not change.
type changeRow struct {
	Author  string            `json:"author"`
	Base    string            `json:"base"` // the version that it was derived from
	Removed []string          `json:"gone"` // fields that no longer override the routers' local values
	Hash    string            `json:"hash"`
	Reason  string            `json:"reason"`
	Set     map[string]string `json:"set"`
	Version string            `json:"version"`
}

func (c *policyHistoryCmd) Run(out *printer) error {
	policies, err := c.fetchPolicies()
	if err != nil {
		return err
	}
	if c.JSON {
		return out.json(changeRows(policies.History))
	}
	printHistory(out, policies.History)
	return nil
}

func changeRows(history []policy.Change) []changeRow {
	rows := []changeRow{}
	for _, change := range history {
		v := change.Version
		rows = append(rows, changeRow{Author: v.Author, Base: policy.FormatPacked(v.Base), Removed: append([]string{}, change.Difference.Removed...),
			Hash: formatHash(v), Reason: v.Reason, Set: change.Difference.Set, Version: v.String()})
	}
	return rows
}

func printHistory(out *printer, history []policy.Change) {
	for _, change := range history {
		v := change.Version
		out.printf("%s after %s, by %s: %s\n", v, policy.FormatPacked(v.Base), formatAuthor(v), formatReason(v))
		for _, field := range change.Difference.Fields() {
			if value, set := change.Difference.Set[field]; set {
				out.printf("    %s = %s\n", field, value)
			} else {
				out.printf("    %s reverts to each router's local value\n", field)
			}
		}
	}
	if len(history) == 0 {
		out.println("no policy has been proposed yet")
	}
}

type policyShowCmd struct {
	coordinatorFlags
	Version string `arg:"" optional:"" help:"Version, as history prints it; by default the one in force."`
}

// Help implements kong.HelpProvider.
func (*policyShowCmd) Help() string {
	return "Example: wayloft policy show 96185271.4 --coordinator 10.0.0.1:7101 > old.toml"
}

func (c *policyShowCmd) Run(out *printer) error {
	policies, err := c.fetchPolicies()
	if err != nil {
		return err
	}
	version, document := policies.Version, policies.Document
	if c.Version != "" {
		packed, err := policy.ParsePacked(c.Version)
		if err != nil {
			return err
		}
		if version, document, err = reconstructVersion(policies, packed); err != nil {
			return err
		}
	}
	text, err := settings.WritePolicy(document)
	if err != nil {
		return err
	}
	out.printf("# version %s, by %s: %s\n%s", version, formatAuthor(version), strings.ReplaceAll(formatReason(version), "\n", " "), text)
	return nil
}

// reconstructVersion returns the document of an earlier version. It fails where the history that is kept doesn't suffice, since a change
// records the new value of a field but not the old one.
func reconstructVersion(policies fleet.Policies, packed uint64) (policy.Version, policy.Document, error) {
	if packed == policies.Version.Packed() {
		return policies.Version, policies.Document, nil
	}
	at := slices.IndexFunc(policies.History, func(c policy.Change) bool { return c.Version.Packed() == packed })
	if at < 0 {
		return policy.Version{}, nil, fmt.Errorf("version %s is not among the latest %d", policy.FormatPacked(packed), len(policies.History))
	}
	version := policies.History[at].Version
	document := undoChanges(policies.Document, policies.History[:at+1], policies.History[at+1:])
	if document.Hash() != version.Hash {
		return version, nil, fmt.Errorf("version %s can no longer be reconstructed: only the latest %d changes are kept; propose its original file instead",
			version, len(policies.History))
	}
	return version, document, nil
}

// undoChanges returns the document as it was before the later changes. A field that none of them touched has its current value; any other
// field has the value that the earlier changes left it with.
func undoChanges(current policy.Document, earlier, later []policy.Change) policy.Document {
	document := maps.Clone(current)
	touched := map[string]bool{}
	for _, change := range later {
		for _, field := range change.Difference.Fields() {
			touched[field] = true
			delete(document, field)
		}
	}
	for _, change := range earlier {
		for field, value := range change.Difference.Set {
			if touched[field] {
				document[field] = value
			}
		}
		for _, field := range change.Difference.Removed {
			if touched[field] {
				delete(document, field)
			}
		}
	}
	return document
}
