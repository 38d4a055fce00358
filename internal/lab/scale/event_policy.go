package scale

import (
	"context"
	"fmt"
	"time"

	"wayloft/internal/decide/policy"
	"wayloft/internal/settings"
)

const proposalTimeout = 10 * time.Second

// changePolicy proposes a version of the policy and waits until each hollow router has applied it.
func changePolicy(in *Installation, baseline interval) (*EventResult, error) {
	document, err := settings.ReadPolicy([]byte("over_share_value = 0.25\n"))
	if err != nil {
		return nil, err
	}
	before, err := in.sampleAll()
	if err != nil {
		return nil, err
	}
	if err := in.setFilter(ReceptionFilter{Policy: true}); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), proposalTimeout)
	defer cancel()
	eventMs := unixMs()
	result, err := in.client.Propose(ctx, policy.Propose(policy.Version{}, nil, document, "lab", "lab size"))
	if err != nil {
		return nil, err
	}
	if !result.Held {
		return nil, result.Rejection
	}
	acceptedMs := unixMs()
	parts, err := in.waitReceived(eventMs, map[string]int{partPolicies: in.Routers}, nil)
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
		Bytes:   map[string]float64{"each": eventCost(baseline, during, childPids(in.routers), in.Routers)},
		Calls:   during.routerCounts(),
		Notes:   []string{fmt.Sprintf("accepted after %.0f ms", acceptedMs-eventMs), "counts only hollow routers"},
	}, nil
}
