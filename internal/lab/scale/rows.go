package scale

import (
	"fmt"
	"slices"

	"wayloft/internal/lab/fleet"
)

// Roles of rows. The functions below return roles that contain a number of groups.
const (
	roleCoordinatorLeader   = "coordinator leader"
	roleCoordinatorFollower = "coordinator follower"
	roleHollowRouter        = "hollow router"
	roleRealRouter          = "real router"
	roleDiscovery           = "discovery service"
	roleDatabase            = "database with health checks"
	roleLeaseHolder         = "health-share lease holder, 1 group"
)

func roleNotified(role string, groups int) string {
	return fmt.Sprintf("%s, notified of %d groups", role, groups)
}

func roleNotifiedOfAll(role string, groups int) string {
	return fmt.Sprintf("%s, notified of all %d groups (extrapolated)", role, groups)
}

func roleDatabaseShared(groups int) string {
	return fmt.Sprintf("database with health checks, %d groups shared", groups)
}

// row returns the average cost per unit of a role, over the processes that run its units.
func (i interval) row(role string, units int, pids []int, allowance Allowance) Row {
	total := i.totalTraffic(pids...)
	perUnit := float64(max(1, units))
	r := Row{
		Role:      role,
		Processes: len(pids),
		Units:     units,
		CPU:       i.cpuPercent(pids...) / perUnit,
		Bytes:     float64(total.bytes()) / i.seconds / perUnit,
		Messages:  float64(total.segments()) / i.seconds / perUnit,
		Memory:    i.memoryMB(pids...) / perUnit,
		Allowance: allowance,
		Extra:     map[string]float64{},
	}
	r.checkAllowance()
	return r
}

// rows returns the rows of all roles except lease holders.
func (in *Installation) rows(i interval) (rows []Row) {
	leader := in.leader()
	var followers []*fleet.Process
	for _, p := range in.coordinatorNodes() {
		if p.Name == leader {
			rows = append(rows, in.coordinatorRow(i, roleCoordinatorLeader, []*fleet.Process{p}))
		} else {
			followers = append(followers, p)
		}
	}
	rows = append(rows, in.coordinatorRow(i, roleCoordinatorFollower, followers))
	if in.Routers > 0 {
		rows = append(rows, in.hollowRouterRow(i))
	}
	if pids := processPids(in.realRouters()); len(pids) > 0 {
		row := i.row(roleRealRouter, len(pids), pids, routerAllowance)
		in.addTrafficByPeer(i, &row, pids)
		rows = append(rows, row)
	}
	rows = append(rows, i.row(roleDiscovery, 1, []int{in.discovery.Pid()}, Allowance{}))
	return append(rows, in.databaseRow(i, roleDatabase))
}

func (in *Installation) hollowRouterRow(i interval) Row {
	pids := childPids(in.routers)
	row := i.row(roleHollowRouter, in.Routers, pids, routerAllowance)
	in.addTrafficByPeer(i, &row, pids)
	for _, kind := range messageKindNames {
		for _, suffix := range []string{sentSuffix, receivedSuffix} {
			key := kind + suffix
			if messages := in.countByZone(i, routersPrefix, key); messages > 0 {
				row.Extra[key] = float64(messages) / i.seconds / float64(in.Routers)
			}
		}
	}
	return row
}

// countByZone returns the growth of a count, summed over the processes of all zones.
func (in *Installation) countByZone(i interval, prefix, key string) (total int64) {
	for zone := range zones {
		total += i.count(zoneName(prefix, zone), key)
	}
	return total
}

// addTrafficByPeer adds a router's traffic with the coordinator, the discovery service and the members.
func (in *Installation) addTrafficByPeer(i interval, row *Row, pids []int) {
	var memberAddrs []string
	for _, m := range in.members {
		memberAddrs = append(memberAddrs, m.Addr)
	}
	unitSeconds := i.seconds * float64(row.Units)
	for key, peers := range map[string][]uint16{
		"council_bytes":   in.coordinatorPorts(),
		"discovery_bytes": ports(in.discovery.Addrs...),
		"members_bytes":   ports(memberAddrs...),
	} {
		row.Extra[key] = float64(i.trafficTo(pids, peers).bytes()) / unitSeconds
	}
}

