package leaseclient

import (
	"maps"
	"slices"

	"wayloft/internal/decide/lease"
	"wayloft/internal/decide/leasestate"
	"wayloft/internal/decide/policy"
)

// Session and Lease are what the coordinator's watch tells.
type Session struct {
	Name, Role, Address string
	Incarnation, Policy uint64
	Ended               bool
}

type Lease struct {
	Name, Holder string
	Token        lease.Token
	Open, Ended  leasestate.Order
	Steps        []leasestate.Step
}

// Update is one word of the watch: all there is, or what has changed.
type Update struct {
	Complete        bool
	WithoutSessions bool // they were not asked for
	Sessions        []Session
	Leases          []Lease
	Policies        []Policy // versions of the policy, the one in force last
}

// Policy is a version of the policy, and what led to it, where that is short enough to be told with it.
type Policy struct {
	Version    policy.Version
	Difference *policy.Difference
}

// inline is the most that versions and their differences take in one word of the watch, in bytes; versionSize is a version's, with
// its hash, but without its texts.
const (
	inline      = 1 << 10
	versionSize = 80
)

// Changes gives what a watcher who has heard of everything up to an entry has to hear now: what has changed, or the whole
// state where that is no longer kept or the watcher is ahead, since this state is an older one. Without sessions, what becomes of
// others' is left out: who gives no orders needs none of them, and hundreds of routers are told of hundreds otherwise.
func Changes(r *leasestate.State, since uint64, without bool) (Update, uint64) {
	events, all := r.Since(since)
	if since == 0 || since > r.Index() || !all {
		u := Update{Complete: true, WithoutSessions: without, Policies: policies(r.Policy(), 1)}
		if !without {
			for _, name := range r.Sessions() {
				u.Sessions = append(u.Sessions, session(r, name))
			}
		}
		for _, name := range r.Leases() {
			u.Leases = append(u.Leases, duty(r, name))
		}
		return u, r.Index()
	}
	sessions, duties, versions := map[string]bool{}, map[string]bool{}, 0
	for _, e := range events {
		switch {
		case e.Policy != 0:
			versions++
		case e.Lease != "":
			duties[e.Lease] = true
		case !without:
			sessions[e.Session] = true
		}
	}
	u := Update{WithoutSessions: without}
	if versions > 0 {
		u.Policies = policies(r.Policy(), versions)
	}
	for _, name := range slices.Sorted(maps.Keys(sessions)) {
		u.Sessions = append(u.Sessions, session(r, name))
	}
	for _, name := range slices.Sorted(maps.Keys(duties)) {
		u.Leases = append(u.Leases, duty(r, name))
	}
	return u, r.Index()
}

// policies gives the latest versions, the one in force last, with as many of the differences as fit, from the latest back.
func policies(b *policy.History, versions int) (all []Policy) {
	if b.Version.Number == 0 {
		return nil
	}
	left := inline
	for n := len(b.Changes) - 1; n >= max(0, len(b.Changes)-versions); n-- {
		c := b.Changes[n]
		if left -= c.Difference.Size() + len(c.Version.Author) + len(c.Version.Reason) + versionSize; left < 0 {
			break
		}
		all = append(all, Policy{c.Version, &c.Difference})
	}
	if len(all) == 0 {
		return []Policy{{Version: b.Version}}
	}
	slices.Reverse(all)
	return all
}

func session(r *leasestate.State, name string) Session {
	s, open := r.Session(name)
	return Session{Name: name, Role: s.Role, Address: s.Address, Incarnation: s.Incarnation, Policy: s.Policy, Ended: !open}
}

func duty(r *leasestate.State, name string) Lease {
	d, _ := r.Lease(name)
	return Lease{Name: name, Holder: d.Holder, Token: d.Token, Open: d.Open, Ended: d.Ended, Steps: d.Steps}
}
