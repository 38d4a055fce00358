package leaseclient

import (
	"maps"
	"slices"

	"wayloft/internal/decide/leasestate"
	"wayloft/internal/decide/policy"
)

const (
	maxPolicyUpdateBytes = 1 << 10 // bound on policy versions and their differences in one update
	versionOverheadBytes = 80      // size of a version with its hash, without its author and reason
)

// Changes returns the update for a watcher that has seen the log up to the index since, and the index that the update brings it to. The
// update holds what has changed, or the whole state if since is 0, the events after it are no longer kept, or the watcher is ahead of this
// state. withoutSessions leaves out all sessions: a process that sends no orders doesn't need them, and there may be hundreds.
func Changes(state *leasestate.State, since uint64, withoutSessions bool) (Update, uint64) {
	events, kept := state.EventsSince(since)
	if since == 0 || since > state.Index() || !kept {
		return completeUpdate(state, withoutSessions), state.Index()
	}
	return incrementalUpdate(state, events, withoutSessions), state.Index()
}

// completeUpdate returns an update with the whole state.
func completeUpdate(state *leasestate.State, withoutSessions bool) Update {
	update := Update{Complete: true, WithoutSessions: withoutSessions, Policies: latestPolicies(state.Policy(), 1)}
	if !withoutSessions {
		update.Sessions = describeSessions(state, state.Sessions())
	}
	update.Leases = describeLeases(state, state.Leases())
	return update
}

// incrementalUpdate returns an update with the current state of the sessions, leases and policy versions that the events refer to.
func incrementalUpdate(state *leasestate.State, events []leasestate.Event, withoutSessions bool) Update {
	sessions, leases, versions := map[string]bool{}, map[string]bool{}, 0
	for _, event := range events {
		switch {
		case event.Policy != 0:
			versions++
		case event.Lease != "":
			leases[event.Lease] = true
		case !withoutSessions:
			sessions[event.Session] = true
		}
	}
	update := Update{
		WithoutSessions: withoutSessions,
		Sessions:        describeSessions(state, slices.Sorted(maps.Keys(sessions))),
		Leases:          describeLeases(state, slices.Sorted(maps.Keys(leases))),
	}
	if versions > 0 {
		update.Policies = latestPolicies(state.Policy(), versions)
	}
	return update
}

// latestPolicies returns up to the given number of the latest policy versions with their differences, the one in force last. Older versions
// that would exceed maxPolicyUpdateBytes are left out. If not even the latest fits, it returns that one without its difference.
func latestPolicies(history *policy.History, versions int) (latest []Policy) {
	if history.Version.Number == 0 {
		return nil
	}
	remainingBytes := maxPolicyUpdateBytes
	oldest := max(0, len(history.Changes)-versions)
	for n := len(history.Changes) - 1; n >= oldest; n-- {
		change := history.Changes[n]
		remainingBytes -= change.Difference.Size() + len(change.Version.Author) + len(change.Version.Reason) + versionOverheadBytes
		if remainingBytes < 0 {
			break
		}
		latest = append(latest, Policy{change.Version, &change.Difference})
	}
	if len(latest) == 0 {
		return []Policy{{Version: history.Version}}
	}
	slices.Reverse(latest)
	return latest
}

func describeSessions(state *leasestate.State, names []string) (all []Session) {
	for _, name := range names {
		session, open := state.Session(name)
		all = append(all, Session{
			Name:        name,
			Role:        session.Role,
			Address:     session.Address,
			Incarnation: session.Incarnation,
			Policy:      session.Policy,
			Ended:       !open,
		})
	}
	return all
}

func describeLeases(state *leasestate.State, names []string) (all []Lease) {
	for _, name := range names {
		stored, _ := state.Lease(name)
		all = append(all, Lease{
			Name:   name,
			Holder: stored.Holder,
			Token:  stored.Token,
			Open:   stored.OpenOrder,
			Ended:  stored.CompletedOrder,
			Steps:  stored.Steps,
		})
	}
	return all
}
