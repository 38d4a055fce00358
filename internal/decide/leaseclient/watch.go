package leaseclient

import (
	"maps"
	"slices"

	"wayloft/internal/decide/lease"
	"wayloft/internal/decide/leasestate"
	"wayloft/internal/decide/policy"
)

// Session is what the coordinator's watch says of a session.
type Session struct {
	Name, Role, Address string
	Incarnation, Policy uint64 // Policy is the number of the version that the process has applied
	Ended               bool
}

// Lease is what the coordinator's watch says of a lease.
type Lease struct {
	Name, Holder string
	Token        lease.Token
	Open, Ended  leasestate.Order
	Steps        []leasestate.Step
}

// Update is one message of the watch: the whole state, or what has changed.
type Update struct {
	Complete        bool // the whole state
	WithoutSessions bool // the watcher didn't ask for sessions
	Sessions        []Session
	Leases          []Lease
	Policies        []Policy // versions of the policy, the one in force last
}

// Policy is a version of the policy and its difference to the version before; nil where that is too long for an update.
type Policy struct {
	Version    policy.Version
	Difference *policy.Difference
}

// UpdateReceived takes in an update of the watch. It may be old: a higher fencing token is true whenever it arrives, a lower one says only
// that the coordinator should be asked.
func (c *Client) UpdateReceived(update Update) {
	if update.Complete {
		clear(c.sessions)
		clear(c.leases)
		c.sessionsComplete = !update.WithoutSessions
	}
	for _, session := range update.Sessions {
		if session.Ended {
			delete(c.sessions, session.Name)
		} else if len(c.sessions) < maxTracked {
			c.sessions[session.Name] = session
		}
	}
	for _, latest := range update.Leases {
		c.updateLease(latest)
	}
}

// updateLease takes in what an update says of one lease.
func (c *Client) updateLease(latest Lease) {
	if len(c.leases) < maxTracked {
		c.leases[latest.Name] = latest
	}
	if h := c.holder(latest.Name); h != nil {
		if latest.Holder != c.settings.Name {
			h.Lost(latest.Token)
		} else if token, valid := h.Valid(); !valid || token != latest.Token {
			h.RequestNow()
		}
		c.pullDecisions(h)
	}
	c.reportHigherToken(latest)
	if c.receiver.Learned(latest.Name) && latest.Holder != "" {
		c.receiver.TokenLearned(latest.Name, latest.Token) // before its holder's first act arrives
	}
}

// SessionsComplete reports whether Sessions has all that the coordinator has: a watch may leave them out.
func (c *Client) SessionsComplete() bool { return c.sessionsComplete }

// Sessions returns the sessions of a role that the watch has reported, by name.
func (c *Client) Sessions(role string) (found []Session) {
	for _, name := range slices.Sorted(maps.Keys(c.sessions)) {
		if c.sessions[name].Role == role {
			found = append(found, c.sessions[name])
		}
	}
	return found
}

// Lease returns what the watch has reported of a lease.
func (c *Client) Lease(name string) (Lease, bool) {
	latest, found := c.leases[name]
	return latest, found
}
