package fleet

import (
	"maps"
	"slices"

	"wayloft/internal/decide/healthshare"
	"wayloft/internal/decide/lease"
	"wayloft/internal/failpoint"
	"wayloft/internal/fleetpb"
)

// healthSharer is a held lease for a group's shared health checking.
type healthSharer struct {
	group   int
	token   lease.Token
	prober  *healthshare.Prober
	pending map[string]bool // routers that have yet to answer the last reports
}

// Reported records the result of a health check of this process, on the router's event loop. It never waits.
func (n *Node) Reported(report healthshare.Report) {
	record := func() {
		for _, sharer := range n.healthSharers {
			sharer.prober.Reported(report) // ignores members of other groups
		}
	}
	select {
	case n.mailbox <- record:
	default: // too many calls wait: the next check will do
	}
}

// startHealthSharing starts to check a group's members for all routers.
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

// setMembers has the members checked that the group has now.
func (n *Node) setMembers(sharer *healthSharer) {
	var ids []string
	for _, member := range n.groups[sharer.group] {
		ids = append(ids, member.ID)
	}
	sharer.prober.SetMembers(ids)
}

// advanceHealthSharing carries out what shared health checking decides.
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

// sendReports sends reports to all other routers. One that has yet to answer the last ones is passed over: the next ones will do.
func (n *Node) sendReports(name string, sharer *healthSharer, reports []healthshare.Report) {
	order := n.newOrder(name, sharer.token)
	order.Sightings = encodeReports(reports)
	for _, session := range n.leases.Sessions(routerKind) {
		if session.Name == n.settings.Name || sharer.pending[session.Name] {
			continue
		}
		if token, valid := n.leases.Valid(name); !valid || token != sharer.token { // the last check before the order is sent
			return
		}
		failpoint.Point("healthshare.checked") // between the check and the order
		sharer.pending[session.Name] = true
		n.sendOrder(session, order, func(*fleetpb.Verdict, error) { delete(sharer.pending, session.Name) })
	}
}
