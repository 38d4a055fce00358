package scale

import "errors"

// bytesBeyondHealthSharing is a key of EventResult.Bytes. It is part of the JSON output.
const bytesBeyondHealthSharing = "each, beyond what sight costs anyway"

var errNoOtherMember = errors.New("the group has only one database")

// changePrimary promotes another member of the first group, which has a health-share lease holder, and waits until each hollow router
// has received a report of the new primary.
func changePrimary(in *Installation, baseline interval) (*EventResult, error) {
	former := in.members[0]
	promoted, err := in.otherMember(former)
	if err != nil {
		return nil, err
	}
	before, err := in.sampleAll()
	if err != nil {
		return nil, err
	}
	if err := in.setFilter(ReceptionFilter{Primary: promoted}); err != nil {
		return nil, err
	}
	eventMs := unixMs()
	for _, child := range in.databases {
		if child == nil {
			continue
		}
		if _, err := child.Ask(ChildRequest{Command: CommandPromote, Members: []string{promoted, former.ID}}); err != nil {
			return nil, err
		}
	}
	parts, err := in.waitReceived(eventMs, map[string]int{partPrimaries: in.Routers}, nil)
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
		Bytes:   map[string]float64{bytesBeyondHealthSharing: eventCost(baseline, during, childPids(in.routers), in.Routers)},
		Calls:   during.routerCounts(),
		Notes:   []string{"a report says which member to check first; a router sends writes only to a member whose own response says that it is the primary"},
	}, nil
}

// otherMember returns the ID of another member of the same group.
func (in *Installation) otherMember(member Entry) (id string, err error) {
	for _, other := range in.members {
		if other.Group == member.Group && other.ID != member.ID {
			return other.ID, nil
		}
	}
	return "", errNoOtherMember
}
