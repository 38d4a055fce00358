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

// stateTimeout limits one request for the coordinator's state. Callers that wait for a state repeat the request.
const stateTimeout = 2 * time.Second

// newClient returns a client of the fleet's coordinator.
func (f *Fleet) newClient() *client.Client {
	return client.NewClient(f.FleetName, f.CoordinatorAddresses(), nil)
}

// coordinatorState requests the coordinator's state.
func coordinatorState(c *client.Client) (*fleetpb.State, error) {
	ctx, cancel := context.WithTimeout(context.Background(), stateTimeout)
	defer cancel()
	return c.State(ctx)
}

// waitForState waits until the coordinator's state meets a condition. Failed requests are repeated, since a leader may not be elected yet.
func waitForState(c *client.Client, condition string, holds func(*fleetpb.State) bool) error {
	return WaitUntil(condition, func() (bool, error) {
		state, err := coordinatorState(c)
		return err == nil && holds(state), nil
	})
}

// versionInForce returns the version of the policy in force.
func versionInForce(state *fleetpb.State) string {
	versions := state.State.Policies
	if len(versions) == 0 {
		return noPolicyVersion
	}
	latest := versions[len(versions)-1]
	return policy.Version{Epoch: latest.Epoch, Number: latest.Number}.String()
}

// findLease returns the lease of this name from the coordinator's state, or nil.
func findLease(state *fleetpb.State, name string) *fleetpb.Duty {
	at := slices.IndexFunc(state.State.Duties, func(lease *fleetpb.Duty) bool { return lease.Name == name })
	if at < 0 {
		return nil
	}
	return state.State.Duties[at]
}

// waitForRouterSessions waits until the coordinator has exactly count router sessions.
func waitForRouterSessions(c *client.Client, count int) error {
	return waitForState(c, fmt.Sprintf("%d router sessions", count), func(state *fleetpb.State) bool {
		sessions := 0
		for _, session := range state.State.Sessions {
			if session.Kind == routerKind {
				sessions++
			}
		}
		return sessions == count
	})
}

// waitForQueue waits until exactly count sessions are queued for a lease.
func waitForQueue(c *client.Client, lease string, count int) error {
	return waitForState(c, fmt.Sprintf("%d sessions queued for %s", count, lease), func(state *fleetpb.State) bool {
		found := findLease(state, lease)
		return found != nil && len(found.Queue) == count
	})
}
