package simulation

import (
	"fmt"
	"maps"

	"wayloft/internal/decide/policy"
)

const (
	operators = 2
	// When the first document is proposed, and when changes begin, in ms.
	firstDocumentMs = 1200
	firstChangeMs   = 3000
)

// PolicyOptions configure the changes of the policy in a run.
type PolicyOptions struct {
	Fields           int     // number of fields of the first document
	FieldsPerChange  int     // number of fields that each change sets
	ChangeIntervalMs float64 // mean time between two changes; the actual time varies randomly
	Regions          bool    // cut one coordinator node and a third of the routers off from the rest, once
	RegionCutMs      float64 // how long the regions are partitioned
	ZoneRouters      int     // number of routers that restart at once; 0: none
}

// PolicyResult is the part of a run's report that concerns the policy.
type PolicyResult struct {
	Proposed, Accepted, Rejected, Unknown int
	Applied                               int       // number of versions applied, over all routers
	PropagationMs                         []float64 // of each change: from its proposal until all routers that were up had applied it or a later one
	MaxBytesPerSecond                     int       // maximum that one router sent and received in a second
	Fetched                               int       // number of parts of documents and differences
	StaleAnnouncements, HashMismatches    int       // of the routers at the end: outdated announcements, and documents that did not match their hash
}

// policyRun is the additional state of a run with policy changes. Versions are packed.
type policyRun struct {
	PolicyOptions
	policyChecker
	operators   []*Process
	partitioned map[*Process]bool // processes of the region that is cut off
}

// startPolicyRun adds operators and schedules their policy changes.
func (w *World) startPolicyRun() {
	run := &policyRun{PolicyOptions: *w.options.Policy, policyChecker: newPolicyChecker()}
	w.policyRun = run
	for n := range operators {
		p := &Process{Name: fmt.Sprint("o", n+1), world: w, up: true, incarnation: 1}
		run.operators = append(run.operators, p)
		w.processes[p.Name] = p
	}
	w.After(firstDocumentMs, func() {
		w.proposeChange(0, func(policy.Document) policy.Document { return w.randomDocument(run.Fields) })
	})
	if run.ChangeIntervalMs > 0 {
		w.After(firstChangeMs, func() { w.proposeChanges(1) })
	}
}

// proposeChanges makes the operators propose changes alternately, and in a quarter of the cases both at once, until the faults end.
func (w *World) proposeChanges(n int) {
	if w.Now > w.options.FaultsMs {
		return
	}
	w.proposeChange(n%operators, w.randomChange)
	if w.rand.IntN(4) == 0 {
		w.proposeChange((n+1)%operators, w.randomChange)
	}
	w.After(w.policyRun.ChangeIntervalMs*(0.5+w.rand.Float64()), func() { w.proposeChanges(n + 1) })
}

func (w *World) randomDocument(fields int) policy.Document {
	document := policy.Document{"over_share_value": "0.2"}
	for n := range fields {
		document[rateField(n)] = w.randomRate()
	}
	return document
}

// randomChange returns a copy of a document with random values in random fields.
func (w *World) randomChange(old policy.Document) policy.Document {
	document := maps.Clone(old)
	if document == nil {
		document = policy.Document{}
	}
	for range w.policyRun.FieldsPerChange {
		field := rateField(w.rand.IntN(max(1, w.policyRun.Fields)))
		document[field] = w.randomRate()
	}
	return document
}

func rateField(n int) string { return fmt.Sprintf("tenants.customer-%05d.rate", n) }

func (w *World) randomRate() string { return policy.FormatNumber(float64(w.rand.IntN(100000)) / 100) }
