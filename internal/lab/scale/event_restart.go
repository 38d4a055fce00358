package scale

import (
	"fmt"
	"slices"
)

// restartedZone is the zone that restartZone restarts.
const restartedZone = 3

// restartZone kills all hollow routers and databases of a zone at once, starts them again and publishes the databases' new start times
// in the endpoint list. It waits until the restarted routers' sessions are open and all hollow routers have the new list.
func restartZone(in *Installation, baseline interval) (*EventResult, error) {
	before, err := in.sampleAll()
	if err != nil {
		return nil, err
	}
	filter, err := in.recordNextRevision()
	if err != nil {
		return nil, err
	}
	others := slices.DeleteFunc(slices.Clone(in.routers), func(child *Child) bool {
		return child == nil || child == in.routers[restartedZone]
	})
	eventMs := unixMs()
	sessions := in.watchSessions(routerNamePrefix(restartedZone), eventMs)
	defer sessions.stop()
	if err := in.restartProcesses(filter, eventMs); err != nil {
		return nil, err
	}
	restarted := in.zoneRouters(restartedZone)
	parts, err := in.waitReceived(eventMs, map[string]int{partSessions: restarted, partLists: in.Routers}, sessions)
	if err != nil {
		return nil, err
	}
	seconds := (unixMs() - eventMs) / 1000
	if err := in.settle(in.Routers + in.RealRouters); err != nil { // each restarted router queries the latest tokens of all leases
		return nil, err
	}
	settledSeconds := (unixMs() - eventMs) / 1000
	during, err := in.since(before)
	if err != nil {
		return nil, err
	}
	firstMember, endMember := zoneShare(restartedZone, in.Members)
	return &EventResult{
		Seconds: seconds,
		Parts:   parts,
		Bytes: map[string]float64{
			"another":   eventCost(baseline, during, childPids(others), in.Routers-restarted),
			"restarted": float64(during.totalTraffic(in.routers[restartedZone].Pid()).bytes()) / float64(restarted),
		},
		Calls: restartCalls(during),
		Notes: []string{
			fmt.Sprintf("the coordinator received only heartbeats after %.0f s (checked every second)", settledSeconds),
			fmt.Sprintf("%d routers and %d databases were killed and restarted", restarted, endMember-firstMember),
		},
	}, nil
}

func (in *Installation) zoneRouters(zone int) int {
	first, end := zoneShare(zone, in.Routers)
	return end - first
}

// recordNextRevision makes hollow routers record when they receive the next revision of the endpoint list.
func (in *Installation) recordNextRevision() (ReceptionFilter, error) {
	response, err := in.discovery.Ask(ChildRequest{Command: CommandCount})
	if err != nil {
		return ReceptionFilter{}, err
	}
	filter := ReceptionFilter{Revision: response.Revision + 1}
	return filter, in.setFilter(filter)
}

// restartProcesses kills the zone's processes, publishes its databases' new start times, and starts the processes again.
func (in *Installation) restartProcesses(filter ReceptionFilter, eventMs float64) (err error) {
	databases, routers := in.databases[restartedZone], in.routers[restartedZone]
	routers.Kill()
	databases.Kill()
	in.databases[restartedZone], in.routers[restartedZone] = nil, nil
	restart := ChildRequest{Command: CommandRestarted, Members: databases.Spec.Names, At: eventMs}
	if _, err := in.discovery.Ask(restart); err != nil {
		return err
	}
	databasesSpec := databases.Spec
	databasesSpec.Addrs = databases.Addrs
	if in.databases[restartedZone], err = in.startChild("databases-again", databasesSpec); err != nil {
		return err
	}
	routersSpec := routers.Spec
	routersSpec.StartIntervalMs, routersSpec.Filter = 0, &filter
	in.routers[restartedZone], err = in.startChild("routers-again", routersSpec)
	return err
}

// restartCalls returns the restarted routers' counts since their start, and the growth of the other routers' counts.
func restartCalls(during interval) map[string]int64 {
	calls := map[string]int64{}
	restarted := zoneName(routersPrefix, restartedZone)
	for name, n := range during.after.counts[restarted] {
		calls["restarted "+name] = n
	}
	delete(during.before.counts, restarted)
	delete(during.after.counts, restarted)
	for name, n := range during.routerCounts() {
		calls["others "+name] = n
	}
	return calls
}
