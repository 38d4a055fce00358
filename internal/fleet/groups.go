package fleet

import (
	"maps"
	"math"
	"slices"

	"wayloft/internal/decide/healthshare"
	"wayloft/internal/decide/switchover"
)

// GroupsChanged notifies the node that the router's endpoint list has changed. It never blocks and may be called on any goroutine.
func (n *Node) GroupsChanged() {
	select {
	case n.groupsChanged <- struct{}{}:
	default: // a pending notification covers this change
	}
}

// requestGroups requests the current groups from the router's event loop.
func (n *Node) requestGroups(now float64) {
	n.groupRequests++
	request := n.groupRequests
	accepted := n.callRouter(func() {
		groups := n.router.Groups()
		n.retainWriteHolds(groups)
		go n.post(func() { // on a goroutine: the router's event loop must not wait for this one
			if request > n.lastGroupResponse { // a late, older list must not replace a newer one: no further request would correct it
				n.lastGroupResponse = request
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

// retainWriteHolds discards the write holds of groups that are no longer listed. Like applyHold it runs on the router's event loop, the
// only one that accesses writeHolds.
func (n *Node) retainWriteHolds(groups map[int][]Member) {
	listed := map[int]bool{}
	for group := range groups {
		listed[group] = true
	}
	n.writeHolds.RetainGroups(listed)
}

// applyGroups applies a new list of groups: it acquires the leases of listed groups and releases those of groups that were removed.
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
