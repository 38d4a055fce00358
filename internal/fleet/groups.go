package fleet

import (
	"maps"
	"math"
	"slices"

	"wayloft/internal/decide/healthshare"
	"wayloft/internal/decide/switchover"
)

// Changed notifies the node that the router's list has changed. It never waits, and may be called on any goroutine.
func (n *Node) Changed() {
	select {
	case n.groupsChanged <- struct{}{}:
	default: // an earlier change is yet to be handled, and this one with it
	}
}

// requestGroups asks the router for its groups, once for each change of its list.
func (n *Node) requestGroups(now float64) {
	n.groupRequests++
	asked := n.groupRequests
	accepted := n.callRouter(func() {
		groups := n.router.Groups()
		n.retainWriteHolds(groups)
		go n.post(func() { // the router's loop never waits for this one
			if asked > n.lastGroupResponse { // guards against a list that overtakes the one after it: nobody would ask again
				n.lastGroupResponse = asked
				n.applyGroups(groups)
			}
		})
	})
	if accepted {
		n.groupsDueAt = math.Inf(1)
	} else {
		n.groupsDueAt = now + groupsRetryMs
	}
}

// retainWriteHolds forgets the write holds of groups that are gone. Like applyHold it runs on the router's event loop, which alone
// touches them.
func (n *Node) retainWriteHolds(groups map[int][]Member) {
	listed := map[int]bool{}
	for group := range groups {
		listed[group] = true
	}
	n.writeHolds.RetainGroups(listed)
}

// applyGroups applies the list of groups: their leases are acquired, those of groups that are gone are released.
func (n *Node) applyGroups(groups map[int][]Member) {
	n.groups = groups
	wanted := map[string]bool{}
	for group := range groups {
		if n.settings.HealthSharePeriodMs > 0 {
			wanted[healthshare.LeaseName(group)] = true
		}
		if n.settings.SwitchoverEnabled {
			wanted[switchover.LeaseName(group)] = true
		}
		for _, lease := range []string{healthshare.LeaseName(group), switchover.LeaseName(group)} {
			n.leases.LearnToken(lease)
		}
	}
	for lease := range n.wantedLeases {
		if !wanted[lease] {
			delete(n.orderStates, lease)
			n.leases.Release(lease)
		}
	}
	n.wantedLeases = wanted
	for _, lease := range slices.Sorted(maps.Keys(wanted)) {
		n.leases.Acquire(lease)
	}
	for _, sharer := range n.healthSharers {
		n.setMembers(sharer)
	}
}
