package scale

import (
	"fmt"

	"wayloft/internal/lab/fleet"
)

// cutRegions cuts all links between the two regions for the length of a sample and restores them. It then waits until the sessions of
// the second region, which has the minority of the coordinator nodes, have opened again.
func cutRegions(in *Installation, baseline interval) (*EventResult, error) {
	links := in.linksBetweenRegions()
	for _, link := range links {
		link.Blackhole(true, true)
	}
	if err := in.wait(in.SampleDuration); err != nil {
		return nil, err
	}
	state, err := in.state()
	if err != nil {
		return nil, err
	}
	remaining := len(state.State.Sessions)
	before, err := in.sampleAll()
	if err != nil {
		return nil, err
	}
	eventMs := unixMs()
	sessions := in.watchSessions(string(secondRegion), 0) // 0: the watch counts only open sessions, and those from before the cut have ended
	defer sessions.stop()
	for _, link := range links {
		link.Heal()
	}
	cutOff := in.routersIn(secondRegion)
	parts, err := in.waitReceived(eventMs, map[string]int{partSessions: cutOff}, sessions)
	if err != nil {
		return nil, err
	}
	during, err := in.since(before)
	if err != nil {
		return nil, err
	}
	return &EventResult{
		Seconds: (unixMs() - eventMs) / 1000,
		Parts:   parts,
		Bytes: map[string]float64{
			"first region":  eventCost(baseline, during, childPids(in.routers[:zones/2]), in.Routers-cutOff),
			"second region": eventCost(baseline, during, childPids(in.routers[zones/2:]), cutOff),
		},
		Calls: during.routerCounts(),
		Notes: []string{
			fmt.Sprintf("links cut for %s; %d of %d sessions remained open at the coordinator", in.SampleDuration, remaining, in.Routers+in.RealRouters),
			"connections to the discovery service and to databases were not cut; sessions in the region with the coordinator's quorum stay open",
		},
	}, nil
}

// linksBetweenRegions returns the links from hollow routers to coordinator nodes of the other region, and those between coordinator
// nodes of different regions.
func (in *Installation) linksBetweenRegions() []*fleet.Link {
	links := append([]*fleet.Link(nil), in.regionLinks...)
	for n, from := range in.coordinatorNodes() {
		for m, to := range in.coordinatorNodes() {
			link := in.fleet.Link(from.Name, to.Name)
			if link != nil && coordinatorRegions[n] != coordinatorRegions[m] {
				links = append(links, link)
			}
		}
	}
	return links
}

// routersIn returns the number of hollow routers in a region.
func (in *Installation) routersIn(region byte) (count int) {
	for zone := range zones {
		if regionOf(zone) == region {
			first, end := zoneShare(zone, in.Routers)
			count += end - first
		}
	}
	return count
}
