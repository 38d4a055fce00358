package leaseclient

import (
	"maps"
	"slices"

	"wayloft/internal/decide/leasestate"
	"wayloft/internal/decide/policy"
)

const (
	maxPolicyUpdateBytes = 1 << 10 // of versions and their differences in one update
	versionOverheadBytes = 80      // of a version with its hash, without its texts
)

// Changes returns the update for a watcher that knows everything up to an entry of the log, and the index up to which it knows everything
// then: what has changed, or the whole state where the changes are no longer kept or the watcher is ahead of this state. Without sessions
// those of others are left out: a process that acts on no others needs none, and there may be hundreds.
func Changes(state *leasestate.State, since uint64, withoutSessions bool) (Update, uint64) {
	events, kept := state.Since(since)
	if since == 0 || since > state.Index() || !kept {
		return completeUpdate(state, withoutSessions), state.Index()
	}
	return incrementalUpdate(state, events, withoutSessions), state.Index()
}

// completeUpdate returns the whole state.
func completeUpdate(state *leasestate.State, withoutSessions bool) Update {
	update := Update{Complete: true, WithoutSessions: withoutSessions, Policies: latestPolicies(state.Policy(), 1)}
	if !withoutSessions {
		update.Sessions = describeSessions(state, state.Sessions())
	}
	update.Leases = describeLeases(state, state.Leases())
	return update
}

// incrementalUpdate returns what has become of all that the events name.
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

// latestPolicies returns the latest versions, the one in force last, with as many of the differences as fit, from the latest back.
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
			Open:   stored.Open,
			Ended:  stored.Ended,
			Steps:  stored.Steps,
		})
	}
	return all
}
