// Package healthshare decides how one process looks at the members of a group for the whole fleet, and what the others make of what
// it says. It owns the turns in which members are asked and the bounds on a report; it must never tell a router who is
// primary: a report stands for a position, which of one start never goes back, so that a late one is weak and not wrong, and
// for whom to ask first.
package healthshare

import (
	"fmt"
	"math"
	"slices"
)

const (
	batchFraction     = 0.25   // of a period that reports wait for each other, so that one message carries several
	maxMemberIDBytes  = 256    // bytes of a member's id
	maxReports        = 1000   // reports in one message, and members of one group
	maxPositionLeadMs = 1000.0 // ms that a position may lie ahead of this machine's clock, as for a router's own checks
)

// LeaseName names the lease of a group.
func LeaseName(group int) string { return fmt.Sprintf("sight/%d", group) }

// Report is what a check told.
type Report struct {
	Member   string
	Started  float64 // Unix ms, as the list has it; 0: long ago
	Position float64 // Unix ms; 0: none was told
	Primary  bool
	Replica  bool
	At       float64 // Unix ms, when it was told, by its owner's clock
}

// Action tells what the host is to do.
type Action int

const (
	Probe Action = iota // check Member
	Share               // Reports to all others
)

// Decision is one thing for the host to do; only the fields of its verb are set.
type Decision struct {
	Action  Action
	Member  string
	Reports []Report
}

// Prober looks at one group. Times are ms on any clock that doesn't go back.
type Prober struct {
	periodMs     float64
	now          float64
	members      []string
	nextMember   int
	nextProbe    float64
	pending      map[string]Report
	pendingSince float64 // when the first report that has yet to go came
}

// NewProber makes one that asks each member once a period.
func NewProber(period float64) *Prober {
	return &Prober{periodMs: period, pending: map[string]Report{}}
}

// Advance sets the time; all that follows until the next call happens then.
func (o *Prober) Advance(now float64) { o.now = math.Max(o.now, now) }

// SetMembers says who is in the group now.
func (o *Prober) SetMembers(ids []string) {
	o.members = slices.Clone(ids[:min(len(ids), maxReports)])
	for id := range o.pending {
		if !slices.Contains(o.members, id) {
			delete(o.pending, id)
		}
	}
}

// Reported takes in a report of a check, whoever asked for it.
func (o *Prober) Reported(r Report) {
	if !slices.Contains(o.members, r.Member) {
		return
	}
	if len(o.pending) == 0 {
		o.pendingSince = o.now
	}
	o.pending[r.Member] = r
}

// Next gives the next decision; false: none is left.
func (o *Prober) Next() (Decision, bool) {
	if len(o.pending) > 0 && (o.now-o.pendingSince >= batchFraction*o.periodMs || len(o.pending) == len(o.members)) {
		var all []Report
		for _, id := range o.members {
			if r, told := o.pending[id]; told {
				all = append(all, r)
			}
		}
		clear(o.pending)
		return Decision{Action: Share, Reports: all}, true
	}
	if len(o.members) == 0 || o.nextProbe > o.now {
		return Decision{}, false
	}
	o.nextProbe = math.Max(o.nextProbe, o.now-o.periodMs) + o.periodMs/float64(len(o.members)) // one after the other, evenly
	o.nextMember = (o.nextMember + 1) % len(o.members)
	return Decision{Action: Probe, Member: o.members[o.nextMember]}, true
}

// NextDeadline is when At must be called again at the latest.
func (o *Prober) NextDeadline() float64 {
	due := math.Inf(1)
	if len(o.pending) > 0 {
		due = o.pendingSince + batchFraction*o.periodMs
	}
	if len(o.members) > 0 {
		due = math.Min(due, o.nextProbe)
	}
	return due
}

// CheckReport says what is wrong with a report that came from another process, at this Unix time in ms; nil: nothing.
func CheckReport(r Report, now float64) error {
	for what, x := range map[string]float64{"started": r.Started, "position": r.Position, "at": r.At} {
		if math.IsNaN(x) || math.IsInf(x, 0) || x < 0 {
			return fmt.Errorf("%s: %v is no time", what, x)
		}
	}
	switch {
	case r.Member == "" || len(r.Member) > maxMemberIDBytes:
		return fmt.Errorf("member: an id of %d bytes", len(r.Member))
	case r.Primary && r.Replica:
		return fmt.Errorf("%s: both primary and replica", r.Member)
	case r.Position > now+maxPositionLeadMs:
		return fmt.Errorf("%s: position lies %.0f ms ahead", r.Member, r.Position-now)
	}
	return nil
}

// MaxReports is how many reports one message may hold.
func MaxReports() int { return maxReports }
