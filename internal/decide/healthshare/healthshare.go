// Package healthshare decides shared health checking: one lease holder checks the members of a group for the whole fleet and sends its
// reports to all routers. Prober decides when each member is checked and when reports are sent; CheckReport bounds what a router accepts.
//
// A report never tells a router which member is primary. It gives a position, which within one run of a member never goes back, so a late
// report is weak and not wrong, and a hint which member to ask first.
//
// The package does no I/O and starts no timers; callers pass the time in and carry out its decisions.
package healthshare

import (
	"fmt"
	"math"
	"slices"
)

// MaxReports is how many reports one message may hold, and how many members of one group are checked.
const MaxReports = 1000

const (
	batchFraction     = 0.25   // of the period: how long reports wait for each other, so that one message carries several
	maxMemberIDBytes  = 256    // of a member's ID
	maxPositionLeadMs = 1000.0 // how far a position may be ahead of this machine's clock, as for a router's own checks
)

// LeasePrefix starts the names of leases for shared health checking, as they are on the wire and in stored data.
const LeasePrefix = "sight/"

// LeaseName gives the name of a group's lease for shared health checking.
func LeaseName(group int) string { return fmt.Sprintf("%s%d", LeasePrefix, group) }

// Report is the result of one health check. Times are Unix ms.
type Report struct {
	Member   string
	Started  float64 // when the member was started, as the list has it; 0: long ago
	Position float64 // 0: the member gave none
	Primary  bool
	Replica  bool
	At       float64 // when the check was answered, by the clock of the process that made it
}

// Action is the kind of a Decision.
type Action int

// Actions for the caller to carry out.
const (
	Probe Action = iota // check Member, then call Reported
	Share               // send Reports to all other routers
)

// Decision is one thing for the caller to do; only the fields of its Action are set.
type Decision struct {
	Action  Action
	Member  string   // Probe
	Reports []Report // Share
}

// Prober decides the checks of one group. Times are ms by any clock that doesn't go back. It is not safe for concurrent use.
type Prober struct {
	periodMs     float64
	now          float64
	members      []string
	lastMember   int // index of the member that was probed last
	nextProbe    float64
	pending      map[string]Report // by member, not yet shared
	pendingSince float64           // when the first of them came
}

// NewProber makes a Prober that has each member checked once in a period, given in ms.
func NewProber(periodMs float64) *Prober {
	return &Prober{periodMs: periodMs, pending: map[string]Report{}}
}

// Advance sets the time in ms; all that follows until the next call happens then.
func (p *Prober) Advance(now float64) { p.now = math.Max(p.now, now) }

// SetMembers takes in which members are in the group now, MaxReports of them at most.
func (p *Prober) SetMembers(ids []string) {
	p.members = slices.Clone(ids[:min(len(ids), MaxReports)])
	for id := range p.pending {
		if !slices.Contains(p.members, id) {
			delete(p.pending, id)
		}
	}
}

// Reported takes in the result of a check, whoever asked for it; one of a member of another group is ignored.
func (p *Prober) Reported(report Report) {
	if !slices.Contains(p.members, report.Member) {
		return
	}
	if len(p.pending) == 0 {
		p.pendingSince = p.now
	}
	p.pending[report.Member] = report
}

// Next gives the next decision; false: none is left.
func (p *Prober) Next() (Decision, bool) {
	if len(p.pending) > 0 && (p.now-p.pendingSince >= batchFraction*p.periodMs || len(p.pending) == len(p.members)) {
		return Decision{Action: Share, Reports: p.takePending()}, true
	}
	if len(p.members) == 0 || p.nextProbe > p.now {
		return Decision{}, false
	}
	// Probes are spread evenly over the period. What was missed during a pause of more than a period isn't made up for.
	p.nextProbe = math.Max(p.nextProbe, p.now-p.periodMs) + p.periodMs/float64(len(p.members))
	p.lastMember = (p.lastMember + 1) % len(p.members)
	return Decision{Action: Probe, Member: p.members[p.lastMember]}, true
}

// takePending gives the reports that are not yet shared, in the members' order.
func (p *Prober) takePending() (reports []Report) {
	for _, id := range p.members {
		if report, found := p.pending[id]; found {
			reports = append(reports, report)
		}
	}
	clear(p.pending)
	return reports
}

// NextDeadline is when Advance must be called again at the latest; infinite: nothing waits for a time.
func (p *Prober) NextDeadline() float64 {
	deadline := math.Inf(1)
	if len(p.pending) > 0 {
		deadline = p.pendingSince + batchFraction*p.periodMs
	}
	if len(p.members) > 0 {
		deadline = math.Min(deadline, p.nextProbe)
	}
	return deadline
}

// CheckReport tells what is wrong with a report that came from another process, at this Unix time in ms; nil: nothing.
func CheckReport(report Report, now float64) error {
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
