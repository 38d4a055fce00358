package fleet

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"wayloft/internal/decide/leasestate"
	"wayloft/internal/decide/switchover"
	"wayloft/internal/fleetpb"
	"wayloft/internal/rpc"
)

// switchoverGroup is the group in which scenarios perform switchovers.
const switchoverGroup = 0

func parseAwaitHolder(a *arguments) action {
	lease, bound := a.name("a lease"), a.binding()
	return func(r *runner) error {
		return r.bind(bound, "a holder of "+lease, func() (string, error) {
			state, err := coordinatorState(r.client)
			if err != nil {
				return "", nil // a coordinator without a leader has one later
			}
			if found := findLease(state, lease); found != nil {
				return found.Holder, nil
			}
			return "", nil
		})
	}
}

func parseAwaitQueue(a *arguments) action {
	lease, count := a.name("a lease"), a.number("a count")
	return func(r *runner) error { return waitForQueue(r.client, lease, count) }
}

func parseAwaitWithheld(a *arguments) action {
	lease := a.name("a lease")
	return func(r *runner) error {
		return waitForState(r.client, lease+" is withheld", func(state *fleetpb.State) bool {
			found := findLease(state, lease)
			return found != nil && found.Holder == "" && found.Barred.GetEpoch() >= state.Epoch
		})
	}
}

func parseAwaitSessions(a *arguments) action {
	count := a.number("a count")
	return func(r *runner) error { return waitForRouterSessions(r.client, count) }
}

func parseAwaitCoordinators(a *arguments) action {
	count := a.number("a count")
	return func(r *runner) error {
		return waitForState(r.client, fmt.Sprintf("%d coordinator nodes", count), func(state *fleetpb.State) bool { return len(state.Council) == count })
	}
}

func parseAwaitLaterEpoch(*arguments) action {
	return func(r *runner) error {
		return waitForState(r.client, "a later epoch", func(state *fleetpb.State) bool { return state.Epoch < rpc.EpochAt(time.Now()) })
	}
}

func parseJoin(a *arguments) action {
	name := a.name("a new node")
	a.parser.processes[name] = true
	return func(r *runner) error {
		p, err := r.fleet.AddCoordinator(name)
		if err != nil {
			return err
		}
		if err := p.startAndWait(); err != nil {
			return err
		}
		return r.changeMembership("add", name, name+"="+p.Addr)
	}
}

func parseRemove(a *arguments) action {
	process := a.process()
	return func(r *runner) error { return r.changeMembership("remove", process.text(r), process.text(r)) }
}

// changeMembership runs the operator's command and repeats it until it succeeds: it fails while the coordinator has no leader or another change
// is in progress. If a removal takes effect but its response is lost, the repeated command fails because the node is gone, so a removal also
// ends once the coordinator's state has no such node.
func (r *runner) changeMembership(verb, name, argument string) error {
	var output string
	var failure error
	err := WaitUntil(verb+" "+argument, func() (bool, error) {
		if output, failure = r.fleet.RunCommand("council", verb, argument); failure == nil {
			return true, nil
		}
		state, err := coordinatorState(r.client)
		if err != nil || verb != "remove" {
			return false, nil // a coordinator without a leader has one later
		}
		return !slices.ContainsFunc(state.Council, func(node *fleetpb.Peer) bool { return node.Name == name }), nil
	})
	if err != nil {
		return fmt.Errorf("%w; the last command: %w: %s", err, failure, output)
	}
	return nil
}

func parseSwitchover(a *arguments) action {
	member := a.process()
	return func(r *runner) error {
		ctx, cancel := context.WithTimeout(context.Background(), WaitLimit)
		defer cancel()
		result, err := r.client.ProposeEntry(ctx, leasestate.Entry{Kind: leasestate.PlaceOrder, Lease: switchover.LeaseName(switchoverGroup),
			Text: switchover.FormatOrder(member.text(r))})
		if err != nil {
			return err
		}
		if !result.Held {
			return result.Rejection
		}
		r.order = result.Number
		return nil
	}
}

func parseAwaitSwitchover(a *arguments) action {
	wanted := a.remaining()
	return func(r *runner) error {
		ended := ""
		err := waitForState(r.client, "the switchover ends", func(state *fleetpb.State) bool {
			lease := findLease(state, switchover.LeaseName(switchoverGroup))
			if lease == nil || lease.Ended.GetNumber() != r.order {
				return false
			}
			ended = lease.Ended.Text
			return true
		})
		if err != nil {
			return err
		}
		if !strings.Contains(ended, r.joined(wanted)) {
			return errors.New("switchover ended: " + ended)
		}
		return nil
	}
}

// parseTakeOver parses take-over FORMER NEXT: the cluster makes a member the primary by itself.
func parseTakeOver(a *arguments) action {
	former, next := a.process(), a.process()
	return func(r *runner) error { return r.fleet.Promote(former.text(r), next.text(r)) }
}

func parseAwaitPrimary(a *arguments) action {
	member := a.process()
	return func(r *runner) error {
		return WaitUntil("the member is the only primary", func() (bool, error) { return slices.Equal(r.fleet.Primaries(), []string{member.text(r)}), nil })
	}
}
