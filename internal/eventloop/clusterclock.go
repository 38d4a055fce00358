package eventloop

import (
	"math"

	"wayloft/internal/decide/clockoffset"
	"wayloft/internal/request"
	"wayloft/router"
)

// Positions and members' start times are on the cluster's clock (Unix ms), and the decision module runs on the loop's clock. All
// conversions are in this file and in starttimes.go.

const (
	// maxPosition is later than any plausible Unix time in ms.
	maxPosition = 1e15
	// settleCheckInterval is the interval in ms at which the driver checks whether the cluster's clock is settled while reports are
	// pending.
	settleCheckInterval = 250.0
)

// RecordPosition adds a position reported by a member to the estimate of the cluster's clock. sent is the time on the loop's clock at
// which the member was asked, or router.Never if unknown. RecordPosition must be called before the position is passed to
// Driver.AttemptEnded or Driver.Reported.
func (l *Loop) RecordPosition(member string, role router.Role, position, sent float64) {
	l.clusterClock.Add(clockoffset.Sample{Member: member, Primary: role == router.Primary, Position: position, Sent: sent,
		Received: l.Clock()})
}

// ForgetMember drops the positions reported by a member that was removed.
func (l *Loop) ForgetMember(member string) {
	l.clusterClock.Forget(member)
}

// PositionPossible reports whether a member can have reached this position by now.
func (l *Loop) PositionPossible(position float64) bool {
	if !(position > 0 && position < maxPosition) {
		return false
	}
	return !l.clusterClock.Settled(l.Clock()) || position <= l.ClusterNow()+MaxPositionAhead
}

// ClusterNow returns the estimated time of the current batch on the cluster's clock.
func (l *Loop) ClusterNow() float64 { return l.now + l.clusterClock.Offset() }

// ToLoop converts a time from the cluster's clock to the loop's clock.
func (l *Loop) ToLoop(at float64) float64 { return at - l.clusterClock.Offset() }

// FromLoop converts a time from the loop's clock to the cluster's clock.
func (l *Loop) FromLoop(at float64) float64 { return at + l.clusterClock.Offset() }

// pendingReport is a member's report that was received before the cluster's clock was settled.
type pendingReport struct {
	member   string
	role     router.Role
	position float64
}

// positionOnLoop converts a member's position to the loop's clock, for the module. It returns Never if there is no position or the
// cluster's clock is not settled yet.
func (d *Driver) positionOnLoop(position float64) float64 {
	if position == router.Never || !d.clockSettled() {
		return router.Never
	}
	return d.ToLoop(position)
}

// clockSettled reports whether the estimate of the cluster's clock is settled, so that positions can be validated and converted. When
// it first is, clockSettled forwards the pending reports.
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
	reports := d.pendingReports
	d.pendingReports = nil
	for _, report := range reports {
		if d.PositionPossible(report.position) {
			d.forwardReport(report)
		}
	}
	return true
}

// RecordPosition calls Loop.RecordPosition, and schedules another health check of the member if that helps to settle the clock.
func (d *Driver) RecordPosition(member string, role router.Role, position, sent float64) {
	d.Loop.RecordPosition(member, role, position, sent)
	if wait, wanted := d.clusterClock.RecheckDelay(member); wanted && d.confirmsPositions && !d.confirming[member] {
		d.confirming[member] = true
		d.After(wait, func() { d.confirmPosition(member) })
	}
}

func (d *Driver) confirmPosition(member string) {
	delete(d.confirming, member)
	if _, wanted := d.clusterClock.RecheckDelay(member); wanted {
		d.backend.HealthCheck(member)
	}
}

// MembersCheckStaleness tells the driver that members themselves reject or delay a read whose position they have not reached.
func (d *Driver) MembersCheckStaleness() { d.membersCheckStaleness = true }

// EnablePositionChecks allows the driver to make additional health checks to settle the cluster's clock. It must only be called if
// health checks return a report.
func (d *Driver) EnablePositionChecks() { d.confirmsPositions = true }

// OnClockSettled sets a function that is called once, as soon as times on the cluster's clock can be converted.
func (d *Driver) OnClockSettled(f func()) { d.onClockSettled = f }

// queueReport keeps a member's latest report until the cluster's clock is settled.
func (d *Driver) queueReport(report pendingReport) {
	for i, earlier := range d.pendingReports {
		if earlier.member == report.member {
			d.pendingReports[i] = report
			return
		}
	}
	d.pendingReports = append(d.pendingReports, report)
	if len(d.pendingReports) == 1 {
		d.scheduleSettledCheck()
	}
}

// scheduleSettledCheck checks periodically until the clock is settled: reports from replicas alone can settle it as time passes.
func (d *Driver) scheduleSettledCheck() {
	d.After(settleCheckInterval, func() {
		if !d.clockSettled() {
			d.scheduleSettledCheck()
		}
	})
}

func (d *Driver) forwardReport(report pendingReport) {
	d.routerInput().MemberReported(report.member, report.role, d.ToLoop(report.position))
	if d.onReport != nil {
		d.onReport(report.member, report.role, report.position)
	}
}

// positionAge returns the age in ms of the position that a session's read must see, in the form that the module expects: 0 means that
// no position is required.
func (d *Driver) positionAge(req *request.Request, now float64) float64 {
	if req.Position == 0 {
		return 0
	}
	// Until the clock is settled, the read requires a member that is current as of now, unless members check the position themselves.
	age := 0.0
	if d.clockSettled() || d.membersCheckStaleness && tellsPosition(req) {
		age = now - d.ToLoop(req.Position)
	}
	if age == 0 { // 0 would mean no position to the module; now - age is still exactly the position
		age = math.SmallestNonzeroFloat64
	}
	return age
}
