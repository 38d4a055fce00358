package scale

import (
	"fmt"
	"time"
)

const (
	// maxSamples limits the samples taken until one is undisturbed. The last one is used even if it is disturbed, and is then also counted
	// in DiscardedSamples.
	maxSamples = 4
	// unansweredDivisor: up to 1/unansweredDivisor of a sample's calls, plus one per hollow process, may be without a response at its end.
	unansweredDivisor = 20
	// holderSettleTime is the delay between the start of the lease holders and their sample.
	holderSettleTime = time.Second
)

// Report is the result of one measurement.
type Report struct {
	Routers          int               `json:"routers"`
	RealRouters      int               `json:"real"`
	Members          int               `json:"members"`
	Groups           int               `json:"groups"`
	Sessions         int               `json:"sessions"` // open at the coordinator before the first sample
	StartS           float64           `json:"start_s"`  // until the installation had settled
	Seconds          float64           `json:"seconds"`  // of the first sample
	Rows             []Row             `json:"rows"`
	DiscardedSamples int               `json:"spoilt"`            // samples with signs that the machine stalled
	Holders          map[string]string `json:"holders,omitempty"` // of health-share leases, at the end of their sample
	Start            map[string]int64  `json:"start"`             // counts of hollow routers from their start to the first sample
	Counts           map[string]int64  `json:"counts"`            // their growth in the first sample
	HealthSharing    map[string]int64  `json:"sight,omitempty"`   // growth of the counts of hollow routers and lease holders in the sample with health sharing

	children         childCounts   // at the end of the first sample
	startCountsAfter time.Duration // from the start of the installation to the counts in Start
}

// Measure starts an installation, samples it while it is idle and then with health-share lease holders, and stops it.
func Measure(options Options) (*Report, error) {
	in, err := Start(options)
	if err != nil {
		return nil, err
	}
	defer in.Close()
	return in.Measure()
}

// Measure samples a settled installation while it is idle, starts its health-share lease holders and samples it again.
func (in *Installation) Measure() (*Report, error) {
	state, err := in.state()
	if err != nil {
		return nil, err
	}
	report := &Report{Routers: in.Routers, RealRouters: in.RealRouters, Members: in.Members, Groups: in.groups(),
		Sessions: len(state.State.Sessions), StartS: in.Settled.Seconds()}
	baseline, discarded, err := in.measureUndisturbed()
	if err != nil {
		return nil, err
	}
	report.Seconds, report.DiscardedSamples = baseline.seconds, discarded
	report.Rows = in.rows(baseline)
	report.Start, report.Counts, report.children = baseline.before.counts.ofRouters(), baseline.routerCounts(), baseline.after.counts
	report.startCountsAfter = baseline.before.at.Sub(in.startedAt)
	if in.Holders == 0 {
		return report, nil
	}
	return report, in.measureHealthSharing(report)
}

// measureHealthSharing starts the lease holders, takes a sample and adds its results to a report.
func (in *Installation) measureHealthSharing(report *Report) error {
	if err := in.StartHolders(); err != nil {
		return err
	}
	if err := in.wait(holderSettleTime); err != nil {
		return err
	}
	sharing, discarded, err := in.measureUndisturbed()
	if err != nil {
		return err
	}
	report.DiscardedSamples += discarded
	if report.Holders, err = in.leaseHolders(); err != nil {
		return err
	}
	report.Rows = append(report.Rows, in.healthSharingRows(report.Rows, sharing)...)
	report.HealthSharing = sharing.routerCounts()
	return nil
}

// measureUndisturbed takes samples until one shows no sign that the machine stalled under other load, maxSamples at most.
func (in *Installation) measureUndisturbed() (i interval, discarded int, err error) {
	for attempt := 1; ; attempt++ {
		if i, err = in.measure(in.SampleDuration); err != nil {
			return i, discarded, err
		}
		if !in.disturbed(i.routerCounts()) {
			return i, discarded, nil
		}
		discarded++
		if in.Progress != nil {
			in.Progress(fmt.Sprintf("sample %d was discarded: %v", attempt, i.routerCounts()))
		}
		if attempt == maxSamples {
			return i, discarded, nil
		}
		if err := in.settle(in.Routers + in.RealRouters + len(in.holders)); err != nil {
			return i, discarded, err
		}
	}
}

// disturbed reports whether a watch of the endpoint list failed, a watch of the coordinator was lost and started again, the coordinator
// redirected calls because its leader changed, or too many calls were without a response.
func (in *Installation) disturbed(counts map[string]int64) bool {
	calls := counts["call_out"] + counts["stand_out"]
	unanswered := calls - counts["answer_in"] - counts["moved_in"]
	return counts["list_failed"] != 0 || counts["whole_in"] != 0 || counts["moved_in"] != 0 ||
		unanswered > calls/unansweredDivisor+int64(len(in.children()))
}
