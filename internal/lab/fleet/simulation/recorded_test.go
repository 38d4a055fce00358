package simulation

import (
	"crypto/sha256"
	"flag"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"wayloft/internal/fakes/recording"
)

var recordedSeeds = flag.Int("recorded-seeds", 10, "number of seeds of each kind whose reports are compared with the recorded ones (200 are recorded)")

// TestRecordedReports checks that the reports of random schedules equal the recorded ones, value for value.
func TestRecordedReports(t *testing.T) {
	for _, kind := range []struct {
		name    string
		options func(uint64) Options
	}{{"leases", leaseOptions}, {"switchovers", switchoverOptions}, {"policies", policyOptions}} {
		t.Run(kind.name, func(t *testing.T) {
			var out strings.Builder
			for seed := range uint64(*recordedSeeds) {
				o := kind.options(seed)
				o.FaultsMs = 8000
				fmt.Fprintf(&out, "seed %d: %x\n", seed, sha256.Sum256([]byte(recordedReport(Run(o)))))
			}
			recording.ComparePrefix(t, "recorded-"+kind.name+".digest", out.String())
		})
	}
	t.Run("health sharing", func(t *testing.T) {
		var out strings.Builder
		for seed := range uint64(min(*recordedSeeds, 20)) {
			fmt.Fprintf(&out, "seed %d: %v %v\n", seed, RunHealthSharing(20, 0, seed), RunHealthSharing(20, 100, seed))
		}
		recording.ComparePrefix(t, "recorded-health-sharing.txt", out.String())
	})
}

// recordedReport formats all values of a report. Values whose order depends on map iteration are sorted.
func recordedReport(w *World) string {
	r := w.Report
	counts := func(m map[string]int) []int { return slices.Sorted(maps.Values(m)) }
	text := fmt.Sprint(len(r.Violations), r.AcceptedCommands, r.StaleCommands, r.Grants, r.Elections, counts(r.Faults), r.HolderGapsMs, r.Entries, r.Bytes, r.Messages, r.EndedMs, r.UnheldLeases,
		r.Proposed, r.Accepted, r.Rejected, r.Unknown, r.Applied, slices.Sorted(slices.Values(r.PropagationMs)), r.MaxBytesPerSecond, r.Fetched, r.StaleAnnouncements, r.HashMismatches, w.Now)
	for _, op := range r.Operations {
		text += fmt.Sprint(op.Client, 0, op.Session, op.StartedMs, op.EndedMs, op.Held, op.Token)
	}
	if w.switchovers != nil {
		text += fmt.Sprint(w.switchovers.orders, counts(w.switchovers.endedOrders), w.switchovers.writes, w.switchovers.fencedSteps, len(w.switchovers.groupLog), len(w.switchovers.outcomes))
	}
	return text
}
