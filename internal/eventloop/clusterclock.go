package eventloop

import (
	"math"

	"wayloft/internal/decide/clockoffset"
	"wayloft/router"
)

// Positions and members' start times are on the cluster's clock (Unix ms); the decision module runs on the loop's clock. They are
// translated in this file and in starttimes.go, and nowhere else.

const (
	// maxPosition is more than any Unix time in ms.
	maxPosition = 1e15
	// settleCheckInterval is how often, in ms, the driver looks whether held reports can be judged.
	settleCheckInterval = 250.0
)

// RecordPosition adds a position that a member reported to the estimate of the cluster's clock. sent is when the member was asked,
// on the loop's clock; router.Never if that isn't known. It must be called before the position is passed on by
// Driver.AttemptEnded or Driver.Reported.
func (l *Loop) RecordPosition(member string, role router.Role, position, sent float64) {
	l.clusterClock.Add(clockoffset.Sample{Member: member, Primary: role == router.Primary, Position: position, Sent: sent,
		Received: l.Clock()})
}

// Forget drops what a member that is gone has reported.
func (l *Loop) Forget(member string) {
	l.clusterClock.Forget(member)
}

// Possible reports whether a member can have this position by now.
func (l *Loop) Possible(position float64) bool {
	if !(position > 0 && position < maxPosition) {
		return false
	}
	return !l.clusterClock.Settled(l.Clock()) || position <= l.ClusterNow()+MaxPositionAhead
}

// ClusterNow returns the present time on the cluster's clock, as far as it is known.
func (l *Loop) ClusterNow() float64 { return l.now + l.clusterClock.Offset() }

// ToLoop translates a time on the cluster's clock to one on the loop's clock.
func (l *Loop) ToLoop(at float64) float64 { return at - l.clusterClock.Offset() }

// FromLoop translates a time on the loop's clock to one on the cluster's clock.
func (l *Loop) FromLoop(at float64) float64 { return at + l.clusterClock.Offset() }

// heldReport is a member's report that came before the cluster's clock was settled.
type heldReport struct {
	member   string
	role     router.Role
	position float64
}

// positionOnLoop translates a member's position for the module: Never if there is none, or if it can't be judged yet.
func (d *Driver) positionOnLoop(position float64) float64 {
	if position == router.Never || !d.clockSettled() {
		return router.Never
	}
	return d.ToLoop(position)
}

// clockSettled reports whether positions can be judged. The first time that they can, it passes on the reports that were held.
func (d *Driver) clockSettled() bool {
	if !d.clusterClock.Settled(d.Clock()) {
		return false
	}
	if d.settledNotified {
		return true
	}
	d.settledNotified = true
	if d.onClockSettled != nil {
		d.onClockSettled()
	}
	reports := d.heldReports
	d.heldReports = nil
	for _, report := range reports {
		if d.Possible(report.position) {
			d.forwardReport(report)
		}
	}
	return true
}

// RecordPosition does what Loop.RecordPosition does, and has the member checked again if that helps to settle the clock.
func (d *Driver) RecordPosition(member string, role router.Role, position, sent float64) {
	d.Loop.RecordPosition(member, role, position, sent)
	if wait, wanted := d.clusterClock.Confirm(member); wanted && d.confirmsPositions && !d.confirming[member] {
		d.confirming[member] = true
		d.After(wait, func() { d.confirmPosition(member) })
	}
}

func (d *Driver) confirmPosition(member string) {
	delete(d.confirming, member)
	if _, wanted := d.clusterClock.Confirm(member); wanted {
		d.backend.HealthCheck(member)
	}
}

// MembersCheckStaleness tells the driver that members themselves refuse a read, or have it wait, if they lag behind its position.
func (d *Driver) MembersCheckStaleness() { d.membersCheckStaleness = true }

// EnablePositionChecks allows the driver to check members again to settle the cluster's clock. It must be called only if a health
// check brings a report.
func (d *Driver) EnablePositionChecks() { d.confirmsPositions = true }

// OnClockSettled sets a function that is called once, as soon as times on the cluster's clock can be translated.
func (d *Driver) OnClockSettled(f func()) { d.onClockSettled = f }

// holdReport keeps the latest report of a member until it can be judged.
func (d *Driver) holdReport(report heldReport) {
	for i, earlier := range d.heldReports {
		if earlier.member == report.member {
			d.heldReports[i] = report
			return
		}
	}
	d.heldReports = append(d.heldReports, report)
	if len(d.heldReports) == 1 {
		d.recheckSettled()
	}
}

// recheckSettled checks periodically whether the clock is settled: reports of replicas alone may settle it as time passes.
func (d *Driver) recheckSettled() {
	d.After(settleCheckInterval, func() {
		if !d.clockSettled() {
			d.recheckSettled()
		}
	})
}

func (d *Driver) forwardReport(report heldReport) {
	d.routerInput().Reported(report.member, report.role, d.ToLoop(report.position))
	if d.onReport != nil {
		d.onReport(report.member, report.role, report.position)
	}
}

// positionAge returns the age in ms of the position that a session's read must see, as the module takes it: 0 for no position.
func (d *Driver) positionAge(after, now float64) float64 {
	if after == 0 {
		return 0
	}
	// Until positions can be judged, the read needs a member that has everything up to now, unless members check it themselves.
	age := 0.0
	if d.clockSettled() || d.membersCheckStaleness {
		age = now - d.ToLoop(after)
	}
	if age == 0 { // the module reads 0 as no position, and now - age is still exactly the position
		age = math.SmallestNonzeroFloat64
	}
	return age
}
