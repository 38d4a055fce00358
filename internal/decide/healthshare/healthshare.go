// Package healthshare implements shared health checking: one lease holder checks the members of a group for the whole fleet and sends
// its reports to all routers. Prober decides when to check each member and when to send reports; ValidateReport validates reports received
// from other processes.
//
// A report never determines which member a router takes for the primary. It carries a position, which never goes back while a member
// runs, so a delayed report is weak evidence but never false, and a hint which member to check first.
//
// The package does no I/O and starts no timers; callers pass the time in and carry out its decisions.
package healthshare

import (
	"fmt"
	"math"
	"slices"
)

// MaxReports limits the reports in one message, and the members checked per group.
const MaxReports = 1000

const (
	batchDelayFraction = 0.25   // of the period: the longest that a report is held back so that one message carries several
	maxMemberIDBytes   = 256    // length of a member's ID
	maxPositionLeadMs  = 1000.0 // by which a position may be ahead of this machine's clock, as in a router's own checks
)

// LeasePrefix is the prefix of lease names for shared health checking, on the wire and in stored data.
const LeasePrefix = "sight/"

// LeaseName returns the name of a group's lease for shared health checking.
func LeaseName(group int) string { return fmt.Sprintf("%s%d", LeasePrefix, group) }

// Report is the result of one health check. Times are Unix ms.
type Report struct {
	Member   string
	Started  float64 // the member's start time from the endpoint list; 0: long ago
	Position float64 // 0: the member reported none
	Primary  bool
	Replica  bool
	At       float64 // when the response to the check arrived, by the clock of the process that made it
}

// Action is the kind of a Decision.
type Action int

// Actions that the caller carries out.
const (
	Probe Action = iota // check Member, then call Reported
	Share               // send Reports to all other routers
)

// Decision is one action for the caller to carry out; only the fields of its Action are set.
type Decision struct {
	Action  Action
	Member  string   // Probe
	Reports []Report // Share
}

// Prober schedules the health checks of one group. Times are ms on any monotonic clock. It is not safe for concurrent use.
type Prober struct {
	periodMs     float64
	now          float64
	members      []string
	lastProbed   int // index of the member probed last
	nextProbe    float64
	pending      map[string]Report // not yet shared, by member ID
	pendingSince float64           // when the first of them was received
}

// NewProber returns a Prober that checks each member once per period, in ms.
func NewProber(periodMs float64) *Prober {
	return &Prober{periodMs: periodMs, pending: map[string]Report{}}
}

// Advance sets the current time in ms. It applies to all inputs until the next call.
func (p *Prober) Advance(now float64) { p.now = math.Max(p.now, now) }

// SetMembers replaces the members of the group; those beyond MaxReports are ignored.
func (p *Prober) SetMembers(ids []string) {
	p.members = slices.Clone(ids[:min(len(ids), MaxReports)])
	for id := range p.pending {
		if !slices.Contains(p.members, id) {
			delete(p.pending, id)
		}
	}
}

// Reported records the result of a health check, whatever caused it. Results for members of other groups are ignored.
func (p *Prober) Reported(report Report) {
	if !slices.Contains(p.members, report.Member) {
		return
	}
	if len(p.pending) == 0 {
		p.pendingSince = p.now
	}
	p.pending[report.Member] = report
}

// Next returns the next decision, or false if none is left.
func (p *Prober) Next() (Decision, bool) {
	if len(p.pending) > 0 && (p.now-p.pendingSince >= batchDelayFraction*p.periodMs || len(p.pending) == len(p.members)) {
		return Decision{Action: Share, Reports: p.takePending()}, true
	}
	if len(p.members) == 0 || p.nextProbe > p.now {
		return Decision{}, false
	}
	// Probes are spread evenly over the period. After a pause of more than a period the missed probes are skipped.
	p.nextProbe = math.Max(p.nextProbe, p.now-p.periodMs) + p.periodMs/float64(len(p.members))
	p.lastProbed = (p.lastProbed + 1) % len(p.members)
	return Decision{Action: Probe, Member: p.members[p.lastProbed]}, true
}

// takePending removes and returns the reports that are not yet shared, in the order of the members.
func (p *Prober) takePending() (reports []Report) {
	for _, id := range p.members {
		if report, found := p.pending[id]; found {
			reports = append(reports, report)
		}
	}
	clear(p.pending)
	return reports
}

// NextDeadline returns when Advance must be called next at the latest, +Inf if nothing is scheduled.
func (p *Prober) NextDeadline() float64 {
	deadline := math.Inf(1)
	if len(p.pending) > 0 {
		deadline = p.pendingSince + batchDelayFraction*p.periodMs
	}
	if len(p.members) > 0 {
		deadline = math.Min(deadline, p.nextProbe)
	}
	return deadline
}

// ValidateReport validates a report received from another process; now is the Unix time in ms.
func ValidateReport(report Report, now float64) error {
	for name, value := range map[string]float64{"started": report.Started, "position": report.Position, "at": report.At} {
		if math.IsNaN(value) || math.IsInf(value, 0) || value < 0 {
			return fmt.Errorf("%s: %v is no time", name, value)
		}
	}
	switch {
	case report.Member == "" || len(report.Member) > maxMemberIDBytes:
		return fmt.Errorf("member: an id of %d bytes", len(report.Member))
	case report.Primary && report.Replica:
		return fmt.Errorf("%s: both primary and replica", report.Member)
	case report.Position > now+maxPositionLeadMs:
		return fmt.Errorf("%s: position lies %.0f ms ahead", report.Member, report.Position-now)
	}
	return nil
}
