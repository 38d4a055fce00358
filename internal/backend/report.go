package backend

import (
	"math"
	"strconv"
	"strings"

	"wayloft/router"
)

// The wire names of the parameters by which a member reports its role, position and state, and of the fields within the state.
const (
	roleParameter     = "rank"
	positionParameter = "as_of"
	reportParameter   = "vitals"

	reportPosition = "x0" // in seconds
	reportPrimary  = "x1" // 1 for a primary, 0 for a replica

	minPrimaryValue = 0.5 // smallest value of reportPrimary that means a primary
)

// Health check queries.
const (
	reportQuery   = "SHOW " + reportParameter
	livenessQuery = "SELECT 1"
)

const msPerSecond = 1000

// rolesByWireName maps the wire names of roles to roles.
var rolesByWireName = map[string]router.Role{"source": router.Primary, "copy": router.Replica}

// isRouterParameter reports whether a parameter is meant for the router rather than the client.
func isRouterParameter(name string) bool {
	return name == roleParameter || name == positionParameter || name == reportParameter
}

// recordRouterParameter records a parameter that is meant for the router.
func (c *memberConn) recordRouterParameter(name, value string) {
	switch name {
	case roleParameter:
		c.role = rolesByWireName[value]
	case positionParameter:
		if x, err := strconv.ParseFloat(value, 64); err == nil && x > 0 {
			c.position = x
		}
	case reportParameter:
		c.report = value
	}
}

// acceptPosition records the position included in a response. It returns the position if it is plausible, or else router.Never.
func (b *Backend) acceptPosition(j *job, role router.Role, position float64) float64 {
	if position == router.Never {
		return position
	}
	b.recordPosition(j, role, position)
	if !b.driver.PositionPossible(position) {
		return router.Never
	}
	return position
}

// recordPosition adds a position to the estimate of the cluster's clock. It ignores a member that has been removed in the meantime, since its
// position would never be discarded.
func (b *Backend) recordPosition(j *job, role router.Role, position float64) {
	if b.members[j.member.id] == j.member {
		b.driver.RecordPosition(j.member.id, role, position, j.writtenAt)
	}
}

// acceptReport parses a report, a comma-separated list of name=value pairs, and passes it on to the driver. It returns false and passes
// nothing on if any pair is invalid or the report has no plausible position.
func (b *Backend) acceptReport(j *job, report string) bool {
	role, position := router.Replica, 0.0
	for pair := range strings.SplitSeq(report, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(pair), "=")
		x, err := strconv.ParseFloat(value, 64)
		if err != nil || math.IsNaN(x) || math.IsInf(x, 0) {
			return false
		}
		switch {
		case name == reportPosition:
			position = x * msPerSecond
		case name == reportPrimary && x >= minPrimaryValue:
			role = router.Primary
		}
	}
	if position <= 0 {
		return false
	}
	b.recordPosition(j, role, position)
	if !b.driver.PositionPossible(position) {
		return false
	}
	b.driver.Reported(j.member.id, role, position)
	return true
}