// coordinatorRow returns a row of coordinator nodes, with the traffic of routers separate from that between coordinator nodes.
func (in *Installation) coordinatorRow(i interval, role string, processes []*fleet.Process) Row {
	pids := processPids(processes)
	row := i.row(role, len(pids), pids, machineAllowance)
	var addrs []string
	for _, p := range processes {
		addrs = append(addrs, p.Addr)
	}
	routers := slices.Concat(childPids(in.routers), childPids(in.holders), processPids(in.realRouters()))
	sessions := i.trafficTo(routers, ports(addrs...)).bytes()
	total := i.totalTraffic(pids...)
	var written int64
	for _, pid := range pids {
		written += i.after.writtenBytes[pid] - i.before.writtenBytes[pid]
	}
	unitSeconds := i.seconds * float64(max(1, len(pids)))
	row.Extra["sessions_bytes"] = float64(sessions) / unitSeconds
	row.Extra["raft_bytes"] = float64(total.bytes()-sessions) / unitSeconds
	row.Extra["disk_bytes"] = float64(written-total.bytesSent) / unitSeconds
	return row
}

func (in *Installation) databaseRow(i interval, role string) Row {
	row := i.row(role, in.Members, childPids(in.databases), Allowance{})
	for _, key := range []string{"checks", "accepted"} {
		row.Extra[key] = float64(in.countByZone(i, databasesPrefix, key)) / i.seconds / float64(in.Members)
	}
	return row
}

// healthSharingRows returns the rows of health-share lease holders, of the routers that they notify, extrapolated to all groups from the
// rows without health sharing, and of the databases.
func (in *Installation) healthSharingRows(before []Row, i interval) []Row {
	rows := []Row{in.leaseHolderRow(i)}
	for _, baseline := range before {
		var pids []int
		switch baseline.Role {
		case roleHollowRouter:
			pids = childPids(in.routers)
		case roleRealRouter:
			pids = processPids(in.realRouters())
		default:
			continue
		}
		notified := i.row(roleNotified(baseline.Role, in.Holders), baseline.Units, pids, routerAllowance)
		rows = append(rows, notified, in.extrapolate(baseline, notified))
	}
	return append(rows, in.databaseRow(i, roleDatabaseShared(in.Holders)))
}

func (in *Installation) leaseHolderRow(i interval) Row {
	row := i.row(roleLeaseHolder, len(in.holders), childPids(in.holders), routerAllowance)
	for key, count := range map[string]string{
		"orders":            "order_out",
		"order_payload":     "order_out_bytes",
		"verdicts":          "verdict_in",
		"looks":             "looks",
		"looks_passed_over": "looks_passed_over",
	} {
		var total int64
		for n := range in.holders {
			total += i.count(holderName(n), count)
		}
		row.Extra[key] = float64(total) / i.seconds / float64(len(in.holders))
	}
	return row
}

// extrapolate returns the row of a router that is notified of all groups. CPU and traffic are linear in the number of groups, since each
// group is reported separately; memory is taken from the notified row as it is.
func (in *Installation) extrapolate(baseline, notified Row) Row {
	scale := float64(in.groups()) / float64(in.Holders)
	row := Row{
		Role:      roleNotifiedOfAll(baseline.Role, in.groups()),
		Units:     baseline.Units,
		CPU:       baseline.CPU + scale*(notified.CPU-baseline.CPU),
		Bytes:     baseline.Bytes + scale*(notified.Bytes-baseline.Bytes),
		Messages:  baseline.Messages + scale*(notified.Messages-baseline.Messages),
		Memory:    notified.Memory,
		Allowance: routerAllowance,
	}
	row.checkAllowance()
	return row
}
