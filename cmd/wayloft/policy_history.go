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
	JSON bool `help:"As JSON."`
}

// Help gives an example.
func (*policyHistoryCmd) Help() string {
	return "Example: wayloft policy history --council 10.0.0.1:7101"
}

// changeRow is one version as `policy history --json` prints it. The keys are read by programs and don't change.
type changeRow struct {
	Author  string            `json:"author"`
	Base    string            `json:"base"` // the version that it was made from
	Removed []string          `json:"gone"` // fields that are each router's own again
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
				out.printf("    %s is each router's own again\n", field)
			}
		}
	}
	if len(history) == 0 {
		out.println("no policy was ever proposed")
	}
}

type policyShowCmd struct {
	coordinatorFlags
	Version string `arg:"" optional:"" help:"As history prints it; the one in force, if not given."`
}

// Help gives an example.
func (*policyShowCmd) Help() string {
	return "Example: wayloft policy show 96185271.4 --council 10.0.0.1:7101 > old.toml"
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

// reconstructVersion gives the document of an earlier version, as far as the history that is kept allows: a change says what a field
// became, and not what it was.
func reconstructVersion(policies fleet.Policies, packed uint64) (policy.Version, policy.Document, error) {
	if packed == policies.Version.Packed() {
		return policies.Version, policies.Document, nil
	}
	at := slices.IndexFunc(policies.History, func(c policy.Change) bool { return c.Version.Packed() == packed })
	if at < 0 {
		return policy.Version{}, nil, fmt.Errorf("there is no version %s among the latest %d", policy.FormatPacked(packed), len(policies.History))
	}
	version := policies.History[at].Version
	document := undoChanges(policies.Document, policies.History[:at+1], policies.History[at+1:])
	if document.Hash() != version.Hash {
		return version, nil, fmt.Errorf("version %s can't be told any more: only the latest %d changes are kept; propose the file that it was made from",
			version, len(policies.History))
	}
	return version, document, nil
}

// undoChanges gives what a document was before some later changes. Fields that none of them touched are as they are now; the others
// are as the earlier changes left them.
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
