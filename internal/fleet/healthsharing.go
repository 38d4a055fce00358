package fleet

import (
	"maps"
	"slices"

	"wayloft/internal/decide/healthshare"
	"wayloft/internal/decide/lease"
	"wayloft/internal/failpoint"
	"wayloft/internal/fleetpb"
)

// healthSharer checks a group's members and shares the reports with all routers, while this process holds the group's lease for it.
type healthSharer struct {
	group   int
	token   lease.Token
	prober  *healthshare.Prober
	pending map[string]bool // routers that have not yet responded to the latest reports
}

// HealthCheckReported records the result of a health check by this process. It is called on the router's event loop and never blocks.
func (n *Node) HealthCheckReported(report healthshare.Report) {
	record := func() {
		for _, sharer := range n.healthSharers {
			sharer.prober.Reported(report) // ignores reports about members of other groups
		}
	}
	select {
	case n.mailbox <- record:
	default: // the mailbox is full; the next check replaces this result
	}
}

// startHealthSharing starts checking a group's members on behalf of all routers.
func (n *Node) startHealthSharing(name string, token lease.Token, group int) {
	sharer := &healthSharer{
		group:   group,
		token:   token,
		prober:  healthshare.NewProber(n.settings.HealthSharePeriodMs),
		pending: map[string]bool{},
	}
	sharer.prober.Advance(n.now())
	n.setMembers(sharer)
	n.healthSharers[name] = sharer
}

// setMembers sets the members to check to the group's current ones.
func (n *Node) setMembers(sharer *healthSharer) {
	var ids []string
	for _, member := range n.groups[sharer.group] {
		ids = append(ids, member.ID)
	}
	sharer.prober.SetMembers(ids)
}

// advanceHealthSharing executes the decisions of all probers.
func (n *Node) advanceHealthSharing(now float64) {
	for _, name := range slices.Sorted(maps.Keys(n.healthSharers)) {
		sharer := n.healthSharers[name]
		sharer.prober.Advance(now)
		for d, more := sharer.prober.Next(); more; d, more = sharer.prober.Next() {
			switch d.Action {
			case healthshare.Probe:
				n.callRouter(func() { n.router.HealthCheck(d.Member) })
			case healthshare.Share:
				n.sendReports(name, sharer, d.Reports)
			}
		}
	}
}

// sendReports sends reports to all other routers. It skips a router that has not responded to earlier ones; that router gets the next ones.
func (n *Node) sendReports(name string, sharer *healthSharer, reports []healthshare.Report) {
	order := n.newOrder(name, sharer.token)
	order.Sightings = encodeReports(reports)
	for _, session := range n.leases.Sessions(routerKind) {
		if session.Name == n.settings.Name || sharer.pending[session.Name] {
			continue
		}
		if token, valid := n.leases.Valid(name); !valid || token != sharer.token { // last check of the lease before sending
			return
		}
		failpoint.Point("healthshare.checked") // between the check of the lease and the order
		sharer.pending[session.Name] = true
		n.sendOrder(session, order, func(*fleetpb.Verdict, error) { delete(sharer.pending, session.Name) })
	}
}
