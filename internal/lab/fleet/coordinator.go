package fleet

import (
	"context"
	"fmt"
	"slices"
	"time"

	"wayloft/internal/decide/policy"
	client "wayloft/internal/fleet"
	"wayloft/internal/fleetpb"
)

// stateTimeout is for one question about the coordinator's state; waits ask again.
const stateTimeout = 2 * time.Second

// newClient makes a client of the fleet's coordinator.
func (f *Fleet) newClient() *client.Client {
	return client.NewClient(f.FleetName, f.CoordinatorAddresses(), nil)
}

// coordinatorState asks the coordinator for its state.
func coordinatorState(c *client.Client) (*fleetpb.State, error) {
	ctx, cancel := context.WithTimeout(context.Background(), stateTimeout)
	defer cancel()
	return c.State(ctx)
}

// waitForState waits until the coordinator's state meets a condition. A coordinator without a leader has one later.
func waitForState(c *client.Client, condition string, holds func(*fleetpb.State) bool) error {
	return WaitUntil(condition, func() (bool, error) {
		state, err := coordinatorState(c)
		return err == nil && holds(state), nil
	})
}

// versionInForce gives the version of the policy in force.
func versionInForce(state *fleetpb.State) string {
	versions := state.State.Policies
	if len(versions) == 0 {
		return noPolicyVersion
	}
	latest := versions[len(versions)-1]
	return policy.Version{Epoch: latest.Epoch, Number: latest.Number}.String()
}

// findLease gives a lease as the coordinator has it; nil: it has none of this name.
func findLease(state *fleetpb.State, name string) *fleetpb.Duty {
	at := slices.IndexFunc(state.State.Duties, func(lease *fleetpb.Duty) bool { return lease.Name == name })
	if at < 0 {
		return nil
	}
	return state.State.Duties[at]
}

// waitForRouterSessions waits until the coordinator has so many sessions of routers.
func waitForRouterSessions(c *client.Client, count int) error {
	return waitForState(c, fmt.Sprintf("%d sessions of routers", count), func(state *fleetpb.State) bool {
		sessions := 0
		for _, session := range state.State.Sessions {
			if session.Kind == routerKind {
				sessions++
			}
		}
		return sessions == count
	})
}

// waitForQueue waits until so many sessions wait for a lease.
func waitForQueue(c *client.Client, lease string, count int) error {
	return waitForState(c, fmt.Sprintf("%d wait for %s", count, lease), func(state *fleetpb.State) bool {
		found := findLease(state, lease)
		return found != nil && len(found.Queue) == count
	})
}
